package directory

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/pkg/peer"
)

// sharedStaleness is a staleness bound with which nodes read for each other.
const sharedStaleness = 2800 * time.Millisecond

// startSharingCluster starts nodes of one zone that read for each other and lets them settle.
func startSharingCluster(t *testing.T, count int) ([]*node, func()) {
	t.Helper()
	nodes, stop := startCluster(t, count)
	for _, each := range nodes {
		each.SetStalenessBound(sharedStaleness)
	}
	writeAll(nodes, "first", false)
	time.Sleep(10 * time.Second)
	return nodes, stop
}

// withRole returns the nodes that have a role.
func withRole(nodes []*node, role Role) []*node {
	var found []*node
	for _, each := range nodes {
		if each.Role() == role {
			found = append(found, each)
		}
	}
	return found
}

// expectDelivered writes a key and checks that all nodes know of it in time. The staleness bound
// may be exceeded by a call that fails and the comparison after it.
func expectDelivered(g *WithT, nodes []*node, key string) {
	revision := writeAll(nodes, key, false)
	time.Sleep(sharedStaleness + compareInterval)
	for index, each := range nodes {
		g.Expect(each.seen.revisionOf(key)).To(Equal(revision), "%s at node %d, role %s", key, index, each.Role())
	}
}

// TestFewNodesOfAZoneReadTheStore checks that the calls of a zone hardly grow with its number of
// nodes, and that changes still reach all of them in time. In one deployment the cost of calls to
// the store made up 0.035 to 0.052 of the total value of the service.
func TestFewNodesOfAZoneReadTheStore(t *testing.T) {
	for _, count := range []int{3, 12, 40} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			nodes, stop := startSharingCluster(t, count)
			g.Expect(withRole(nodes, Reader)).To(HaveLen(readersPerRegion))
			g.Expect(withRole(nodes, PeerPoller)).To(HaveLen(count - readersPerRegion))
			watchesOf := func() int {
				total := 0
				for _, each := range nodes {
					_, watches := each.source.calls()
					total += watches
				}
				return total
			}
			before := watchesOf()
			for index := range 20 {
				expectDelivered(g, nodes, fmt.Sprint("key ", index))
			}
			made := watchesOf() - before
			stop()
			elapsed := 20 * (sharedStaleness + compareInterval)
			// A change ends one wait of a reader early.
			maxCalls := readersPerRegion * (int(elapsed/(sharedStaleness/2)) + 20)
			t.Logf("%d nodes: %d calls of the store", count, made)
			g.Expect(made).To(BeNumerically("<=", maxCalls))
		})
	}
}

// TestALostReaderHoldsNoNewsBack checks that changes arrive in time when readers are lost: one that
// the store refuses, one whose watch reports nothing, and both at once.
func TestALostReaderHoldsNoNewsBack(t *testing.T) {
	refuse := func(lost *node) { lost.source.update(func() { lost.source.failure = errors.New("refused") }) }
	silence := func(lost *node) { lost.source.update(func() { lost.source.watchesSilent = true }) }
	for name, test := range map[string]struct {
		lost  int
		lose  func(*node)
		heals func(*node)
	}{
		"one refused":  {1, refuse, func(lost *node) { lost.source.update(func() { lost.source.failure = nil }) }},
		"both refused": {2, refuse, func(lost *node) { lost.source.update(func() { lost.source.failure = nil }) }},
		"one deaf":     {1, silence, func(lost *node) { lost.source.update(func() { lost.source.watchesSilent = false }) }},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				nodes, stop := startSharingCluster(t, 8)
				lost := withRole(nodes, Reader)[:test.lost]
				for _, each := range lost {
					test.lose(each)
				}
				for index := range 8 {
					expectDelivered(g, nodes, fmt.Sprint(name, index))
				}
				for _, each := range lost {
					test.heals(each)
				}
				time.Sleep(ejectionSpan + 5*time.Second)
				expectDelivered(g, nodes, "healed")
				g.Expect(withRole(nodes, Reader)).To(HaveLen(readersPerRegion), "the healed readers read again")
				stop()
			})
		})
	}
}

