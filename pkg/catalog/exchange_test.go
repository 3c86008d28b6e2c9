package catalog

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/bramblemast/bramblemast/pkg/catalog/catalogpb"
	"github.com/bramblemast/bramblemast/pkg/peer"
	"github.com/bramblemast/bramblemast/pkg/target"
)

// exchangeNode is a catalog with its Exchange on an in-memory network.
type exchangeNode struct {
	catalog  *Catalog
	exchange *Exchange
	// mutex guards forwarded, the updates from another zone for this zone.
	mutex     sync.Mutex
	forwarded []Update
}

func newExchangeNode(network *peer.Network, name string, servers int, peers, remote []peer.Address) *exchangeNode {
	node := &exchangeNode{catalog: New(Options{Node: target.NodeID(name), Zone: "zone"})}
	node.catalog.ReplaceMachines(listOf(servers))
	node.exchange = NewExchange(ExchangeOptions{
		Catalog:   node.catalog,
		Transport: network.Transport(peer.Address(name)),
		Peers:     func() []peer.Address { return peers },
		Remote:    func() []peer.Address { return remote },
		Random:    rand.New(rand.NewPCG(1, uint64(len(name)))),
		OnForwarded: func(update Update) {
			node.mutex.Lock()
			defer node.mutex.Unlock()
			node.forwarded = append(node.forwarded, update)
		},
	})
	return node
}

// TestPullTakesWhatDiffers guards against pulls that miss differences: two nodes get arbitrary
// updates, and after each has pulled from the other, their digests agree.
func TestPullTakesWhatDiffers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		network := peer.NewNetwork(1)
		defer network.Close()
		first := newExchangeNode(network, "first", 2, nil, nil)
		second := newExchangeNode(network, "second", 2, nil, nil)
		for range rapid.IntRange(0, 8).Draw(t, "news") {
			first.catalog.Apply(drawUpdate(t))
			second.catalog.Apply(drawUpdate(t))
		}
		if err := first.exchange.Pull(context.Background(), "second"); err != nil {
			t.Fatal(err)
		}
		if err := second.exchange.Pull(context.Background(), "first"); err != nil {
			t.Fatal(err)
		}
		if first.catalog.digests(false) != second.catalog.digests(false) {
			t.Fatal("digests differ after a pull each way")
		}
		for number := range 2 {
			a, b := serverOf(first.catalog.View(testService), serverID(number)), serverOf(second.catalog.View(testService), serverID(number))
			if a.State != b.State {
				t.Fatalf("%s is %s and %s", a.ID, a.State, b.State)
			}
		}
	})
}

// TestNewNodeLearnsAZone has an empty node pull the facts about 5,300 servers in replies of bounded
// size. A further comparison must transfer no updates.
func TestNewNodeLearnsAZone(t *testing.T) {
	const servers = 5300
	network := peer.NewNetwork(1)
	defer network.Close()
	known := newExchangeNode(network, "known", servers, nil, nil)
	for number := range servers {
		status := statusOf(number, fmt.Sprintf("instance%d", number), number%50 == 0, 1)
		known.catalog.ReportProbe(serverID(number), time.Now(), status, nil)
	}
	if err := known.catalog.Drain(serverID(7), true, "author"); err != nil {
		t.Fatal(err)
	}
	starter := newExchangeNode(network, "starter", servers, nil, nil)
	const oneBucket = 16 << 10
	if whole := known.catalog.answerSync(make([]uint64, digestBuckets), 0, false); whole.SizeVT() > maxSyncBytes+oneBucket {
		t.Fatalf("a reply has %d bytes", whole.SizeVT())
	}
	if err := starter.exchange.Pull(context.Background(), "known"); err != nil {
		t.Fatal(err)
	}
	if known.catalog.digests(false) != starter.catalog.digests(false) {
		t.Fatal("digests differ after the pull")
	}
	for _, server := range starter.catalog.View(testService).Servers {
		want := serverOf(known.catalog.View(testService), server.ID)
		if server.State != want.State || len(server.Indexes) != 1 {
			t.Fatalf("got %+v, want %+v", server, want)
		}
	}
	ownDigests := starter.catalog.digests(false)
	reply := known.catalog.answerSync(ownDigests[:], 0, false)
	t.Logf("request %d B, reply without differences %d B, one bucket of %d servers %d B",
		(&catalogpb.SyncRequest{Digests: ownDigests[:]}).SizeVT(), reply.SizeVT(), servers/digestBuckets, bucketBytes(known.catalog, ownDigests))
	if len(reply.News) > 0 || reply.More {
		t.Fatalf("%d updates in a reply without differences", len(reply.News))
	}
}

// bucketBytes returns the size of a reply when one bucket differs.
func bucketBytes(c *Catalog, peerDigests digests) int {
	peerDigests[0]++
	return c.answerSync(peerDigests[:], 0, false).SizeVT()
}

// TestOperatorsMarkReachesOtherZones drains a server: another zone learns of it immediately, or by
// the next digest comparison if that message is lost. No other updates cross zones.
func TestOperatorsMarkReachesOtherZones(t *testing.T) {
	for _, lost := range []bool{false, true} {
		t.Run(fmt.Sprintf("lost=%v", lost), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testOperatorMark(t, lost) })
		})
	}
}

func testOperatorMark(t *testing.T, lost bool) {
	network := peer.NewNetwork(1)
	ctx, cancel := context.WithCancel(t.Context())
	near := newExchangeNode(network, "near", 2, nil, []peer.Address{"far"})
	far := newExchangeNode(network, "far", 2, nil, []peer.Address{"near"})
	near.catalog.ReportProbe(serverID(1), time.Now(), statusOf(1, "i", true, 1), nil)
	if err := near.catalog.Drain(serverID(0), true, "author"); err != nil {
		t.Fatal(err)
	}
	for _, update := range near.catalog.Snapshot() {
		update.Kind = KindOperator
		if !lost {
			near.exchange.Forward(ctx, update)
		}
	}
	var running sync.WaitGroup
	for _, node := range []*exchangeNode{near, far} {
		running.Go(func() { _ = node.exchange.Run(ctx) })
	}
	time.Sleep(time.Millisecond)
	if isLeaving := serverOf(far.catalog.View(testService), serverID(0)).State == Leaving; isLeaving == lost {
		t.Errorf("lost=%v, but leaving=%v immediately", lost, isLeaving)
	}
	time.Sleep(2 * DefaultRemoteSyncInterval)
	if serverOf(far.catalog.View(testService), serverID(0)).State != Leaving {
		t.Error("the operator's mark did not arrive")
	}
	if serverOf(far.catalog.View(testService), serverID(1)).State != Active {
		t.Error("a status reported by a server crossed zones")
	}
	cancel()
	running.Wait()
	network.Close()
	if len(far.forwarded) != 1 {
		t.Errorf("the mark was forwarded to the zone %d times, want 1", len(far.forwarded))
	}
}

// FuzzHandleSync passes malformed requests to the handlers.
func FuzzHandleSync(f *testing.F) {
	sums := make([]uint64, digestBuckets)
	request, err := (&catalogpb.SyncRequest{Digests: sums}).MarshalVT()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(request)
	f.Add([]byte{0x0a, 0x00})
	network := peer.NewNetwork(1)
	f.Cleanup(network.Close)
	node := newExchangeNode(network, "node", 2, nil, nil)
	f.Fuzz(func(t *testing.T, body []byte) {
		_, _ = node.exchange.handleSync(context.Background(), "peer", body)
		_, _ = node.exchange.handleForward(context.Background(), "peer", body)
	})
}
