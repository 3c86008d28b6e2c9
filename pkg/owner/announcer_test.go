package owner_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/pkg/directory"
	"github.com/bramblemast/bramblemast/pkg/fanout"
	"github.com/bramblemast/bramblemast/pkg/loadshed"
	"github.com/bramblemast/bramblemast/pkg/owner"
	"github.com/bramblemast/bramblemast/pkg/peer"
)

// overloadedQueues reports a backlog of waiting requests, which is an overload unless it is zero.
type overloadedQueues struct{ waiting int }

func (q *overloadedQueues) Backlog(loadshed.Key, time.Time) loadshed.Backlog {
	return loadshed.Backlog{Waiting: q.waiting, Target: 200 * time.Millisecond}
}

// measuringNode is a node that measures admission shares and receives those of other nodes.
type measuringNode struct {
	announcer *owner.Announcer
	admitter  *loadshed.Admitter
	admission *fanout.AdmissionControl
	queues    *overloadedQueues
	published atomic.Int64
}

// inRegion runs a test with three nodes, two of them in one region.
func inRegion(t *testing.T, test func(g *WithT, network *peer.Network, nodes map[string]*measuringNode)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		network := peer.NewNetwork(1)
		network.SetLatency(func(_, _ peer.Address) time.Duration { return time.Millisecond })
		members := []directory.Node{
			{Name: "owner", Zone: "z", PeerAddress: "owner"}, {Name: "near", Zone: "y", PeerAddress: "near"},
			{Name: "far", Zone: "x", PeerAddress: "far"},
		}
		nodes := make(map[string]*measuringNode)
		done := make(chan struct{}, len(members))
		for _, member := range members {
			created := &measuringNode{queues: &overloadedQueues{}}
			created.admission = fanout.NewAdmissionControl(created.queues)
			created.admitter = created.admission.Admitter
			roster := owner.NewRoster(member, map[string]string{"z": "r", "y": "r", "x": "q"}, noServers{})
			roster.SetNodes(members)
			announcer := owner.NewAnnouncer(owner.AnnouncerOptions{
				Admission: created.admission, Roster: roster,
				Transport: network.Transport(peer.Address(member.Name)), OnPublish: func([]loadshed.Measurement) { created.published.Add(1) },
			})
			created.announcer = announcer
			go func() { _ = announcer.Run(ctx); done <- struct{}{} }()
			nodes[member.Name] = created
		}
		test(NewWithT(t), network, nodes)
		cancel()
		for range members {
			<-done
		}
		time.Sleep(time.Minute)
		network.Close()
	})
}

type noServers struct{}

func (noServers) Generation() uint64               { return 0 }
func (noServers) ServingZones(string) []string     { return nil }
func (noServers) HasScarceConnections(string) bool { return true }
func (noServers) HasServersFor([]string) bool      { return true }

// offerLoad offers requests of a service to a node for a while; none of them is served.
func (n *measuringNode) offerLoad(span time.Duration) {
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		n.admission.Meters.RecordAdmitted(loadshed.Key{Service: "s"}, loadshed.AdmittedRequest{Work: 20 * time.Millisecond, Share: 1, ForPeers: true}, time.Now())
	}
}

