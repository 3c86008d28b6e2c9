package front

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/internal/netbuffer"
	"github.com/bramblemast/bramblemast/pkg/bytebudget"
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

	// memory holds the bodies of clients that can be evicted for a new connection; nil for none.
	memory *bytebudget.Budget

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
	// isEnding is set once the connection was ended to make room for another one.
	isEnding bool
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

// ListenerOptions are the options of a Listener.
type ListenerOptions struct {
	Address string
	Handler http.Handler
	// MaxConnections limits the number of connections; zero means no limit. Beyond it, a new one ends
	// the one that has been idle for longest, or evicts from Memory the body whose client has been
	// waited for longest. If there is neither, the new connection is closed unread.
	MaxConnections int
	// ReceiveBuffer and SendBuffer are the sizes in bytes of the kernel's buffers of each connection;
	// zero leaves them to the system.
	ReceiveBuffer, SendBuffer int
	// Memory bounds the bodies of the connections, and HeadMemory the heads of requests that are not
	// complete; nil for no bound.
	Memory, HeadMemory *bytebudget.Budget
}

// Listen opens the address for clients; Serve accepts its connections.
func Listen(options ListenerOptions) (*Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return netbuffer.Set(raw, options.ReceiveBuffer, options.SendBuffer)
	}}
	opened, err := config.Listen(context.Background(), "tcp", options.Address)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	front := &Listener{
		listener: countingListener{Listener: opened, heads: options.HeadMemory}, states: make(map[net.Conn]connectionState), idleTimeout: defaultIdleTimeout,
		ended: make(chan struct{}), maxConnections: options.MaxConnections, memory: options.Memory,
	}
	front.server = &http.Server{
		Handler: options.Handler, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes, ConnState: front.observe,
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
	noteHead(connection, state)
	switch state {
	case http.StateClosed, http.StateHijacked:
		delete(l.states, connection)
	default:
		isNew := state == http.StateNew
		l.states[connection] = connectionState{idle: isNew || state == http.StateIdle, isNew: isNew, since: time.Now()}
		if isNew && l.maxConnections > 0 && len(l.states) > l.maxConnections {
			l.makeRoom(connection)
		}
	}
}

// noteHead tells a connection whether a head or the rest of a request is read.
func noteHead(connection net.Conn, state http.ConnState) {
	counting, ok := connection.(*clientConnection)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		counting.beginRequest()
	case http.StateIdle:
		counting.awaitRequest()
	case http.StateClosed:
		counting.releaseHead()
	}
}

// While connections that were ended are being closed, minEnding and this fraction of the maximum number
// of connections may be open beyond it.
const (
	minEnding      = 8
	endingFraction = 1.0 / 16
)

// makeRoom ends a connection in favour of a new one, or closes the new one. The caller holds the mutex.
func (l *Listener) makeRoom(newConnection net.Conn) {
	ending := minEnding + int(endingFraction*float64(l.maxConnections))
	isCrowded := len(l.states) > l.maxConnections+ending
	if !isCrowded && (l.endLongestIdle(newConnection) || l.memory.EvictLongestWaiting(time.Now())) {
		return
	}
	// The connection is being discarded, so an error from Close is of no interest.
	_ = newConnection.Close()
}

// endLongestIdle ends the connection that has been idle for longest, other than the new one, and reports
// whether there was one. The caller holds the mutex.
func (l *Listener) endLongestIdle(newConnection net.Conn) bool {
	var longest net.Conn
	for each, state := range l.states {
		if each != newConnection && state.idle && !state.isEnding && (longest == nil || state.since.Before(l.states[longest].since)) {
			longest = each
		}
	}
	if longest == nil {
		return false
	}
	ended := l.states[longest]
	ended.isEnding = true
	l.states[longest] = ended
	// This fails only on a closed connection, which the next read or write detects.
	_ = longest.SetReadDeadline(pastDeadline)
	return true
}
