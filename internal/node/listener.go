package node

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/internal/settings"
)

const (
	// quietBeforeClose is how long a stopping listener's open connections must
	// have been without a request before they are closed.
	quietBeforeClose = 500 * time.Millisecond
	// lingerAfterClose is how long a stopping listener waits at least after it
	// stopped accepting, since a connection that was accepted last may not have
	// sent its request yet.
	lingerAfterClose = 200 * time.Millisecond
	// queuePause and queueSpan bound the time in which a stopping listener still
	// accepts the connections that wait in the kernel's queue: it ends with a
	// pause between two of them, or after the whole span.
	queuePause = 20 * time.Millisecond
	queueSpan  = 500 * time.Millisecond
	// stopPoll is how often a stopping listener looks at its connections.
	stopPoll = 20 * time.Millisecond
	// maxHeaderBytes bounds a request's header.
	maxHeaderBytes = 16 << 10
)

// httpListener is an HTTP server whose planned stop cuts off no request: see
// stop.
type httpListener struct {
	listener *boundedListener
	server   *http.Server
	tracker  *connectionTracker
	// accepted is closed when no further connection will be accepted.
	accepted chan struct{}
}

func newHTTPListener(address string, handler http.Handler, bounds settings.Callers) (*httpListener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	tracker := newConnectionTracker()
	return &httpListener{
		listener: newBoundedListener(listener, bounds.MaxConnections),
		tracker:  tracker,
		accepted: make(chan struct{}),
		server: &http.Server{
			Handler:           tracker.wrap(handler),
			ReadHeaderTimeout: bounds.HeaderTimeout,
			IdleTimeout:       bounds.IdleTimeout,
			MaxHeaderBytes:    maxHeaderBytes,
			ConnState:         tracker.changed,
		},
	}, nil
}

func (l *httpListener) address() string { return l.listener.Addr().String() }

// serve runs until stop or close. It is called once.
func (l *httpListener) serve() error {
	defer close(l.accepted)
	err := l.server.Serve(l.listener)
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return errors.Wrapf(err, "serve on %s", l.address())
}

// startLeaving makes every further response ask its caller to close the
// connection. New connections and requests are still served.
func (l *httpListener) startLeaving() { l.tracker.leave() }

// stop accepts what waits in the kernel's queue, closes the listener, lets open
// connections finish what they send and wait for, and returns when none is left
// or ctx ends. An idle connection is closed only after a quiet time, since a
// request may be on its way on it.
func (l *httpListener) stop(ctx context.Context) error {
	l.listener.finish()
	<-l.accepted
	l.tracker.touch()
	ticker := time.NewTicker(stopPoll)
	defer ticker.Stop()
	for !l.tracker.quiet(time.Now()) {
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "requests still run on %s", l.address())
		case <-ticker.C:
		}
	}
	err := l.server.Shutdown(ctx)
	if errors.Is(err, net.ErrClosed) {
		return nil // the listener was closed above
	}
	return errors.Wrapf(err, "shut down %s", l.address())
}

// close ends every connection at once.
func (l *httpListener) close() { _ = l.server.Close() }

// connectionTracker knows which connections are open and when one was last
// used. It is safe for concurrent use.
type connectionTracker struct {
	// mutex guards all fields below.
	mutex    sync.Mutex
	active   int
	states   map[net.Conn]http.ConnState
	lastUsed time.Time
	leaving  bool
}

func newConnectionTracker() *connectionTracker {
	return &connectionTracker{states: make(map[net.Conn]http.ConnState), lastUsed: time.Now()}
}

func (t *connectionTracker) leave() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.leaving = true
}

// touch counts as a use, so that the waits of a planned stop begin now.
func (t *connectionTracker) touch() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.lastUsed = time.Now()
}

func (t *connectionTracker) isLeaving() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.leaving
}

// changed is the server's ConnState hook.
func (t *connectionTracker) changed(connection net.Conn, state http.ConnState) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.lastUsed = time.Now()
	if t.states[connection] == http.StateActive {
		t.active--
	}
	if state == http.StateActive {
		t.active++
	}
	if state == http.StateClosed || state == http.StateHijacked {
		delete(t.states, connection)
		return
	}
	t.states[connection] = state
}

// quiet reports whether the listener may be closed: no connection is open, or
// none is active, and none was used for a while.
func (t *connectionTracker) quiet(now time.Time) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	unused := now.Sub(t.lastUsed)
	if len(t.states) == 0 {
		return unused >= lingerAfterClose
	}
	return t.active == 0 && unused >= quietBeforeClose
}

func (t *connectionTracker) wrap(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if t.isLeaving() {
			writer.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(writer, request)
	})
}

// boundedListener accepts at most a number of connections at once; more wait
// in the kernel's queue. Closing a listening socket resets those that wait, so a
// planned stop calls finish, which accepts them first, beyond the bound.
type boundedListener struct {
	net.Listener
	places chan struct{}
	// finishing is closed by finish, closed by Close.
	finishing, closed     chan struct{}
	finishOnce, closeOnce sync.Once
	// finishesBy is when finish stops waiting for further connections.
	finishesBy atomic.Pointer[time.Time]
}

func newBoundedListener(listener net.Listener, most int) *boundedListener {
	return &boundedListener{
		Listener: listener, places: make(chan struct{}, most),
		finishing: make(chan struct{}), closed: make(chan struct{}),
	}
}

// Accept implements net.Listener.
func (l *boundedListener) Accept() (net.Conn, error) {
	select {
	case <-l.finishing:
		return l.acceptWaiting()
	default:
	}
	select {
	case l.places <- struct{}{}:
	case <-l.finishing:
		return l.acceptWaiting()
	case <-l.closed:
		return nil, net.ErrClosed
	}
	connection, err := l.Listener.Accept()
	if err != nil {
		<-l.places
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return l.acceptWaiting()
		}
		return nil, err
	}
	return &boundedConnection{Conn: connection, release: func() { <-l.places }}, nil
}

// finish makes Accept return the connections that wait, then close the listener
// and return net.ErrClosed.
func (l *boundedListener) finish() {
	l.finishOnce.Do(func() {
		now := time.Now()
		finishesBy := now.Add(queueSpan)
		l.finishesBy.Store(&finishesBy)
		// An Accept that waits ends now; later ones set deadlines of their own.
		l.setDeadline(now)
		close(l.finishing)
	})
}

// acceptWaiting returns the next connection that waits. The listener is closed
// in the same goroutine that found none, so that hardly any comes in between.
func (l *boundedListener) acceptWaiting() (net.Conn, error) {
	if time.Now().Before(*l.finishesBy.Load()) {
		l.setDeadline(time.Now().Add(queuePause))
		connection, err := l.Listener.Accept()
		if err == nil {
			return connection, nil
		}
	}
	// It accepts nothing more either way.
	_ = l.Close()
	return nil, net.ErrClosed
}

// setDeadline bounds an Accept that waits; a listener that cannot be bounded is
// closed instead.
func (l *boundedListener) setDeadline(moment time.Time) {
	bounded, ok := l.Listener.(interface{ SetDeadline(time.Time) error })
	if !ok || bounded.SetDeadline(moment) != nil {
		// It accepts nothing more either way.
		_ = l.Close()
	}
}

// Close implements net.Listener.
func (l *boundedListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

type boundedConnection struct {
	net.Conn
	once    sync.Once
	release func()
}

// Close implements net.Conn.
func (c *boundedConnection) Close() error {
	err := c.Conn.Close()
	c.once.Do(c.release)
	return err
}
