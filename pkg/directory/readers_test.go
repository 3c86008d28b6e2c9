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

// sharedNewsAge is an allowed age of news with which nodes read for each other.
const sharedNewsAge = 2800 * time.Millisecond

// sharingCluster starts nodes of one zone that read for each other and lets them
// settle.
func sharingCluster(t *testing.T, count int) ([]*node, func()) {
	t.Helper()
	nodes, stop := cluster(t, count)
	for _, each := range nodes {
		each.SetStalenessBound(sharedNewsAge)
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

// expectNews writes a key and checks that all nodes know of it in time. The
// allowed age may be exceeded by a call that fails and the comparison after it.
func expectNews(g *WithT, nodes []*node, key string) {
	revision := writeAll(nodes, key, false)
	time.Sleep(sharedNewsAge + compareInterval)
	for index, each := range nodes {
		g.Expect(each.seen.has(key)).To(Equal(revision), "%s at node %d, role %s", key, index, each.Role())
	}
}

// TestFewNodesOfAZoneReadTheStore: the calls of a zone hardly grow with its nodes,
// and all have news in time. (skipulag-leit-grown: calls were priced at 0.035 to
// 0.052 of the worth)
func TestFewNodesOfAZoneReadTheStore(t *testing.T) {
	for _, count := range []int{3, 12, 40} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			nodes, stop := sharingCluster(t, count)
			g.Expect(withRole(nodes, Reader)).To(HaveLen(leastReaders))
			g.Expect(withRole(nodes, PeerPoller)).To(HaveLen(count - leastReaders))
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
				expectNews(g, nodes, fmt.Sprint("key ", index))
			}
			made := watchesOf() - before
			stop()
			elapsed := 20 * (sharedNewsAge + compareInterval)
			// A change ends one wait of a reader early.
			greatest := leastReaders * (int(elapsed/(sharedNewsAge/2)) + 20)
			t.Logf("%d nodes: %d calls", count, made)
			g.Expect(made).To(BeNumerically("<=", greatest))
		})
	}
}

// TestALostReaderHoldsNoNewsBack: one that the store refuses, one whose watch
// hears nothing, and both lost at once.
func TestALostReaderHoldsNoNewsBack(t *testing.T) {
	refuse := func(lost *node) { lost.source.set(func() { lost.source.fail = errors.New("refused") }) }
	hang := func(lost *node) { lost.source.set(func() { lost.source.deaf = true }) }
	for name, test := range map[string]struct {
		lost  int
		lose  func(*node)
		heals func(*node)
	}{
		"one refused":  {1, refuse, func(lost *node) { lost.source.set(func() { lost.source.fail = nil }) }},
		"both refused": {2, refuse, func(lost *node) { lost.source.set(func() { lost.source.fail = nil }) }},
		"one deaf":     {1, hang, func(lost *node) { lost.source.set(func() { lost.source.deaf = false }) }},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				nodes, stop := sharingCluster(t, 8)
				lost := withRole(nodes, Reader)[:test.lost]
				for _, each := range lost {
					test.lose(each)
				}
				for index := range 8 {
					expectNews(g, nodes, fmt.Sprint(name, index))
				}
				for _, each := range lost {
					test.heals(each)
				}
				time.Sleep(avoidSpan + 5*time.Second)
				expectNews(g, nodes, "healed")
				g.Expect(withRole(nodes, Reader)).To(HaveLen(leastReaders), "those that were lost read again")
				stop()
			})
		})
	}
}

