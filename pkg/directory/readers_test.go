package directory

import (
	"fmt"
	"slices"
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
		each.SetNewsAge(sharedNewsAge)
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
			readers := readerCount(count)
			g.Expect(withRole(nodes, Reader)).To(HaveLen(readers))
			g.Expect(withRole(nodes, Asker)).To(HaveLen(count - readers))
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
			greatest := readers * (int(elapsed/(sharedNewsAge/2)) + 20)
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
			each.SetNewsAge(sharedNewsAge)
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
		for _, asker := range withRole(nodes, Asker) {
			g.Expect(asker.seen.has("first")).To(BeZero())
			doubted := asker.DoubtedUntil(5*time.Second, time.Now())
			g.Expect(doubted).To(BeTemporally(">", time.Now().Add(time.Second)))
		}
		stop()
	})
}

// TestReadersOfLargeZones: a reader has a bounded number of nodes to tell, so that
// what it sends does not grow with the zone. (sweep of skipulag-leit-grown at 300
// machines: 287 kB/s at the busiest node)
func TestReadersOfLargeZones(t *testing.T) {
	g := NewWithT(t)
	for nodes, readers := range map[int]int{1: 1, 2: 2, 3: 2, 16: 2, 17: 3, 50: 7, 318: 40} {
		g.Expect(readerCount(nodes)).To(Equal(readers), "%d nodes", nodes)
	}
}

// TestNodesReadAloneWhereNewsMustBeYoung, and where a zone has few of them.
func TestNodesReadAloneWhereNewsMustBeYoung(t *testing.T) {
	g := NewWithT(t)
	local := Node{Name: "a", PeerAddress: "a", Zone: "z"}
	zone := []Node{local, {Name: "b", PeerAddress: "b", Zone: "z"}, {Name: "c", PeerAddress: "c", Zone: "z"}}
	now := time.Unix(100, 0)
	g.Expect(newReaders(local).role(zone, LeastNewsAge, now)).To(Equal(Alone))
	g.Expect(newReaders(local).role(zone[:2], sharedNewsAge, now)).To(Equal(Alone))
	g.Expect(newReaders(local).role(nil, sharedNewsAge, now)).To(Equal(Alone))
	others := []Node{{Name: "b", PeerAddress: "b", Zone: "y"}, {Name: "c", PeerAddress: "c", Zone: "y"}}
	g.Expect(newReaders(local).role(others, sharedNewsAge, now)).To(Equal(Alone), "another zone's nodes")
	byRole := make(map[Role]int)
	for _, each := range zone {
		byRole[newReaders(each).role(zone, sharedNewsAge, now)]++
	}
	g.Expect(byRole).To(Equal(map[Role]int{Reader: 2, Asker: 1}))
}
