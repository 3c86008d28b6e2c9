package policy

import (
	"fmt"
	"time"
)

// Build builds the policies named in spec. Empty fields are set to their defaults. The error is a
// FieldErrors that lists every invalid field.
func Build(spec Spec) (Set, error) {
	set, errs := build(spec)
	if len(errs) > 0 {
		return Set{}, errs
	}
	return set, nil
}

// Validate returns an error for every invalid field of spec, or nil. Empty fields are valid and take
// their defaults.
func Validate(spec Spec) FieldErrors {
	_, errs := build(spec)
	return errs
}

func build(spec Spec) (Set, FieldErrors) {
	spec = withDefaults(spec)
	var set Set
	var errs, kindErrors FieldErrors
	set.Replica, kindErrors = replicas.build(spec.Replica.Policy, spec.Replica)
	errs = append(errs, kindErrors...)
	set.Hedge, kindErrors = hedges.build(spec.Hedge.Policy, spec.Hedge)
	errs = append(errs, kindErrors...)
	set.Stop, kindErrors = stops.build(spec.Stop.Policy, spec.Stop)
	errs = append(errs, kindErrors...)
	set.Admission, kindErrors = admissions.build(spec.Admission.Policy, spec.Admission)
	errs = append(errs, kindErrors...)
	set.Retry, kindErrors = retries.build(spec.Retry.Policy, spec.Retry)
	errs = append(errs, kindErrors...)
	set.ExtraLoad = spec.ExtraLoad
	errs = append(errs, validateExtraLoad(spec.ExtraLoad).Prefixed("extra_load")...)
	return set, errs
}

func validateExtraLoad(spec ExtraLoadSpec) FieldErrors {
	var errs FieldErrors
	errs.checkShare("share", spec.Share)
	errs.checkMin("burst", spec.Burst, 0)
	errs.checkMax("burst", spec.Burst, maxBurst)
	return errs
}

// The maximum parameter values. Larger values are rejected as configuration mistakes.
const (
	maxBurst      = 10_000
	maxQueued     = 100_000
	maxAttempts   = 10
	maxRecords    = 1_000_000
	maxHedgeDelay = time.Minute
	// maxHedgeFactor bounds the hedge delay as a multiple of the typical server time.
	maxHedgeFactor = 100.0
)

// checkShare adds an error unless value is above 0 and at most 1. NaN is rejected.
func (e *FieldErrors) checkShare(path string, value float64) {
	if !(value > 0 && value <= 1) {
		e.add(path, "%v: want a number above 0 and at most 1", value)
	}
}

func (e *FieldErrors) checkMin(path string, value, minimum int) {
	if value < minimum {
		e.add(path, "%d: want at least %d", value, minimum)
	}
}

func (e *FieldErrors) checkMax(path string, value, maximum int) {
	if value > maximum {
		e.add(path, "%d: want at most %d", value, maximum)
	}
}

func (e *FieldErrors) add(path, format string, arguments ...any) {
	*e = append(*e, FieldError{Path: path, Message: fmt.Sprintf(format, arguments...)})
}
