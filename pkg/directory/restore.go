package directory

import (
	"time"

	"github.com/pkg/errors"
)

// isAheadOf reports whether a batch is older than the position.
func (p Position) isAheadOf(batch Batch) bool {
	if batch.Era == 0 || batch.Era == p.Era {
		return batch.Revision < p.Revision
	}
	return batch.Era < p.Era
}

// SetWriteBackSpan takes how long the operator and the servers may take to write again what the store
// has lost when it comes back from an older copy. Until then their earlier states stay in force.
func (f *Follower) SetWriteBackSpan(span time.Duration) { f.writeBackNanos.Store(int64(span)) }

func (f *Follower) writeBackSpan() time.Duration { return time.Duration(f.writeBackNanos.Load()) }

// Position returns how far the store is known.
func (f *Follower) Position() Position { return f.replica.position() }

// RetainedKeys returns the keys whose state from before a restore of the store is in force, in their
// order.
func (f *Follower) RetainedKeys() []string { return f.replica.retainedKeys() }

// Lost returns the states that the store has lost and that nobody but the nodes writes again, in the
// order of their keys; none until what others write again is back.
func (f *Follower) LostEntries() []LostEntry {
	if f.IsSettling() || f.IsStoreLost() {
		return nil
	}
	return f.replica.lostEntries()
}

// IsRestoring reports whether the store has come back from an older copy and lacks something that it held
// before, or may lack it.
func (f *Follower) IsRestoring() bool { return f.IsSettling() || len(f.replica.lostEntries()) > 0 }

// IsSettling reports whether the store has come back from an older copy and may lack what the operator
// and the servers are about to write again.
func (f *Follower) IsSettling() bool {
	_, isSettling := f.settlingEnd()
	return isSettling || f.awaitsPeers.Load()
}

// Times of a store that settles.
const (
	// settlePoll is the least time between two looks at whether it has.
	settlePoll = 100 * time.Millisecond
	// ownWriteBackGrace is for how long after a restore a store counts as not settled because nodes have not
	// written back yet what only they do.
	ownWriteBackGrace = 10 * time.Second
)

// SettlesIn returns for how long at least the store may still lack what a restore has lost; zero if it
// has all back, as far as it is known.
func (f *Follower) SettlesIn() time.Duration {
	if end, isSettling := f.settlingEnd(); isSettling || f.awaitsPeers.Load() {
		return max(time.Until(end), settlePoll)
	}
	if len(f.replica.lostEntries()) > 0 && time.Since(f.replica.eraStartedAt()) < ownWriteBackGrace {
		return settlePoll
	}
	return 0
}

// settles returns until when the store is taken to lack what is about to be written again, and whether
// that moment is still to come in what is known of it.
func (f *Follower) settlingEnd() (time.Time, bool) {
	startedAt := f.replica.eraStartedAt()
	if startedAt.IsZero() {
		return time.Time{}, false
	}
	end := startedAt.Add(f.writeBackSpan())
	return end, f.ConfirmedAt().Before(end)
}

// proven returns the latest moment at which the node knew all that was acknowledged; zero for never.
func (f *Follower) lastProvenAt() time.Time {
	isSettling := f.IsSettling()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if !isSettling {
		return f.adjustedConfirmedAt()
	}
	if f.provenBeforeRestore.IsZero() {
		return f.provenBeforeRestore
	}
	return f.provenBeforeRestore.Add(f.suspendedAtRestore - f.suspendedTotal())
}

// take applies a batch, and tells of an era that begins with it. It returns how many changes were news.
func (f *Follower) applyBatch(batch Batch, covered coverage) int {
	f.applying.Lock()
	defer f.applying.Unlock()
	now, before, provenAt := time.Now(), f.replica.position(), f.lastProvenAt()
	changes := f.replica.apply(batch, covered, now)
	after := f.replica.position()
	if before.Revision > 0 && after.Era > before.Era {
		f.noteRestore(provenAt, now)
		f.listener.EraChanged(EraChange{From: before, To: after, Retained: f.replica.retainedKeys()})
	}
	return changes
}

// noteRestore notes that the store has come back from an older copy. Entries that were written shortly
// before may be missing as after an outage, however short that was.
func (f *Follower) noteRestore(provenAt, now time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.provenBeforeRestore, f.suspendedAtRestore = provenAt, f.suspendedTotal()
	f.latestOutage = outage{from: provenAt, to: now}
}

// trustsCopy reports whether a copy of the store is of the era that the store told with it: it may be
// from before a restore. A node's entry that was written in that era proves it.
func (f *Follower) trustsCopy(batch Batch) bool {
	newest, hasNodes := batch.newestNodeEra()
	return batch.Era == 0 || newest == batch.Era || f.isFirstStart && !hasNodes
}

// noteSettlingAtStart takes that the store may still settle where that is why a starting node awaits others.
func (f *Follower) noteSettlingAtStart() {
	if f.awaitsPeers.Load() {
		f.replica.noteEraStart(time.Now())
	}
}

// startAwaitingPeers takes what a starting node reads first. If no node has written its entry in the
// era of the store, the store has just come back from an older copy: the node does not serve by that
// before another node has told what was in force, or the operator has had time to write it again.
func (f *Follower) startAwaitingPeers(batch Batch) {
	if f.replica.revision() > 0 || f.isFirstStart || f.peerCount == nil || batch.IsSettled() {
		return
	}
	f.awaitsPeers.Store(true)
	f.listener.Dependency(peersDependency, false, errMayBeOlder)
	time.AfterFunc(f.writeBackSpan(), f.stopAwaitingPeers)
}

// errMayBeOlder is why a node that has just started awaits others.
var errMayBeOlder = errors.New("the store came back from an older copy lately, and other nodes may know what it has lost")

// stopAwaitingPeers lets the node serve by what it knows.
func (f *Follower) stopAwaitingPeers() {
	if f.awaitsPeers.Swap(false) {
		f.listener.Dependency(peersDependency, true, nil)
	}
}

// AwaitsPeers reports whether the node has just started and what it has read may be older than what is
// in force elsewhere.
func (f *Follower) AwaitsPeers() bool { return f.awaitsPeers.Load() }

// Lost is a state that nodes write back to the store, which has lost it.
type LostEntry struct {
	// Entry is the state to write; a key that is gone is removed.
	Entry Entry
	// StoreRevision is the revision that the key has in the store; zero if it is not there.
	StoreRevision uint64
}
