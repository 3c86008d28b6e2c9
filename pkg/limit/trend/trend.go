// Package trend tracks the latency of a server or a service and detects when it
// is higher than at low load.
package trend

import (
	"math"
	"time"
)

const (
	// sampleWeight is the weight of one sample in the moving average.
	sampleWeight = 0.1
	// clipFactor bounds each sample to between average/clipFactor and
	// average*clipFactor, so that a straggler does not look like a slow server.
	clipFactor = 2.0
	// p90Deviations is the number of mean deviations that ApproximateP90 adds to the average.
	p90Deviations = 2
)

// BaselineTimes are the time constants with which the baseline rises towards a higher average.
type BaselineTimes struct {
	// Idle applies while the observer's own limit is not in full use. It is short,
	// because the observer's load is then not the cause of the latency.
	Idle time.Duration
	// Busy applies while the limit is in full use.
	Busy time.Duration
}

// Latency keeps a moving average and a baseline, the average at low load. The
// zero value with BaselineTimes set is ready to use. It is not safe for concurrent use.
type Latency struct {
	BaselineTimes BaselineTimes
	// mean, deviation and baseline are in nanoseconds; zero before the first
	// answer. Deviation is the mean distance from the mean.
	mean      float64
	deviation float64
	baseline  float64
	recorded  time.Time
}

// Record adds the latency of one successful answer. Busy says that the observer's
// limit was in full use.
func (l *Latency) Record(latency time.Duration, busy bool, now time.Time) {
	value := float64(max(latency, 1))
	if l.mean == 0 {
		l.mean, l.baseline, l.recorded = value, value, now
		return
	}
	value = min(max(value, l.mean/clipFactor), l.mean*clipFactor)
	l.deviation += sampleWeight * (math.Abs(value-l.mean) - l.deviation)
	l.mean += sampleWeight * (value - l.mean)
	l.updateBaseline(busy, now)
}

func (l *Latency) updateBaseline(busy bool, now time.Time) {
	elapsed := now.Sub(l.recorded)
	l.recorded = now
	if l.mean <= l.baseline {
		l.baseline = l.mean
		return
	}
	follow := l.BaselineTimes.Idle
	if busy {
		follow = l.BaselineTimes.Busy
	}
	l.baseline += (l.mean - l.baseline) * min(1, float64(elapsed)/float64(follow))
}

// Inflated reports whether answers take longer than tolerance times the
// baseline and slack. Both the average and the latest answer must exceed this: a
// single slow answer may be a straggler, and the average is slow to come down
// when answers are rare.
func (l *Latency) Inflated(latest time.Duration, tolerance float64, slack time.Duration) bool {
	tolerated := l.baseline*tolerance + float64(slack)
	return l.mean > tolerated && float64(latest) > tolerated
}

// Average returns the moving average; zero before the first answer.
func (l *Latency) Average() time.Duration { return time.Duration(l.mean) }

// ApproximateP90 returns a latency that about nine answers in ten stay below; zero before
// the first answer.
func (l *Latency) ApproximateP90() time.Duration {
	return time.Duration(l.mean + p90Deviations*l.deviation)
}
