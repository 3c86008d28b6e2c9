package peer

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/pkg/outcome"
)

// errClosed is the cause of calls on a closed transport.
var errClosed = errors.New("transport is closed")

// dial is one attempt to connect that many calls may wait for.
type dial struct {
	done       chan struct{}
	connection *outboundConnection
	err        error
}

// pool holds at most one open connection to each peer, and bounds their number.
type pool struct {
	transport *TCP
	group     sync.WaitGroup
	// context ends when the pool is closed.
	context context.Context
	cancel  context.CancelFunc

	mutex sync.Mutex
	// The fields below are guarded by mutex.
	connections map[Address]*outboundConnection
	dials       map[Address]*dial
	closed      bool
}

func newPool(transport *TCP) *pool {
	ctx, cancel := context.WithCancel(context.Background())
	return &pool{
		transport:   transport,
		context:     ctx,
		cancel:      cancel,
		connections: make(map[Address]*outboundConnection),
		dials:       make(map[Address]*dial),
	}
}

// get returns an open connection to a peer. Every error says not run.
func (p *pool) get(ctx context.Context, address Address) (*outboundConnection, error) {
	p.mutex.Lock()
	if p.closed {
		p.mutex.Unlock()
		return nil, notRun("connect", address, outcome.ReasonDraining, errClosed)
	}
	if connection := p.connections[address]; connection != nil {
		if connection.cause() == nil {
			p.mutex.Unlock()
			return connection, nil
		}
	}
	attempt := p.dials[address]
	if attempt == nil {
		attempt = &dial{done: make(chan struct{})}
		p.dials[address] = attempt
		p.group.Add(1)
		go p.connect(address, attempt)
	}
	p.mutex.Unlock()
	select {
	case <-attempt.done:
		return attempt.connection, attempt.err
	case <-ctx.Done():
		return nil, contextError(ctx, "connect", address, outcome.NotRun)
	}
}

// held returns the open connection to a peer, or nil.
func (p *pool) held(address Address) *outboundConnection {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	connection := p.connections[address]
	if connection == nil || connection.cause() != nil {
		return nil
	}
	return connection
}

// connect opens a connection for every call that waits for the attempt, and
// reads it until it ends.
func (p *pool) connect(address Address, attempt *dial) {
	defer p.group.Done()
	dialer := net.Dialer{Timeout: p.transport.options.DialTimeout}
	if source := p.transport.options.SourceIP; source != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: source}
	}
	socket, err := dialer.DialContext(p.context, "tcp", string(address))
	if err != nil {
		attempt.err = notRun("connect", address, outcome.ReasonUnreachable, err)
	} else {
		attempt.connection = newOutboundConnection(p.transport, address, socket)
	}
	evicted := p.add(address, attempt)
	if evicted != nil {
		evicted.close(errIdle)
	}
	close(attempt.done)
	if attempt.connection != nil {
		attempt.connection.readLoop()
		p.remove(attempt.connection)
	}
}

// add keeps the connection of a finished attempt, and returns the one that must
// be closed to make room, or nil.
func (p *pool) add(address Address, attempt *dial) *outboundConnection {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.dials, address)
	if attempt.connection == nil {
		return nil
	}
	if p.closed {
		return attempt.connection
	}
	p.connections[address] = attempt.connection
	if len(p.connections) <= p.transport.options.MaxConnections {
		return nil
	}
	return p.takeLeastRecentlyUsed()
}

// takeLeastRecentlyUsed removes and returns the connection that was unused for
// longest, or nil if calls wait on all of them. The caller holds the mutex.
func (p *pool) takeLeastRecentlyUsed() *outboundConnection {
	var oldest *outboundConnection
	var oldestUse time.Time
	for _, connection := range p.connections {
		lastUse, unused := connection.unused()
		if !unused {
			continue
		}
		if oldest == nil || lastUse.Before(oldestUse) {
			oldest, oldestUse = connection, lastUse
		}
	}
	if oldest != nil {
		delete(p.connections, oldest.address)
	}
	return oldest
}

// remove forgets a connection that ended.
func (p *pool) remove(connection *outboundConnection) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.connections[connection.address] == connection {
		delete(p.connections, connection.address)
	}
}

// close ends every connection and waits for their goroutines.
func (p *pool) close() {
	p.cancel()
	p.mutex.Lock()
	p.closed = true
	connections := make([]*outboundConnection, 0, len(p.connections))
	for _, connection := range p.connections {
		connections = append(connections, connection)
	}
	p.mutex.Unlock()
	for _, connection := range connections {
		connection.close(errClosed)
	}
	p.group.Wait()
}

// size returns the number of open connections.
func (p *pool) size() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return len(p.connections)
}
