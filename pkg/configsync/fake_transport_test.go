package configsync

import (
	"context"
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/bramblemast/bramblemast/pkg/configstore"
	"github.com/bramblemast/bramblemast/pkg/peer"
)

// handlerTransport only collects handlers, for tests that call them directly.
type handlerTransport struct {
	handlers map[peer.Kind]peer.Handler
}

func newHandlerTransport() *handlerTransport {
	return &handlerTransport{handlers: map[peer.Kind]peer.Handler{}}
}

func (t *handlerTransport) Call(context.Context, peer.Address, peer.Kind, proto.Message, proto.Message) error {
	return context.DeadlineExceeded
}

func (t *handlerTransport) Handle(kind peer.Kind, handler peer.Handler) { t.handlers[kind] = handler }

func (t *handlerTransport) Address() peer.Address { return "here" }

func (t *handlerTransport) kinds() []peer.Kind {
	var kinds []peer.Kind
	for kind := range t.handlers {
		kinds = append(kinds, kind)
	}
	slices.Sort(kinds)
	return kinds
}

func newFuzzNode(t *testing.T) (*Replica, *handlerTransport) {
	t.Helper()
	transport := newHandlerTransport()
	node, err := New(Options{
		Self: Peer{ID: "self", Zone: "zone"}, Transport: transport, Store: configstore.NewMemory(),
		Peers: func() []Peer { return []Peer{{ID: "other", Address: "other", Zone: "zone", Alive: true}} },
	})
	if err != nil {
		t.Fatal(err)
	}
	return node, transport
}
