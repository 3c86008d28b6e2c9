package exchange

import (
	"bufio"
	"context"
	"net"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Sizes and times of connections.
const (
	readBufferSize = 1024
	// keepAliveSlack is how much earlier than announced by the server an idle
	// connection is no longer used.
	keepAliveSlack = 700 * time.Millisecond
	// MaxIdleTime is how long a connection is kept idle at most. Those of a node that loses
	// power stay open at the server, so a node keeps only what it uses often.
	MaxIdleTime = 12 * time.Second
	// scarceSpan is for how long new connections are confirmed after the server
	// has turned one away.
	scarceSpan = 3 * time.Second
	// confirmSlack is how much longer than a connection took to open its refusal
	// may take.
	confirmSlack = time.Millisecond
)

// Dialer opens connections to servers.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// connection is one connection to a server; one request uses it at a time.
type connection struct {
	net.Conn
	reader *bufio.Reader
	// idleSince is when the connection became idle, idleUntil when it must no longer be
	// used.
	idleSince time.Time
	idleUntil time.Time
	reused    bool
}

// Pool keeps the idle connections to one server. It is safe for concurrent
// use.
type Pool struct {
	address string
	dialer  Dialer

	mutex sync.Mutex
	// bound holds for connections that are put back from now on; guarded by
	// mutex.
	bound IdleBound
	// idle is guarded by mutex; the most recently used is last.
	idle []*connection
	// closed is guarded by mutex.
	closed bool
	// scarceUntil is until when new connections are confirmed, since the server
	// has turned one away; guarded by mutex.
	scarceUntil time.Time
}

// NewPool returns an empty pool for the server at address.
func NewPool(address string, dialer Dialer) *Pool {
	return &Pool{address: address, dialer: dialer, bound: DefaultIdleBound}
}

// IdleBound bounds the idle connections to one server.
type IdleBound struct {
	// First is for how long a connection stays idle after its first request,
	// Again after each further one: what was used again is likely to be used once
	// more.
	AfterFirstUse, AfterReuse time.Duration
	// Most is how many connections are idle at a time; zero for any number.
	MaxConnections int
}

// DefaultIdleBound keeps any number of connections for as long as servers allow.
var DefaultIdleBound = IdleBound{AfterFirstUse: MaxIdleTime, AfterReuse: MaxIdleTime}

// SetIdle bounds the connections that are put back from now on.
func (p *Pool) SetIdle(bound IdleBound) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.bound = bound
}

// Idle returns the number of connections that can be used at once.
func (p *Pool) Idle() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return len(p.idle)
}

// Close closes the idle connections; those in use are closed when their
// request has ended.
func (p *Pool) Close() {
	p.mutex.Lock()
	idle := p.idle
	p.idle, p.closed = nil, true
	p.mutex.Unlock()
	closeAll(idle)
}

// CloseExpired closes the connections that were idle for too long.
func (p *Pool) CloseExpired(now time.Time) {
	p.keep(func(candidate *connection) bool { return now.Before(candidate.idleUntil) })
}

// distrust closes the connections that have been idle since a moment or longer. Those to
// a server that went silent together are not found out one request after the other.
func (p *Pool) distrust(since time.Time) {
	p.keep(func(candidate *connection) bool { return candidate.idleSince.After(since) })
}

// DropIdle closes all idle connections: after a suspension of the machine, the other side may
// have closed them long ago.
func (p *Pool) DropIdle() { p.keep(func(*connection) bool { return false }) }

// keep closes the idle connections that are not to be kept.
func (p *Pool) keep(isKept func(*connection) bool) {
	p.mutex.Lock()
	var closed []*connection
	kept := p.idle[:0]
	for _, candidate := range p.idle {
		if isKept(candidate) {
			kept = append(kept, candidate)
		} else {
			closed = append(closed, candidate)
		}
	}
	clear(p.idle[len(kept):])
	p.idle = kept
	p.mutex.Unlock()
	closeAll(closed)
}

// take returns an idle connection that is still sound, or nil.
func (p *Pool) take(now time.Time) *connection {
	for {
		candidate := p.pop()
		if candidate == nil {
			return nil
		}
		if now.Before(candidate.idleUntil) && isQuiet(candidate.Conn) {
			candidate.reused = true
			return candidate
		}
		// The connection is given up: its end tells nothing.
		_ = candidate.Close()
	}
}

func (p *Pool) pop() *connection {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if len(p.idle) == 0 {
		return nil
	}
	last := len(p.idle) - 1
	candidate := p.idle[last]
	p.idle[last] = nil
	p.idle = p.idle[:last]
	return candidate
}

// put keeps a connection for the next request.
func (p *Pool) put(used *connection, announced time.Duration, now time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	bound := p.bound.AfterFirstUse
	if used.reused {
		bound = p.bound.AfterReuse
	}
	used.idleSince, used.idleUntil = now, now.Add(min(announced, bound))
	if p.closed || p.bound.MaxConnections > 0 && len(p.idle) >= p.bound.MaxConnections {
		// The connection is given up: its end tells nothing.
		_ = used.Close()
		return
	}
	p.idle = append(p.idle, used)
}

func (p *Pool) dial(ctx context.Context) (*connection, error) {
	opened, err := p.dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return nil, err
	}
	return &connection{Conn: opened, reader: bufio.NewReaderSize(opened, readBufferSize)}, nil
}

// noteTurnedAway notes that the server has turned a connection away.
func (p *Pool) noteTurnedAway(now time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.scarceUntil = now.Add(scarceSpan)
}

func (p *Pool) isScarce(now time.Time) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return now.Before(p.scarceUntil)
}

// confirm waits until a new connection would have been turned away. A server
// that has too many closes the connection when the last step of its opening
// arrives, which shows here one round trip later: opening took about as long.
func (c *connection) confirm(opened time.Duration) error {
	if err := c.SetReadDeadline(time.Now().Add(opened + confirmSlack)); err != nil {
		return err
	}
	_, err := c.reader.Peek(1)
	if err == nil {
		return errors.New("bytes before the request")
	}
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return err
	}
	return c.SetReadDeadline(time.Time{})
}

func closeAll(connections []*connection) {
	for _, each := range connections {
		// The connection is given up: its end tells nothing.
		_ = each.Close()
	}
}
