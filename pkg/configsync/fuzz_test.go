package configsync

import (
	"context"
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/bramblemast/bramblemast/pkg/configstore"
	pb "github.com/bramblemast/bramblemast/pkg/configsync/configsyncpb"
	"github.com/bramblemast/bramblemast/pkg/peer"
	"github.com/bramblemast/bramblemast/pkg/template"
	"github.com/bramblemast/bramblemast/pkg/template/stored"
)

// FuzzMessages checks that no message body makes a handler panic, lowers the held version or
// corrupts the index by key hash.
func FuzzMessages(f *testing.F) {
	document := content(ticker, "fuzz")
	document.Revision, document.ChangeID = 9, "x"
	sealed, err := template.Seal(document)
	if err != nil {
		f.Fatal(err)
	}
	valid, err := (&pb.Push{Documents: [][]byte{sealed.Encoded}, Route: pb.Route_ROUTE_BRANCH}).MarshalVT()
	if err != nil {
		f.Fatal(err)
	}
	listing, err := (&pb.ReconcileRequest{Shards: []*pb.ShardListing{{
		Shard: uint32(stored.ShardOf(ticker)), Entries: []*pb.EntryDigest{digestOf(sealed)},
	}}}).MarshalVT()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(valid)
	f.Add(listing)
	f.Fuzz(func(t *testing.T, body []byte) {
		node, transport := newFuzzNode(t)
		node.apply(sealed, SourceLocal)
		for _, kind := range transport.kinds() {
			_, _ = transport.handlers[kind](context.Background(), "peer", body)
		}
		held, isHeld := node.Held(ticker)
		if !isHeld || held.Version().Compare(sealed.Version()) < 0 {
			t.Fatalf("held version went down to %v", held.Version())
		}
		for hash, key := range node.table.byHash {
			if keyHash(key) != hash || node.table.entries[key] == nil {
				t.Fatalf("index by key hash is wrong for %v", key)
			}
		}
	})
}

// handlerTransport only records handlers, for tests that call them directly. All its calls fail.
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
