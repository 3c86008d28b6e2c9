package directory

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/pkg/peer"
)

// TestAStartDoesNotLeanOnPeers: while the store reads everything for a node that
// has just started, no peer sends it everything too. (sweep at 300 machines: 40
// MB and 607 kB/s at the nodes that all others knew)
func TestAStartDoesNotLeanOnPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		nodes, stop := cluster(t, 2)
		nodes[1].source.set(func() { nodes[1].source.slow = 1900 * time.Millisecond })
		nodes[0].source.write("only at the other", false)
		nodes[0].source.write("too", false)
		time.Sleep(1800 * time.Millisecond)
		g.Expect(nodes[1].seen.has("too")).To(BeZero())
		time.Sleep(2 * time.Second)
		g.Expect(nodes[1].seen.has("too")).NotTo(BeZero())
		stop()
	})
}

// TestNodesThatStartTogetherAskDifferentSeeds. (own day with all of 300 nodes
// killed at once: one seed got 39 questions for everything, the others one)
func TestNodesThatStartTogetherAskDifferentSeeds(t *testing.T) {
	g := NewWithT(t)
	asked := make(map[peer.Address]int)
	network := peer.NewNetwork(1)
	defer network.Close()
	for index := range 90 {
		peers := NewPeers(PeersOptions{
			Follower:  NewFollower(newHistory(), &observer{state: make(map[string]uint64)}),
			Transport: network.Transport(peer.Address(fmt.Sprint("node-", index))),
			Nodes:     func() []Node { return nil }, Seeds: []string{"a", "b", "c"},
		})
		address, found := peers.choose("")
		g.Expect(found).To(BeTrue())
		asked[address]++
	}
	for _, seed := range []peer.Address{"a", "b", "c"} {
		g.Expect(asked[seed]).To(BeNumerically(">", 10))
	}
}

// TestANodeThatKnowsNothingAsksOften: it serves nothing until it has read the
// store, so it finds out soon that the store is back. (valgsok trouble-3,
// valgsok-grown fresh-fa94)
func TestANodeThatKnowsNothingAsksOften(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		nodes, stop := cluster(t, 1)
		source := nodes[0].source
		source.set(func() { source.fail = errors.New("refused") })
		writeAll(nodes, "key", false)
		for _, away := range []time.Duration{1550 * time.Millisecond, 800 * time.Millisecond} {
			time.Sleep(away)
			loads, _ := source.calls()
			g.Expect(loads).To(BeNumerically("<=", 12), "but not without pauses")
		}
		source.set(func() { source.fail = nil })
		time.Sleep(greatestFirstRetry + time.Millisecond)
		g.Expect(nodes[0].seen.has("key")).NotTo(BeZero())
		stop()
	})
}

// TestTheStartIsToldOnce, after what was found, whether the store or a peer has
// told it.
func TestTheStartIsToldOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		nodes, stop := cluster(t, 2)
		nodes[1].source.set(func() { nodes[1].source.fail = errors.New("refused") })
		writeAll(nodes, "first", false)
		writeAll(nodes, "second", false)
		time.Sleep(3 * time.Second)
		writeAll(nodes, "third", false)
		time.Sleep(3 * time.Second)
		for _, each := range nodes {
			g.Expect(each.seen.has("third")).To(Equal(uint64(3)))
			g.Expect(each.seen.restored).To(HaveLen(1))
			g.Expect(each.seen.restored[0]).To(BeNumerically("<=", 2))
		}
		stop()
	})
}

// TestAnEarlierStateIsNotToldEverything: a node that has read everything does not
// know which keys went before, and tells one that is a little behind only what
// is newer. (sweep at 300 machines: 611 kB/s at the busiest node)
func TestAnEarlierStateIsNotToldEverything(t *testing.T) {
	g := NewWithT(t)
	source, now := newHistory(), time.Unix(0, 0)
	for index := range 100 {
		source.write(fmt.Sprint(index), false)
	}
	behind, read := newReplica(&observer{state: make(map[string]uint64)}), newReplica(&observer{state: make(map[string]uint64)})
	batch, _ := source.Load(context.Background(), true)
	behind.apply(batch, wholeState, now)
	source.write("0", true)
	source.write("new", false)
	batch, _ = source.Load(context.Background(), true)
	read.apply(batch, wholeState, now)

	told, covered := read.since(behind.revision())
	g.Expect(covered).To(Equal(newerOnly))
	g.Expect(told.Entries).To(HaveLen(1))
	g.Expect(told.Revision).To(Equal(behind.revision()), "it completes nothing")
	g.Expect(behind.apply(told, covered, now)).To(Equal(1))
	g.Expect(behind.entries).To(And(HaveKey("new"), HaveKey("0")))
	everything, covered := read.since(0)
	g.Expect(covered).To(Equal(wholeState))
	g.Expect(everything.Entries).To(HaveLen(100))
}

// TestANodeWithoutTheStoreAsksForEverything where the others cannot tell what has
// gone.
func TestANodeWithoutTheStoreAsksForEverything(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		nodes, stop := cluster(t, 2)
		writeAll(nodes, "gone", false)
		time.Sleep(2 * time.Second)
		nodes[1].source.set(func() { nodes[1].source.fail = errors.New("refused") })
		source := nodes[0].source
		source.set(func() { source.deaf = true })
		source.write("gone", true)
		revision := source.write("new", false)
		source.set(func() { source.deaf, source.forgotten = false, revision })
		time.Sleep(15 * time.Second)
		g.Expect(nodes[0].seen.has("gone")).To(BeZero())
		g.Expect(nodes[1].seen.has("new")).To(Equal(revision))
		g.Expect(nodes[1].seen.has("gone")).To(BeZero())
		stop()
	})
}

// TestASilentWatchIsNoticedWhenAKeyHasGone, although the other node has read
// everything anew and cannot tell which.
func TestASilentWatchIsNoticedWhenAKeyHasGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		nodes, stop := cluster(t, 2)
		writeAll(nodes, "stays", false)
		writeAll(nodes, "gone", false)
		time.Sleep(2 * time.Second)
		silent, other := nodes[1].source, nodes[0].source
		silent.set(func() { silent.deaf = true })
		other.set(func() { other.deaf = true })
		revision := writeAll(nodes, "gone", true)
		other.set(func() { other.deaf, other.forgotten = false, revision })
		silent.mutex.Lock()
		silent.deaf = false // Only a new watch hears of it: nothing wakes the old one.
		silent.mutex.Unlock()
		time.Sleep(MinStalenessBound + 2*compareInterval)
		g.Expect(nodes[0].seen.has("gone")).To(BeZero())
		g.Expect(nodes[1].seen.has("gone")).To(BeZero())
		stop()
	})
}