// TestRegionLearnsOfShortageWithinTenthsOfASecond: the other nodes of the region learn within
// tenths of a second that a service is overloaded, and within 1.5 s that it no longer is.
// The number of messages does not grow with the load.
func TestRegionLearnsOfShortageWithinTenthsOfASecond(t *testing.T) {
	inRegion(t, func(g *WithT, _ *peer.Network, nodes map[string]*measuringNode) {
		ownerNode, near := nodes["owner"], nodes["near"]
		ownerNode.offerLoad(time.Second)
		g.Expect(ownerNode.published.Load()).To(BeZero(), "nothing is published without overload")
		ownerNode.queues.waiting = 50
		ownerNode.offerLoad(500 * time.Millisecond)
		g.Expect(near.admitter.ShareOf(loadshed.Key{Service: "s"}, loadshed.Class{}, time.Now())).To(BeNumerically("<", 0.5))
		g.Expect(nodes["far"].admitter.AdmitsAll()).To(BeTrue(), "other regions have owners of their own")
		ownerNode.offerLoad(2 * time.Second)
		g.Expect(ownerNode.published.Load()).To(BeNumerically("<=", 2500/200+1))
		ownerNode.queues.waiting = 0
		for range 100 {
			ownerNode.admission.Meters.RecordAdmitted(loadshed.Key{Service: "s"}, loadshed.AdmittedRequest{Work: 20 * time.Millisecond, Share: 1, ForPeers: true}, time.Now())
			ownerNode.admission.Meters.RecordServed(loadshed.Key{Service: "s"}, 20*time.Millisecond)
			time.Sleep(15 * time.Millisecond)
		}
		g.Expect(near.admitter.ShareOf(loadshed.Key{Service: "s"}, loadshed.Class{}, time.Now())).To(Equal(1.0))
	})
}

// TestCutOffNodeForgetsReceivedShares: received shares expire at a node that no messages reach.
func TestCutOffNodeForgetsReceivedShares(t *testing.T) {
	inRegion(t, func(g *WithT, network *peer.Network, nodes map[string]*measuringNode) {
		ownerNode, near := nodes["owner"], nodes["near"]
		ownerNode.queues.waiting = 50
		ownerNode.offerLoad(time.Second)
		g.Expect(near.admitter.AdmitsAll()).To(BeFalse())
		network.Cut([]peer.Address{"near"}, []peer.Address{"owner", "far"})
		ownerNode.offerLoad(2 * time.Second)
		g.Expect(near.admitter.ShareOf(loadshed.Key{Service: "s"}, loadshed.Class{}, time.Now())).To(Equal(1.0))
		near.admission.Sweep(time.Now())
		g.Expect(near.admitter.AdmitsAll()).To(BeTrue())
	})
}

// TestSharesOfLostOwnerExpire: the shares of an owner that stops publishing expire, and the next
// owner takes its own measurements.
func TestSharesOfLostOwnerExpire(t *testing.T) {
	inRegion(t, func(g *WithT, _ *peer.Network, nodes map[string]*measuringNode) {
		ownerNode, near := nodes["owner"], nodes["near"]
		ownerNode.queues.waiting = 50
		ownerNode.offerLoad(time.Second)
		g.Expect(near.admitter.ShareOf(loadshed.Key{Service: "s"}, loadshed.Class{}, time.Now())).To(BeNumerically("<", 1))
		near.offerLoad(2 * time.Second)
		g.Expect(near.admitter.ShareOf(loadshed.Key{Service: "s"}, loadshed.Class{}, time.Now())).To(Equal(1.0))
	})
}

// TestWhatWaitsToBeToldIsKept: a measurement that is pending while the previous message is in
// flight is not lost when one of another service follows. Here the pending one says that the first
// service admits all requests again.
func TestWhatWaitsToBeToldIsKept(t *testing.T) {
	inRegion(t, func(g *WithT, _ *peer.Network, nodes map[string]*measuringNode) {
		ownerNode, near := nodes["owner"], nodes["near"]
		first, second := loadshed.Key{Service: "first"}, loadshed.Key{Service: "second"}
		now := time.Now()
		for _, each := range [][]loadshed.Measurement{
			{{Key: first, Shares: sharesOf(0.5), MeasuredAt: now}},
			{{Key: first, MeasuredAt: now}},
			{{Key: second, Shares: sharesOf(0.5), MeasuredAt: now}},
		} {
			ownerNode.announcer.Put(each)
			// The first message is in flight when the others are put.
			synctest.Wait()
		}
		time.Sleep(100 * time.Millisecond)
		g.Expect(near.admitter.ShareOf(second, loadshed.Class{}, time.Now())).To(Equal(0.5))
		g.Expect(near.admitter.ShareOf(first, loadshed.Class{}, time.Now())).To(Equal(1.0))
	})
}

func sharesOf(share float64) loadshed.Shares {
	return loadshed.Shares{Ranks: []loadshed.RankShare{{Share: share}}}
}
