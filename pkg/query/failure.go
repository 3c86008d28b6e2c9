package query

import (
	"context"
	"fmt"

	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/pkg/outcome"
	"github.com/bramblemast/bramblemast/pkg/policy"
	"github.com/bramblemast/bramblemast/pkg/target"
)

// CoverageError is the failure of a request that was fanned out and has no answer: its coverage is
// zero or below the template's minimum, it was cancelled, or a not-repeatable sub-request failed
// without evidence that it did not run.
type CoverageError struct {
	// Failure holds the reason, the step, the peer and the outcome.
	Failure    *outcome.Error
	Version    target.Version
	Coverage   Coverage
	StopReason policy.StopReason
	ExtraLoad  ExtraLoad
}

// Error implements error.
func (e *CoverageError) Error() string {
	return fmt.Sprintf("%s; covered %.4f of %s at version %d", e.Failure, e.Coverage.Share(), e.Coverage.Requested, e.Version)
}

// Unwrap returns the *outcome.Error.
func (e *CoverageError) Unwrap() error { return e.Failure }

// Errors that this node itself assigns to a sub-request.
var (
	errMismatch       = errors.New("the answer is of another index version or range than asked")
	errAlreadyCovered = errors.New("the answer covers a range that is already covered")
	errOvertaken      = errors.New("another replica answered first")
	errNoAnswer       = errors.New("the client returned neither an answer nor an error")
)

// Steps named in the errors of this package.
const (
	stepAnswer   = "wait for answer"
	stepCheck    = "check answer"
	stepCoverage = "reach minimum coverage"
)

// notRun returns a failure that occurred before anything was sent.
func notRun(step string, reason outcome.Reason, cause error) error {
	return &outcome.Error{Step: step, Outcome: outcome.NotRun, Reason: reason, Cause: cause}
}

// unknown returns a failure after which the request may or may not have run.
func unknown(step string, server target.ServerID, reason outcome.Reason, cause error) *outcome.Error {
	return &outcome.Error{Step: step, Peer: string(server), Outcome: outcome.Unknown, Reason: reason, Cause: cause}
}

// asOutcomeError returns err as an *outcome.Error. If err does not wrap one, the outcome is Unknown.
func asOutcomeError(err error, server target.ServerID) *outcome.Error {
	var known *outcome.Error
	if errors.As(err, &known) {
		return known
	}
	reason := outcome.ReasonInternal
	if errors.Is(err, context.Canceled) {
		reason = outcome.ReasonCancelled
	}
	if errors.Is(err, context.DeadlineExceeded) {
		reason = outcome.ReasonDeadline
	}
	return unknown(stepAnswer, server, reason, err)
}

// overallFailure returns why a request has no answer. Its outcome is NotRun only if nothing ran.
func (x *execution) overallFailure(reason policy.StopReason, covered bool) *outcome.Error {
	failure := &outcome.Error{Step: stepCoverage, Reason: outcome.ReasonCoverageTooLow, RetryAfter: x.retryAfter, Cause: x.lastFailure}
	if x.mayHaveRun == 0 {
		failure.Outcome = outcome.NotRun
	}
	if covered {
		return failure
	}
	var last *outcome.Error
	switch {
	case reason == policy.StopDeadline:
		failure.Step = stepAnswer
		failure.Reason = outcome.ReasonDeadline
	case errors.As(x.lastFailure, &last):
		failure.Step, failure.Peer, failure.Reason, failure.Cause = last.Step, last.Peer, last.Reason, last.Cause
	default:
		failure.Reason = outcome.ReasonNoReplica
	}
	return failure
}
