package directory

import (
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"
)

// isBeyond reports whether a batch is older than the position.
func (p Position) isBeyond(batch Batch) bool {
	if batch.Era == 0 || batch.Era == p.Era {
		return batch.Revision < p.Revision
	}
	return batch.Era < p.Era
}

// SetWriteBackSpan takes how long the operator and the servers may take to write again what the store
// has lost when it comes back from an older copy. Until then their earlier states stay in force.
func (f *Follower) SetWriteBackSpan(span time.Duration) { f.writeBackSpan.Store(int64(span)) }

func (f *Follower) writeBack() time.Duration { return time.Duration(f.writeBackSpan.Load()) }

// Position returns how far the store is known.
func (f *Follower) Position() Position { return f.replica.position() }

// EarlierKeys returns the keys whose state from before a restore of the store is in force, in their
// order.
func (f *Follower) EarlierKeys() []string { return f.replica.earlierKeys() }

// Lost returns the states that the store has lost and that nobody but the nodes writes again, in the
// order of their keys; none until what others write again is back.
func (f *Follower) Lost() []Lost {
	if f.IsSettling() || f.HasLost() {
		return nil
	}
	return f.replica.lostOwn()
}

// Restores reports whether the store has come back from an older copy and lacks something that it held
// before, or may lack it.
func (f *Follower) Restores() bool { return f.IsSettling() || len(f.replica.lostOwn()) > 0 }

// IsSettling reports whether the store has come back from an older copy and may lack what the operator
// and the servers are about to write again.
func (f *Follower) IsSettling() bool {
	_, isSettling := f.settles()
	return isSettling || f.awaitsPeers.Load()
}

// Times of a store that settles.
const (
	// settlePoll is the least time between two looks at whether it has.
	settlePoll = 100 * time.Millisecond
	// ownPatience is for how long after a restore a store counts as not settled because nodes have not
	// written back yet what only they do.
	ownPatience = 10 * time.Second
)

// SettlesIn returns for how long at least the store may still lack what a restore has lost; zero if it
// has all back, as far as it is known.
func (f *Follower) SettlesIn() time.Duration {
	if end, isSettling := f.settles(); isSettling || f.awaitsPeers.Load() {
		return max(time.Until(end), settlePoll)
	}
	if len(f.replica.lostOwn()) > 0 && time.Since(f.replica.eraBegan()) < ownPatience {
		return settlePoll
	}
	return 0
}

// settles returns until when the store is taken to lack what is about to be written again, and whether
// that moment is still to come in what is known of it.
func (f *Follower) settles() (time.Time, bool) {
	began := f.replica.eraBegan()
	if began.IsZero() {
		return time.Time{}, false
	}
	end := began.Add(f.writeBack())
	return end, f.KnownAt().Before(end)
}

// proven returns the latest moment at which the node knew all that was acknowledged; zero for never.
func (f *Follower) proven() time.Time {
	isSettling := f.IsSettling()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if !isSettling {
		return f.knownMoment()
	}
	if f.provenAt.IsZero() {
		return f.provenAt
	}
	return f.provenAt.Add(f.provenSuspended - f.suspended())
}

// take applies a batch, and tells of an era that begins with it. It returns how many changes were news.
func (f *Follower) take(batch Batch, covered coverage) int {
	f.taking.Lock()
	defer f.taking.Unlock()
	now, before, provenAt := time.Now(), f.replica.position(), f.proven()
	news := f.replica.apply(batch, covered, now)
	after := f.replica.position()
	if before.Revision > 0 && after.Era > before.Era {
		f.noteRestore(provenAt, now)
		f.listener.EraBegan(EraChange{From: before, To: after, Kept: f.replica.earlierKeys()})
	}
	return news
}

// noteRestore notes that the store has come back from an older copy. Entries that were written shortly
// before may be missing as after an outage, however short that was.
func (f *Follower) noteRestore(provenAt, now time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.provenAt, f.provenSuspended = provenAt, f.suspended()
	f.last = outage{from: provenAt, to: now}
}

// trustsCopy reports whether a copy of the store is of the era that the store told with it: it may be
// from before a restore. A node's entry that was written in that era proves it.
func (f *Follower) trustsCopy(batch Batch) bool {
	newest, hasNodes := batch.newestNodeEra()
	return batch.Era == 0 || newest == batch.Era || f.isFirstStart && !hasNodes
}

// endRestart notes that the store may still settle, if that is why a starting node awaits others.
func (f *Follower) endRestart() {
	if f.awaitsPeers.Load() {
		f.replica.noteEraBegan(time.Now())
	}
}

