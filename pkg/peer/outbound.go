package peer

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/pkg/outcome"
	"github.com/bramblemast/bramblemast/pkg/peer/peerpb"
)

// maxSilentTimeouts is the number of calls in a row that may time out on a
// connection on which nothing is read, before the connection is given up.
const maxSilentTimeouts = 2

// defaultWriteTimeout bounds the writing of a request without a deadline.
const defaultWriteTimeout = 5 * time.Second

// errSilent is the cause of closing a connection without replies.
var errSilent = errors.New("no reply on the connection")

// waiter is one call that waits for its reply.
type waiter struct {
	kind Kind
	// done gets the reply, or is closed when the connection ended; nil for a stream.
	done chan *peerpb.Frame
	// stream takes the replies; nil for a call with one reply.
	stream *tcpStream
}

// outboundConnection is a connection that this node opened; it carries requests
// out and replies in.
type outboundConnection struct {
	transport *TCP
	address   Address
	socket    net.Conn
	// writeMutex guards writes to socket, so that frames do not mix.
	writeMutex sync.Mutex

	mutex sync.Mutex
	// The fields below are guarded by mutex.
	lastID         uint64
	waiters        map[uint64]waiter
	lastUse        time.Time
	silentTimeouts int
	// lastRead is when a reply was read, silentSince when the last request that got
	// none in time was noted.
	lastRead    time.Time
	silentSince time.Time
	// closed is the reason why the connection ended, or nil.
	closed error
}

func newOutboundConnection(transport *TCP, address Address, socket net.Conn) *outboundConnection {
	return &outboundConnection{
		transport: transport,
		address:   address,
		socket:    socket,
		waiters:   make(map[uint64]waiter),
		lastUse:   time.Now(),
	}
}

// roundTrip sends a request and waits for its reply.
func (c *outboundConnection) roundTrip(ctx context.Context, request *peerpb.Frame) (*peerpb.Frame, error) {
	wait := waiter{kind: Kind(request.Kind), done: make(chan *peerpb.Frame, 1)}
	if err := c.register(request, wait); err != nil {
		return nil, notRun("send request", c.address, outcome.ReasonConnectionLost, err)
	}
	defer c.unregister(request.Id)
	sentAt := time.Now()
	if err := c.send(ctx, request); err != nil {
		return nil, err
	}
	select {
	case reply, ok := <-wait.done:
		if !ok {
			return nil, &outcome.Error{Step: "wait for reply", Peer: string(c.address), Reason: outcome.ReasonConnectionLost, Cause: c.cause()}
		}
		return reply, nil
	case <-ctx.Done():
		c.timedOut(ctx, sentAt)
		return nil, contextError(ctx, "wait for reply", c.address, outcome.Unknown)
	}
}

// register gives the request its id and notes that its reply is awaited.
func (c *outboundConnection) register(request *peerpb.Frame, wait waiter) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.closed != nil {
		return c.closed
	}
	c.lastID++
	request.Id = c.lastID
	c.waiters[request.Id] = wait
	c.lastUse = time.Now()
	return nil
}

// unregister makes a later reply a late one, which is dropped.
func (c *outboundConnection) unregister(id uint64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.waiters, id)
	c.lastUse = time.Now()
}

// send writes a request. After a partial write the connection is closed.
func (c *outboundConnection) send(ctx context.Context, request *peerpb.Frame) error {
	data, err := appendFrame(request, c.transport.options.MaxFrameBytes)
	if err != nil {
		return notRun("encode request", c.address, outcome.ReasonInternal, err)
	}
	c.writeMutex.Lock()
	defer c.writeMutex.Unlock()
	if ctx.Err() != nil {
		return contextError(ctx, "send request", c.address, outcome.NotRun)
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(defaultWriteTimeout)
	}
	c.socket.SetWriteDeadline(deadline)
	written, err := c.socket.Write(data)
	if err != nil {
		c.close(errors.Wrap(err, "write request"))
		known := outcome.Unknown
		if written == 0 {
			known = outcome.NotRun
		}
		return &outcome.Error{Step: "send request", Peer: string(c.address), Outcome: known, Reason: outcome.ReasonConnectionLost, Cause: err}
	}
	c.transport.of(Kind(request.Kind)).out(len(data))
	return nil
}

