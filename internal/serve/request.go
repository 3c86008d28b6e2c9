// Package serve takes one caller's request through the node: it finds the
// template and the experiment arm, checks the request against them, admits it,
// claims it if it must not be repeated, and executes it.
//
// A Pipeline is safe for concurrent use. A request that is refused before its
// first sub-request has the outcome NotRun.
package serve

import (
	"time"

	"github.com/bramblemast/bramblemast/pkg/outcome"
	"github.com/bramblemast/bramblemast/pkg/policy"
	"github.com/bramblemast/bramblemast/pkg/query"
	"github.com/bramblemast/bramblemast/pkg/target"
	"github.com/bramblemast/bramblemast/pkg/template"
)

// Bounds of the fields of a request.
const (
	MaxQueryBytes          = 4 << 10
	MaxKeyBytes            = 512
	MaxIdempotencyKeyBytes = 128
)

// Request is one caller's request before it is checked.
type Request struct {
	ID       string
	Template template.Key
	Query    string
	Key      string
	Limit    int
	// Deadline is the time that the caller gives, counted from Arrived;
	// zero takes the template's.
	Deadline time.Duration
	// Arrived is when the request's header was read.
	Arrived time.Time
	// Class is empty for the template's.
	Class          policy.Class
	Payload        []byte
	IdempotencyKey string
}

// Result is an answer with the policy that it was made under.
type Result struct {
	Answer   *query.Answer
	Template *template.Template
	Arm      string
	// Replayed is true if the request had run before under the same
	// idempotency key, and this is the recorded result.
	Replayed bool
}

// FieldError says which field of a request is wrong. Nothing was sent on.
type FieldError struct {
	Field   string
	Message string
	// Missing is true if the field names something that does not exist.
	Missing bool
}

// Error implements error.
func (e *FieldError) Error() string { return e.Field + ": " + e.Message }

// Observer counts what the pipeline does. Implementations are safe for
// concurrent use.
type Observer interface {
	// Finished reports one request: err is nil or why there was no answer.
	Finished(service target.Service, class policy.Class, elapsed time.Duration, err error)
}

// refused builds the error of a request that did not run.
func refused(step string, reason outcome.Reason, retryAfter time.Duration, cause error) error {
	return &outcome.Error{Step: step, Outcome: outcome.NotRun, Reason: reason, RetryAfter: retryAfter, Cause: cause}
}