// beginAwaitingPeers takes what a starting node reads first. If no node has written its entry in the
// era of the store, the store has just come back from an older copy: the node does not serve by that
// before another node has told what was in force, or the operator has had time to write it again.
func (f *Follower) beginAwaitingPeers(batch Batch) {
	if f.replica.revision() > 0 || f.isFirstStart || f.others == nil || batch.IsSettled() {
		return
	}
	f.awaitsPeers.Store(true)
	f.listener.Dependency(peersDependency, false, errMayBeOlder)
	time.AfterFunc(f.writeBack(), f.endAwaitingPeers)
}

// errMayBeOlder is why a node that has just started awaits others.
var errMayBeOlder = errors.New("the store came back from an older copy lately, and other nodes may know what it has lost")

// endAwaitingPeers lets the node serve by what it knows.
func (f *Follower) endAwaitingPeers() {
	if f.awaitsPeers.Swap(false) {
		f.listener.Dependency(peersDependency, true, nil)
	}
}

// AwaitsPeers reports whether the node has just started and what it has read may be older than what is
// in force elsewhere.
func (f *Follower) AwaitsPeers() bool { return f.awaitsPeers.Load() }

// Lost is a state that nodes write back to the store, which has lost it.
type Lost struct {
	// Entry is the state to write; a key that is gone is removed.
	Entry Entry
	// StoreRevision is the revision that the key has in the store; zero if it is not there.
	StoreRevision uint64
}

// beginEra forgets what the store held in the era before and keeps what is in force, except what
// the first batch of the era confirms. The order is held.
func (r *replica) beginEra(batch Batch, now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	inForce := r.inForce()
	baseline := r.lastOfCopy(batch)
	for _, entry := range batch.Entries {
		if known, exists := inForce[entry.Key]; exists && known.isConfirmedBy(entry) {
			delete(inForce, entry.Key)
		}
	}
	isChange := r.at > 0
	r.entries, r.tombstones = make(map[string]Entry, len(batch.Entries)), make(map[string]tombstone)
	r.gaps, r.forgottenUpTo, r.at, r.era = nil, 0, 0, batch.Era
	r.earlier = earlierStates{states: inForce, baseline: baseline}
	if isChange {
		r.earlier.since = now
	}
}

// lastOfCopy returns a revision that is not before the last one of the copy which the store came back from,
// by the first batch of the new era and what was known of the one before: revisions that belonged to
// something else then were given out again, and so were all that follow. The mutex is held.
func (r *replica) lastOfCopy(batch Batch) uint64 {
	keyAt := make(map[uint64]string, len(r.entries)+len(r.tombstones))
	for key, entry := range r.entries {
		keyAt[entry.Revision] = key
	}
	for key, old := range r.tombstones {
		keyAt[old.revision] = key
	}
	last := batch.Revision
	for _, entry := range batch.Entries {
		if entry.Revision > last || entry.Revision > r.at {
			continue
		}
		owner, isOwned := keyAt[entry.Revision]
		if isOwned && owner != entry.Key || r.wasWrittenSince(entry) {
			last = entry.Revision - 1
		}
	}
	return last
}

// wasWrittenSince reports whether an entry was evidently written after the store came back from an older
// copy, by what was known of its key in the era before. The mutex is held.
func (r *replica) wasWrittenSince(entry Entry) bool {
	if known, isHeld := r.entries[entry.Key]; isHeld {
		state := earlierState{entry: known, written: known.Revision}
		return entry.Revision > known.Revision || state.isRewrittenAs(entry)
	}
	// The key may have been written again and removed unseen, where changes were passed over.
	return entry.Revision > r.tombstones[entry.Key].written && !r.isForgotten(entry.Revision)
}

// inForce returns the state of each key that the listener was told last. The mutex is held.
func (r *replica) inForce() map[string]earlierState {
	states := make(map[string]earlierState, len(r.entries)+len(r.tombstones))
	for key, old := range r.tombstones {
		states[key] = earlierState{entry: old.end, written: old.written}
	}
	// Also those that were written again since they went.
	for key, entry := range r.entries {
		states[key] = earlierState{entry: entry, written: entry.Revision}
	}
	maps.Copy(states, r.earlier.states)
	return states
}

// isInForce reports whether the listener is to be told of a state that the store holds now. If so, the
// earlier state of its key has come to its end.
func (r *replica) isInForce(entry Entry) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	known, exists := r.earlier.states[entry.Key]
	if !exists {
		return true
	}
	isConfirmed := known.isConfirmedBy(entry)
	if isConfirmed || known.isReplacedBy(entry, r.earlier.baseline) {
		delete(r.earlier.states, entry.Key)
		return !isConfirmed
	}
	return false
}