// TestASilentReaderIsReplaced: a reader that does not answer its peers any more is
// left out, and another node reads instead.
func TestASilentReaderIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		nodes, stop, network := clusterOn(t, 6)
		for _, each := range nodes {
			each.SetStalenessBound(sharedNewsAge)
		}
		time.Sleep(10 * time.Second)
		silent := slices.Index(nodes, withRole(nodes, Reader)[0])
		others := slices.Delete(slices.Clone(nodes), silent, silent+1)
		network.Freeze(peer.Address(fmt.Sprint(silent)))
		for index := range 5 {
			revision := writeAll(nodes, fmt.Sprint(index), false)
			time.Sleep(sharedNewsAge + compareInterval)
			for _, each := range others {
				g.Expect(each.seen.has(fmt.Sprint(index))).To(Equal(revision))
			}
		}
		g.Expect(withRole(others, Reader)).To(HaveLen(leastReaders))
		told := 0
		for _, each := range others {
			told += int(each.leftOut.Load())
		}
		g.Expect(told).To(BeNumerically(">", 0), "and the operators are told why")
		network.Thaw(peer.Address(fmt.Sprint(silent)))
		stop()
	})
}

// TestAnAskerKnowsThatTheStoreWasAway: a key that went while the store was away
// proves nothing to a node that hears of it from a reader either.
func TestAnAskerKnowsThatTheStoreWasAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		nodes, stop := sharingCluster(t, 6)
		for _, reader := range withRole(nodes, Reader) {
			reader.source.set(func() { reader.source.fail = errors.New("refused") })
		}
		time.Sleep(600 * time.Millisecond)
		for _, reader := range withRole(nodes, Reader) {
			reader.source.set(func() { reader.source.fail = nil })
		}
		writeAll(nodes, "first", true)
		time.Sleep(2 * time.Second)
		for _, asker := range withRole(nodes, PeerPoller) {
			g.Expect(asker.seen.has("first")).To(BeZero())
			doubted := asker.AbsenceUncertainUntil(5*time.Second, time.Now())
			g.Expect(doubted).To(BeTemporally(">", time.Now().Add(time.Second)))
		}
		stop()
	})
}

// TestEveryNodeOfALargeZoneIsTold by nodes that have a bounded number of others to
// tell, so that what a node sends does not grow with the zone, along few steps from
// the readers.
func TestEveryNodeOfALargeZoneIsTold(t *testing.T) {
	g := NewWithT(t)
	for _, nodes := range []int{3, 18, 19, 52, 318} {
		children, steps := make(map[int]int), make([]int, nodes)
		for rank := leastReaders; rank < nodes; rank++ {
			first, last := parents(rank)
			g.Expect(last-first).To(Equal(1), "each node has two to ask")
			g.Expect(last).To(BeNumerically("<", rank))
			steps[rank] = max(steps[first], steps[last]) + 1
			children[first]++
			children[last]++
			g.Expect(rank).To(And(BeNumerically(">=", firstChild(first)), BeNumerically("<", firstChild(first+leastReaders))))
		}
		for rank, count := range children {
			// A node shares its children with another one.
			g.Expect(count).To(BeNumerically("<=", leastReaders*nodesPerParent), "rank %d of %d", rank, nodes)
		}
		most := slices.Max(steps)
		g.Expect(most > 1).To(Equal(nodes > leastReaders*(1+nodesPerParent)))
		g.Expect(most).To(BeNumerically("<=", 3))
	}
}

