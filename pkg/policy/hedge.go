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

// medianQuantile is the quantile that stands for a typical sub-request.
const medianQuantile = 0.5

// noHedge is the baseline.
type noHedge struct{}

// Delay implements HedgePolicy.
func (noHedge) Delay(HedgeObservation) (time.Duration, bool) { return 0, false }

// fixedHedge waits for the same time always.
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

// quantileHedge waits until a sub-request is slower than most.
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

// Delay implements HedgePolicy. There is no hedge while too few latencies were
// seen, nor if a typical sub-request would not end in the time that remains.
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

// typicalHedge waits for a multiple of the typical time of a server, beyond the
// time of the network.
type typicalHedge struct{ factor float64 }

func newTypicalHedge(spec HedgeSpec) (HedgePolicy, FieldErrors) {
	var errs FieldErrors
	if !(spec.Factor >= 1 && spec.Factor <= maxHedgeFactor) {
		errs.add("factor", "%v: want 1 to %v for policy %q", spec.Factor, maxHedgeFactor, HedgeTypical)
	}
	return typicalHedge{factor: spec.Factor}, errs
}

// Delay implements HedgePolicy. The wait is shorter where otherwise a second
// server would answer too late: it takes about twice the typical time, or what
// is expected of it, unless that is too long for it to be of use at all.
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
