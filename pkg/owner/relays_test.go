package owner_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/bramblemast/bramblemast/pkg/directory"
	"github.com/bramblemast/bramblemast/pkg/fanout"
	"github.com/bramblemast/bramblemast/pkg/loadshed"
	"github.com/bramblemast/bramblemast/pkg/owner"
	"github.com/bramblemast/bramblemast/pkg/peer"
)

// largeRegion is a region with more nodes than one node publishes to directly.
type largeRegion struct {
	network    *peer.Network
	announcers []*owner.Announcer
	admitters  []*loadshed.Admitter

	mutex sync.Mutex
	// sent counts the messages that each node sent, and relays holds the nodes to which node0 sent
	// messages itself. Both are guarded by mutex.
	sent   map[string]int
	relays map[peer.Address]bool
}

// countingTransport counts the messages that one node sends.
type countingTransport struct {
	*peer.MemoryTransport
	region *largeRegion
	name   string
}

func (c countingTransport) Call(ctx context.Context, to peer.Address, kind peer.Kind, message, reply proto.Message) error {
	c.region.mutex.Lock()
	c.region.sent[c.name]++
	if c.name == "node0" {
		c.region.relays[to] = true
	}
	c.region.mutex.Unlock()
	return c.MemoryTransport.Call(ctx, to, kind, message, reply)
}

const largeRegionNodes = 100

// inLargeRegion runs a test with a hundred nodes; node0 is the owner of services.
func inLargeRegion(t *testing.T, test func(g *WithT, region *largeRegion)) {
	t.Helper()
	inRegionOf(t, largeRegionNodes, test)
}

// inRegionOf runs a test with count nodes in one region; node0 is the owner of services.
func inRegionOf(t *testing.T, count int, test func(g *WithT, region *largeRegion)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		region := &largeRegion{network: peer.NewNetwork(1), sent: make(map[string]int), relays: make(map[peer.Address]bool)}
		region.network.SetLatency(func(_, _ peer.Address) time.Duration { return time.Millisecond })
		var members []directory.Node
		for number := range count {
			name := fmt.Sprint("node", number)
			members = append(members, directory.Node{Name: name, Zone: "z", PeerAddress: name})
		}
		var stopped sync.WaitGroup
		for _, member := range members {
			roster := owner.NewRoster(member, map[string]string{"z": "r"}, noServers{})
			roster.SetNodes(members)
			admission := fanout.NewAdmissionControl(&overloadedQueues{})
			announcer := owner.NewAnnouncer(owner.AnnouncerOptions{
				Admission: admission, Roster: roster, OnPublish: func([]loadshed.Measurement) {},
				Transport: countingTransport{region.network.Transport(peer.Address(member.Name)), region, member.Name},
			})
			region.admitters, region.announcers = append(region.admitters, admission.Admitter), append(region.announcers, announcer)
			stopped.Go(func() { _ = announcer.Run(ctx) })
		}
		test(NewWithT(t), region)
		cancel()
		stopped.Wait()
		time.Sleep(time.Minute)
		region.network.Close()
	})
}

// publish makes the owner publish a share, and returns how many nodes know it 50 ms later.
func (r *largeRegion) publish(share float64) int {
	key := loadshed.Key{Service: "s"}
	r.announcers[0].Put([]loadshed.Measurement{{Key: key, Shares: sharesOf(share), MeasuredAt: time.Now()}})
	time.Sleep(50 * time.Millisecond)
	informed := 0
	for _, admitter := range r.admitters[1:] {
		if admitter.ShareOf(key, loadshed.Class{}, time.Now()) == share {
			informed++
		}
	}
	return informed
}

// TestAllNodesOfLargeRegionAreInformed: all nodes learn of an overload soon, each by one message, and
// the owner sends a bounded number of them itself.
func TestAllNodesOfLargeRegionAreInformed(t *testing.T) {
	inLargeRegion(t, func(g *WithT, region *largeRegion) {
		g.Expect(region.publish(0.5)).To(Equal(largeRegionNodes - 1))
		total := 0
		for name, sent := range region.sent {
			total += sent
			if name != "node0" {
				g.Expect(sent).To(BeNumerically("<=", 2), "a relay forwards to its own segment only")
			}
		}
		g.Expect(region.sent["node0"]).To(BeNumerically("<=", 40))
		g.Expect(total).To(BeNumerically("<=", largeRegionNodes))
		g.Expect(region.publish(0.4)).To(Equal(largeRegionNodes - 1))
		g.Expect(region.relays).To(HaveLen(region.sent["node0"]/2), "the same relays are used again")
	})
}

