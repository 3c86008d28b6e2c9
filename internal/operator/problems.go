package operator

import (
	"context"
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/api"
	"github.com/bramblemast/bramblemast/api/operator"
	"github.com/bramblemast/bramblemast/pkg/outcome"
	"github.com/bramblemast/bramblemast/pkg/template"
)

// problemTypePrefix comes before the reason in the type of a problem.
const problemTypePrefix = "urn:bramblemast:problem:"

// problemError is a problem on its way to the error handler.
type problemError struct {
	problem operator.Problem
}

// Error implements error.
func (e *problemError) Error() string { return e.problem.Title + ": " + e.problem.Detail }

// newProblem returns a problem whose outcome is NotRun; most refusals are.
func newProblem(status int, reason outcome.Reason, detail string) *problemError {
	return &problemError{problem: operator.Problem{Problem: api.Problem{
		Type:    problemTypePrefix + string(reason),
		Title:   http.StatusText(status),
		Status:  status,
		Detail:  detail,
		Outcome: outcome.NotRun,
		Reason:  reason,
	}}}
}

// invalid refuses bad input and names the field.
func invalid(field, detail string) *problemError {
	refused := newProblem(http.StatusBadRequest, outcome.ReasonInvalid, detail)
	refused.problem.Field = field
	return refused
}

// invalidTemplate refuses a template with all of its faults.
func invalidTemplate(faults template.FieldErrors) *problemError {
	refused := invalid(faults[0].Path, faults.Error())
	refused.problem.Errors = faults
	return refused
}

// notFound tells that a named thing does not exist.
func notFound(field, detail string) *problemError {
	missing := newProblem(http.StatusNotFound, operator.ReasonNotFound, detail)
	missing.problem.Field = field
	return missing
}

// conflict shows both sides of a race.
func conflict(cause *ConflictError) *problemError {
	refused := newProblem(http.StatusConflict, operator.ReasonConflict, cause.Error())
	refused.problem.Conflict = &operator.Conflict{
		ExpectedRevision: cause.Expected,
		Mine:             cause.Mine,
		Theirs:           cause.Theirs,
	}
	return refused
}

// problemOf turns the error of a dependency into a problem.
func problemOf(err error) *problemError {
	var ready *problemError
	var race *ConflictError
	var typed *outcome.Error
	var faults template.FieldErrors
	switch {
	case errors.As(err, &ready):
		return ready
	case errors.As(err, &race):
		return conflict(race)
	case errors.As(err, &faults) && len(faults) > 0:
		return invalidTemplate(faults)
	case errors.As(err, &typed):
		return problemOfOutcome(typed)
	}
	failed := newProblem(http.StatusInternalServerError, outcome.ReasonInternal, err.Error())
	failed.problem.Outcome = outcome.Unknown
	return failed
}

// problemOfOutcome keeps the step, the peer and what is known of the outcome.
func problemOfOutcome(err *outcome.Error) *problemError {
	failed := newProblem(statusOf(err), err.Reason, err.Error())
	failed.problem.Outcome = err.Outcome
	failed.problem.Step = err.Step
	failed.problem.Peer = err.Peer
	failed.problem.RetryAfterMS = err.RetryAfter.Milliseconds()
	return failed
}

// statusOf returns the HTTP status for an error.
func statusOf(err *outcome.Error) int {
	switch {
	case err.Reason == operator.ReasonNotFound:
		return http.StatusNotFound
	case err.Reason == operator.ReasonRejected:
		return http.StatusConflict
	case err.Reason == outcome.ReasonInvalid:
		return http.StatusBadRequest
	case err.Reason == outcome.ReasonInternal:
		return http.StatusInternalServerError
	case err.Outcome == outcome.NotRun:
		return http.StatusServiceUnavailable
	default:
		return http.StatusGatewayTimeout
	}
}

// handleError is the echo.HTTPErrorHandler of the interface.
func (s *Server) handleError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	problem := s.problemFor(err).problem
	if problem.Status >= http.StatusInternalServerError {
		s.Logger.Warn("operator request failed", "method", c.Request().Method, "path", c.Request().URL.Path,
			"status", problem.Status, "reason", string(problem.Reason), "change_id", problem.ChangeID, "error", err.Error())
	}
	if problem.RetryAfterMS > 0 {
		retryAfter := time.Duration(problem.RetryAfterMS) * time.Millisecond
		c.Response().Header().Set(echo.HeaderRetryAfter, strconv.Itoa(int(math.Ceil(retryAfter.Seconds()))))
	}
	if err := writeProblem(c, problem); err != nil {
		s.Logger.Debug("write problem", "error", err.Error())
	}
}

// problemFor also covers the errors of echo itself: unknown paths and methods.
func (s *Server) problemFor(err error) *problemError {
	var routing *echo.HTTPError
	if !errors.As(err, &routing) {
		return problemOf(err)
	}
	switch routing.Code {
	case http.StatusNotFound:
		return newProblem(routing.Code, operator.ReasonNotFound, "no such path")
	case http.StatusMethodNotAllowed:
		return newProblem(routing.Code, outcome.ReasonInvalid, "the path does not take this method")
	default:
		return newProblem(routing.Code, outcome.ReasonInvalid, http.StatusText(routing.Code))
	}
}

func writeProblem(c echo.Context, problem operator.Problem) error {
	encoded, err := json.Marshal(problem)
	if err != nil {
		return errors.Wrap(err, "encode problem")
	}
	return c.Blob(problem.Status, api.ContentTypeProblem, encoded)
}

// bounded returns the context of a request with a time limit.
func bounded(c echo.Context, limit time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(c.Request().Context(), limit)
}
