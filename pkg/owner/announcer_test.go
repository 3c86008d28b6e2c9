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

// crowdedQueues has more waiting than can be served while it is set.
type crowdedQueues struct{ waiting int }

func (q *crowdedQueues) Backlog(loadshed.Key, time.Time) loadshed.Backlog {
	return loadshed.Backlog{Waiting: q.waiting, Target: 200 * time.Millisecond}
}

// roomNode is a node that measures and is told.
type roomNode struct {
	announcer *owner.Announcer
	board     *loadshed.Admitter
	known     *fanout.AdmissionControl
	queues    *crowdedQueues
	told      atomic.Int64
}

// inRegion runs a test with three nodes, two of them in one region.
func inRegion(t *testing.T, test func(g *WithT, network *peer.Network, nodes map[string]*roomNode)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		network := peer.NewNetwork(1)
		network.SetLatency(func(_, _ peer.Address) time.Duration { return time.Millisecond })
		known := []directory.Node{
			{Name: "owner", Zone: "z", PeerAddress: "owner"}, {Name: "near", Zone: "y", PeerAddress: "near"},
			{Name: "far", Zone: "x", PeerAddress: "far"},
		}
		nodes := make(map[string]*roomNode)
		done := make(chan struct{}, len(known))
		for _, each := range known {
			created := &roomNode{queues: &crowdedQueues{}}
			created.known = fanout.NewAdmissionControl(created.queues)
			created.board = created.known.Admitter
			roster := owner.NewRoster(each, map[string]string{"z": "r", "y": "r", "x": "q"}, noServers{})
			roster.SetNodes(known)
			announcer := owner.NewAnnouncer(owner.AnnouncerOptions{
				Admission: created.known, Roster: roster,
				Transport: network.Transport(peer.Address(each.Name)), OnPublish: func([]loadshed.Measurement) { created.told.Add(1) },
			})
			created.announcer = announcer
			go func() { _ = announcer.Run(ctx); done <- struct{}{} }()
			nodes[each.Name] = created
		}
		test(NewWithT(t), network, nodes)
		cancel()
		for range known {
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

// load offers requests of a service to a node for a while.
func (n *roomNode) load(span time.Duration) {
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		n.known.Meters.RecordAdmitted(loadshed.Key{Service: "s"}, loadshed.AdmittedRequest{Work: 20 * time.Millisecond, Share: 1, ForPeers: true}, time.Now())
	}
}

// TestNodesOfTheRegionLearnWithinTenthsOfASecond that a service is short of room, and within a
// second that it is not any more; messages do not grow with the load.
func TestNodesOfTheRegionLearnWithinTenthsOfASecond(t *testing.T) {
	inRegion(t, func(g *WithT, _ *peer.Network, nodes map[string]*roomNode) {
		owning, near := nodes["owner"], nodes["near"]
		owning.load(time.Second)
		g.Expect(owning.told.Load()).To(BeZero(), "nothing is told without overload")
		owning.queues.waiting = 50
		owning.load(500 * time.Millisecond)
		g.Expect(near.board.ShareOf(loadshed.Key{Service: "s"}, loadshed.Class{}, time.Now())).To(BeNumerically("<", 0.5))
		g.Expect(nodes["far"].board.AdmitsAll()).To(BeTrue(), "other regions have owners of their own")
		owning.load(2 * time.Second)
		g.Expect(owning.told.Load()).To(BeNumerically("<=", 2500/200+1))
		owning.queues.waiting = 0
		for range 100 {
			owning.known.Meters.RecordAdmitted(loadshed.Key{Service: "s"}, loadshed.AdmittedRequest{Work: 20 * time.Millisecond, Share: 1, ForPeers: true}, time.Now())
			owning.known.Meters.RecordServed(loadshed.Key{Service: "s"}, 20*time.Millisecond)
			time.Sleep(15 * time.Millisecond)
		}
		g.Expect(near.board.ShareOf(loadshed.Key{Service: "s"}, loadshed.Class{}, time.Now())).To(Equal(1.0))
	})
}

// TestANodeThatIsCutOffForgets what it was told while nothing comes.
func TestANodeThatIsCutOffForgets(t *testing.T) {
	inRegion(t, func(g *WithT, network *peer.Network, nodes map[string]*roomNode) {
		owning, near := nodes["owner"], nodes["near"]
		owning.queues.waiting = 50
		owning.load(time.Second)
		g.Expect(near.board.AdmitsAll()).To(BeFalse())
		network.Cut([]peer.Address{"near"}, []peer.Address{"owner", "far"})
		owning.load(2 * time.Second)
		g.Expect(near.board.ShareOf(loadshed.Key{Service: "s"}, loadshed.Class{}, time.Now())).To(Equal(1.0))
		near.known.Sweep(time.Now())
		g.Expect(near.board.AdmitsAll()).To(BeTrue())
	})
}

// TestALostOwnerIsForgotten: its shares end with it, and the next owner measures anew.
func TestALostOwnerIsForgotten(t *testing.T) {
	inRegion(t, func(g *WithT, _ *peer.Network, nodes map[string]*roomNode) {
		owning, near := nodes["owner"], nodes["near"]
		owning.queues.waiting = 50
		owning.load(time.Second)
		g.Expect(near.board.ShareOf(loadshed.Key{Service: "s"}, loadshed.Class{}, time.Now())).To(BeNumerically("<", 1))
		near.load(2 * time.Second)
		g.Expect(near.board.ShareOf(loadshed.Key{Service: "s"}, loadshed.Class{}, time.Now())).To(Equal(1.0))
	})
}

// TestWhatWaitsToBeToldIsKept while the message before is on its way: that one service has room
// again is told although another's shares change meanwhile.
func TestWhatWaitsToBeToldIsKept(t *testing.T) {
	inRegion(t, func(g *WithT, _ *peer.Network, nodes map[string]*roomNode) {
		owning, near := nodes["owner"], nodes["near"]
		first, second := loadshed.Key{Service: "first"}, loadshed.Key{Service: "second"}
		now := time.Now()
		for _, each := range [][]loadshed.Measurement{
			{{Key: first, Shares: roomShare(0.5), MeasuredAt: now}},
			{{Key: first, MeasuredAt: now}},
			{{Key: second, Shares: roomShare(0.5), MeasuredAt: now}},
		} {
			owning.announcer.Put(each)
			// The first message is on its way when the others come.
			synctest.Wait()
		}
		time.Sleep(100 * time.Millisecond)
		g.Expect(near.board.ShareOf(second, loadshed.Class{}, time.Now())).To(Equal(0.5))
		g.Expect(near.board.ShareOf(first, loadshed.Class{}, time.Now())).To(Equal(1.0))
	})
}

func roomShare(part float64) loadshed.Shares {
	return loadshed.Shares{Ranks: []loadshed.RankShare{{Share: part}}}
}
