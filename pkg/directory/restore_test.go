package directory

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/pkg/directory/directorypb"
	"github.com/bramblemast/bramblemast/pkg/peer"
)

// restoreAll restores the stores of all nodes from a copy that holds a number of changes.
func restoreAll(nodes []*node, changes int) {
	for _, each := range nodes {
		each.source.restore(changes)
	}
}

// TestEachNodeFollowsARestoredStore checks that all nodes learn of a restore, including one without
// the store and one whose watch misses changes, which learn from peers. What was written before the
// restore stays in force until it should have been written again.
func TestEachNodeFollowsARestoredStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		nodes, stop := startCluster(t, 5)
		writeAll(nodes, "first", false)
		time.Sleep(2 * time.Second)
		nodes[3].source.update(func() { nodes[3].source.failure = errors.New("refused") })
		nodes[4].source.update(func() { nodes[4].source.watchesSilent = true })
		for number := range 20 {
			writeAll(nodes, fmt.Sprint("lost/", number), false)
		}
		time.Sleep(3 * compareInterval)
		restoreAll(nodes, 1)
		again := writeAll(nodes, "lost/0", false)
		written := writeAll(nodes, "new", false)
		time.Sleep(defaultWriteBackSpan - time.Second)
		for number, each := range nodes {
			g.Expect(each.seen.revisionOf("new")).To(Equal(written), fmt.Sprint(number))
			g.Expect(each.seen.revisionOf("lost/0")).To(Equal(again))
			g.Expect(each.seen.revisionOf("lost/1")).NotTo(BeZero(), "it stays in force while it may be written again")
		}
		time.Sleep(4 * time.Second)
		for number, each := range nodes {
			g.Expect(each.seen.revisionOf("lost/0")).To(Equal(again))
			g.Expect(each.seen.revisionOf("lost/1")).To(BeZero(), fmt.Sprint(number))
			g.Expect(each.seen.revisionOf("first")).To(Equal(uint64(1)))
			g.Expect(each.seen.eraChanges).To(HaveLen(1))
			g.Expect(each.seen.eraChanges[0].To.Era).To(Equal(uint64(1)))
			g.Expect(each.RetainedKeys()).To(BeEmpty())
		}
		stop()
	})
}

// TestSeveralRestoresInARow checks restores that each happen before the store has settled after the
// previous one.
func TestSeveralRestoresInARow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		nodes, stop := startCluster(t, 3)
		writeAll(nodes, "stays", false)
		writeAll(nodes, "ends", false)
		time.Sleep(time.Second)
		writeAll(nodes, "ends", true)
		time.Sleep(time.Second)
		for range 4 {
			restoreAll(nodes, 2)
			time.Sleep(time.Second)
			for _, each := range nodes {
				g.Expect(each.seen.revisionOf("ends")).To(BeZero(), "it was removed before")
			}
		}
		writeAll(nodes, "ends", true)
		time.Sleep(2 * defaultWriteBackSpan)
		for _, each := range nodes {
			g.Expect(each.seen.revisionOf("ends")).To(BeZero())
			g.Expect(each.seen.revisionOf("stays")).To(Equal(uint64(1)))
			g.Expect(each.Position().Era).To(Equal(uint64(4)))
		}
		stop()
	})
}

// TestARestoreIsNoticedInAnyOrder checks that a restore is noticed even if it happens while a
// node's calls fail and the store has passed the known revision by the time they succeed again.
func TestARestoreIsNoticedInAnyOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		nodes, stop := startCluster(t, 1)
		source := nodes[0].source
		for number := range 5 {
			writeAll(nodes, fmt.Sprint(number), false)
		}
		time.Sleep(time.Second)
		source.update(func() { source.failure = errors.New("refused") })
		time.Sleep(time.Second)
		source.restore(2)
		early := source.write("early", false)
		for range 9 {
			source.write("late", false)
		}
		source.update(func() { source.failure = nil })
		time.Sleep(2 * time.Second)
		g.Expect(nodes[0].seen.revisionOf("early")).To(Equal(early))
		stop()
	})
}

// TestLateAnswersOfAnEarlierEraProveNothing checks that answers of an earlier era do not confirm
// the replica. They arrive when a node learns of the restore from another one while its own watch
// is pending, or when it asks a node that has not learned of it.
func TestLateAnswersOfAnEarlierEraProveNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		source := newFakeStore()
		source.era = 1
		tested := NewFollower(source, &observer{state: make(map[string]uint64)})
		for range 5 {
			source.write("key", false)
		}
		for range 2 {
			// The copy that is read first shows no era.
			_, err := tested.step(t.Context())
			g.Expect(err).NotTo(HaveOccurred())
		}
		confirmedAt := tested.ConfirmedAt()
		time.Sleep(time.Second)
		watched := make(chan error)
		go func() {
			_, err := tested.step(t.Context())
			watched <- err
		}()
		synctest.Wait()
		tested.applyBatch(Batch{Era: 2, Revision: 3}, wholeState)
		source.write("key", false)
		g.Expect(<-watched).To(MatchError(ErrStoreBehind))
		g.Expect(tested.ConfirmedAt()).To(Equal(confirmedAt))
		g.Expect(tested.Position()).To(Equal(Position{Era: 2, Revision: 3}))

		peers := &Peers{follower: tested, readers: newReaders(Node{}, nil)}
		age := uint32(0)
		reportedAt, isBehind := peers.applyReply(&directorypb.ChangesRequest{Era: 1, After: 5}, &directorypb.ChangesReply{Era: 1, Revision: 5, KnownAgeMs: &age},
			Position{Era: 1, Revision: 5}, time.Now())
		g.Expect(reportedAt.IsZero()).To(BeTrue())
		g.Expect(isBehind).To(BeFalse())
		g.Expect(tested.ConfirmedAt()).To(Equal(confirmedAt))
	})
}