// timedOut gives the connection up if it looks dead, so that the next call
// opens another one.
func (c *outboundConnection) timedOut(ctx context.Context, sentAt time.Time) {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		c.noteSilence(sentAt)
	}
}

// noteSilence counts requests without a reply in time, unless something was read
// since they were sent: then the peer is late and the connection is sound. Requests
// that were sent before the last silence was noted tell nothing new.
func (c *outboundConnection) noteSilence(sentAt time.Time) {
	c.mutex.Lock()
	if c.lastRead.After(sentAt) || sentAt.Before(c.silentSince) {
		c.mutex.Unlock()
		return
	}
	c.silentTimeouts++
	c.silentSince = time.Now()
	silent := c.silentTimeouts >= maxSilentTimeouts
	c.mutex.Unlock()
	if silent {
		c.close(errSilent)
	}
}

// readLoop hands replies to their calls until the connection ends.
func (c *outboundConnection) readLoop() {
	reader := bufio.NewReader(c.socket)
	for {
		reply, size, err := readNext(c.socket, reader, c.transport.options.IdleTimeout, c.transport.options.MaxFrameBytes)
		if err == nil {
			err = c.deliver(reply, size)
		}
		if errors.Is(err, errIdle) && !c.idle() {
			continue
		}
		if err != nil {
			c.close(err)
			return
		}
	}
}

// idle reports whether no call has used the connection for the idle timeout.
func (c *outboundConnection) idle() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return len(c.waiters) == 0 && time.Since(c.lastUse) >= c.transport.options.IdleTimeout
}

// deliver hands a reply to its call. A late reply is dropped; a reply to a
// request that was never sent makes the framing unreliable.
func (c *outboundConnection) deliver(reply *peerpb.Frame, size int) error {
	wait, err := c.awaited(reply)
	if err != nil {
		return err
	}
	c.transport.of(wait.kind).in(size)
	switch {
	case wait.stream != nil:
		wait.stream.take(reply)
	case wait.done != nil:
		wait.done <- reply
	}
	return nil
}

// awaited returns the call that waits for a reply; one of lateKind if none does.
func (c *outboundConnection) awaited(reply *peerpb.Frame) (waiter, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !reply.Reply || reply.Id == 0 || reply.Id > c.lastID {
		return waiter{}, errors.Wrapf(errFraming, "reply with unknown id %d", reply.Id)
	}
	c.silentTimeouts, c.lastRead = 0, time.Now()
	wait, ok := c.waiters[reply.Id]
	if !ok {
		return waiter{kind: lateKind}, nil
	}
	if !reply.More {
		delete(c.waiters, reply.Id)
	}
	return wait, nil
}

// lateKind counts the replies that came after their call had ended.
const lateKind Kind = "late"

// close ends the connection and every call that waits on it.
func (c *outboundConnection) close(cause error) {
	c.socket.Close()
	for _, wait := range c.abandon(cause) {
		if wait.stream != nil {
			wait.stream.end(&outcome.Error{Step: "wait for reply", Peer: string(c.address), Reason: outcome.ReasonConnectionLost, Cause: cause})
			continue
		}
		close(wait.done)
	}
}

// abandon notes the end of the connection and returns the calls that wait on it;
// none if it had ended before.
func (c *outboundConnection) abandon(cause error) map[uint64]waiter {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.closed != nil {
		return nil
	}
	c.closed = cause
	waiting := c.waiters
	c.waiters = make(map[uint64]waiter)
	return waiting
}

// cause returns why the connection ended.
func (c *outboundConnection) cause() error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.closed
}

// unused reports whether no call waits on the connection, and when one last did.
// A connection that was just opened for a call counts as used.
func (c *outboundConnection) unused() (lastUse time.Time, ok bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.lastUse, c.lastID > 0 && len(c.waiters) == 0
}
