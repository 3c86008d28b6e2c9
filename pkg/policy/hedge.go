package policy

import "time"

// The hedge policies.
const (
	HedgeNone     = "none"
	HedgeFixed    = "fixed"
	HedgeQuantile = "quantile"
	HedgeTypical  = "typical"
)

var hedges = newRegistry(KindHedge, map[string]Factory[HedgeSpec, HedgePolicy]{
	HedgeNone:     func(HedgeSpec) (HedgePolicy, FieldErrors) { return noHedge{}, nil },
	HedgeFixed:    newFixedHedge,
	HedgeQuantile: newQuantileHedge,
	HedgeTypical:  newTypicalHedge,
})

// medianQuantile is the latency quantile of a typical sub-request.
const medianQuantile = 0.5

// noHedge is the baseline.
type noHedge struct{}

// Delay implements HedgePolicy.
func (noHedge) Delay(HedgeObservation) (time.Duration, bool) { return 0, false }

// fixedHedge always waits for the same time.
type fixedHedge struct{ delay time.Duration }

func newFixedHedge(spec HedgeSpec) (HedgePolicy, FieldErrors) {
	var errs FieldErrors
	if spec.Delay <= 0 {
		errs.add("delay", "%s: want a time above 0 for policy %q", spec.Delay.Std(), HedgeFixed)
	}
	errs.checkHedgeDelay(spec.Delay)
	return fixedHedge{delay: spec.Delay.Std()}, errs
}

// Delay implements HedgePolicy.
func (h fixedHedge) Delay(observed HedgeObservation) (time.Duration, bool) {
	return h.delay, h.delay < observed.Remaining
}

// quantileHedge waits for a quantile of the recent latency, but at least for floor.
type quantileHedge struct {
	quantile float64
	floor    time.Duration
}

func newQuantileHedge(spec HedgeSpec) (HedgePolicy, FieldErrors) {
	var errs FieldErrors
	if !(spec.Quantile > 0 && spec.Quantile < 1) {
		errs.add("quantile", "%v: want a number above 0 and below 1", spec.Quantile)
	}
	if spec.Delay < 0 {
		errs.add("delay", "%s: want no negative time", spec.Delay.Std())
	}
	errs.checkHedgeDelay(spec.Delay)
	return quantileHedge{quantile: spec.Quantile, floor: spec.Delay.Std()}, errs
}

// Delay implements HedgePolicy. No hedge is sent while too few latencies are known, or if a typical
// sub-request sent after the delay would not finish before the deadline.
func (h quantileHedge) Delay(observed HedgeObservation) (time.Duration, bool) {
	quantileLatency := observed.Quantile(h.quantile)
	if quantileLatency <= 0 {
		return 0, false
	}
	delay := max(quantileLatency, h.floor)
	if delay+observed.Quantile(medianQuantile) > observed.Remaining {
		return 0, false
	}
	return delay, true
}

// typicalHedge waits for the network time plus a multiple of the server's typical time.
type typicalHedge struct{ factor float64 }

func newTypicalHedge(spec HedgeSpec) (HedgePolicy, FieldErrors) {
	var errs FieldErrors
	if !(spec.Factor >= 1 && spec.Factor <= maxHedgeFactor) {
		errs.add("factor", "%v: want 1 to %v for policy %q", spec.Factor, maxHedgeFactor, HedgeTypical)
	}
	return typicalHedge{factor: spec.Factor}, errs
}

// Delay implements HedgePolicy. The wait is shortened, down to the typical time, if the second
// server would otherwise answer too late. The second server is allowed twice the typical time, or the
// typical time plus its own expected time if that is longer, unless its answer would then come too
// late to be useful at all.
func (h typicalHedge) Delay(observed HedgeObservation) (time.Duration, bool) {
	typical := observed.Typical
	if typical <= 0 {
		typical = observed.Quantile(medianQuantile)
	}
	if typical <= 0 {
		return 0, false
	}
	wait := observed.Network + time.Duration(h.factor*float64(typical))
	if observed.UsefulRemaining > 0 {
		alternativeTime := 2 * typical
		if expected := typical + observed.Alternative; observed.UsefulRemaining-expected >= typical {
			alternativeTime = max(alternativeTime, expected)
		}
		wait = min(wait, max(observed.UsefulRemaining-alternativeTime, typical))
	}
	return wait, wait < observed.Remaining
}

func (e *FieldErrors) checkHedgeDelay(delay Duration) {
	if delay.Std() > maxHedgeDelay {
		e.add("delay", "%s: want at most %s", delay.Std(), maxHedgeDelay)
	}
}
