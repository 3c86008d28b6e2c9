package backend

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/internal/lab/standin/labapi"
	"github.com/bramblemast/bramblemast/internal/pause"
	"github.com/bramblemast/bramblemast/pkg/backend"
	"github.com/bramblemast/bramblemast/pkg/backend/backendpb"
	"github.com/bramblemast/bramblemast/pkg/keyspace"
	"github.com/bramblemast/bramblemast/pkg/outcome"
	"github.com/bramblemast/bramblemast/pkg/target"
)

// maxBody bounds the body of a query, in bytes.
const maxBody = 1 << 20

// subQuery is one received request.
type subQuery struct {
	// id is the echoed header, requestID and attempt its two parts.
	id        string
	requestID string
	attempt   uint32
	tenant    string
	version   target.Version
	within    keyspace.Range
	// deadline is the moment by which the caller wants the answer; zero if
	// it named none.
	deadline time.Time
	message  backendpb.SubQuery
}

// handler returns the HTTP handler of one run of the server.
func (s *Server) handler(current *run) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+backend.QueryPath, func(writer http.ResponseWriter, request *http.Request) {
		s.serveQuery(current, writer, request)
	})
	mux.HandleFunc("GET "+backend.StatusPath, func(writer http.ResponseWriter, request *http.Request) {
		s.serveStatus(current, writer, request)
	})
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		s.active.Add(1)
		defer s.active.Add(-1)
		mux.ServeHTTP(writer, request)
	})
}

// serveQuery runs one request: it arrives after the network delay, is checked,
// waits for a slot, runs, and its answer leaves after the network delay.
func (s *Server) serveQuery(current *run, writer http.ResponseWriter, request *http.Request) {
	s.counters.received.Add(1)
	writer.Header().Set(backend.HeaderRequestID, request.Header.Get(backend.HeaderRequestID))
	query, err := parseSubQuery(request)
	if err != nil {
		s.logger.Warn("malformed request", "server", s.config.Identity.Name, "error", err)
		s.writeRefusal(writer, outcome.ReasonInvalid)
		return
	}
	oneWay := s.oneWay(request.RemoteAddr)
	if !pause.For(request.Context(), oneWay) || !s.waitWhileHung(request.Context()) {
		return
	}
	entry := s.newEntry(query)
	s.log.add(entry)
	answered, finished := s.process(request.Context(), current, query, entry)
	if finished {
		pause.For(request.Context(), oneWay)
		s.setHints(writer.Header(), current)
		s.respond(writer, request, query, answered)
	}
}

// reply is what a request ended in.
type reply struct {
	// refusal is set if the request was not run.
	refusal outcome.Reason
	// aborted is set if the deadline ended the execution.
	aborted bool
	body    body
	version target.Version
	within  keyspace.Range
}

// process decides about a request and runs it. It reports false if the caller
// is gone, so that there is no one to answer.
func (s *Server) process(ctx context.Context, current *run, query *subQuery, entry *labapi.Execution) (reply, bool) {
	limited, cancel := withDeadline(ctx, query.deadline)
	defer cancel()
	if reason, refused := s.refusal(query); refused {
		return s.refuse(entry, reason), true
	}
	switch s.slots.acquire(limited) {
	case queueFull:
		s.counters.shed.Add(1)
		return s.refuse(entry, outcome.ReasonShed), true
	case gaveUp:
		if ctx.Err() != nil {
			return s.refuse(entry, outcome.ReasonCancelled), false
		}
		return s.refuse(entry, outcome.ReasonDeadline), true
	}
	defer s.slots.release()
	if !s.holds(query.version, query.within) {
		return s.refuse(entry, s.notHeldReason(query)), true
	}
	return s.execute(ctx, limited, current, query, entry)
}

// execute holds a slot for the service time and makes the answer.
func (s *Server) execute(ctx, limited context.Context, current *run, query *subQuery, entry *labapi.Execution) (reply, bool) {
	s.counters.executed.Add(1)
	timesRun := s.log.start(entry)
	if !pause.For(limited, s.executionTime(current)) {
		s.counters.aborted.Add(1)
		if ctx.Err() != nil {
			s.log.finish(entry, labapi.ExecutionAborted, string(outcome.ReasonCancelled))
			return reply{}, false
		}
		s.log.finish(entry, labapi.ExecutionAborted, string(outcome.ReasonDeadline))
		return reply{aborted: true}, true
	}
	s.counters.completed.Add(1)
	s.log.finish(entry, labapi.ExecutionCompleted, "")
	return s.result(query, timesRun), true
}

