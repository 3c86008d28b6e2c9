package peer_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/bramblemast/bramblemast/pkg/peer"
	"github.com/bramblemast/bramblemast/pkg/peer/peerpb"
	"github.com/bramblemast/bramblemast/pkg/target"
)

const spreadKind peer.Kind = "test.spread"

var _ = Describe("a message to many nodes", func() {
	It("tells which of them took it, and waits for no silent one longer than its context", func() {
		network := peer.NewNetwork(1)
		DeferCleanup(network.Close)
		sender := network.Transport("sender")
		for _, name := range []peer.Address{"a", "b"} {
			network.Transport(name).Handle(spreadKind, func(context.Context, target.NodeID, []byte) (proto.Message, error) {
				return &peerpb.Frame{}, nil
			})
		}
		network.Transport("silent").Handle(spreadKind, func(ctx context.Context, _ target.NodeID, _ []byte) (proto.Message, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		})
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		defer cancel()
		taken := peer.Spread(ctx, sender, []peer.Address{"a", "silent", "b", "unknown"}, spreadKind, &peerpb.Frame{Kind: "news"},
			func() proto.Message { return &peerpb.Frame{} })
		Expect(taken).To(ConsistOf(peer.Address("a"), peer.Address("b")))
	})
})
