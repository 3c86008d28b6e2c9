package limit

import (
	"math"
	"time"
)

const (
	// failureWeight is the weight of one result in the failure share.
	failureWeight = 0.1
	// failureHalfLife is the time in which the failure share halves if there are no
	// results.
	failureHalfLife = 2 * time.Second
)

// failureTracker keeps an exponentially decaying share of failed sub-requests. It is not safe
// for concurrent use.
type failureTracker struct {
	share   float64
	updated time.Time
}

func (t *failureTracker) record(failed bool, now time.Time) {
	value := 0.0
	if failed {
		value = 1
	}
	if value == 0 && t.share == 0 {
		return
	}
	decayed := t.current(now)
	t.share = decayed + failureWeight*(value-decayed)
	t.updated = now
}

func (t *failureTracker) current(now time.Time) float64 {
	const negligible = 1e-6
	if t.share < negligible {
		return 0
	}
	return t.share * math.Exp2(-float64(now.Sub(t.updated))/float64(failureHalfLife))
}
