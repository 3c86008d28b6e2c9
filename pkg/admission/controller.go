package admission

import (
	"math"
	"time"
)

// How the limit moves with each finished request, in places. The rates are
// balanced where growth/sqrt(limit) = overloadDecrease * share of overloaded
// requests: 5% at a limit of 4, less at a higher one.
const (
	// overloadDecrease is the fall with an overloaded request. It works at
	// once, because a request that fails early gives its place to the next one,
	// which would fail as well.
	overloadDecrease = 0.7
	// slowDecrease is the fall with a request that took too long while the
	// average of its kind does.
	slowDecrease = 0.05
	// lateDecrease is the fall with a late request while more than lateShare of
	// the requests are late and the limit holds others back.
	lateDecrease = 0.25
	lateShare    = 0.3
	// lateWeight is the weight of one request in the share of late ones.
	lateWeight = 0.1
	// rampGrowth is the rise with a good request before the first sign of
	// overload.
	rampGrowth = 0.5
	// growth, divided by the root of the limit, is the rise with a good request
	// right after a sign of overload. Gates with a low limit rise faster for
	// their size, so that gates that share back ends become alike.
	growth = 0.07
	// growthDoubling is the time without a sign of overload that doubles the
	// growth.
	growthDoubling = 500 * time.Millisecond
	// mostGrowth bounds the growth.
	mostGrowth = 0.5
)

// controller moves the number of requests that run at once. It is not safe for
// concurrent use.
type controller struct {
	options   *Options
	limit     float64
	ramping   bool
	latencies latencies
	// overloaded is when the last sign of overload came.
	overloaded time.Time
	// late is the moving share of late requests, 0 to 1.
	late float64
}

func newController(options *Options, now time.Time) controller {
	return controller{
		options:    options,
		limit:      float64(options.StartLimit),
		ramping:    true,
		latencies:  newLatencies(),
		overloaded: now,
	}
}

// places returns the number of requests that may run at once.
func (c *controller) places() int { return int(math.Round(c.limit)) }

// record moves the limit after a request that was one of running ones. Limited
// says that all places were taken when the request ran; only then is it
// evidence that more could run.
func (c *controller) record(of kind, result Result, running int, limited bool, now time.Time) {
	c.noteLate(result)
	switch {
	case result.Cancelled:
		return
	case result.Overloaded:
		c.fallToLoad(running)
		c.lower(overloadDecrease, now)
	case result.Late && c.lateCounts(limited):
		c.lower(lateDecrease, now)
	default:
		c.recordGood(of, result.Latency, limited, now)
	}
}

func (c *controller) recordGood(of kind, latency time.Duration, limited bool, now time.Time) {
	trend := c.latencies.record(of, latency, limited, now)
	if trend.Inflated(latency, c.options.Tolerance, c.options.Slack) {
		c.lower(slowDecrease, now)
		return
	}
	if limited {
		c.limit = math.Min(c.limit+c.rise(now), float64(c.options.MaxLimit))
	}
}

// noteLate follows the share of late requests.
func (c *controller) noteLate(result Result) {
	if result.Cancelled {
		return
	}
	sample := 0.0
	if result.Late {
		sample = 1
	}
	c.late += lateWeight * (sample - c.late)
}

// lateCounts reports whether a late request is a sign of overload: after the
// first one that failed for it, while the limit holds requests back and so many
// are late that single slow servers are not the cause.
func (c *controller) lateCounts(limited bool) bool {
	return !c.ramping && limited && c.late > lateShare
}

// fallToLoad ends the time before the first sign of overload, in which the limit
// may be far above what is running.
func (c *controller) fallToLoad(running int) {
	if c.ramping {
		c.limit = math.Min(c.limit, float64(running))
	}
}

func (c *controller) lower(decrease float64, now time.Time) {
	c.ramping = false
	c.overloaded = now
	c.limit = math.Max(float64(max(1, c.options.LeastLimit())), c.limit-decrease)
}

func (c *controller) rise(now time.Time) float64 {
	if c.ramping {
		return rampGrowth
	}
	quiet := float64(now.Sub(c.overloaded)) / float64(growthDoubling)
	return math.Min(mostGrowth, growth/math.Sqrt(c.limit)*(1+quiet))
}
