// Package peer carries messages between the nodes of the query tier: a request
// and its reply, as protobuf in length-prefixed frames over TCP.
//
// Membership, configuration and back-end news use the Transport interface, so
// that the same code runs over TCP in a node and over an in-memory network in
// tests and in hollow nodes that share a process.
package peer

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bramblemast/bramblemast/pkg/target"
)

// Address is the host:port at which a node takes messages from its peers.
type Address string

// Kind names a message type, for example "membership.ping".
type Kind string

// Handler answers one kind of request. It is called concurrently. The body is
// only valid during the call.
type Handler func(ctx context.Context, from target.NodeID, body []byte) (proto.Message, error)

// StreamHandler answers one kind of request with any number of messages. ctx ends
// when the asking node needs no more, when its connection ends, and at the request's
// deadline. An error ends the answer.
type StreamHandler func(ctx context.Context, from target.NodeID, body []byte, exchange Exchange) error

// Exchange is the peer's side of a Stream.
type Exchange interface {
	// Send sends the next message of the answer.
	Send(message proto.Message) error
	// Listen takes the messages that follow the request; before it is called they are
	// dropped. receive does not block, and its body is its own.
	Listen(receive func(body []byte))
}

// Receive takes the messages that answer a request, and how the answer ended:
// io.EOF if it is whole, an *outcome.Error otherwise. It does not block, since the
// connection's other replies wait for it. The body is its own.
type Receive func(body []byte, err error)

// Stream is a request under way that is answered by several messages.
type Stream interface {
	// Cancel ends it: the peer stops working on it, and receive is not called any
	// more once Cancel has returned and a call under way is over.
	Cancel()
	// Send sends a message that follows the request. What cannot be sent shows as the
	// end of the answer.
	Send(message proto.Message)
	// NoteSilence tells that the answer is overdue. A connection on which nothing was
	// read since the request was sent is given up after a few such notes.
	NoteSilence()
}

// Streamer is a Transport whose requests may be answered by several messages.
type Streamer interface {
	Transport
	// Open sends a request. receive is called for each message of the answer and
	// once for its end, possibly before Open returns. The peer works on the request
	// for timeout at most; the caller cancels one whose answer does not come.
	Open(address Address, kind Kind, request proto.Message, timeout time.Duration, receive Receive) Stream
	// HandleStream registers the handler of a kind. It must be called before the
	// transport serves its peers.
	HandleStream(kind Kind, handler StreamHandler)
}

// Transport sends requests to peers and serves theirs.
type Transport interface {
	// Call sends request to the node at address and decodes its reply into
	// reply. The error is an *outcome.Error with step and peer.
	Call(ctx context.Context, address Address, kind Kind, request, reply proto.Message) error
	// Handle registers the handler of a kind. It must be called before the
	// transport serves its peers.
	Handle(kind Kind, handler Handler)
	// Address returns where this transport can be reached.
	Address() Address
}
