package policy

import (
	"fmt"
	"time"
)

// Build makes the policies that spec names. Empty fields are set to their
// defaults. The error is a FieldErrors that lists every bad field.
func Build(spec Spec) (Set, error) {
	set, wrong := build(spec)
	if len(wrong) > 0 {
		return Set{}, wrong
	}
	return set, nil
}

// Validate returns every bad field of spec, or nil. Empty fields are good:
// they stand for their defaults.
func Validate(spec Spec) FieldErrors {
	_, wrong := build(spec)
	return wrong
}

func build(spec Spec) (Set, FieldErrors) {
	spec = withDefaults(spec)
	var set Set
	var wrong, found FieldErrors
	set.Replica, found = replicas.build(spec.Replica.Policy, spec.Replica)
	wrong = append(wrong, found...)
	set.Hedge, found = hedges.build(spec.Hedge.Policy, spec.Hedge)
	wrong = append(wrong, found...)
	set.Stop, found = stops.build(spec.Stop.Policy, spec.Stop)
	wrong = append(wrong, found...)
	set.Admission, found = admissions.build(spec.Admission.Policy, spec.Admission)
	wrong = append(wrong, found...)
	set.Retry, found = retries.build(spec.Retry.Policy, spec.Retry)
	wrong = append(wrong, found...)
	set.ExtraLoad = spec.ExtraLoad
	wrong = append(wrong, validateExtraLoad(spec.ExtraLoad).Prefixed("extra_load")...)
	return set, wrong
}

func validateExtraLoad(spec ExtraLoadSpec) FieldErrors {
	var wrong FieldErrors
	wrong.checkShare("share", spec.Share)
	wrong.checkAtLeast("burst", spec.Burst, 0)
	wrong.checkAtMost("burst", spec.Burst, maxBurst)
	return wrong
}

// The greatest parameters that make sense; more is taken for a slip.
const (
	maxBurst      = 10_000
	maxQueued     = 100_000
	maxAttempts   = 10
	maxRecords    = 1_000_000
	maxHedgeDelay = time.Minute
	// maxHedgeFactor bounds a wait in relation to the typical time.
	maxHedgeFactor = 100.0
)

// checkShare wants a value above 0 and at most 1.
func (e *FieldErrors) checkShare(path string, value float64) {
	if !(value > 0 && value <= 1) {
		e.add(path, "%v: want a number above 0 and at most 1", value)
	}
}

func (e *FieldErrors) checkAtLeast(path string, value, least int) {
	if value < least {
		e.add(path, "%d: want at least %d", value, least)
	}
}

func (e *FieldErrors) checkAtMost(path string, value, most int) {
	if value > most {
		e.add(path, "%d: want at most %d", value, most)
	}
}

func (e *FieldErrors) add(path, format string, arguments ...any) {
	*e = append(*e, FieldError{Path: path, Message: fmt.Sprintf(format, arguments...)})
}