// TestASilentReaderIsReplaced checks that a reader that stops answering its peers is ejected, and
// that another node reads instead.
func TestASilentReaderIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		nodes, stop, network := startClusterOnNetwork(t, 6)
		for _, each := range nodes {
			each.SetStalenessBound(sharedStaleness)
		}
		time.Sleep(10 * time.Second)
		silent := slices.Index(nodes, withRole(nodes, Reader)[0])
		others := slices.Delete(slices.Clone(nodes), silent, silent+1)
		network.Freeze(peer.Address(fmt.Sprint(silent)))
		for index := range 5 {
			revision := writeAll(nodes, fmt.Sprint(index), false)
			time.Sleep(sharedStaleness + compareInterval)
			for _, each := range others {
				g.Expect(each.seen.revisionOf(fmt.Sprint(index))).To(Equal(revision))
			}
		}
		g.Expect(withRole(others, Reader)).To(HaveLen(readersPerRegion))
		total := 0
		for _, each := range others {
			total += int(each.ejections.Load())
		}
		g.Expect(total).To(BeNumerically(">", 0), "the ejections are reported")
		network.Thaw(peer.Address(fmt.Sprint(silent)))
		stop()
	})
}

// TestAnAskerKnowsThatTheStoreWasAway checks that a deletion during an outage of the store is
// uncertain also at a node that learns of it from a reader.
func TestAnAskerKnowsThatTheStoreWasAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		nodes, stop := startSharingCluster(t, 6)
		for _, reader := range withRole(nodes, Reader) {
			reader.source.update(func() { reader.source.failure = errors.New("refused") })
		}
		time.Sleep(600 * time.Millisecond)
		for _, reader := range withRole(nodes, Reader) {
			reader.source.update(func() { reader.source.failure = nil })
		}
		writeAll(nodes, "first", true)
		time.Sleep(2 * time.Second)
		for _, poller := range withRole(nodes, PeerPoller) {
			g.Expect(poller.seen.revisionOf("first")).To(BeZero())
			uncertainUntil := poller.AbsenceUncertainUntil(5*time.Second, time.Now())
			g.Expect(uncertainUntil).To(BeTemporally(">", time.Now().Add(time.Second)))
		}
		stop()
	})
}

// TestEveryNodeOfALargeZoneIsTold checks that changes reach each node of a large zone within few
// steps from the readers, by nodes that each serve a bounded number of others, so that what a node
// sends does not grow with the zone.
func TestEveryNodeOfALargeZoneIsTold(t *testing.T) {
	g := NewWithT(t)
	for _, nodes := range []int{3, 18, 19, 52, 318} {
		children, steps := make(map[int]int), make([]int, nodes)
		for rank := readersPerRegion; rank < nodes; rank++ {
			first, last := parents(rank)
			g.Expect(last-first).To(Equal(1), "each node has two parents")
			g.Expect(last).To(BeNumerically("<", rank))
			steps[rank] = max(steps[first], steps[last]) + 1
			children[first]++
			children[last]++
			g.Expect(rank).To(And(BeNumerically(">=", firstChild(first)), BeNumerically("<", firstChild(first+readersPerRegion))))
		}
		for rank, count := range children {
			// A node shares its children with another one.
			g.Expect(count).To(BeNumerically("<=", readersPerRegion*childrenPerParent), "rank %d of %d serves too many nodes", rank, nodes)
		}
		maxSteps := slices.Max(steps)
		g.Expect(maxSteps > 1).To(Equal(nodes > readersPerRegion*(1+childrenPerParent)))
		g.Expect(maxSteps).To(BeNumerically("<=", 3))
	}
}