// TestNodesReadAloneWhereNewsMustBeYoung, and where a zone has few of them.
func TestNodesReadAloneWhereNewsMustBeYoung(t *testing.T) {
	g := NewWithT(t)
	local := Node{Name: "a", PeerAddress: "a", Zone: "z"}
	zone := []Node{local, {Name: "b", PeerAddress: "b", Zone: "z"}, {Name: "c", PeerAddress: "c", Zone: "z"}}
	now := time.Unix(100, 0)
	g.Expect(newReaders(local, nil).role(zone, MinStalenessBound, now)).To(Equal(Standalone))
	g.Expect(newReaders(local, nil).role(zone[:2], sharedNewsAge, now)).To(Equal(Standalone))
	g.Expect(newReaders(local, nil).role(nil, sharedNewsAge, now)).To(Equal(Standalone))
	others := []Node{{Name: "b", PeerAddress: "b", Zone: "y"}, {Name: "c", PeerAddress: "c", Zone: "y"}}
	g.Expect(newReaders(local, nil).role(others, sharedNewsAge, now)).To(Equal(Standalone), "another zone's nodes")
	apart, together := map[string]string{local.Zone: "r", others[0].Zone: "q"}, map[string]string{local.Zone: "r", others[0].Zone: "r"}
	g.Expect(newReaders(local, apart).role(others, sharedNewsAge, now)).To(Equal(Standalone), "another region's nodes")
	g.Expect(newReaders(local, together).role(others, sharedNewsAge, now)).NotTo(Equal(Standalone), "the region's nodes")
	byRole := make(map[Role]int)
	for _, each := range zone {
		byRole[newReaders(each, nil).role(zone, sharedNewsAge, now)]++
	}
	g.Expect(byRole).To(Equal(map[Role]int{Reader: 2, PeerPoller: 1}))
}

// TestAnOutageIsNotMetByAllNodes: while the store does not answer, few nodes go on
// asking it, and all know soon that it is back. With 40 nodes that each tried again
// within 0.8 s it would be 200 calls and more.
func TestAnOutageIsNotMetByAllNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		const count = 40
		nodes, stop := sharingCluster(t, count)
		callsOf := func() int {
			total := 0
			for _, each := range nodes {
				loads, watches := each.source.calls()
				total += loads + watches
			}
			return total
		}
		for _, each := range nodes {
			each.source.set(func() { each.source.fail = errors.New("refused") })
		}
		before := callsOf()
		time.Sleep(5 * time.Second)
		t.Logf("%d calls in an outage of 5 s", callsOf()-before)
		g.Expect(callsOf() - before).To(BeNumerically("<=", count+leastReaders*10))
		for _, each := range nodes {
			each.source.set(func() { each.source.fail = nil })
		}
		revision := writeAll(nodes, "after", false)
		time.Sleep(greatestRetry + readerShareOf(sharedNewsAge) + 2*compareInterval)
		for index, each := range nodes {
			g.Expect(each.seen.has("after")).To(Equal(revision), "node %d, role %s", index, each.Role())
			g.Expect(each.IsStoreLost()).To(BeFalse())
		}
		stop()
	})
}

func readerShareOf(span time.Duration) time.Duration {
	return time.Duration(readerShare * float64(span))
}

// TestAForgottenHistoryIsReadByReadersOnly: they tell the others what has gone
// meanwhile.
func TestAForgottenHistoryIsReadByReadersOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		nodes, stop := sharingCluster(t, 12)
		writeAll(nodes, "gone", false)
		time.Sleep(sharedNewsAge + compareInterval)
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
				each.source.set(func() { each.source.deaf = true })
			}
			writeAll(nodes, "gone", true)
			writeAll(nodes, "comes and goes", false)
			writeAll(nodes, "comes and goes", true)
			revision := writeAll(nodes, "new", false)
			for _, each := range nodes {
				each.source.set(func() { each.source.deaf, each.source.forgotten = false, revision })
			}
			time.Sleep(sharedNewsAge + 2*compareInterval)
			for _, each := range nodes {
				g.Expect(each.seen.has("new")).To(Equal(revision))
				g.Expect(each.seen.has("gone")).To(BeZero())
				g.Expect(each.seen.has("comes and goes")).To(BeZero())
			}
			writeAll(nodes, "gone", false)
			time.Sleep(sharedNewsAge + compareInterval)
		}
		g.Expect(loadsOf()).To(Equal(before))
		stop()
	})
}

// knowAll lets every node know all others.
func knowAll(_ *node, members []Node) []Node { return members }

