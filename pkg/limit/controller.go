package limit

import (
	"math"
	"time"

	"github.com/bramblemast/bramblemast/pkg/limit/trend"
)

// baselineTimes is long while the limit is in use, because then the node's own
// load may be what makes the server slow.
var baselineTimes = trend.BaselineTimes{Idle: 5 * time.Second, Busy: time.Minute}

// How the limit moves. Growth is in parts of the node's share of slots, so that
// nodes with the same share converge to the same limit.
const (
	// rampFactor is the rise with a good answer while a server is new or comes
	// back, as a part of the limit, or of one slot if that is less.
	rampFactor = 0.5
	// growthDoubling is the time without a sign of congestion that doubles the
	// growth, so that a limit that is far too low recovers quickly also where a
	// node asks a server only a few times a second.
	growthDoubling = 250 * time.Millisecond
	// maxGrowth bounds the growth with one good answer.
	maxGrowth = 0.1
	// recoveryTime is the time in which a limit rises from nothing to the share
	// without any answers. All nodes at their share are just what the server
	// can serve, and a node that waited for answers to rise would hardly ask.
	recoveryTime = 4 * time.Second
	// failureFactor and slowFactor are the decreases after a failed
	// sub-request, and after a good answer while the average latency is above
	// the tolerated one.
	failureFactor = 0.5
	slowFactor    = 0.97
	// minLimitShare is the lowest limit, as a part of the share, or of one slot if
	// that is less. It is what tries whether a server is back.
	minLimitShare = 0.25
	// minSlots keeps a share above zero.
	minSlots = 0.001
)

// stepSizes are the changes of the limit by a single answer.
type stepSizes struct {
	// growth is the rise with a good answer right after a decrease.
	growth float64
	// shedFactor is the decrease after a shed sub-request.
	shedFactor float64
}

// With both, the limit stays constant where about one sub-request in twenty is shed:
// growth / (1 - shedFactor) is 0.05 and 0.067 of the share. Below one slot a
// node sees few answers of a server, and each has to count for more.
var (
	wholeSlotSteps      = stepSizes{growth: 0.005, shedFactor: 0.9}
	fractionalSlotSteps = stepSizes{growth: 0.02, shedFactor: 0.7}
)

// controller moves one server's limit. It is not safe for concurrent use.
type controller struct {
	options *Options
	slots   float64
	ceiling float64
	// limit is the number of sub-requests that may be in flight; not whole.
	limit float64
	// rampUntil is the limit below which good answers raise it by rampFactor.
	rampUntil float64
	latency   trend.Latency
	// congested is when the last sign of congestion came, decreased when the
	// limit was last lowered for one.
	lastCongestion time.Time
	lastDecrease   time.Time
	// recovered is up to when the rise with time was counted in.
	lastRecovery time.Time
	// failing means that the last answer was a failure.
	failing bool
}

func newController(options *Options, share Share, now time.Time) controller {
	c := controller{options: options, lastCongestion: now, lastRecovery: now}
	c.latency.BaselineTimes = baselineTimes
	c.setShare(share)
	c.limit = c.clamp(c.slots * options.StartShare)
	c.rampUntil = c.ceiling
	return c
}

// setShare changes the yardstick and the bounds; the limit keeps its relation
// to the share.
func (c *controller) setShare(share Share) {
	slots := math.Max(share.Slots, minSlots)
	if c.slots > 0 {
		c.limit *= slots / c.slots
		c.rampUntil *= slots / c.slots
	}
	c.slots = slots
	c.ceiling = float64(max(1, share.Connections))
	c.limit = c.clamp(c.limit)
}

// record moves the limit after a sub-request. Limited says that the limit was
// in full use when the sub-request was sent; only then is a good answer
// evidence that more would be served.
func (c *controller) record(result Result, limited bool, now time.Time) {
	switch {
	case result.Cancelled:
		return
	case result.Shed:
		c.decrease(c.stepSizes().shedFactor, now)
		c.rampUntil = c.limit
	case result.Failed:
		c.recordFailure(now)
	default:
		c.recordGood(result.Latency, limited, now)
	}
}

// recordFailure lowers the limit far. What it was before is remembered, so that
// the limit is there again soon after the server has come back.
func (c *controller) recordFailure(now time.Time) {
	if !c.failing {
		c.rampUntil = c.limit
	}
	c.failing = true
	c.decrease(failureFactor, now)
}

func (c *controller) recordGood(latency time.Duration, limited bool, now time.Time) {
	c.failing = false
	c.latency.Record(latency, limited, now)
	if c.latency.Inflated(latency, c.options.Tolerance, c.options.Slack) {
		c.decrease(slowFactor, now)
		c.rampUntil = min(c.rampUntil, c.limit)
		return
	}
	if limited {
		c.limit = c.clamp(c.limit + c.increase(now))
	}
}

// step is the rise that a good answer is worth.
func (c *controller) increase(now time.Time) float64 {
	if c.limit < c.rampUntil {
		return rampFactor * math.Min(c.limit, 1)
	}
	quiet := float64(now.Sub(c.lastCongestion)) / float64(growthDoubling)
	return math.Min(maxGrowth, c.stepSizes().growth*(1+quiet)) * c.slots
}

func (c *controller) stepSizes() stepSizes {
	if c.limit < 1 {
		return fractionalSlotSteps
	}
	return wholeSlotSteps
}

// recover raises a limit below the share by the time that has passed.
func (c *controller) recover(now time.Time) {
	elapsed := now.Sub(c.lastRecovery)
	c.lastRecovery = now
	if c.limit >= c.slots || c.failing {
		return
	}
	rise := c.slots * float64(elapsed) / float64(recoveryTime)
	c.limit = c.clamp(math.Min(c.limit+rise, c.slots))
}

// decrease lowers the limit at most once in the time of an answer, because
// sub-requests that were sent together tell of the same congestion.
func (c *controller) decrease(factor float64, now time.Time) {
	c.lastCongestion = now
	if now.Sub(c.lastDecrease) < c.latency.Average() {
		return
	}
	c.lastDecrease = now
	c.limit = c.clamp(c.limit * factor)
}

// bounded returns limit within the floor and the ceiling.
func (c *controller) clamp(limit float64) float64 {
	floor := minLimitShare * math.Min(c.slots, 1)
	return math.Min(math.Max(limit, floor), c.ceiling)
}

// whole returns the number of slots that are counted.
func (c *controller) wholeSlots() int { return int(c.limit) }

// inFlightLimit returns the number of sub-requests that may be in flight at one
// moment; at least 1.
func (c *controller) inFlightLimit() int { return int(math.Ceil(c.limit)) }

// fraction returns the part of a slot that is paced.
func (c *controller) fraction() float64 { return c.limit - math.Floor(c.limit) }

// drainInterval is the average time between two finished sub-requests at the
// current limit; zero if no latency is known.
func (c *controller) drainInterval() time.Duration {
	return time.Duration(float64(c.latency.Average()) / c.limit)
}
