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

// TestAStartDoesNotLeanOnPeers checks that no peer sends everything to a node that has just started
// while the store still answers its first read. Otherwise the nodes that all others knew sent 40
// MB, at 607 kB/s, at a start of 300 machines.
func TestAStartDoesNotLeanOnPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		nodes, stop := startCluster(t, 2)
		nodes[1].source.update(func() { nodes[1].source.loadDelay = 1900 * time.Millisecond })
		nodes[0].source.write("only at the other", false)
		nodes[0].source.write("too", false)
		time.Sleep(1800 * time.Millisecond)
		g.Expect(nodes[1].seen.revisionOf("too")).To(BeZero())
		time.Sleep(2 * time.Second)
		g.Expect(nodes[1].seen.revisionOf("too")).NotTo(BeZero())
		stop()
	})
}

// TestNodesThatStartTogetherAskDifferentSeeds checks that nodes which restart together spread their
// first requests over the seeds. Otherwise one seed answers nearly all requests for everything: 39
// of them when 300 nodes restarted, the other seeds one each.
func TestNodesThatStartTogetherAskDifferentSeeds(t *testing.T) {
	g := NewWithT(t)
	requests := make(map[peer.Address]int)
	network := peer.NewNetwork(1)
	defer network.Close()
	for index := range 90 {
		peers := NewPeers(PeersOptions{
			Follower:  NewFollower(newFakeStore(), &observer{state: make(map[string]uint64)}),
			Transport: network.Transport(peer.Address(fmt.Sprint("node-", index))),
			Nodes:     func() []Node { return nil }, Seeds: []string{"a", "b", "c"},
		})
		address, found := peers.choosePeer("")
		g.Expect(found).To(BeTrue())
		requests[address]++
	}
	for _, seed := range []peer.Address{"a", "b", "c"} {
		g.Expect(requests[seed]).To(BeNumerically(">", 10))
	}
}

// TestANodeThatKnowsNothingAsksOften checks that a node without any state retries the store often,
// since it serves nothing until it has read it, but not in a tight loop.
func TestANodeThatKnowsNothingAsksOften(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		nodes, stop := startCluster(t, 1)
		source := nodes[0].source
		source.update(func() { source.failure = errors.New("refused") })
		writeAll(nodes, "key", false)
		for _, away := range []time.Duration{1550 * time.Millisecond, 800 * time.Millisecond} {
			time.Sleep(away)
			loads, _ := source.calls()
			g.Expect(loads).To(BeNumerically("<=", 12), "retries are spaced by pauses")
		}
		source.update(func() { source.failure = nil })
		time.Sleep(maxInitialRetry + time.Millisecond)
		g.Expect(nodes[0].seen.revisionOf("key")).NotTo(BeZero())
		stop()
	})
}

// TestTheInitialLoadIsReportedOnce checks that Loaded is called once, after the initial state,
// whether the store or a peer has supplied that.
func TestTheInitialLoadIsReportedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		nodes, stop := startCluster(t, 2)
		nodes[1].source.update(func() { nodes[1].source.failure = errors.New("refused") })
		writeAll(nodes, "first", false)
		writeAll(nodes, "second", false)
		time.Sleep(3 * time.Second)
		writeAll(nodes, "third", false)
		time.Sleep(3 * time.Second)
		for _, each := range nodes {
			g.Expect(each.seen.revisionOf("third")).To(Equal(uint64(3)))
			g.Expect(each.seen.loadedAt).To(HaveLen(1))
			g.Expect(each.seen.loadedAt[0]).To(BeNumerically("<=", 2))
		}
		stop()
	})
}

// TestAnEarlierStateIsNotToldEverything checks that a node which has read everything, and so does
// not know the earlier deletions, sends a node that is slightly behind only what is newer. Sending
// everything took 611 kB/s at the busiest of 300 nodes.
func TestAnEarlierStateIsNotToldEverything(t *testing.T) {
	g := NewWithT(t)
	source, now := newFakeStore(), time.Unix(0, 0)
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

	changes, covered := read.since(behind.revision())
	g.Expect(covered).To(Equal(newerOnly))
	g.Expect(changes.Entries).To(HaveLen(1))
	g.Expect(changes.Revision).To(Equal(behind.revision()), "it does not advance the complete revision")
	g.Expect(behind.apply(changes, covered, now)).To(Equal(1))
	g.Expect(behind.entries).To(And(HaveKey("new"), HaveKey("0")))
	everything, covered := read.since(0)
	g.Expect(covered).To(Equal(wholeState))
	g.Expect(everything.Entries).To(HaveLen(100))
}

// TestANodeWithoutTheStoreAsksForEverything checks that a node without the store requests the whole
// state when the others cannot tell which keys were deleted.
func TestANodeWithoutTheStoreAsksForEverything(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		nodes, stop := startCluster(t, 2)
		writeAll(nodes, "gone", false)
		time.Sleep(2 * time.Second)
		nodes[1].source.update(func() { nodes[1].source.failure = errors.New("refused") })
		source := nodes[0].source
		source.update(func() { source.watchesSilent = true })
		source.write("gone", true)
		revision := source.write("new", false)
		source.update(func() { source.watchesSilent, source.compactedUpTo = false, revision })
		time.Sleep(15 * time.Second)
		g.Expect(nodes[0].seen.revisionOf("gone")).To(BeZero())
		g.Expect(nodes[1].seen.revisionOf("new")).To(Equal(revision))
		g.Expect(nodes[1].seen.revisionOf("gone")).To(BeZero())
		stop()
	})
}

// TestASilentWatchIsNoticedWhenAKeyHasGone checks that a node whose watch misses a deletion notices
// it, although the other node has read everything again and cannot tell which key was deleted.
func TestASilentWatchIsNoticedWhenAKeyHasGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		nodes, stop := startCluster(t, 2)
		writeAll(nodes, "stays", false)
		writeAll(nodes, "gone", false)
		time.Sleep(2 * time.Second)
		silent, other := nodes[1].source, nodes[0].source
		silent.update(func() { silent.watchesSilent = true })
		other.update(func() { other.watchesSilent = true })
		revision := writeAll(nodes, "gone", true)
		other.update(func() { other.watchesSilent, other.compactedUpTo = false, revision })
		silent.mutex.Lock()
		silent.watchesSilent = false // Only a new watch sees it: nothing wakes the pending one.
		silent.mutex.Unlock()
		time.Sleep(MinStalenessBound + 2*compareInterval)
		g.Expect(nodes[0].seen.revisionOf("gone")).To(BeZero())
		g.Expect(nodes[1].seen.revisionOf("gone")).To(BeZero())
		stop()
	})
}
