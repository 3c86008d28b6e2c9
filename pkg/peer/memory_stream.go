package peer

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/bramblemast/bramblemast/pkg/outcome"
	"github.com/bramblemast/bramblemast/pkg/peer/peerpb"
)

// memoryStream is a request over a Network that is answered by several messages.
type memoryStream struct {
	answer
	from *MemoryTransport
	// handling is the peer's side.
	handling *handling
}

// Open implements Streamer.
func (t *MemoryTransport) Open(address Address, kind Kind, request proto.Message, timeout time.Duration, receive Receive) Stream {
	ctx, cancel := context.WithCancel(t.network.context)
	opened := &memoryStream{from: t, answer: answer{address: address, receive: receive}, handling: &handling{cancel: cancel}}
	body, err := marshal(request)
	if err != nil {
		opened.end(notRun("encode request", address, outcome.ReasonInternal, err))
		return opened
	}
	frame := &peerpb.Frame{
		Id: t.network.nextID.Add(1), Kind: string(kind), Body: body, From: string(t.node),
		TimeoutMs: timeoutMillis(timeout),
	}
	t.network.start(func() { t.carry(ctx, address, frame, opened) })
	return opened
}

// carry brings a request to its handler and the replies back.
func (t *MemoryTransport) carry(ctx context.Context, address Address, frame *peerpb.Frame, opened *memoryStream) {
	t.of(Kind(frame.Kind)).out(lengthBytes + frame.SizeVT())
	if !t.network.travel(t.address, address) || t.closed.Load() {
		return
	}
	peer := t.network.find(address)
	if peer == nil {
		opened.end(notRun("connect", address, outcome.ReasonUnreachable, errors.New("connection refused")))
		return
	}
	t.network.WaitThawed(address)
	back := func(reply *peerpb.Frame) error {
		peer.of(Kind(frame.Kind)).out(lengthBytes + reply.SizeVT())
		t.network.WaitThawed(address)
		if t.network.travel(address, t.address) && !peer.closed.Load() {
			t.network.WaitThawed(t.address)
			opened.take(reply)
		}
		return nil
	}
	opened.handling.write = back
	// back gives no errors: what is lost on the way shows as silence.
	_ = back(peer.run(ctx, frame, opened.handling))
}

// Send implements Stream.
func (s *memoryStream) Send(message proto.Message) {
	body, err := marshal(message)
	if err != nil {
		s.end(&outcome.Error{Step: "encode message", Peer: string(s.address), Reason: outcome.ReasonInternal, Cause: err})
		return
	}
	s.follow(func() { s.handling.take(body) })
}

// Cancel implements Stream.
func (s *memoryStream) Cancel() {
	s.mutex.Lock()
	s.over = true
	s.mutex.Unlock()
	s.follow(s.handling.cancel)
}

// follow does something at the peer once a message has travelled there.
func (s *memoryStream) follow(arrive func()) {
	network := s.from.network
	network.start(func() {
		if network.travel(s.from.address, s.address) {
			network.WaitThawed(s.address)
			arrive()
		}
	})
}

// NoteSilence implements Stream; a Network has no connections to give up.
func (s *memoryStream) NoteSilence() {}
