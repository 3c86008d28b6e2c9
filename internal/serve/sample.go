package serve

import (
	"time"

	"github.com/bramblemast/bramblemast/internal/armstats"
	"github.com/bramblemast/bramblemast/pkg/outcome"
)

// sampleOf turns the end of a request into the figures of its arm. A replayed
// result counts as answered without sub-requests.
func sampleOf(result *Result, err error, elapsed time.Duration) armstats.Sample {
	sample := armstats.Sample{Result: armstats.Answered, Latency: elapsed, Coverage: 1}
	switch {
	case outcome.Of(err) == outcome.NotRun:
		sample.Result = armstats.Refused
	case err != nil:
		sample.Result = armstats.Failed
	case result.Answer != nil:
		answer := result.Answer
		sample.Coverage = answer.Coverage.Share()
		sample.Primary = answer.ExtraLoad.Primary
		sample.Extra = answer.ExtraLoad.Hedges + answer.ExtraLoad.Retries
	}
	return sample
}
