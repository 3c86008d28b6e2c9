package front

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Limits and intervals of clients' connections.
const (
	// headerTimeout bounds the time to read a request's header.
	headerTimeout = 10 * time.Second
	// maxHeaderBytes bounds the size of a request's header.
	maxHeaderBytes = 64 << 10
	// defaultIdleTimeout is the idle timeout of connections until one is configured.
	defaultIdleTimeout = 60 * time.Second
	// idleSweepInterval is how often idle connections are checked.
	idleSweepInterval = time.Second
	// drainPollInterval is how often a planned stop checks whether all connections are closed.
	drainPollInterval = 50 * time.Millisecond
	// newConnectionGrace is how long a new connection may take to send its request while the node
	// stops. It covers a round trip to a client 3 ms away and the wake-ups of two busy processes.
	newConnectionGrace = 200 * time.Millisecond
)

// Listener accepts clients' connections and closes them when they exceed the idle timeout or when the
// node stops. It is safe for concurrent use.
//
// An idle connection is ended by its read deadline, never by closing it: a request whose first byte
// has arrived is still served.
type Listener struct {
	server   *http.Server
	listener net.Listener

	// ended is closed by Close.
	ended chan struct{}

	mutex sync.Mutex
	// The fields below are guarded by mutex.
	states      map[net.Conn]connectionState
	idleTimeout time.Duration
	// maxConnections is the number of connections that are kept; zero means no limit.
	maxConnections int
	draining       bool
	closed         bool
}

// connectionState is the state of one client connection.
type connectionState struct {
	// idle is set while no request is in progress, isNew while none has arrived yet; since is when
	// that state began.
	idle  bool
	isNew bool
	since time.Time
}

// shouldEnd reports whether an idle connection must be ended. A connection that is new when the node
// stops has newConnectionGrace to send its request.
func (s connectionState) shouldEnd(idleTimeout time.Duration, draining bool, now time.Time) bool {
	idleTime := now.Sub(s.since)
	if draining && (!s.isNew || idleTime > newConnectionGrace) {
		return s.idle
	}
	return s.idle && idleTime > idleTimeout
}

// Listen opens the address for clients; Serve accepts its connections.
func Listen(address string, handler http.Handler) (*Listener, error) {
	opened, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for clients")
	}
	front := &Listener{
		listener: opened, states: make(map[net.Conn]connectionState), idleTimeout: defaultIdleTimeout,
		ended: make(chan struct{}),
	}
	front.server = &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes, ConnState: front.observe,
	}
	return front, nil
}

// Address returns the address to which clients connect.
func (l *Listener) Address() string { return l.listener.Addr().String() }

// SetIdleTimeout sets how long a connection may be idle; zero or less changes nothing.
func (l *Listener) SetIdleTimeout(idleTimeout time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if idleTimeout > 0 {
		l.idleTimeout = idleTimeout
	}
}

// SetMaxConnections limits the number of connections: beyond it, a new connection ends the one that
// has been idle for longest. Zero means no limit.
func (l *Listener) SetMaxConnections(maxConnections int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.maxConnections = maxConnections
}

// Serve accepts connections and returns nil after Close was called. Requests in flight are still
// served after StopAccepting.
func (l *Listener) Serve() error {
	err := l.server.Serve(l.listener)
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		<-l.ended
		return nil
	}
	return errors.Wrap(err, "serve clients")
}

// Sweep ends connections that exceed the idle timeout, until ctx ends. It returns nil.
func (l *Listener) Sweep(ctx context.Context) error {
	ticker := time.NewTicker(idleSweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			l.endIdle(now)
		}
	}
}

// StopAccepting closes the listening socket.
func (l *Listener) StopAccepting() {
	l.mutex.Lock()
	l.draining = true
	l.mutex.Unlock()
	// The socket is closed in any case, so the error is of no use.
	_ = l.listener.Close()
}

// AwaitDrained ends idle connections until none is left or ctx ends, and returns the number of
// connections left.
func (l *Listener) AwaitDrained(ctx context.Context) int {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for {
		l.endIdle(time.Now())
		if left := l.Open(); left == 0 {
			return 0
		}
		select {
		case <-ctx.Done():
			return l.Open()
		case <-ticker.C:
		}
	}
}

// Open returns the number of open connections.
func (l *Listener) Open() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return len(l.states)
}

// Close closes the socket and all connections immediately. It may be called more than once.
func (l *Listener) Close() {
	l.mutex.Lock()
	if !l.closed {
		l.closed = true
		close(l.ended)
	}
	l.mutex.Unlock()
	// The server is closed in any case, so the error is of no use.
	_ = l.server.Close()
}

// pastDeadline is a read deadline in the past: it ends a read immediately.
var pastDeadline = time.Unix(1, 0)

// endIdle ends the connections that exceed the idle timeout, or all idle ones while the node stops.
func (l *Listener) endIdle(now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for each, state := range l.states {
		if state.shouldEnd(l.idleTimeout, l.draining, now) {
			// This fails only on a closed connection, which the next read or write detects.
			_ = each.SetReadDeadline(pastDeadline)
		}
	}
}

// observe implements the ConnState hook of http.Server.
func (l *Listener) observe(connection net.Conn, state http.ConnState) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	switch state {
	case http.StateClosed, http.StateHijacked:
		delete(l.states, connection)
	default:
		isNew := state == http.StateNew
		l.states[connection] = connectionState{idle: isNew || state == http.StateIdle, isNew: isNew, since: time.Now()}
		if isNew && l.maxConnections > 0 && len(l.states) > l.maxConnections {
			l.endLongestIdle(connection)
		}
	}
}

// endLongestIdle ends the connection that has been idle for longest, other than the new one. The
// caller holds the mutex.
func (l *Listener) endLongestIdle(newConnection net.Conn) {
	var longest net.Conn
	for each, state := range l.states {
		if each != newConnection && state.idle && (longest == nil || state.since.Before(l.states[longest].since)) {
			longest = each
		}
	}
	if longest != nil {
		// This fails only on a closed connection, which the next read or write detects.
		_ = longest.SetReadDeadline(pastDeadline)
	}
}
