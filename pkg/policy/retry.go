package policy

import (
	"time"

	"github.com/bramblemast/bramblemast/pkg/outcome"
)

// The retry policies.
const (
	RetryNone          = "none"
	RetryImmediate     = "immediate"
	RetryDeadlineAware = "deadline_aware"
)

var retries = newRegistry(KindRetry, map[string]Factory[RetrySpec, RetryPolicy]{
	RetryNone:          func(RetrySpec) (RetryPolicy, FieldErrors) { return noRetry{}, nil },
	RetryImmediate:     newImmediateRetry,
	RetryDeadlineAware: newDeadlineAwareRetry,
})

// The backoff of the deadline-aware policy before the second and later retries.
const (
	// firstBackoffShare is the first backoff as a share of the typical latency.
	firstBackoffShare = 0.5
	// backoffGrowth multiplies the backoff from one retry to the next.
	backoffGrowth = 3
	// defaultFirstBackoff is the first backoff while the typical latency is unknown.
	defaultFirstBackoff = time.Millisecond
	maxBackoff          = 50 * time.Millisecond
)

// noRetry is the baseline: it never retries.
type noRetry struct{}

// Decide implements RetryPolicy.
func (noRetry) Decide(RetryState) RetryDecision { return RetryDecision{} }

// immediateRetry retries without delay after any failure, until the attempts are used up or the
// deadline has passed.
type immediateRetry struct{ maxAttempts int }

func newImmediateRetry(spec RetrySpec) (RetryPolicy, FieldErrors) {
	return immediateRetry{maxAttempts: spec.MaxAttempts}, validateAttempts(spec)
}

// Decide implements RetryPolicy.
func (r immediateRetry) Decide(state RetryState) RetryDecision {
	return RetryDecision{Retry: state.Attempts < r.maxAttempts && state.Remaining > 0}
}

// deadlineAwareRetry retries only if that can help: another replica could give a different result,
// and a typical sub-request fits in the remaining time. The first retry is immediate; the backoff
// grows with each later one.
type deadlineAwareRetry struct{ maxAttempts int }

func newDeadlineAwareRetry(spec RetrySpec) (RetryPolicy, FieldErrors) {
	return deadlineAwareRetry{maxAttempts: spec.MaxAttempts}, validateAttempts(spec)
}

// Decide implements RetryPolicy.
func (r deadlineAwareRetry) Decide(state RetryState) RetryDecision {
	if state.Attempts >= r.maxAttempts || isFinal(state.Reason) {
		return RetryDecision{}
	}
	delay := retryDelay(state)
	if state.Remaining <= 0 || delay+state.TypicalLatency > state.Remaining {
		return RetryDecision{}
	}
	return RetryDecision{Retry: true, Delay: delay}
}

// isFinal reports whether a retry is pointless because it would fail for the same reason at any
// replica.
func isFinal(reason outcome.Reason) bool {
	switch reason {
	case outcome.ReasonInvalid, outcome.ReasonDeadline, outcome.ReasonCancelled, outcome.ReasonDuplicate:
		return true
	default:
		return false
	}
}

// retryDelay returns the backoff before the next retry. It is zero for the first retry, which goes to
// a different replica. A part that failed twice is likely to be overloaded at every replica, so the
// backoff then grows with each attempt.
func retryDelay(state RetryState) time.Duration {
	if state.Attempts <= 1 {
		return 0
	}
	delay := time.Duration(firstBackoffShare * float64(state.TypicalLatency))
	if delay <= 0 {
		delay = defaultFirstBackoff
	}
	for range state.Attempts - 2 {
		delay *= backoffGrowth
		if delay >= maxBackoff {
			return maxBackoff
		}
	}
	return min(delay, maxBackoff)
}

func validateAttempts(spec RetrySpec) FieldErrors {
	var errs FieldErrors
	errs.checkMin("max_attempts", spec.MaxAttempts, 1)
	errs.checkMax("max_attempts", spec.MaxAttempts, maxAttempts)
	return errs
}