// TestACopyFromBeforeARestoreIsNotTaken checks that a possibly old copy is used only if a node's
// entry shows that it is of the store's era. It may be from before a restore although the store
// reports its new era with it.
func TestACopyFromBeforeARestoreIsNotTaken(t *testing.T) {
	g := NewWithT(t)
	tested := NewFollower(newFakeStore(), &observer{state: make(map[string]uint64)})
	of := func(era uint64, nodes ...uint64) Batch {
		batch := Batch{Era: era}
		for _, writtenIn := range nodes {
			batch.Entries = append(batch.Entries, Entry{Node: &Node{Era: writtenIn}})
		}
		return batch
	}
	g.Expect(tested.trustsCopy(of(0))).To(BeTrue(), "the store reports no eras")
	g.Expect(tested.trustsCopy(of(2))).To(BeFalse(), "no entry shows the era of the copy")
	g.Expect(tested.trustsCopy(of(2, 1, 1))).To(BeFalse())
	g.Expect(tested.trustsCopy(of(2, 1, 2))).To(BeTrue())
	tested.SetFirstStart(true)
	g.Expect(tested.trustsCopy(of(2))).To(BeTrue(), "at a first start there was no earlier era")
	g.Expect(tested.trustsCopy(of(2, 1))).To(BeFalse(), "the nodes' entries are of an earlier era")
}

// TestAStartingNodeAwaitsPeersAfterARestore checks that a starting node does not serve by a
// restored store, whose state may be older than what is in force elsewhere. It waits for a node
// that was running before, not for one that has just started too, and no longer than the write-back
// span.
func TestAStartingNodeAwaitsPeersAfterARestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		network := peer.NewNetwork(1)
		start := func(name string, known ...Node) (*Follower, *Peers) {
			follower := NewFollower(newFakeStore(), &observer{state: make(map[string]uint64)})
			peers := NewPeers(PeersOptions{
				Follower: follower, Transport: network.Transport(peer.Address(name)), Local: Node{Name: name, PeerAddress: name},
				Nodes: func() []Node { return known },
			})
			return follower, peers
		}
		listed := Batch{Era: 2, Revision: 3, Entries: []Entry{{Key: "nodes/running", Revision: 1, Node: &Node{Name: "running", Era: 1}}}}
		running, _ := start("running")
		running.applyBatch(Batch{Era: 1, Revision: 9}, wholeState)
		running.noteStoreRegained()
		other, _ := start("other")
		other.startAwaitingPeers(listed)
		other.applyBatch(listed, wholeState)
		started, asking := start("started")
		started.startAwaitingPeers(listed)
		started.applyBatch(listed, wholeState)
		g.Expect(started.AwaitsPeers()).To(BeTrue())
		g.Expect(started.IsFresh()).To(BeFalse())
		_, err := asking.compare(context.Background(), "other")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(started.AwaitsPeers()).To(BeTrue())
		_, err = asking.compare(context.Background(), "running")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(started.AwaitsPeers()).To(BeFalse(), "a running node has answered, although it is still in the previous era")
		time.Sleep(defaultWriteBackSpan + time.Millisecond)
		synctest.Wait()
		g.Expect(other.AwaitsPeers()).To(BeFalse())
		settled, _ := start("settled")
		listed.Entries[0].Node.Era = 2
		settled.startAwaitingPeers(listed)
		g.Expect(settled.AwaitsPeers()).To(BeFalse(), "a node has written its entry in this era")
		network.Close()
	})
}

// TestNothingIsProvenUntilARestoredStoreSettles checks that reads of a restored store prove nothing
// until it has settled; until then only what was confirmed before the restore counts.
func TestNothingIsProvenUntilARestoredStoreSettles(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		tested := NewFollower(nil, &observer{state: make(map[string]uint64)})
		tested.SetWriteBackSpan(3 * time.Second)
		tested.noteStoreRegained()
		tested.applyBatch(Batch{Era: 1, Revision: 9}, wholeState)
		tested.confirm(time.Now())
		time.Sleep(time.Second)
		tested.applyBatch(Batch{Era: 2, Revision: 4}, wholeState)
		for range 2 {
			tested.confirm(time.Now())
			g.Expect(tested.IsFresh()).To(BeFalse())
			g.Expect(tested.IsSettling()).To(BeTrue())
			time.Sleep(time.Second)
		}
		g.Expect(tested.IsFreshWithin(3*time.Second)).To(BeTrue(), "confirmed before the restore")
		g.Expect(tested.IsFreshWithin(3*time.Second - 1)).To(BeFalse())
		time.Sleep(time.Second)
		tested.confirm(time.Now())
		g.Expect(tested.IsSettling()).To(BeFalse())
		g.Expect(tested.IsFreshWithin(0)).To(BeTrue())
		g.Expect(tested.IsFresh()).To(BeTrue())
	})
}