// executionTime draws the service time, longer in a cold start.
func (s *Server) executionTime(current *run) time.Duration {
	duration := s.dice.serviceTime(s.config.Service.ServiceTime, s.faults.Get())
	cold := s.config.Service.ColdStart
	if cold.Factor > 1 && time.Since(current.started) < cold.Slow.Std() {
		duration = time.Duration(float64(duration) * cold.Factor)
	}
	return duration
}

// refusal decides whether a request is refused before it waits for a slot.
func (s *Server) refusal(query *subQuery) (outcome.Reason, bool) {
	now := time.Now()
	switch {
	case !query.deadline.IsZero() && !now.Before(query.deadline):
		return outcome.ReasonDeadline, true
	case s.refusesNewWork(now):
		return outcome.ReasonDraining, true
	case !s.holds(query.version, query.within):
		return s.notHeldReason(query), true
	case s.dice.chance(s.faults.Get().ShedShare):
		s.counters.shed.Add(1)
		return outcome.ReasonShed, true
	default:
		return "", false
	}
}

func (s *Server) refuse(entry *labapi.Execution, reason outcome.Reason) reply {
	s.counters.refused.Add(1)
	s.log.finish(entry, labapi.ExecutionRefused, string(reason))
	return reply{refusal: reason}
}

func (s *Server) newEntry(query *subQuery) *labapi.Execution {
	return &labapi.Execution{
		Time:           time.Now(),
		Server:         s.Address(),
		Service:        s.config.Service.Name,
		RequestID:      query.requestID,
		Attempt:        query.attempt,
		Tenant:         query.tenant,
		IdempotencyKey: query.message.IdempotencyKey,
		Version:        query.version,
		Range:          query.within,
		Outcome:        labapi.ExecutionWaiting,
	}
}

// waitWhileHung holds a request while the server hangs. It reports false if
// the caller is gone.
func (s *Server) waitWhileHung(ctx context.Context) bool {
	_, awake := s.faults.Wait(ctx, func(faults labapi.Faults) bool { return !faults.Hang })
	return awake
}

func withDeadline(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	if deadline.IsZero() {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, deadline)
}

// parseSubQuery reads the headers and the body of a request.
func parseSubQuery(request *http.Request) (*subQuery, error) {
	header := request.Header
	query := &subQuery{id: header.Get(backend.HeaderRequestID), tenant: header.Get(backend.HeaderTenant)}
	if err := query.parseID(); err != nil {
		return nil, err
	}
	version, err := strconv.ParseUint(header.Get(backend.HeaderVersion), 10, 64)
	if err != nil || version == 0 {
		return nil, errors.Errorf("%s: want an index version", backend.HeaderVersion)
	}
	query.version = target.Version(version)
	query.within, err = keyspace.ParseRange(header.Get(backend.HeaderRange))
	if err != nil {
		return nil, errors.Wrap(err, backend.HeaderRange)
	}
	if err := query.parseDeadline(header.Get(backend.HeaderDeadline)); err != nil {
		return nil, err
	}
	content, err := io.ReadAll(http.MaxBytesReader(nil, request.Body, maxBody))
	if err != nil {
		return nil, errors.Wrap(err, "read body")
	}
	return query, errors.Wrap(query.message.UnmarshalVT(content), "decode body")
}

func (q *subQuery) parseID() error {
	requestID, attempt, found := strings.Cut(q.id, "/")
	number, err := strconv.ParseUint(attempt, 10, 32)
	if !found || requestID == "" || err != nil {
		return errors.Errorf("%s: want <request id>/<attempt>", backend.HeaderRequestID)
	}
	q.requestID = requestID
	q.attempt = uint32(number)
	return nil
}

func (q *subQuery) parseDeadline(text string) error {
	if text == "" {
		return nil
	}
	micros, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return errors.Errorf("%s: want whole microseconds", backend.HeaderDeadline)
	}
	q.deadline = time.Now().Add(time.Duration(micros) * time.Microsecond)
	return nil
}
