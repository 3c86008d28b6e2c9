// Package outcome states what is known about a request or a sub-request after
// the attempt to run it, and carries that knowledge in errors.
//
// The invariant of this package: NotRun is only ever reported on evidence,
// either that no byte of the request was sent, or that the peer said that it
// refused the request before running it. Everything else that did not complete
// is Unknown.
package outcome

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// Outcome is what is known about the execution of a request.
type Outcome int

const (
	// Unknown means that the request may or may not have run. It is the zero
	// value, so that a forgotten outcome never claims too much.
	Unknown Outcome = iota
	// NotRun means that the request did not run, on evidence.
	NotRun
	// Completed means that the request ran and its result is known.
	Completed
)

// String returns the name used on the wire and in logs.
func (o Outcome) String() string {
	switch o {
	case NotRun:
		return "not_run"
	case Completed:
		return "completed"
	default:
		return "unknown"
	}
}

// MarshalText implements encoding.TextMarshaler.
func (o Outcome) MarshalText() ([]byte, error) { return []byte(o.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (o *Outcome) UnmarshalText(text []byte) error {
	switch string(text) {
	case "unknown":
		*o = Unknown
	case "not_run":
		*o = NotRun
	case "completed":
		*o = Completed
	default:
		return fmt.Errorf("outcome %q: want unknown, not_run or completed", text)
	}
	return nil
}

// Reason says why a request was refused or failed. Reasons are part of the
// callers' interface: see docs/API.md.
type Reason string

// The reasons that nodes and back ends give.
const (
	ReasonInvalid         Reason = "invalid_request"
	ReasonOverloaded      Reason = "overloaded"
	ReasonShed            Reason = "shed"
	ReasonDraining        Reason = "draining"
	ReasonDeadline        Reason = "deadline"
	ReasonCancelled       Reason = "cancelled"
	ReasonVersionGone     Reason = "version_gone"
	ReasonRangeNotHeld    Reason = "range_not_held"
	ReasonUnreachable     Reason = "unreachable"
	ReasonConnectionLost  Reason = "connection_lost"
	ReasonCorruptResponse Reason = "corrupt_response"
	ReasonBackendError    Reason = "backend_error"
	ReasonNoReplica       Reason = "no_replica"
	ReasonCoverageTooLow  Reason = "coverage_too_low"
	ReasonDuplicate       Reason = "duplicate_request"
	ReasonStoreAway       Reason = "store_unavailable"
	ReasonStarting        Reason = "starting"
	// ReasonQuarantined refuses a request that ended the servers that ran it.
	ReasonQuarantined Reason = "quarantined"
	// ReasonUnauthenticated refuses a request without a key that a tenant holds.
	ReasonUnauthenticated Reason = "unauthenticated"
	// ReasonKeysUnconfirmed refuses a request whose key the node cannot confirm, since its news
	// of the configuration is old.
	ReasonKeysUnconfirmed Reason = "keys_unconfirmed"
	// ReasonOverLimit refuses a request beyond its tenant's limit.
	ReasonOverLimit Reason = "over_limit"
	ReasonInternal  Reason = "internal"
)

// Error is a failure with the step and the peer at which it arose, and with
// what is known about the execution.
type Error struct {
	// Step is what was being done, for example "connect" or "read body".
	Step string
	// Peer is the address or name of the other side; empty for this process.
	Peer string
	// Outcome is never Completed.
	Outcome Outcome
	Reason  Reason
	// RetryAfter is how long the caller should wait before it asks again;
	// zero if nothing is known.
	RetryAfter time.Duration
	// Cause is the underlying error; it may be nil.
	Cause error
}

// Error implements error.
func (e *Error) Error() string {
	text := fmt.Sprintf("%s: %s (%s)", e.Step, e.Reason, e.Outcome)
	if e.Peer != "" {
		text = fmt.Sprintf("%s at %s: %s (%s)", e.Step, e.Peer, e.Reason, e.Outcome)
	}
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Of returns the outcome that an error carries; Completed for nil and Unknown
// for an error without an outcome.
func Of(err error) Outcome {
	if err == nil {
		return Completed
	}
	var typed *Error
	if errors.As(err, &typed) {
		return typed.Outcome
	}
	return Unknown
}

// ReasonOf returns the reason that an error carries, or ReasonInternal.
func ReasonOf(err error) Reason {
	var typed *Error
	if errors.As(err, &typed) {
		return typed.Reason
	}
	return ReasonInternal
}