// TestNodesReadAloneUnderATightStalenessBound checks that nodes read for themselves under a tight
// staleness bound, and in a region with few nodes.
func TestNodesReadAloneUnderATightStalenessBound(t *testing.T) {
	g := NewWithT(t)
	local := Node{Name: "a", PeerAddress: "a", Zone: "z"}
	zone := []Node{local, {Name: "b", PeerAddress: "b", Zone: "z"}, {Name: "c", PeerAddress: "c", Zone: "z"}}
	now := time.Unix(100, 0)
	g.Expect(newReaders(local, nil).role(zone, MinStalenessBound, now)).To(Equal(Standalone))
	g.Expect(newReaders(local, nil).role(zone[:2], sharedStaleness, now)).To(Equal(Standalone))
	g.Expect(newReaders(local, nil).role(nil, sharedStaleness, now)).To(Equal(Standalone))
	others := []Node{{Name: "b", PeerAddress: "b", Zone: "y"}, {Name: "c", PeerAddress: "c", Zone: "y"}}
	g.Expect(newReaders(local, nil).role(others, sharedStaleness, now)).To(Equal(Standalone), "another zone's nodes")
	apart, together := map[string]string{local.Zone: "r", others[0].Zone: "q"}, map[string]string{local.Zone: "r", others[0].Zone: "r"}
	g.Expect(newReaders(local, apart).role(others, sharedStaleness, now)).To(Equal(Standalone), "another region's nodes")
	g.Expect(newReaders(local, together).role(others, sharedStaleness, now)).NotTo(Equal(Standalone), "the region's nodes")
	byRole := make(map[Role]int)
	for _, each := range zone {
		byRole[newReaders(each, nil).role(zone, sharedStaleness, now)]++
	}
	g.Expect(byRole).To(Equal(map[Role]int{Reader: 2, PeerPoller: 1}))
}

// TestAnOutageIsNotMetByAllNodes checks that few nodes keep calling a store that does not answer,
// and that all learn soon when it is back. If each of 40 nodes retried within 0.8 s, that would be
// 200 calls and more.
func TestAnOutageIsNotMetByAllNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		const count = 40
		nodes, stop := startSharingCluster(t, count)
		callsOf := func() int {
			total := 0
			for _, each := range nodes {
				loads, watches := each.source.calls()
				total += loads + watches
			}
			return total
		}
		for _, each := range nodes {
			each.source.update(func() { each.source.failure = errors.New("refused") })
		}
		before := callsOf()
		time.Sleep(5 * time.Second)
		t.Logf("%d calls in an outage of 5 s", callsOf()-before)
		g.Expect(callsOf() - before).To(BeNumerically("<=", count+readersPerRegion*10))
		for _, each := range nodes {
			each.source.update(func() { each.source.failure = nil })
		}
		revision := writeAll(nodes, "after", false)
		time.Sleep(maxRetry + readerShareOf(sharedStaleness) + 2*compareInterval)
		for index, each := range nodes {
			g.Expect(each.seen.revisionOf("after")).To(Equal(revision), "node %d, role %s", index, each.Role())
			g.Expect(each.IsStoreLost()).To(BeFalse())
		}
		stop()
	})
}

func readerShareOf(span time.Duration) time.Duration {
	return time.Duration(readerShare * float64(span))
}

// TestAForgottenHistoryIsReadByReadersOnly checks that only the readers read everything again when
// the store has dropped its changes, and that they tell the others which keys were deleted.
func TestAForgottenHistoryIsReadByReadersOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		nodes, stop := startSharingCluster(t, 12)
		writeAll(nodes, "gone", false)
		time.Sleep(sharedStaleness + compareInterval)
		loadsOf := func() int {
			total := 0
			for _, each := range withRole(nodes, PeerPoller) {
				loads, _ := each.source.calls()
				total += loads
			}
			return total
		}
		before := loadsOf()
		for range 4 {
			for _, each := range nodes {
				each.source.update(func() { each.source.watchesSilent = true })
			}
			writeAll(nodes, "gone", true)
			writeAll(nodes, "comes and goes", false)
			writeAll(nodes, "comes and goes", true)
			revision := writeAll(nodes, "new", false)
			for _, each := range nodes {
				each.source.update(func() { each.source.watchesSilent, each.source.compactedUpTo = false, revision })
			}
			time.Sleep(sharedStaleness + 2*compareInterval)
			for _, each := range nodes {
				g.Expect(each.seen.revisionOf("new")).To(Equal(revision))
				g.Expect(each.seen.revisionOf("gone")).To(BeZero())
				g.Expect(each.seen.revisionOf("comes and goes")).To(BeZero())
			}
			writeAll(nodes, "gone", false)
			time.Sleep(sharedStaleness + compareInterval)
		}
		g.Expect(loadsOf()).To(Equal(before))
		stop()
	})
}

// knowAll lets every node know all others.
func knowAll(_ *node, members []Node) []Node { return members }