// TestAWholeSystemStartsWithFewCalls: nodes that start together find each other in
// copies of the store, and only the readers read the store itself.
func TestAWholeSystemStartsWithFewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		const count = 12
		knowRegistered := func(of *node, members []Node) []Node {
			var known []Node
			for _, member := range members {
				if of.seen.has(member.Name) != 0 {
					known = append(known, member)
				}
			}
			return known
		}
		nodes, stop, _ := preparedCluster(t, count, func(prepared *node) {
			prepared.source.lag = count
			prepared.SetFirstStart(true)
			prepared.SetStalenessBound(sharedNewsAge)
		}, knowRegistered)
		time.Sleep(20 * time.Millisecond)
		for index := range nodes {
			writeAll(nodes, fmt.Sprint(index), false)
		}
		time.Sleep(500 * time.Millisecond)
		for _, each := range nodes {
			each.source.set(func() { each.source.lag = 0 })
		}
		time.Sleep(5 * time.Second)
		g.Expect(withRole(nodes, Reader)).To(HaveLen(leastReaders))
		for _, asker := range withRole(nodes, PeerPoller) {
			loads, watches := asker.source.calls()
			g.Expect(loads).To(Equal(asker.source.copies))
			g.Expect(watches).To(BeZero())
		}
		stop()
	})
}

// TestAStartReadsACopyAndHearsTheRest from the readers, which read the store itself.
func TestAStartReadsACopyAndHearsTheRest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		const written, lag = 20, 5
		nodes, stop, _ := preparedCluster(t, 12, func(prepared *node) {
			prepared.source.lag = lag
			prepared.SetStalenessBound(sharedNewsAge)
			for index := range written {
				prepared.source.write(fmt.Sprint("key ", index), index >= written-lag && index%2 == 0)
			}
		}, knowAll)
		time.Sleep(2 * confirmSpan)
		for index, each := range nodes {
			g.Expect(each.seen.has(fmt.Sprint("key ", written-1))).To(BeEquivalentTo(written), "node %d, role %s", index, each.Role())
			g.Expect(each.seen.has(fmt.Sprint("key ", written-2))).To(BeZero())
			loads, watches := each.source.calls()
			g.Expect(loads).To(Equal(each.source.copies))
			if each.Role() == PeerPoller {
				g.Expect(loads+watches).To(Equal(1), "node %d", index)
			}
		}
		stop()
	})
}

// TestACopyWhoseHistoryIsForgottenIsNotReadAgain: the store itself is.
func TestACopyWhoseHistoryIsForgottenIsNotReadAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		nodes, stop, _ := preparedCluster(t, 1, func(prepared *node) {
			prepared.source.lag = 1
			prepared.source.write("gone", false)
			prepared.source.write("gone", true)
			prepared.source.forgotten = prepared.source.write("new", false)
		}, knowAll)
		time.Sleep(2 * MinStalenessBound)
		g.Expect(nodes[0].seen.has("new")).To(BeEquivalentTo(3))
		g.Expect(nodes[0].seen.has("gone")).To(BeZero())
		loads, _ := nodes[0].source.calls()
		g.Expect(loads).To(Equal(2))
		stop()
	})
}

// TestAWholeSystemThatStartsReadsCopies until its nodes have found each other.
func TestAWholeSystemThatStartsReadsCopies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		seen, source := &observer{state: make(map[string]uint64)}, newHistory()
		follower := NewFollower(source, seen)
		follower.SetFirstStart(true)
		follower.others = func() int { return 0 }
		ctx, cancel := context.WithCancel(context.Background())
		var group sync.WaitGroup
		group.Go(func() { _ = follower.Run(ctx) })
		time.Sleep(gatherSpan - time.Millisecond)
		_, watches := source.calls()
		g.Expect(watches).To(BeZero())
		g.Expect(source.copies).To(Equal(int(gatherSpan / confirmSpan)))
		time.Sleep(2 * confirmSpan)
		revision := source.write("key", false)
		synctest.Wait()
		g.Expect(seen.has("key")).To(Equal(revision), "then it reads the store itself")
		cancel()
		group.Wait()
	})
}