// TestLostRelayDelaysItsSegmentOnce: after a relay does not answer, the next message goes to another
// node of its segment.
func TestLostRelayDelaysItsSegmentOnce(t *testing.T) {
	inLargeRegion(t, func(g *WithT, region *largeRegion) {
		region.publish(0.5)
		var lost []peer.Address
		for address := range region.relays {
			if len(lost) < 5 {
				lost = append(lost, address)
			}
		}
		for _, address := range lost {
			region.network.Freeze(address)
		}
		g.Expect(region.publish(0.4)).To(BeNumerically(">=", largeRegionNodes-1-3*len(lost)))
		time.Sleep(400 * time.Millisecond)
		g.Expect(region.publish(0.3)).To(Equal(largeRegionNodes - 1 - len(lost)))
		for _, address := range lost {
			region.network.Thaw(address)
		}
		time.Sleep(400 * time.Millisecond)
		g.Expect(region.publish(0.2)).To(Equal(largeRegionNodes-1), "the lost relays are informed by others")
	})
}

// TestForwardedMessagesDoNotGrowWithOwners: measurements that arrive while a message is being
// forwarded are combined in the next one.
func TestForwardedMessagesDoNotGrowWithOwners(t *testing.T) {
	inLargeRegion(t, func(g *WithT, region *largeRegion) {
		for number := range 40 {
			key := loadshed.Key{Service: fmt.Sprint("s", number)}
			region.announcers[number].Put([]loadshed.Measurement{{Key: key, Shares: sharesOf(0.5), MeasuredAt: time.Now()}})
		}
		time.Sleep(50 * time.Millisecond)
		for _, admitter := range region.admitters {
			g.Expect(admitter.LimitedServices()).To(BeNumerically(">=", 39))
		}
		for _, sent := range region.sent {
			g.Expect(sent).To(BeNumerically("<=", 40+2*6))
		}
	})
}

// TestUnresponsiveNodesDelayNoOthers: most of forty nodes do not answer, among them those that are
// first by name. The others are informed at once.
func TestUnresponsiveNodesDelayNoOthers(t *testing.T) {
	const count, lost = 40, 33
	inRegionOf(t, count, func(g *WithT, region *largeRegion) {
		var names []string
		for number := range count - 1 {
			names = append(names, fmt.Sprint("node", number+1))
		}
		slices.Sort(names)
		for _, name := range names[:lost] {
			region.network.Freeze(peer.Address(name))
		}
		g.Expect(region.publish(0.5)).To(Equal(count - 1 - lost))
	})
}

// TestForwardingRateIsBounded: all nodes are owners that publish five times a second, each at a
// different time.
func TestForwardingRateIsBounded(t *testing.T) {
	const rounds, interval = 10, 2 * time.Millisecond
	inLargeRegion(t, func(g *WithT, region *largeRegion) {
		for round := range rounds {
			for number, announcer := range region.announcers {
				key := loadshed.Key{Service: fmt.Sprint("s", number)}
				announcer.Put([]loadshed.Measurement{{Key: key, Shares: sharesOf(0.9 - float64(round)/20), MeasuredAt: time.Now()}})
				time.Sleep(interval)
			}
		}
		time.Sleep(50 * time.Millisecond)
		for own, admitter := range region.admitters {
			for number := range largeRegionNodes {
				if share := admitter.ShareOf(loadshed.Key{Service: fmt.Sprint("s", number)}, loadshed.Class{}, time.Now()); number != own {
					g.Expect(share).To(Equal(0.9 - float64(rounds-1)/20))
				}
			}
		}
		maxSent := 0
		for _, sent := range region.sent {
			maxSent = max(maxSent, sent)
		}
		t.Log("most messages of a node:", maxSent)
		span := rounds*largeRegionNodes*interval + 50*time.Millisecond
		// A segment has at most two nodes besides the local one.
		maxForwarded := 2 * int(span/(20*time.Millisecond)+1)
		g.Expect(maxSent).To(BeNumerically("<=", 40*rounds+maxForwarded))
	})
}
