package front

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Times of clients' connections.
const (
	// headerTimeout bounds the reading of a request's head.
	headerTimeout = 10 * time.Second
	// maxHeaderBytes bounds a request's head.
	maxHeaderBytes = 64 << 10
	// defaultIdle is the rest of a connection until one is configured.
	defaultIdle = 60 * time.Second
	// idleSweep is how often resting connections are looked at.
	idleSweep = time.Second
	// drainPoll is how often a stop looks whether all connections are closed.
	drainPoll = 50 * time.Millisecond
	// newGrace is how long a new connection may take to bring its request while the node
	// stops: a round trip to a client 3 ms away, and the wake-ups of two busy processes.
	newGrace = 200 * time.Millisecond
)

// Listener accepts clients' connections and closes them when they have rested
// for too long or when the node stops.
//
// A resting connection is ended by its read deadline, never by closing it: a
// request whose first byte has arrived is still served.
type Listener struct {
	server   *http.Server
	listener net.Listener

	// ended is closed by Close.
	ended chan struct{}

	mutex sync.Mutex
	// The fields below are guarded by mutex.
	states map[net.Conn]connectionState
	idle   time.Duration
	// most is how many connections are kept; zero for no bound.
	most   int
	drains bool
	closed bool
}

// connectionState is what is known of one connection of a client.
type connectionState struct {
	// resting says that no request is under way, isNew that none has come yet, and since is from
	// when that holds.
	resting bool
	isNew   bool
	since   time.Time
}

// isOver reports whether a resting connection is to be ended. One that is new when the node
// stops brings its request within newGrace.
func (s connectionState) isOver(idle time.Duration, drains bool, now time.Time) bool {
	rested := now.Sub(s.since)
	if drains && (!s.isNew || rested > newGrace) {
		return s.resting
	}
	return s.resting && rested > idle
}

// Listen opens the clients' address.
func Listen(address string, handler http.Handler) (*Listener, error) {
	opened, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for clients")
	}
	front := &Listener{
		listener: opened, states: make(map[net.Conn]connectionState), idle: defaultIdle,
		ended: make(chan struct{}),
	}
	front.server = &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes, ConnState: front.observe,
	}
	return front, nil
}

// Address returns where clients connect.
func (l *Listener) Address() string { return l.listener.Addr().String() }

// SetIdleTimeout takes for how long a connection may rest.
func (l *Listener) SetIdleTimeout(idle time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if idle > 0 {
		l.idle = idle
	}
}

// SetMaxConnections bounds the connections that are kept: beyond it, a new one ends the
// one that has rested for longest. Zero is no bound.
func (l *Listener) SetMaxConnections(most int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.most = most
}

// Serve accepts connections and returns when Close was called; requests in
// flight are still served after StopAccepting.
func (l *Listener) Serve() error {
	err := l.server.Serve(l.listener)
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		<-l.ended
		return nil
	}
	return errors.Wrap(err, "serve clients")
}

// Sweep ends connections that rested for too long, until ctx ends.
func (l *Listener) Sweep(ctx context.Context) error {
	ticker := time.NewTicker(idleSweep)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			l.endResting(now)
		}
	}
}

// StopAccepting closes the listening socket.
func (l *Listener) StopAccepting() {
	l.mutex.Lock()
	l.drains = true
	l.mutex.Unlock()
	// It ends anyhow: an error tells nothing more.
	_ = l.listener.Close()
}

// AwaitDrained ends resting connections until none is left or ctx ends, and
// returns the number of those left.
func (l *Listener) AwaitDrained(ctx context.Context) int {
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for {
		l.endResting(time.Now())
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

// Close ends everything at once.
func (l *Listener) Close() {
	l.mutex.Lock()
	if !l.closed {
		l.closed = true
		close(l.ended)
	}
	l.mutex.Unlock()
	// It ends anyhow: an error tells nothing more.
	_ = l.server.Close()
}

// longAgo as a deadline ends a read at once.
var longAgo = time.Unix(1, 0)

// endResting ends the connections that have rested for too long by now, or all that rest while the
// node stops.
func (l *Listener) endResting(now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for each, state := range l.states {
		if state.isOver(l.idle, l.drains, now) {
			// It fails only on a connection that has ended, which the next read or write finds.
			_ = each.SetReadDeadline(longAgo)
		}
	}
}

// observe implements the ConnState hook of http.Server.
func (l *Listener) observe(changed net.Conn, state http.ConnState) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	switch state {
	case http.StateClosed, http.StateHijacked:
		delete(l.states, changed)
	default:
		isNew := state == http.StateNew
		l.states[changed] = connectionState{resting: isNew || state == http.StateIdle, isNew: isNew, since: time.Now()}
		if isNew && l.most > 0 && len(l.states) > l.most {
			l.endLongestResting(changed)
		}
	}
}

// endLongestResting makes room for a new connection. The mutex is held.
func (l *Listener) endLongestResting(added net.Conn) {
	var longest net.Conn
	for each, state := range l.states {
		if each != added && state.resting && (longest == nil || state.since.Before(l.states[longest].since)) {
			longest = each
		}
	}
	if longest != nil {
		// It fails only on a connection that has ended, which the next read or write finds.
		_ = longest.SetReadDeadline(longAgo)
	}
}
