// Package peer carries messages between the nodes of the query tier: a request
// and its reply, as protobuf in length-prefixed frames over TCP.
//
// Membership, configuration and back-end news use the Transport interface, so
// that the same code runs over TCP in a node and over an in-memory network in
// tests and in hollow nodes that share a process.
package peer

import (
	"context"

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
