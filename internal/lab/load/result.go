package load

import (
	"time"

	"github.com/bramblemast/bramblemast/pkg/outcome"
)

// Quantiles summarises a latency distribution in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean"`
	P50   float64 `json:"p50"`
	P90   float64 `json:"p90"`
	P99   float64 `json:"p99"`
	P999  float64 `json:"p999"`
	Max   float64 `json:"max"`
	// Curve is the distribution function for plots.
	Curve []CurvePoint `json:"curve,omitempty"`
}

// CurvePoint is one point of a distribution function.
type CurvePoint struct {
	// Quantile is between 0 and 1.
	Quantile float64 `json:"quantile"`
	// Value is in milliseconds for latencies.
	Value float64 `json:"value"`
}

// CoverageSummary summarises the coverage of answers.
type CoverageSummary struct {
	Answers  int64   `json:"answers"`
	Complete int64   `json:"complete"`
	Mean     float64 `json:"mean"`
	Min      float64 `json:"min"`
	// P01 and P10 are the coverage that 99 and 90 in 100 answers reach.
	P01 float64 `json:"p01"`
	P10 float64 `json:"p10"`
}

// ExtraLoadSummary adds up the sub-requests of answers.
type ExtraLoadSummary struct {
	Primary int64 `json:"primary"`
	Hedges  int64 `json:"hedges"`
	Retries int64 `json:"retries"`
	// Ratio is extra sub-requests for each primary one.
	Ratio float64 `json:"ratio"`
}

// SeriesKey says which requests a Series counts.
type SeriesKey struct {
	// Step is the index in Options.Steps.
	Step     int             `json:"step"`
	Template string          `json:"template"`
	Arm      string          `json:"arm"`
	Outcome  outcome.Outcome `json:"outcome"`
	// Reason is empty for answers.
	Reason outcome.Reason `json:"reason,omitempty"`
	// Refused is true if the last exchange was refused without running; see
	// Exchange.Refused.
	Refused bool `json:"refused,omitempty"`
}

// Series is the requests that ended in one way.
type Series struct {
	SeriesKey
	Count int64 `json:"count"`
	// Useful counts answers with enough coverage, in time.
	Useful int64 `json:"useful"`
	// Exchanges counts the HTTP attempts of the requests.
	Exchanges int64 `json:"exchanges"`
	// Latency runs from the intended send time to the end of the last exchange.
	Latency Quantiles `json:"latency"`
	// FirstPartial runs from the intended send time to the first partial event.
	FirstPartial *Quantiles       `json:"first_partial,omitempty"`
	Coverage     CoverageSummary  `json:"coverage"`
	ExtraLoad    ExtraLoadSummary `json:"extra_load"`
	// Samples are the first few failures in words.
	Samples []FailureSample `json:"samples,omitempty"`
}

// FailureSample is one request that got no answer.
type FailureSample struct {
	RequestID string `json:"request_id"`
	Status    int    `json:"status,omitempty"`
	// Text is the detail of the problem, or the error of the exchange.
	Text string `json:"text"`
}

// ArmSummary adds up the series of one arm of one template; an empty Template
// stands for all of them.
type ArmSummary struct {
	Template string `json:"template"`
	Arm      string `json:"arm"`
	Requests int64  `json:"requests"`
	Answered int64  `json:"answered"`
	Useful   int64  `json:"useful"`
	Refused  int64  `json:"refused"`
	// Failed counts the requests that were neither answered nor refused.
	Failed int64 `json:"failed"`
	// UsefulRate is the useful answers that came in the time of the steps, per
	// second of it, whenever their requests were sent.
	UsefulRate float64 `json:"useful_rate"`
	// Attempts is exchanges for each request.
	Attempts       float64          `json:"attempts"`
	Latency        Quantiles        `json:"latency"`
	RefusalLatency Quantiles        `json:"refusal_latency"`
	FirstPartial   *Quantiles       `json:"first_partial,omitempty"`
	Coverage       CoverageSummary  `json:"coverage"`
	ExtraLoad      ExtraLoadSummary `json:"extra_load"`
}

// Second is one second of one arm, by intended send time.
type Second struct {
	Second   int     `json:"second"`
	Arm      string  `json:"arm"`
	Requests int64   `json:"requests"`
	Answered int64   `json:"answered"`
	Refused  int64   `json:"refused"`
	P50      float64 `json:"p50"`
	P99      float64 `json:"p99"`
}

// Processor says how busy the machine was, to tell whether the figures show the
// system or the limits of the machine.
type Processor struct {
	// Cores is the number of logical processors.
	Cores int `json:"cores"`
	// Process is the cores used by this process, which in embedded runs holds
	// nodes and stand-ins too.
	Process float64 `json:"process"`
	// Machine is the busy share of all cores, 0 to 1; negative if unknown.
	Machine float64 `json:"machine"`
}

// Result is what a run measured. Requests of the warm-up are left out.
type Result struct {
	Name    string    `json:"name"`
	Seed    uint64    `json:"seed"`
	Started time.Time `json:"started"`
	// DurationS is the time of all steps in seconds.
	DurationS float64 `json:"duration_s"`
	Steps     []Step  `json:"steps"`
	// Offered counts the arrivals, NotSent those beyond MaxOutstanding.
	Offered int64 `json:"offered"`
	NotSent int64 `json:"not_sent"`
	// SendLag is how late requests were sent after their intended time; if it
	// is large, the generator was the limit.
	SendLag   Quantiles    `json:"send_lag"`
	Series    []Series     `json:"series"`
	Arms      []ArmSummary `json:"arms"`
	Timeline  []Second     `json:"timeline"`
	Processor Processor    `json:"processor"`
}

// Arm returns the summary of an arm over all templates, and false if no request
// belongs to it.
func (r *Result) Arm(name string) (ArmSummary, bool) {
	for _, summary := range r.Arms {
		if summary.Template == "" && summary.Arm == name {
			return summary, true
		}
	}
	return ArmSummary{}, false
}