// TestAWholeSystemStartsWithFewCalls checks that nodes which start together find each other in
// copies of the store, so that only the readers read the store itself.
func TestAWholeSystemStartsWithFewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		const count = 12
		knowRegistered := func(of *node, members []Node) []Node {
			var known []Node
			for _, member := range members {
				if of.seen.revisionOf(member.Name) != 0 {
					known = append(known, member)
				}
			}
			return known
		}
		nodes, stop, _ := startPreparedCluster(t, count, func(prepared *node) {
			prepared.source.lag = count
			prepared.SetFirstStart(true)
			prepared.SetStalenessBound(sharedStaleness)
		}, knowRegistered)
		time.Sleep(20 * time.Millisecond)
		for index := range nodes {
			writeAll(nodes, fmt.Sprint(index), false)
		}
		time.Sleep(500 * time.Millisecond)
		for _, each := range nodes {
			each.source.update(func() { each.source.lag = 0 })
		}
		time.Sleep(5 * time.Second)
		g.Expect(withRole(nodes, Reader)).To(HaveLen(readersPerRegion))
		for _, poller := range withRole(nodes, PeerPoller) {
			loads, watches := poller.source.calls()
			g.Expect(loads).To(Equal(poller.source.copies))
			g.Expect(watches).To(BeZero())
		}
		stop()
	})
}

// TestAStartReadsACopyAndHearsTheRest checks that a starting node reads a copy of the store and
// gets the later changes from the readers, which read the store itself.
func TestAStartReadsACopyAndHearsTheRest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		const written, lag = 20, 5
		nodes, stop, _ := startPreparedCluster(t, 12, func(prepared *node) {
			prepared.source.lag = lag
			prepared.SetStalenessBound(sharedStaleness)
			for index := range written {
				prepared.source.write(fmt.Sprint("key ", index), index >= written-lag && index%2 == 0)
			}
		}, knowAll)
		time.Sleep(2 * confirmTimeout)
		for index, each := range nodes {
			g.Expect(each.seen.revisionOf(fmt.Sprint("key ", written-1))).To(BeEquivalentTo(written), "node %d, role %s", index, each.Role())
			g.Expect(each.seen.revisionOf(fmt.Sprint("key ", written-2))).To(BeZero())
			loads, watches := each.source.calls()
			g.Expect(loads).To(Equal(each.source.copies))
			if each.Role() == PeerPoller {
				g.Expect(loads+watches).To(Equal(1), "node %d", index)
			}
		}
		stop()
	})
}

// TestACopyWithACompactedHistoryIsNotReadAgain checks that the store itself is read when it has
// dropped the changes since the copy.
func TestACopyWithACompactedHistoryIsNotReadAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		nodes, stop, _ := startPreparedCluster(t, 1, func(prepared *node) {
			prepared.source.lag = 1
			prepared.source.write("gone", false)
			prepared.source.write("gone", true)
			prepared.source.compactedUpTo = prepared.source.write("new", false)
		}, knowAll)
		time.Sleep(2 * MinStalenessBound)
		g.Expect(nodes[0].seen.revisionOf("new")).To(BeEquivalentTo(3))
		g.Expect(nodes[0].seen.revisionOf("gone")).To(BeZero())
		loads, _ := nodes[0].source.calls()
		g.Expect(loads).To(Equal(2))
		stop()
	})
}

// TestAWholeSystemThatStartsReadsCopies checks that a starting node reads only copies until it has
// had time to find others, and then the store itself.
func TestAWholeSystemThatStartsReadsCopies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		seen, source := &observer{state: make(map[string]uint64)}, newFakeStore()
		follower := NewFollower(source, seen)
		follower.SetFirstStart(true)
		follower.peerCount = func() int { return 0 }
		ctx, cancel := context.WithCancel(context.Background())
		var group sync.WaitGroup
		group.Go(func() { _ = follower.Run(ctx) })
		time.Sleep(discoverySpan - time.Millisecond)
		_, watches := source.calls()
		g.Expect(watches).To(BeZero())
		g.Expect(source.copies).To(Equal(int(discoverySpan / confirmTimeout)))
		time.Sleep(2 * confirmTimeout)
		revision := source.write("key", false)
		synctest.Wait()
		g.Expect(seen.revisionOf("key")).To(Equal(revision), "then it reads the store itself")
		cancel()
		group.Wait()
	})
}
