package latency_test

import (
	"slices"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bramblemast/bramblemast/pkg/latency"
)

// start is the moment at which the tests begin; the tracker reads no clock.
var start = time.Unix(1_000_000, 0)

func TestQuantileIsWithinAnEighth(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		samples := rapid.SliceOfN(rapid.Int64Range(0, int64(time.Hour)), latency.MinimumSamples, 200).Draw(t, "samples")
		quantile := rapid.Float64Range(0, 1).Draw(t, "quantile")
		tracker := latency.NewTracker()
		for _, sample := range samples {
			tracker.Observe("service", time.Duration(sample), start)
		}
		slices.Sort(samples)
		rank := 0
		for rank < len(samples)-1 && float64(rank+1) < quantile*float64(len(samples)) {
			rank++
		}
		exact, got := time.Duration(samples[rank]), tracker.Quantile("service", quantile)
		if got < exact || got > exact+exact/8 {
			t.Fatalf("quantile %v is %s, exact %s", quantile, got, exact)
		}
	})
}

func observe(tracker *latency.Tracker, count int, sample time.Duration, now time.Time) {
	for range count {
		tracker.Observe("service", sample, now)
	}
}

func TestFewSamplesGiveNoQuantile(t *testing.T) {
	tracker := latency.NewTracker()
	observe(tracker, latency.MinimumSamples-1, time.Millisecond, start)
	if got := tracker.Quantile("service", 0.5); got != 0 {
		t.Fatalf("quantile of too few samples is %s", got)
	}
	observe(tracker, 1, -time.Second, start)
	if got := tracker.Quantile("service", 0); got != 0 {
		t.Fatalf("a negative latency counts as %s", got)
	}
	if got := tracker.Quantile("other", 0.5); got != 0 {
		t.Fatalf("quantile of an unknown service is %s", got)
	}
}

func TestOldSamplesFadeOut(t *testing.T) {
	tracker := latency.NewTracker()
	observe(tracker, 100, time.Second, start)
	observe(tracker, 1, time.Millisecond, start.Add(latency.Window))
	if got := tracker.Quantile("service", 0.5); got < time.Second {
		t.Fatalf("the previous window was lost: %s", got)
	}
	observe(tracker, 100, time.Millisecond, start.Add(2*latency.Window))
	if got := tracker.Quantile("service", 1); got > 2*time.Millisecond {
		t.Fatalf("samples of two windows ago still count: %s", got)
	}
	observe(tracker, latency.MinimumSamples, time.Microsecond, start.Add(10*latency.Window))
	if got := tracker.Quantile("service", 1); got > 2*time.Microsecond {
		t.Fatalf("samples from before a pause still count: %s", got)
	}
}

func TestConcurrentObservers(t *testing.T) {
	tracker := latency.NewTracker()
	var group sync.WaitGroup
	for worker := range 4 {
		group.Go(func() {
			for i := range 1000 {
				tracker.Observe("service", time.Millisecond, start.Add(time.Duration(i*worker)*time.Minute))
				tracker.Quantile("service", 0.99)
			}
		})
	}
	group.Wait()
}

func BenchmarkObserve(b *testing.B) {
	tracker := latency.NewTracker()
	b.ReportAllocs()
	for b.Loop() {
		tracker.Observe("service", time.Millisecond, start)
	}
}
