// Package trend follows the latency of a server or a service and tells whether
// it is longer than at low load.
package trend

import (
	"math"
	"time"
)

const (
	// averageWeight is the weight of one answer in the average.
	averageWeight = 0.1
	// clipFactor bounds what one answer counts for, in multiples of the
	// average, so that a straggler does not look like a slow server.
	clipFactor = 2.0
	// slowDeviations is how many deviations above the average Slow lies.
	slowDeviations = 2
)

// Follow is how long the baseline takes to follow a higher average.
type Follow struct {
	// Idle is used while the observer's own limit is not in use: it is short,
	// because then the observer does not cause the latency.
	Idle time.Duration
	// Busy is used while the limit is in use.
	Busy time.Duration
}

// Latency keeps a moving average and a baseline, the average at low load. The
// zero value with Follow set is ready. It is not safe for concurrent use.
type Latency struct {
	Follow Follow
	// mean, deviation and baseline are in nanoseconds; zero before the first
	// answer. Deviation is the mean distance from the mean.
	mean      float64
	deviation float64
	baseline  float64
	recorded  time.Time
}

// Record adds the latency of one good answer.
func (l *Latency) Record(latency time.Duration, busy bool, now time.Time) {
	value := float64(max(latency, 1))
	if l.mean == 0 {
		l.mean, l.baseline, l.recorded = value, value, now
		return
	}
	value = min(max(value, l.mean/clipFactor), l.mean*clipFactor)
	l.deviation += averageWeight * (math.Abs(value-l.mean) - l.deviation)
	l.mean += averageWeight * (value - l.mean)
	l.followBaseline(busy, now)
}

func (l *Latency) followBaseline(busy bool, now time.Time) {
	elapsed := now.Sub(l.recorded)
	l.recorded = now
	if l.mean <= l.baseline {
		l.baseline = l.mean
		return
	}
	follow := l.Follow.Idle
	if busy {
		follow = l.Follow.Busy
	}
	l.baseline += (l.mean - l.baseline) * min(1, float64(elapsed)/float64(follow))
}

// Inflated reports whether answers take longer than tolerance times the
// baseline and slack. Both the average and the latest answer must tell so: one
// slow answer may be a straggler, and an average is slow to forget where
// answers are few.
func (l *Latency) Inflated(latest time.Duration, tolerance float64, slack time.Duration) bool {
	tolerated := l.baseline*tolerance + float64(slack)
	return l.mean > tolerated && float64(latest) > tolerated
}

// Average returns the moving average; zero before the first answer.
func (l *Latency) Average() time.Duration { return time.Duration(l.mean) }

// Slow returns a latency that about nine answers in ten stay below; zero before
// the first answer.
func (l *Latency) Slow() time.Duration {
	return time.Duration(l.mean + slowDeviations*l.deviation)
}
