package exchange

import (
	"bufio"
	"context"
	"io"
	"net"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Sizes (in bytes) and times of connections.
const (
	readBufferSize = 1024
	// keepAliveMargin is how long before the end of the server's announced keep-alive time an idle
	// connection is no longer used.
	keepAliveMargin = 700 * time.Millisecond
	// MaxIdleTime is the longest time that a connection is kept idle. Connections of a node that
	// loses power stay open at the server, so a node keeps only those that it uses often.
	MaxIdleTime = 12 * time.Second
	// confirmPeriod is how long new connections are confirmed after the server has turned one away.
	confirmPeriod = 3 * time.Second
	// confirmMargin is added to the time that a connection took to open when waiting for its
	// refusal.
	confirmMargin = time.Millisecond
)

// Dialer opens connections to servers.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// connection is one connection to a server; one request uses it at a time.
type connection struct {
	net.Conn
	reader *bufio.Reader
	// limiter bounds what reader reads.
	limiter *readLimiter
	// idleSince is when the connection became idle; from idleUntil on it must not be used.
	idleSince time.Time
	idleUntil time.Time
	reused    bool
	// answered are the requests to which the connection has carried an answer.
	answered answeredIDs
}

// Pool keeps the idle connections to one server. It is safe for concurrent use.
type Pool struct {
	address string
	dialer  Dialer

	mutex sync.Mutex
	// bound applies to connections that are put back from now on; guarded by mutex.
	bound IdleBound
	// idle is guarded by mutex; the most recently used is last.
	idle []*connection
	// closed is guarded by mutex.
	closed bool
	// confirmUntil is the time until which new connections are confirmed because the server has
	// turned one away; guarded by mutex.
	confirmUntil time.Time
}

// NewPool returns an empty pool for the server at address.
func NewPool(address string, dialer Dialer) *Pool {
	return &Pool{address: address, dialer: dialer, bound: DefaultIdleBound}
}

// IdleBound bounds the idle connections to one server.
type IdleBound struct {
	// AfterFirstUse is how long a connection is kept idle after its first request, AfterReuse after
	// each further one: a connection that was reused is likely to be reused again.
	AfterFirstUse, AfterReuse time.Duration
	// MaxConnections is the maximum number of idle connections; zero for no limit.
	MaxConnections int
}

// DefaultIdleBound keeps any number of connections for as long as servers allow.
var DefaultIdleBound = IdleBound{AfterFirstUse: MaxIdleTime, AfterReuse: MaxIdleTime}

// SetIdle sets the bound for connections that are put back from now on.
func (p *Pool) SetIdle(bound IdleBound) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.bound = bound
}

// Idle returns the number of idle connections.
func (p *Pool) Idle() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return len(p.idle)
}

// Close closes the idle connections; those in use are closed when their request has ended.
func (p *Pool) Close() {
	p.mutex.Lock()
	idle := p.idle
	p.idle, p.closed = nil, true
	p.mutex.Unlock()
	closeAll(idle)
}

// CloseExpired closes the connections whose idle time has ended.
func (p *Pool) CloseExpired(now time.Time) {
	p.retain(func(candidate *connection) bool { return now.Before(candidate.idleUntil) })
}

// closeIdleSince closes the connections that became idle at the given time or earlier. Connections
// to one server may fall silent together; without this, each would cost one request to detect.
func (p *Pool) closeIdleSince(since time.Time) {
	p.retain(func(candidate *connection) bool { return candidate.idleSince.After(since) })
}

// DropIdle closes all idle connections. After the machine was suspended, the server may have
// closed them long ago.
func (p *Pool) DropIdle() { p.retain(func(*connection) bool { return false }) }

// retain closes the idle connections for which isKept returns false.
func (p *Pool) retain(isKept func(*connection) bool) {
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

// take returns an idle connection that is still usable for a request with the given ID, or nil.
func (p *Pool) take(id string, now time.Time) *connection {
	for {
		candidate := p.pop(id)
		if candidate == nil {
			return nil
		}
		if now.Before(candidate.idleUntil) && isReusable(candidate.Conn) {
			candidate.reused = true
			return candidate
		}
		// The connection is being discarded, so an error from Close is of no interest.
		_ = candidate.Close()
	}
}

// pop removes and returns the most recently used idle connection that has not answered a request
// with the given ID, or nil.
func (p *Pool) pop(id string) *connection {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for index, candidate := range slices.Backward(p.idle) {
		if !candidate.answered.contains(id) {
			p.idle = slices.Delete(p.idle, index, index+1)
			return candidate
		}
	}
	return nil
}

// put keeps a connection for the next request, for the announced time at most, or closes it if the
// pool is closed or full, or the connection can keep no further ID.
func (p *Pool) put(conn *connection, announced time.Duration, now time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	bound := p.bound.AfterFirstUse
	if conn.reused {
		bound = p.bound.AfterReuse
	}
	conn.idleSince, conn.idleUntil = now, now.Add(min(announced, bound))
	isPoolFull := p.bound.MaxConnections > 0 && len(p.idle) >= p.bound.MaxConnections
	if p.closed || isPoolFull || conn.answered.isFull() {
		// The connection is being discarded, so an error from Close is of no interest.
		_ = conn.Close()
		return
	}
	p.idle = append(p.idle, conn)
}

func (p *Pool) dial(ctx context.Context) (*connection, error) {
	opened, err := p.dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return nil, err
	}
	return newConnection(opened, opened), nil
}

// newConnection returns a connection whose responses are read from source.
func newConnection(opened net.Conn, source io.Reader) *connection {
	limiter := &readLimiter{source: source, left: maxHeadSize}
	return &connection{Conn: opened, limiter: limiter, reader: bufio.NewReaderSize(limiter, readBufferSize)}
}

// recordTurnedAway records that the server has turned a connection away.
func (p *Pool) recordTurnedAway(now time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.confirmUntil = now.Add(confirmPeriod)
}

func (p *Pool) mustConfirm(now time.Time) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return now.Before(p.confirmUntil)
}

// confirm waits until a refusal of a new connection would have arrived. A server that has too many
// connections closes the new one when the last packet of the handshake arrives. This is seen here
// one round trip later, which is about the time that opening took.
func (c *connection) confirm(opened time.Duration) error {
	if err := c.SetReadDeadline(time.Now().Add(opened + confirmMargin)); err != nil {
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
		// The connection is being discarded, so an error from Close is of no interest.
		_ = each.Close()
	}
}
