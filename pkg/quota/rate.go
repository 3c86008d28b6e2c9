package quota

import (
	"math"
	"time"
)

// movingRate estimates events a second, with weights that fall exponentially with age. Its zero
// value with a span set is a rate of zero.
type movingRate struct {
	// span is the age at which an event counts for 1/e.
	span  time.Duration
	value float64
	at    time.Time
}

// add counts events at the given time.
func (r *movingRate) add(count float64, now time.Time) {
	r.value = r.read(now) + count/r.span.Seconds()
	r.at = now
}

// read returns the rate at the given time.
func (r *movingRate) read(now time.Time) float64 {
	if r.value == 0 {
		return 0
	}
	return r.value * math.Exp(-max(0, now.Sub(r.at)).Seconds()/r.span.Seconds())
}

// tokenBucket is a token bucket. Its level may be negative: a debt that later tokens pay back.
type tokenBucket struct {
	rate  float64
	cap   float64
	level float64
	at    time.Time
}

// settle brings the level up to the given time.
func (b *tokenBucket) settle(now time.Time) {
	if passed := now.Sub(b.at).Seconds(); passed > 0 {
		b.level = min(b.cap, b.level+passed*b.rate)
		b.at = now
	}
	b.level = min(b.cap, b.level)
}
