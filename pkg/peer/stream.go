package peer

import (
	"context"
	"io"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bramblemast/bramblemast/pkg/outcome"
	"github.com/bramblemast/bramblemast/pkg/peer/peerpb"
)

var _ Streamer = (*TCP)(nil)

// answer hands on the messages that answer one request, until it is over.
type answer struct {
	address Address
	receive Receive

	mutex sync.Mutex
	// over is guarded by mutex.
	over bool
}

// take hands on one reply.
func (a *answer) take(reply *peerpb.Frame) {
	switch {
	case reply.Error != "":
		a.end(remoteError(reply, a.address))
	case !reply.More:
		a.end(io.EOF)
	case !a.isOver():
		a.receive(reply.Body, nil)
	}
}

// end hands on how the answer ended, once.
func (a *answer) end(err error) {
	a.mutex.Lock()
	over := a.over
	a.over = true
	a.mutex.Unlock()
	if !over {
		a.receive(nil, err)
	}
}

func (a *answer) isOver() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.over
}

// tcpStream is a request over TCP that is answered by several messages. It has no
// goroutine of its own once its connection is open: what arrives is handed on by
// the reader of the connection.
type tcpStream struct {
	answer

	// The fields below are guarded by the mutex of the answer, and set once the request
	// is registered.
	connection *outboundConnection
	id         uint64
	sentAt     time.Time
}

// Open implements Streamer. An error says NotRun if no byte was sent or the peer
// refused the request.
func (t *TCP) Open(address Address, kind Kind, request proto.Message, timeout time.Duration, receive Receive) Stream {
	opened := &tcpStream{answer: answer{address: address, receive: receive}}
	body, err := marshal(request)
	if err != nil {
		opened.end(notRun("encode request", address, outcome.ReasonInternal, err))
		return opened
	}
	frame := &peerpb.Frame{
		Kind: string(kind), Body: body, From: string(t.node), TimeoutMs: timeoutMillis(timeout),
	}
	if connection := t.pool.held(address); connection != nil {
		opened.begin(connection, frame, timeout)
		return opened
	}
	go opened.connect(t.pool, frame, timeout)
	return opened
}

// connect opens a connection and sends the request on it.
func (s *tcpStream) connect(connections *pool, request *peerpb.Frame, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	connection, err := connections.get(ctx, s.address)
	if err != nil {
		s.end(err)
		return
	}
	s.begin(connection, request, timeout)
}

// begin sends the request on a connection.
func (s *tcpStream) begin(connection *outboundConnection, request *peerpb.Frame, timeout time.Duration) {
	if !s.register(connection, request) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if err := connection.send(ctx, request); err != nil {
		connection.unregister(request.Id)
		s.end(err)
	}
}

// register lets the connection know the request; false if it is over already.
func (s *tcpStream) register(connection *outboundConnection, request *peerpb.Frame) bool {
	s.mutex.Lock()
	if s.over {
		s.mutex.Unlock()
		return false
	}
	err := connection.register(request, waiter{kind: Kind(request.Kind), stream: s})
	if err == nil {
		s.connection, s.id, s.sentAt = connection, request.Id, time.Now()
	}
	s.mutex.Unlock()
	if err != nil {
		s.end(notRun("send request", s.address, outcome.ReasonConnectionLost, err))
	}
	return err == nil
}

// Cancel implements Stream.
func (s *tcpStream) Cancel() {
	s.mutex.Lock()
	over, connection := s.over, s.connection
	s.over = true
	s.mutex.Unlock()
	if over || connection == nil {
		return
	}
	connection.unregister(s.id)
	connection.follow(&peerpb.Frame{Id: s.id, Kind: string(cancelKind), Cancel: true})
}

// Send implements Stream.
func (s *tcpStream) Send(message proto.Message) {
	s.mutex.Lock()
	over, connection := s.over, s.connection
	s.mutex.Unlock()
	if over || connection == nil {
		return
	}
	body, err := marshal(message)
	if err != nil {
		s.end(&outcome.Error{Step: "encode message", Peer: string(s.address), Reason: outcome.ReasonInternal, Cause: err})
		return
	}
	connection.follow(&peerpb.Frame{Id: s.id, Kind: string(followKind), More: true, Body: body})
}

// NoteSilence implements Stream.
func (s *tcpStream) NoteSilence() {
	s.mutex.Lock()
	connection, sentAt := s.connection, s.sentAt
	s.mutex.Unlock()
	if connection != nil {
		connection.noteSilence(sentAt)
	}
}

// followTimeout bounds the writing of a message that follows a request.
const followTimeout = time.Second

// follow sends a message that belongs to an earlier request.
func (c *outboundConnection) follow(message *peerpb.Frame) {
	ctx, done := context.WithTimeout(context.Background(), followTimeout)
	defer done()
	// If it cannot be sent the connection is closed, which ends the request too.
	_ = c.send(ctx, message)
}

// cancelKind and followKind count the messages that follow requests.
const (
	cancelKind Kind = "cancel"
	followKind Kind = "follow"
)
