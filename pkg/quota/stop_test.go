package quota_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/bramblemast/bramblemast/pkg/peer"
	"github.com/bramblemast/bramblemast/pkg/quota"
	"github.com/bramblemast/bramblemast/pkg/quota/quotapb"
	"github.com/bramblemast/bramblemast/pkg/route"
	"github.com/bramblemast/bramblemast/pkg/target"
)

// countingTransport answers every call and counts the calls.
type countingTransport struct {
	calls    atomic.Int64
	handlers map[peer.Kind]peer.Handler
}

func (a *countingTransport) Call(context.Context, peer.Address, peer.Kind, proto.Message, proto.Message) error {
	a.calls.Add(1)
	return nil
}

func (a *countingTransport) Handle(kind peer.Kind, handler peer.Handler) { a.handlers[kind] = handler }

func (a *countingTransport) Address() peer.Address { return "node-0" }

// TestANodeThatHasStoppedCallsNobody guards against calls that start after the node has stopped,
// when verdicts still arrive: nothing waits for such a call.
func TestANodeThatHasStoppedCallsNobody(t *testing.T) {
	before, after := int64(0), int64(0)
	synctest.Test(t, func(t *testing.T) {
		transport := &countingTransport{handlers: make(map[peer.Kind]peer.Handler)}
		limit := route.RateLimit{PerSecond: 5, Burst: 5}
		limiter := quota.New(quota.Options{
			Local: "node-0", Zone: "zone", Bounds: bounds, Transport: transport, Events: ignoredEvents{},
			LimitOf:      func(string) (route.RateLimit, bool) { return limit, true },
			KnowsTenants: func() bool { return true },
		})
		var nodes []quota.Node
		for index := range 12 {
			name := fmt.Sprint("node-", index)
			nodes = append(nodes, quota.Node{Name: name, Zone: "zone", Address: peer.Address(name)})
		}
		limiter.SetNodes(nodes)
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			// Run ends without an error when its context does.
			_ = limiter.Run(ctx)
		}()
		time.Sleep(3 * time.Second)
		stop()
		<-ended
		before = transport.calls.Load()
		for number := range 20 {
			body, err := (&quotapb.Verdicts{Verdicts: []*quotapb.Verdict{{Tenant: fmt.Sprint("tenant-", number), Share: 0.5}}}).MarshalVT()
			NewWithT(t).Expect(err).NotTo(HaveOccurred())
			for _, node := range nodes[1:] {
				_, err := transport.handlers["quota.verdicts"](t.Context(), target.NodeID(node.Name), body)
				NewWithT(t).Expect(err).NotTo(HaveOccurred())
			}
		}
		synctest.Wait()
		after = transport.calls.Load()
	})
	NewWithT(t).Expect(before).NotTo(BeZero())
	NewWithT(t).Expect(after).To(Equal(before))
}
