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
	// keepAliveSlack is how much earlier than announced by the server a resting
	// connection is no longer used.
	keepAliveSlack = 700 * time.Millisecond
	// GreatestRest bounds the rest of a connection. Those of a node that loses
	// power stay open at the server, so a node keeps only what it uses often.
	GreatestRest = 12 * time.Second
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
	// restsUntil is when the connection must no longer be used.
	restsUntil time.Time
	reused     bool
}

// Pool keeps the resting connections to one server. It is safe for concurrent
// use.
type Pool struct {
	address string
	dialer  Dialer

	mutex sync.Mutex
	// rest bounds the rest of connections that are put back from now on; guarded
	// by mutex.
	rest RestBound
	// resting is guarded by mutex; the most recently used is last.
	resting []*connection
	// closed is guarded by mutex.
	closed bool
	// scarceUntil is until when new connections are confirmed, since the server
	// has turned one away; guarded by mutex.
	scarceUntil time.Time
}

// NewPool returns an empty pool for the server at address.
func NewPool(address string, dialer Dialer) *Pool {
	return &Pool{address: address, dialer: dialer, rest: LongestRests}
}

// RestBound bounds for how long connections rest.
type RestBound struct {
	// First holds after the first request of a connection, Again after each
	// further one: what was used again is likely to be used once more.
	First, Again time.Duration
}

// LongestRests let connections rest for as long as servers allow.
var LongestRests = RestBound{First: GreatestRest, Again: GreatestRest}

// SetRest bounds for how long connections rest that are put back from now on.
func (p *Pool) SetRest(rest RestBound) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.rest = rest
}

// Resting returns the number of connections that can be used at once.
func (p *Pool) Resting() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return len(p.resting)
}

// Close closes the resting connections; those in use are closed when their
// request has ended.
func (p *Pool) Close() {
	p.mutex.Lock()
	resting := p.resting
	p.resting, p.closed = nil, true
	p.mutex.Unlock()
	closeAll(resting)
}

// CloseExpired closes the connections that rested for too long.
func (p *Pool) CloseExpired(now time.Time) {
	p.mutex.Lock()
	var expired []*connection
	kept := p.resting[:0]
	for _, candidate := range p.resting {
		if now.Before(candidate.restsUntil) {
			kept = append(kept, candidate)
		} else {
			expired = append(expired, candidate)
		}
	}
	clear(p.resting[len(kept):])
	p.resting = kept
	p.mutex.Unlock()
	closeAll(expired)
}

// take returns a resting connection that is still sound, or nil.
func (p *Pool) take(now time.Time) *connection {
	for {
		candidate := p.pop()
		if candidate == nil {
			return nil
		}
		if now.Before(candidate.restsUntil) && isQuiet(candidate.Conn) {
			candidate.reused = true
			return candidate
		}
		_ = candidate.Close()
	}
}

func (p *Pool) pop() *connection {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if len(p.resting) == 0 {
		return nil
	}
	last := len(p.resting) - 1
	candidate := p.resting[last]
	p.resting[last] = nil
	p.resting = p.resting[:last]
	return candidate
}

// put keeps a connection for the next request.
func (p *Pool) put(used *connection, rest time.Duration, now time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	bound := p.rest.First
	if used.reused {
		bound = p.rest.Again
	}
	used.restsUntil = now.Add(min(rest, bound))
	if p.closed {
		_ = used.Close()
		return
	}
	p.resting = append(p.resting, used)
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
		_ = each.Close()
	}
}
