package limit

import "time"

// paceBurst is the capacity of the token bucket: the number of uses of the
// fractional slot that accumulate while it is idle, so that uneven arrivals are
// not refused at low load.
const paceBurst = 4

// pacer spreads the uses of a fractional slot over time, as a token bucket. It
// is not safe for concurrent use.
type pacer struct {
	tokens   float64
	refilled time.Time
}

// refill adds the tokens for the time since the last refill. While no latency is
// known, the bucket is full.
func (p *pacer) refill(fraction float64, latency time.Duration, now time.Time) {
	elapsed := now.Sub(p.refilled)
	p.refilled = now
	if latency <= 0 {
		p.tokens = paceBurst
		return
	}
	p.tokens = min(paceBurst, p.tokens+fraction*float64(elapsed)/float64(latency))
}

// untilNext returns the time from the last refill until a whole token is available.
func (p *pacer) untilNext(fraction float64, latency time.Duration) time.Duration {
	if p.tokens >= 1 || fraction <= 0 {
		return 0
	}
	return time.Duration((1 - p.tokens) * float64(latency) / fraction)
}