// learnEarlier takes states from before the era that another node knows, which saw the era begin at a
// moment; zero if it does not know. It returns how many were news.
func (r *replica) learnEarlier(states []earlierState, since time.Time, writeBackSpan time.Duration, now time.Time) int {
	r.order.Lock()
	defer r.order.Unlock()
	r.noteEraBegan(since)
	news := 0
	for _, state := range states {
		if r.keepEarlier(state, writeBackSpan, now) {
			r.listener.Changed(state.entry)
			news++
		}
	}
	return news
}

// noteEraBegan takes when another node saw the era begin; zero if it does not know. The first one that saw
// it decides, so that all nodes take the store to have settled at about the same time.
func (r *replica) noteEraBegan(since time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.earlier.since.IsZero() || !since.IsZero() && since.Before(r.earlier.since) {
		r.earlier.since = since
	}
}

// eraBegan returns when the era began, as this node or another one saw it; zero for long ago.
func (r *replica) eraBegan() time.Time {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.earlier.since
}

// keepEarlier keeps a state that another node knows, if it goes before what this one does, and
// reports whether it did.
func (r *replica) keepEarlier(state earlierState, writeBackSpan time.Duration, now time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	key := state.entry.Key
	span := state.retention(writeBackSpan)
	if state.entry.Era >= r.era || span != forGood && !now.Before(r.earlier.since.Add(span)) {
		return false
	}
	if known, exists := r.earlier.states[key]; exists {
		if !state.isLaterThan(known) {
			return false
		}
		r.earlier.states[key] = state
		return true
	}
	current, exists := r.entries[key]
	_, isGone := r.tombstones[key]
	switch {
	case isGone, !exists && state.entry.Gone:
		return false
	case exists && (state.isConfirmedBy(current) || state.isReplacedBy(current, r.earlier.baseline)):
		return false
	}
	r.earlier.states[key] = state
	return true
}

// expireEarlier ends the earlier states that were not written again by a moment at which the store was
// known: what it holds is in force from then on.
func (r *replica) expireEarlier(knownAt time.Time, writeBackSpan time.Duration) {
	r.order.Lock()
	defer r.order.Unlock()
	for _, entry := range r.takeExpired(knownAt, writeBackSpan) {
		r.listener.Changed(entry)
	}
}

// takeExpired returns what the store holds in the place of the earlier states that have expired.
func (r *replica) takeExpired(knownAt time.Time, writeBackSpan time.Duration) []Entry {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var due []Entry
	if len(r.earlier.states) == 0 {
		return nil
	}
	for _, key := range slices.Sorted(maps.Keys(r.earlier.states)) {
		state := r.earlier.states[key]
		current, exists := r.entries[key]
		span := state.retention(writeBackSpan)
		if r.isSilent(key) {
			// An even older copy may hold the key.
			span = tombstoneLifetime
		}
		if span == forGood || knownAt.Before(r.earlier.since.Add(span)) {
			continue
		}
		delete(r.earlier.states, key)
		switch {
		case exists:
			due = append(due, current)
		case !state.entry.Gone:
			end := state.entry.end(r.at)
			end.Era = r.era
			due = append(due, end)
		}
	}
	return due
}

// isSilent reports whether the earlier state of a key is the same as what the store holds: none. The
// mutex is held.
func (r *replica) isSilent(key string) bool {
	_, exists := r.entries[key]
	return !exists && r.earlier.states[key].entry.Gone
}

// overruling returns the earlier states that go before what the store holds. The mutex is held.
func (r *replica) overruling() map[string]earlierState {
	states := maps.Clone(r.earlier.states)
	maps.DeleteFunc(states, func(key string, _ earlierState) bool { return r.isSilent(key) })
	return states
}

// earlierKeys returns the keys whose earlier state goes before what the store holds, in their order.
func (r *replica) earlierKeys() []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return slices.Sorted(maps.Keys(r.overruling()))
}

// earlierDigest returns a number that is the same for replicas with the same earlier states.
func (r *replica) earlierDigest() uint64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return digestOf(r.overruling())
}

// statesForEra returns what goes before the store's state of an era that another node knows. Where that
// node's era is later than its own, everything may.
func (r *replica) statesForEra(era uint64) []earlierState {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if era > r.era {
		states := r.inForce()
		// Servers write their entries again within seconds, to the store that the node reads.
		maps.DeleteFunc(states, func(_ string, state earlierState) bool { return state.entry.ServerID != "" })
		return slices.Collect(maps.Values(states))
	}
	return slices.Collect(maps.Values(r.overruling()))
}

// lostOwn returns the states that nodes write back, in the order of their keys.
func (r *replica) lostOwn() []Lost {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var lost []Lost
	overruling := r.overruling()
	for _, key := range slices.Sorted(maps.Keys(overruling)) {
		if state := overruling[key]; state.entry.isOwn() {
			lost = append(lost, Lost{Entry: state.entry, StoreRevision: r.entries[key].Revision})
		}
	}
	return lost
}
