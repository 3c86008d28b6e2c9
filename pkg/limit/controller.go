package limit

import (
	"math"
	"time"

	"github.com/bramblemast/bramblemast/pkg/limit/trend"
)

// baselineTimes has a long Busy time, because while the limit is in full use the
// node's own load may be what slows the server down.
var baselineTimes = trend.BaselineTimes{Idle: 5 * time.Second, Busy: time.Minute}

// Parameters of the limit's changes. Growth is a fraction of the node's share of
// slots, so that nodes with the same share converge to the same limit.
const (
	// rampFactor is the increase per good answer while a server is new or
	// recovering, as a fraction of the limit or of one slot, whichever is smaller.
	rampFactor = 0.5
	// growthDoubling is the time without congestion after which growth has
	// doubled; growth rises linearly with that time. A limit that is far too low
	// then recovers quickly even if the node sends the server only a few
	// sub-requests a second.
	growthDoubling = 250 * time.Millisecond
	// maxGrowth bounds the growth per good answer, as a fraction of the share.
	maxGrowth = 0.1
	// recoveryTime is the time in which a limit rises from zero to the share
	// without any answers. The shares of all nodes add up to what the server can
	// serve, and a node that needed answers to raise its limit would hardly send
	// any sub-requests.
	recoveryTime = 4 * time.Second
	// failureFactor and slowFactor multiply the limit after a failed sub-request,
	// and after a good answer whose latency and average are both above the
	// tolerated latency.
	failureFactor = 0.5
	slowFactor    = 0.97
	// minLimitShare is the lowest limit, as a fraction of the share or of one slot,
	// whichever is smaller. Sub-requests at this limit probe whether a server has
	// recovered.
	minLimitShare = 0.25
	// minSlots keeps a share above zero.
	minSlots = 0.001
)

// stepSizes says how much a single answer changes the limit.
type stepSizes struct {
	// growth is the increase per good answer right after congestion, as a fraction
	// of the share.
	growth float64
	// shedFactor multiplies the limit after a shed sub-request.
	shedFactor float64
}

// With either set the limit stays constant where about one sub-request in twenty is shed:
// growth / (1 - shedFactor) is 0.05 and 0.067 of the share. Below one slot a
// node sees few answers from a server, so each has to count for more.
var (
	wholeSlotSteps      = stepSizes{growth: 0.005, shedFactor: 0.9}
	fractionalSlotSteps = stepSizes{growth: 0.02, shedFactor: 0.7}
)

// controller adjusts the limit of one server. It is not safe for concurrent use.
type controller struct {
	options *Options
	slots   float64
	ceiling float64
	// limit is the number of sub-requests that may be in flight; it may be
	// fractional.
	limit float64
	// rampUntil is the limit below which good answers raise it by rampFactor.
	rampUntil float64
	latency   trend.Latency
	// lastCongestion is the time of the last sign of congestion, lastDecrease the
	// time of the last decrease of the limit.
	lastCongestion time.Time
	lastDecrease   time.Time
	// lastRecovery is the time up to which recoverWithTime has raised the limit.
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

// setShare replaces the share and the bounds. The limit is scaled with the share.
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

// record adjusts the limit after a sub-request. Limited says that the limit was
// in full use when the sub-request was sent; only then is a good answer
// evidence that the server could serve more.
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

// recordFailure lowers the limit by failureFactor. It keeps the limit from before the first failure
// in rampUntil, so that the limit returns to it quickly once the server recovers.
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

// increase is the amount by which a good answer raises the limit.
func (c *controller) increase(now time.Time) float64 {
	if c.limit < c.rampUntil {
		return rampFactor * math.Min(c.limit, 1)
	}
	quietPeriods := float64(now.Sub(c.lastCongestion)) / float64(growthDoubling)
	return math.Min(maxGrowth, c.stepSizes().growth*(1+quietPeriods)) * c.slots
}

func (c *controller) stepSizes() stepSizes {
	if c.limit < 1 {
		return fractionalSlotSteps
	}
	return wholeSlotSteps
}

// recoverWithTime raises a limit below the share in proportion to the elapsed time, unless
// the last answer was a failure.
func (c *controller) recoverWithTime(now time.Time) {
	elapsed := now.Sub(c.lastRecovery)
	c.lastRecovery = now
	if c.limit >= c.slots || c.failing {
		return
	}
	rise := c.slots * float64(elapsed) / float64(recoveryTime)
	c.limit = c.clamp(math.Min(c.limit+rise, c.slots))
}

// decrease lowers the limit at most once per average latency, because
// sub-requests that were sent together report the same congestion.
func (c *controller) decrease(factor float64, now time.Time) {
	c.lastCongestion = now
	if now.Sub(c.lastDecrease) < c.latency.Average() {
		return
	}
	c.lastDecrease = now
	c.limit = c.clamp(c.limit * factor)
}

// clamp returns limit bounded by the floor and the ceiling.
func (c *controller) clamp(limit float64) float64 {
	floor := minLimitShare * math.Min(c.slots, 1)
	return math.Min(math.Max(limit, floor), c.ceiling)
}

// wholeSlots returns the number of whole slots, which are counted rather than
// paced.
func (c *controller) wholeSlots() int { return int(c.limit) }

// inFlightLimit returns the number of sub-requests that may be in flight at a
// time; at least 1.
func (c *controller) inFlightLimit() int { return int(math.Ceil(c.limit)) }

// fraction returns the fractional slot, which the pacer spreads over time.
func (c *controller) fraction() float64 { return c.limit - math.Floor(c.limit) }

// drainInterval is the average time between two finished sub-requests at the
// current limit; zero if no latency is known.
func (c *controller) drainInterval() time.Duration {
	return time.Duration(float64(c.latency.Average()) / c.limit)
}
