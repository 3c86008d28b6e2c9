// Package window bounds extra load over a sliding span of time.
package window

import (
	"sync"
	"time"
)

// buckets is the resolution of a Window: each bucket covers this part
// of the span.
const buckets = 100

// slots hold the buckets of a span and the one before it.
const slots = buckets + 1

// Window bounds extra sub-requests over a sliding span of time:
//
//	extra(span) <= ratio * primary(span) + allowance
//
// holds for every span that ends now. Since each node holds to it for its own
// traffic, the sum over nodes holds to it as well, with the sum of the
// allowances; no messages are needed. It is safe for concurrent use.
type Window struct {
	mutex sync.Mutex
	// The fields below are guarded by mutex.
	bucketSpan time.Duration
	start      time.Time
	position   int64
	primary    [slots]int32
	extra      [slots]int32
	primarySum int32
	extraSum   int32
}

// New returns an empty Window of the given span.
func New(span time.Duration, now time.Time) *Window {
	return &Window{bucketSpan: max(span/buckets, time.Millisecond), start: now}
}

// Earn counts primary sub-requests.
func (w *Window) Earn(primary int, now time.Time) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	slot := w.advance(now)
	w.primary[slot] += int32(primary)
	w.primarySum += int32(primary)
}

// TrySpend takes one extra sub-request if the bound allows it and the share
// keep of the bound, 0 to 1, stays untouched.
func (w *Window) TrySpend(ratio, allowance, keep float64, now time.Time) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	slot := w.advance(now)
	if float64(w.extraSum+1) > (1-keep)*(ratio*float64(w.primarySum)+allowance) {
		return false
	}
	w.extra[slot]++
	w.extraSum++
	return true
}

// Available returns how many extra sub-requests could be sent now.
func (w *Window) Available(ratio, allowance float64, now time.Time) float64 {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.advance(now)
	return ratio*float64(w.primarySum) + allowance - float64(w.extraSum)
}

// advance drops the buckets that have left the span and returns the current
// one. The caller holds the mutex.
func (w *Window) advance(now time.Time) int {
	target := int64(now.Sub(w.start) / w.bucketSpan)
	for w.position < target {
		if target-w.position > slots {
			w.clear(target)
			break
		}
		w.position++
		// The bucket that begins is one longer ago than the span. Extra
		// sub-requests count until then, primary ones one bucket less, so that
		// the bound errs to the safe side.
		begins := w.position % slots
		w.extraSum -= w.extra[begins]
		w.primary[begins], w.extra[begins] = 0, 0
		ends := (w.position + 1) % slots
		w.primarySum -= w.primary[ends]
		w.primary[ends] = 0
	}
	return int(w.position % slots)
}

func (w *Window) clear(position int64) {
	clear(w.primary[:])
	clear(w.extra[:])
	w.primarySum, w.extraSum = 0, 0
	w.position = position
}
