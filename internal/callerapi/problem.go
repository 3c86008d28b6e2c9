package callerapi

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/api"
	"github.com/bramblemast/bramblemast/internal/serve"
	"github.com/bramblemast/bramblemast/pkg/outcome"
	"github.com/bramblemast/bramblemast/pkg/query"
)

// statusClientClosedRequest is the customary status for a caller that went
// away; it is only ever seen in logs.
const statusClientClosedRequest = 499

// problemTypePrefix makes the problem's type from its reason; docs/API.md
// explains each.
const problemTypePrefix = "urn:bramblemast:problem:"

// requestError is a request that is wrong before a template is looked up.
type requestError struct {
	status  int
	field   string
	message string
}

// Error implements error.
func (e *requestError) Error() string { return e.field + ": " + e.message }

func badField(field, message string) error {
	return &requestError{status: http.StatusBadRequest, field: field, message: message}
}

// problemOf turns any error of a request into its problem document.
func problemOf(err error, id string) *api.Problem {
	problem := &api.Problem{RequestID: id, Detail: err.Error(), Outcome: outcome.Of(err), Reason: outcome.ReasonOf(err)}
	var wrong *requestError
	var field *serve.FieldError
	var typed *outcome.Error
	switch {
	case errors.As(err, &wrong):
		describeInvalid(problem, wrong.status, wrong.field)
	case errors.As(err, &field):
		describeInvalid(problem, fieldStatus(field), field.Field)
	case errors.As(err, &typed):
		describeTyped(problem, typed)
	default:
		problem.Status = http.StatusInternalServerError
	}
	addCoverage(problem, err)
	problem.Type = problemTypePrefix + string(problem.Reason)
	problem.Title = titleOf(problem.Status)
	return problem
}

func describeInvalid(problem *api.Problem, status int, field string) {
	problem.Status = status
	problem.Field = field
	problem.Outcome = outcome.NotRun
	problem.Reason = outcome.ReasonInvalid
	problem.Step = "check request"
}

func fieldStatus(err *serve.FieldError) int {
	if err.Missing {
		return http.StatusNotFound
	}
	return http.StatusUnprocessableEntity
}

func describeTyped(problem *api.Problem, err *outcome.Error) {
	problem.Status = statusOf(err)
	problem.Step = err.Step
	problem.Peer = err.Peer
	problem.RetryAfterMS = err.RetryAfter.Milliseconds()
}

func statusOf(err *outcome.Error) int {
	switch err.Reason {
	case outcome.ReasonInvalid:
		return http.StatusUnprocessableEntity
	case outcome.ReasonDuplicate:
		return http.StatusConflict
	case outcome.ReasonDeadline:
		return http.StatusGatewayTimeout
	case outcome.ReasonCancelled:
		return statusClientClosedRequest
	case outcome.ReasonBackendError, outcome.ReasonCorruptResponse, outcome.ReasonConnectionLost:
		return http.StatusBadGateway
	case outcome.ReasonInternal:
		return http.StatusInternalServerError
	default:
		return http.StatusServiceUnavailable
	}
}

func titleOf(status int) string {
	if status == statusClientClosedRequest {
		return "Client Closed Request"
	}
	return http.StatusText(status)
}

func addCoverage(problem *api.Problem, err error) {
	var short *query.CoverageError
	if !errors.As(err, &short) {
		return
	}
	coverage := coverageMessage(short.Coverage)
	problem.Coverage = &coverage
	problem.Snapshot = uint64(short.Version)
}

// writeProblem answers with the problem document and, where it is known when
// to retry, a Retry-After header in whole seconds, at least 1.
func writeProblem(context echo.Context, problem *api.Problem) error {
	header := context.Response().Header()
	if problem.RetryAfterMS > 0 {
		seconds := math.Ceil((time.Duration(problem.RetryAfterMS) * time.Millisecond).Seconds())
		header.Set(echo.HeaderRetryAfter, strconv.Itoa(int(seconds)))
	}
	header.Set(echo.HeaderContentType, api.ContentTypeProblem)
	context.Response().WriteHeader(problem.Status)
	return context.Echo().JSONSerializer.Serialize(context, problem, "")
}
