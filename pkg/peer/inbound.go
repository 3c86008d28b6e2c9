package peer

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/pkg/peer/peerpb"
)

// inboundConnection is a connection that a peer opened; it carries requests in
// and replies out.
type inboundConnection struct {
	transport *TCP
	socket    net.Conn
	// writeMutex guards writes to socket, so that frames do not mix.
	writeMutex sync.Mutex

	mutex sync.Mutex
	// running are the requests under way by their id; guarded by mutex.
	running map[uint64]*handling
}

// serveInbound starts serving a connection, or closes it if there are too many.
func (t *TCP) serveInbound(ctx context.Context, socket net.Conn) {
	connection := &inboundConnection{transport: t, socket: socket, running: make(map[uint64]*handling)}
	t.mutex.Lock()
	refused := t.closed || len(t.inbound) >= t.options.MaxInbound
	if !refused {
		t.inbound[connection] = struct{}{}
		t.handlerGroup.Add(1)
	}
	t.mutex.Unlock()
	if refused {
		socket.Close()
		return
	}
	go func() {
		defer t.handlerGroup.Done()
		defer t.forget(connection)
		connection.serve(ctx)
	}()
}

func (t *TCP) forget(connection *inboundConnection) {
	connection.socket.Close()
	t.mutex.Lock()
	defer t.mutex.Unlock()
	delete(t.inbound, connection)
}

// serve reads requests until the connection ends, is idle for too long, or its
// framing is unreliable.
func (c *inboundConnection) serve(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	reader := bufio.NewReader(c.socket)
	for {
		request, err := c.next(reader)
		if err != nil {
			if !errors.Is(err, io.EOF) {
				c.transport.options.Logger.Debug("peer connection closed", "peer", c.socket.RemoteAddr(), "reason", err)
			}
			return
		}
		if request.Cancel || request.More {
			c.follow(request)
			continue
		}
		if !c.transport.tryAcquire() {
			// An error has closed the connection, which the next read shows.
			_ = c.reply(Kind(request.Kind), c.transport.busy(request))
			continue
		}
		begun, handlingContext := c.begin(ctx, request)
		c.transport.handlerGroup.Add(1)
		go func() {
			defer c.transport.handlerGroup.Done()
			defer c.transport.release()
			defer c.end(request.Id)
			// An error of the last reply has closed the connection: the peer learns
			// of it there.
			_ = begun.write(c.transport.serve(handlingContext, request, begun))
		}()
	}
}

// begin notes that a request is being handled, and returns the context for it.
func (c *inboundConnection) begin(ctx context.Context, request *peerpb.Frame) (*handling, context.Context) {
	handlingContext, cancel := context.WithCancel(ctx)
	kind := Kind(request.Kind)
	begun := &handling{cancel: cancel, write: func(reply *peerpb.Frame) error { return c.reply(kind, reply) }}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.running[request.Id] = begun
	return begun, handlingContext
}

// follow takes a message that belongs to an earlier request; it is dropped if that
// is over.
func (c *inboundConnection) follow(message *peerpb.Frame) {
	if message.Cancel {
		c.end(message.Id)
		return
	}
	c.mutex.Lock()
	found := c.running[message.Id]
	c.mutex.Unlock()
	if found != nil {
		found.take(message.Body)
	}
}

// end ends the handling of a request; it does nothing if that is over.
func (c *inboundConnection) end(id uint64) {
	c.mutex.Lock()
	found := c.running[id]
	delete(c.running, id)
	c.mutex.Unlock()
	if found != nil {
		found.cancel()
	}
}

// next reads one request.
func (c *inboundConnection) next(reader *bufio.Reader) (*peerpb.Frame, error) {
	idle := inboundIdleFactor * c.transport.options.IdleTimeout
	request, size, err := readNext(c.socket, reader, idle, c.transport.options.MaxFrameBytes)
	if err != nil {
		return nil, err
	}
	if request.Reply {
		return nil, errors.Wrap(errFraming, "reply on a connection for requests")
	}
	c.transport.of(Kind(request.Kind)).in(size)
	return request, nil
}

// reply writes a reply; on failure it closes the connection, because what the
// peer reads next could be half a frame.
func (c *inboundConnection) reply(kind Kind, reply *peerpb.Frame) error {
	data, err := appendFrame(reply, c.transport.options.MaxFrameBytes)
	if err != nil {
		failed := c.transport.fail(reply, err)
		data, err = appendFrame(failed, c.transport.options.MaxFrameBytes)
	}
	if err != nil {
		c.socket.Close()
		return err
	}
	c.writeMutex.Lock()
	defer c.writeMutex.Unlock()
	c.socket.SetWriteDeadline(time.Now().Add(replyTimeout))
	if _, err := c.socket.Write(data); err != nil {
		c.socket.Close()
		return errors.Wrap(err, "write reply")
	}
	c.transport.of(kind).out(len(data))
	return nil
}

// errIdle means that no frame began within the idle time.
var errIdle = errors.New("connection was idle")

// readNext waits for at most idle for a frame to begin, and reads it. After
// errIdle the connection is still in order.
func readNext(socket net.Conn, reader *bufio.Reader, idle time.Duration, maxBytes int) (*peerpb.Frame, int, error) {
	socket.SetReadDeadline(time.Now().Add(idle))
	if _, err := reader.Peek(1); err != nil {
		if isTimeout(err) {
			err = errIdle
		}
		return nil, 0, err
	}
	socket.SetReadDeadline(time.Now().Add(frameTimeout))
	return readFrame(reader, maxBytes)
}

// isTimeout reports whether a read ended because of its deadline.
func isTimeout(err error) bool {
	var network net.Error
	return errors.As(err, &network) && network.Timeout()
}
