package peer

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/bramblemast/bramblemast/pkg/outcome"
	"github.com/bramblemast/bramblemast/pkg/peer/peerpb"
	"github.com/bramblemast/bramblemast/pkg/target"
)

// maxMemoryHandlers bounds the handlers that run at once at one in-memory
// transport.
const maxMemoryHandlers = 256

// MemoryTransport is one node's end of a Network. It encodes every message as
// TCP does, so that its counters show what a connection would carry. It is safe
// for concurrent use.
type MemoryTransport struct {
	*dispatcher
	counters
	network *Network
	address Address
	closed  atomic.Bool
}

var _ Streamer = (*MemoryTransport)(nil)

// Address returns the address on the Network.
func (t *MemoryTransport) Address() Address { return t.address }

// Call implements Transport.
func (t *MemoryTransport) Call(ctx context.Context, address Address, kind Kind, request, reply proto.Message) error {
	body, err := marshal(request)
	if err != nil {
		return &outcome.Error{Step: "encode request", Peer: string(address), Outcome: outcome.NotRun, Reason: outcome.ReasonInternal, Cause: err}
	}
	t.network.WaitThawed(t.address)
	frame := &peerpb.Frame{
		Id:        t.network.nextID.Add(1),
		Kind:      string(kind),
		Body:      body,
		From:      string(t.node),
		TimeoutMs: timeoutOf(ctx),
	}
	counted := t.of(kind)
	counted.out(lengthBytes + frame.SizeVT())
	received, err := t.exchange(ctx, address, frame)
	t.network.WaitThawed(t.address)
	if err != nil {
		return err
	}
	counted.in(lengthBytes + received.SizeVT())
	return resultOf(received, address, func(body []byte) error { return unmarshal(body, reply) })
}

// exchange carries a request to its handler and waits for the reply.
func (t *MemoryTransport) exchange(ctx context.Context, address Address, frame *peerpb.Frame) (*peerpb.Frame, error) {
	replies := make(chan *peerpb.Frame, 1)
	refused := make(chan struct{})
	t.network.start(func() {
		if !t.network.travel(t.address, address) || t.closed.Load() {
			return
		}
		peer := t.network.find(address)
		if peer == nil {
			close(refused)
			return
		}
		received := peer.receive(t.network.context, frame)
		if t.network.travel(address, t.address) && !peer.closed.Load() {
			replies <- received
		}
	})
	select {
	case received := <-replies:
		return received, nil
	case <-refused:
		return nil, &outcome.Error{
			Step:    "connect",
			Peer:    string(address),
			Outcome: outcome.NotRun,
			Reason:  outcome.ReasonUnreachable,
			Cause:   errors.New("connection refused"),
		}
	case <-ctx.Done():
		return nil, contextError(ctx, "wait for reply", address, outcome.Unknown)
	case <-t.network.context.Done():
		return nil, &outcome.Error{Step: "wait for reply", Peer: string(address), Reason: outcome.ReasonConnectionLost}
	}
}

// receive runs the handler of a request, as soon as the node is not frozen.
func (t *MemoryTransport) receive(ctx context.Context, frame *peerpb.Frame) *peerpb.Frame {
	t.network.WaitThawed(t.address)
	counted := t.of(Kind(frame.Kind))
	counted.in(lengthBytes + frame.SizeVT())
	received := t.run(ctx, frame, &handling{write: noStream})
	t.network.WaitThawed(t.address)
	counted.out(lengthBytes + received.SizeVT())
	return received
}

func (t *MemoryTransport) run(ctx context.Context, frame *peerpb.Frame, open *handling) *peerpb.Frame {
	if !t.tryAcquire() {
		return t.busy(frame)
	}
	defer t.release()
	return t.serve(ctx, frame, open)
}

// noStream refuses a message beyond the one that a call awaits.
func noStream(*peerpb.Frame) error { return errors.New("the request awaits one reply") }

// Close takes the transport off the network: calls to it are refused, and what
// it sent and is still on its way is lost.
func (t *MemoryTransport) Close() {
	t.closed.Store(true)
	t.network.remove(t)
}

// LatencyFunc gives the one-way time between two nodes.
type LatencyFunc func(from, to Address) time.Duration

// newMemoryTransport makes the end of one node.
func newMemoryTransport(network *Network, address Address, node target.NodeID) *MemoryTransport {
	return &MemoryTransport{
		dispatcher: newDispatcher(node, maxMemoryHandlers),
		network:    network,
		address:    address,
	}
}
