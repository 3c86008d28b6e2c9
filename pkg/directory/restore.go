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

// SetWriteBackSpan sets how long the operator and the servers may take to write again what the
// store lost in a restore from an older copy. Until then their earlier states stay in force.
func (f *Follower) SetWriteBackSpan(span time.Duration) { f.writeBackNanos.Store(int64(span)) }

func (f *Follower) writeBackSpan() time.Duration { return time.Duration(f.writeBackNanos.Load()) }

// Position returns how far the store has been read.
func (f *Follower) Position() Position { return f.replica.position() }

// RetainedKeys returns the keys whose state from before a restore of the store is in force, sorted.
func (f *Follower) RetainedKeys() []string { return f.replica.retainedKeys() }

// LostEntries returns the states that the store has lost and that only the nodes write back, sorted
// by key. It returns none while the store does not answer or may lack what others write back.
func (f *Follower) LostEntries() []LostEntry {
	if f.IsSettling() || f.IsStoreLost() {
		return nil
	}
	return f.replica.lostEntries()
}

// IsRestoring reports whether the store was restored from an older copy and lacks, or may lack,
// something that it held before.
func (f *Follower) IsRestoring() bool { return f.IsSettling() || len(f.replica.lostEntries()) > 0 }

// IsSettling reports whether the store was restored from an older copy and may lack what the
// operator and the servers are about to write again.
func (f *Follower) IsSettling() bool {
	_, isSettling := f.settlingEnd()
	return isSettling || f.awaitsPeers.Load()
}

// Times of a store that settles after a restore.
const (
	// settlePoll is the shortest time between two checks whether it has settled.
	settlePoll = 100 * time.Millisecond
	// ownWriteBackGrace is how long after a restore the store counts as not settled because the
	// nodes have not yet written back what only they do.
	ownWriteBackGrace = 10 * time.Second
)

// SettlesIn returns the minimum time for which the store may still lack what a restore has lost;
// zero if, as far as is known, it has everything back.
func (f *Follower) SettlesIn() time.Duration {
	if end, isSettling := f.settlingEnd(); isSettling || f.awaitsPeers.Load() {
		return max(time.Until(end), settlePoll)
	}
	if len(f.replica.lostEntries()) > 0 && time.Since(f.replica.eraStartedAt()) < ownWriteBackGrace {
		return settlePoll
	}
	return 0
}

// settlingEnd returns until when the store is expected to lack what is about to be written again,
// and whether the replica has not been confirmed after that time yet.
func (f *Follower) settlingEnd() (time.Time, bool) {
	startedAt := f.replica.eraStartedAt()
	if startedAt.IsZero() {
		return time.Time{}, false
	}
	end := startedAt.Add(f.writeBackSpan())
	return end, f.ConfirmedAt().Before(end)
}

// lastProvenAt returns the latest time at which the replica was known to hold every acknowledged
// write; zero for never.
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

// applyBatch applies a batch and reports an era that starts with it. It returns how many changes
// were new.
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

// noteRestore records a restore of the store from an older copy. Entries that were written shortly
// before may be missing, as after an outage, so the restore counts as an outage, however short it
// was.
func (f *Follower) noteRestore(provenAt, now time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.provenBeforeRestore, f.suspendedAtRestore = provenAt, f.suspendedTotal()
	f.latestOutage = outage{from: provenAt, to: now}
}

// trustsCopy reports whether a copy of the store is known to be of the era that the store reported
// with it. The copy may be from before a restore, unless it holds a node's entry that was written
// in that era.
func (f *Follower) trustsCopy(batch Batch) bool {
	newest, hasNodes := batch.newestNodeEra()
	return batch.Era == 0 || newest == batch.Era || f.isFirstStart && !hasNodes
}

// noteSettlingAtStart takes the era to have started just now if this node awaits its peers, since
// the store may still be settling.
func (f *Follower) noteSettlingAtStart() {
	if f.awaitsPeers.Load() {
		f.replica.noteEraStart(time.Now())
	}
}

// startAwaitingPeers checks the first state that a starting node reads. If no node has written its
// entry in the store's era, the store has just been restored from an older copy. The node then does
// not serve by that state until another node has reported what was in force, or the operator has
// had time to write it again.
func (f *Follower) startAwaitingPeers(batch Batch) {
	isChecked := f.isStartChecked
	f.isStartChecked = true
	if isChecked || f.replica.revision() > 0 || f.isFirstStart || f.peerCount == nil || batch.IsSettled() {
		return
	}
	f.awaitsPeers.Store(true)
	f.listener.Dependency(peersDependency, false, errMayBeOlder)
	time.AfterFunc(f.writeBackSpan(), f.stopAwaitingPeers)
}

// errMayBeOlder is why a node that has just started awaits its peers.
var errMayBeOlder = errors.New("the store was recently restored from an older copy, and other nodes may know what it has lost")

// stopAwaitingPeers lets the node serve by what it knows.
func (f *Follower) stopAwaitingPeers() {
	if f.awaitsPeers.Swap(false) {
		f.listener.Dependency(peersDependency, true, nil)
	}
}

// AwaitsPeers reports whether the node has just started and what it has read may be older than what
// is in force elsewhere.
func (f *Follower) AwaitsPeers() bool { return f.awaitsPeers.Load() }

// LostEntry is a state that the store has lost and that nodes write back.
type LostEntry struct {
	// Entry is the state to write; the key of a deleted entry is removed.
	Entry Entry
	// StoreRevision is the revision of the key in the store; zero if the store lacks it.
	StoreRevision uint64
}
