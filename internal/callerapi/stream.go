package callerapi

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/bramblemast/bramblemast/api"
	"github.com/bramblemast/bramblemast/internal/serve"
	"github.com/bramblemast/bramblemast/pkg/query"
	"github.com/bramblemast/bramblemast/pkg/target"
)

// handleStream answers with one line for each early state of the answer. The
// query never waits for the caller: early states that the caller is too slow
// for are replaced by newer ones.
func (s *Server) handleStream(context echo.Context) error {
	request, err := s.decode(context, time.Now())
	if err != nil {
		return s.writeError(context, err, context.Request().Header.Get(api.HeaderRequestID))
	}
	context.Response().Header().Set(api.HeaderRequestID, request.ID)
	writer := &streamWriter{server: s, context: context}
	pending := newMailbox()
	finished := make(chan streamEnd, 1)
	go func() {
		result, err := s.options.Pipeline.Serve(context.Request().Context(), request, pending.put)
		finished <- streamEnd{result: result, err: err}
		pending.close()
	}()
	for {
		partial, open := pending.take()
		if !open {
			break
		}
		writer.partial(s, request, partial)
	}
	end := <-finished
	if end.err != nil {
		return writer.failed(request, end.err)
	}
	writer.answer(request, end.result)
	return nil
}

type streamEnd struct {
	result *serve.Result
	err    error
}

// streamWriter writes events as lines. It keeps going after a failed write,
// because only the end of the pipeline ends the request.
type streamWriter struct {
	server  *Server
	context echo.Context
	started bool
	broken  bool
	// snapshot is the version of the last early state; zero if none was written
	// since the last restart.
	snapshot target.Version
}

func (w *streamWriter) partial(server *Server, request *serve.Request, partial query.Partial) {
	if partial.Restarted {
		w.write(api.Event{Type: api.EventRestart})
		w.snapshot = 0
	}
	if len(partial.Records) > 0 || partial.Coverage.CoveredWidth > 0 {
		w.write(api.Event{Type: api.EventPartial, Partial: server.partialMessage(request, partial)})
		w.snapshot = partial.Version
	}
}

// answer writes the last line. A query that began again and ended before its
// next early state was due has not announced that yet.
func (w *streamWriter) answer(request *serve.Request, result *serve.Result) {
	if w.snapshot != 0 && w.snapshot != result.Answer.Version {
		w.write(api.Event{Type: api.EventRestart})
	}
	w.write(api.Event{Type: api.EventAnswer, Answer: w.server.answerMessage(request, result)})
}

// failed answers with a plain problem while nothing was written yet, and with
// an error event after that.
func (w *streamWriter) failed(request *serve.Request, err error) error {
	if !w.started {
		return w.server.writeError(w.context, err, request.ID)
	}
	w.write(api.Event{Type: api.EventError, Error: problemOf(err, request.ID)})
	return nil
}

func (w *streamWriter) write(event api.Event) {
	if w.broken {
		return
	}
	response := w.context.Response()
	if !w.started {
		response.Header().Set(echo.HeaderContentType, api.ContentTypeStream)
		response.WriteHeader(http.StatusOK)
		w.started = true
	}
	w.server.limitWrite(w.context)
	if err := json.NewEncoder(response).Encode(event); err != nil {
		w.broken = true
		return
	}
	response.Flush()
}

// mailbox hands the newest early state from the query to the writer. It holds
// at most one; a restart that was not taken yet stays announced.
type mailbox struct {
	// mutex guards all fields below.
	mutex   sync.Mutex
	changed *sync.Cond
	newest  *query.Partial
	closed  bool
}

func newMailbox() *mailbox {
	box := &mailbox{}
	box.changed = sync.NewCond(&box.mutex)
	return box
}

// put replaces the held state; it never blocks for long.
func (m *mailbox) put(partial query.Partial) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.newest != nil && m.newest.Restarted {
		partial.Restarted = true
	}
	m.newest = &partial
	m.changed.Signal()
}

func (m *mailbox) close() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.closed = true
	m.changed.Signal()
}

// take waits for a state; it returns false when the mailbox is closed and
// empty.
func (m *mailbox) take() (query.Partial, bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for m.newest == nil && !m.closed {
		m.changed.Wait()
	}
	if m.newest == nil {
		return query.Partial{}, false
	}
	partial := *m.newest
	m.newest = nil
	return partial, true
}
