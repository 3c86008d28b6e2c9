// Package callerapi is the HTTP interface for callers; docs/API.md is the
// reference and package api has its messages.
//
// Nothing is sent to a back end before the whole request was read and checked,
// and a caller that reads slowly holds neither a back end's slot nor an
// admission ticket: the answer is whole before its first byte is written.
// Streams are the exception: see stream.go.
package callerapi

import (
	"context"
	"net/http"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/api"
	"github.com/bramblemast/bramblemast/internal/serve"
	"github.com/bramblemast/bramblemast/pkg/query"
	"github.com/bramblemast/bramblemast/pkg/target"
)

// Pipeline runs a request to its answer; see serve.Pipeline.
type Pipeline interface {
	Serve(ctx context.Context, request *serve.Request, partial query.PartialFunc) (*serve.Result, error)
}

// Options configures a Server. All fields are required.
type Options struct {
	Pipeline     Pipeline
	Node         target.NodeID
	Logger       hclog.Logger
	MaxBodyBytes int64
	BodyTimeout  time.Duration
	WriteTimeout time.Duration
}

// Server serves callers. It is safe for concurrent use.
type Server struct {
	options Options
}

// New returns a server with the given options.
func New(options Options) *Server { return &Server{options: options} }

// Register adds the callers' routes.
func (s *Server) Register(router *echo.Echo) {
	router.HTTPErrorHandler = handleError
	router.POST(api.QueryPath, s.handleQuery)
	router.POST(api.StreamPath, s.handleStream)
}

func (s *Server) handleQuery(context echo.Context) error {
	request, err := s.decode(context, time.Now())
	if err != nil {
		return s.writeError(context, err, context.Request().Header.Get(api.HeaderRequestID))
	}
	context.Response().Header().Set(api.HeaderRequestID, request.ID)
	result, err := s.options.Pipeline.Serve(context.Request().Context(), request, nil)
	if err != nil {
		return s.writeError(context, err, request.ID)
	}
	s.limitWrite(context)
	return context.JSON(http.StatusOK, s.answerMessage(request, result))
}

func (s *Server) writeError(context echo.Context, err error, id string) error {
	problem := problemOf(err, id)
	if problem.Status == http.StatusInternalServerError {
		s.options.Logger.Error("request failed", "request_id", id, "error", err)
	}
	s.limitWrite(context)
	return writeProblem(context, problem)
}

// limitWrite bounds the time that a slow reader can hold the connection.
func (s *Server) limitWrite(context echo.Context) {
	controller := http.NewResponseController(context.Response().Writer)
	_ = controller.SetWriteDeadline(time.Now().Add(s.options.WriteTimeout)) // best effort: a test's recorder has none
}

// handleError answers requests that reach no handler, such as a wrong path or
// method, in the same form as every other error.
func handleError(err error, context echo.Context) {
	if context.Response().Committed {
		return
	}
	failed := &requestError{status: http.StatusInternalServerError, field: "path", message: err.Error()}
	var known *echo.HTTPError
	if errors.As(err, &known) {
		failed.status = known.Code
	}
	// It fails if the other side has gone: there is nobody left to tell.
	_ = writeProblem(context, problemOf(failed, context.Request().Header.Get(api.HeaderRequestID)))
}
