package limit

import "time"

// How latencies are averaged.
const (
	// averageWeight is the weight of one answer in the average.
	averageWeight = 0.1
	// clipFactor bounds what one answer counts for, in multiples of the
	// average, so that a straggler does not look like a slow server.
	clipFactor = 2.0
	// The times in which the baseline follows a higher average: faster while
	// the limit is not in use, because then this node does not cause it.
	baselineTimeIdle = 5 * time.Second
	baselineTimeBusy = time.Minute
)

// latencyTracker keeps the average latency of a server and a baseline, the
// latency at low load. It is not safe for concurrent use.
type latencyTracker struct {
	// mean and baseline are in nanoseconds; zero before the first answer.
	mean     float64
	baseline float64
	recorded time.Time
}

func (t *latencyTracker) record(latency time.Duration, limited bool, now time.Time) {
	value := float64(max(latency, 1))
	if t.mean == 0 {
		t.mean, t.baseline, t.recorded = value, value, now
		return
	}
	value = min(max(value, t.mean/clipFactor), t.mean*clipFactor)
	t.mean += averageWeight * (value - t.mean)
	t.followBaseline(limited, now)
}

func (t *latencyTracker) followBaseline(limited bool, now time.Time) {
	elapsed := now.Sub(t.recorded)
	t.recorded = now
	if t.mean <= t.baseline {
		t.baseline = t.mean
		return
	}
	follow := baselineTimeIdle
	if limited {
		follow = baselineTimeBusy
	}
	t.baseline += (t.mean - t.baseline) * min(1, float64(elapsed)/float64(follow))
}

// inflated reports whether answers take longer than is tolerated. Both the
// average and the latest answer must tell so: one slow answer may be a
// straggler, and an average is slow to forget where answers are few.
func (t *latencyTracker) inflated(latest time.Duration, tolerance float64, slack time.Duration) bool {
	tolerated := t.baseline*tolerance + float64(slack)
	return t.mean > tolerated && float64(latest) > tolerated
}

func (t *latencyTracker) average() time.Duration { return time.Duration(t.mean) }
