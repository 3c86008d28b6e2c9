package directory

import (
	"bytes"
	"cmp"
	"maps"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bramblemast/bramblemast/pkg/template/stored"
)

// Times for which states from before a restore stay in force at most.
const (
	// defaultWriteBackSpan is how long the operator and the servers may take to write again what
	// the store has lost; see SetWriteBackSpan.
	defaultWriteBackSpan = 2800 * time.Millisecond
	// nodeWriteBackSpan is how long the nodes may take: their writes are spread, since the store
	// limits its callers. It is that of their leases, after which a lost node's entry goes.
	nodeWriteBackSpan = 90 * time.Second
	// unlimitedRetention is for what never goes back to an older state.
	unlimitedRetention = time.Duration(math.MaxInt64)
)

// retainedState is the state of a key from before the store came back from an older copy.
type retainedState struct {
	entry Entry
	// written is the revision of the key's last write, also if the key is gone.
	lastWrite uint64
}

// retention returns for how long the state stays in force unless its key is written again, where
// the operator and the servers write again within a span. A configuration is replaced by a later
// version only.
func (s retainedState) retention(writeBackSpan time.Duration) time.Duration {
	switch {
	case s.entry.Configuration != nil:
		return unlimitedRetention
	case s.entry.isWrittenBackByNodes() || s.entry.Node != nil:
		return nodeWriteBackSpan
	}
	return writeBackSpan
}

// isWrittenBackByNodes reports whether nodes write the key back themselves: nobody else does.
func (e Entry) isWrittenBackByNodes() bool { return e.Template != nil || e.Note != nil }

// isConfirmedBy reports whether the store holds the same state again.
func (s retainedState) isConfirmedBy(entry Entry) bool {
	if s.entry.Gone || entry.Gone {
		return s.entry.Gone && entry.Gone
	}
	// What cannot be read may have been left out of the entry.
	return s.entry.Problem == nil && entry.Problem == nil && bytes.Equal(s.entry.Value, entry.Value)
}

// isSupersededBy reports whether a state that the restored store holds is a later one. A state of the
// copy was never written later than what is known of its key; one beyond the first revision that was
// seen of the era was written after the restore. What is neither may be both.
func (s retainedState) isSupersededBy(entry Entry, baseline uint64) bool {
	switch {
	case s.entry.Configuration != nil && entry.Configuration != nil:
		return entry.Configuration.Version >= s.entry.Configuration.Version
	case s.entry.Template != nil && entry.Template != nil && s.historyContains(entry):
		return false
	case s.entry.Template != nil && entry.Template != nil:
		return true
	case s.entry.Node != nil && entry.Node != nil && entry.Node.Era > s.entry.Node.Era:
		return true
	case !s.entry.Gone && entry.Revision == s.lastWrite:
		return true
	}
	return entry.Revision > s.lastWrite || entry.Revision > baseline
}

// isRewrittenAs reports whether a state has the revision of this one and was evidently written after the
// restore. The entry of a server proves nothing: it counts heartbeats that the store gives no revision.
func (s retainedState) isRewrittenAs(entry Entry) bool {
	return !s.entry.Gone && entry.Revision == s.lastWrite && s.entry.ServerID == "" && !s.isConfirmedBy(entry)
}

// historyContains reports whether the published template of an entry is part of this one's history.
func (s retainedState) historyContains(entry Entry) bool {
	document, err := stored.Decode(s.entry.Template.Template.Key(), s.entry.Value)
	if err != nil {
		// It was decoded when it was read, so that this means a history which cannot be read: the
		// template that the store holds now decides.
		return false
	}
	_, found := document.Find(entry.Template.Template.ChangeID)
	return found
}

// isLaterThan reports whether the state is a later one than another of the same key.
func (s retainedState) isLaterThan(other retainedState) bool {
	if s.entry.Configuration != nil && other.entry.Configuration != nil {
		return s.entry.Configuration.Version > other.entry.Configuration.Version
	}
	if order := cmp.Or(cmp.Compare(s.entry.Era, other.entry.Era), cmp.Compare(s.lastWrite, other.lastWrite)); order != 0 {
		return order > 0
	}
	return s.entry.Gone && !other.entry.Gone
}

// retainedStates are the states from before an era that stay in force, and with them which keys were gone.
// They are guarded by the mutex of their replica.
type retainedStates struct {
	states map[string]retainedState
	// since is when the era began, as this node or another one saw it; zero for long ago.
	eraStart time.Time
	// baseline is the first revision that was seen of the era.
	baseline uint64
}

// digestOf returns a number that is the same for the same states; zero for none.
func digestOf(states map[string]retainedState) uint64 {
	var digest uint64
	for key, state := range states {
		text := key + " " + strconv.FormatUint(state.entry.Era, 10) + " " + strconv.FormatUint(state.lastWrite, 10)
		if state.entry.Gone {
			text += " gone"
		}
		digest += xxhash.Sum64String(text)
	}
	return digest
}

// startEra forgets what the store held in the era before and keeps what is in force, except what
// the first batch of the era confirms. The order is held.
func (r *replica) startEra(batch Batch, now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	kept := r.statesInForce()
	baseline := r.lastCopyRevision(batch)
	r.eraDiff = r.diffTo(batch)
	for _, entry := range batch.Entries {
		if known, exists := kept[entry.Key]; exists && known.isConfirmedBy(entry) {
			delete(kept, entry.Key)
		}
	}
	isChange := r.completeUpTo > 0
	r.entries, r.tombstones = make(map[string]Entry, len(batch.Entries)), make(map[string]tombstone)
	r.gaps, r.deletionsUnknownUpTo, r.completeUpTo, r.era = nil, 0, 0, batch.Era
	r.retained = retainedStates{states: kept, baseline: baseline}
	if isChange {
		r.retained.eraStart = now
	}
}

// lastCopyRevision returns a revision that is not before the last one of the copy which the store came back from,
// by the first batch of the new era and what was known of the one before: revisions that belonged to
// something else then were given out again, and so were all that follow. The mutex is held.
func (r *replica) lastCopyRevision(batch Batch) uint64 {
	// Not those at which keys went: where that was found by a reading of everything, it was earlier.
	keyByRevision := make(map[uint64]string, len(r.entries))
	for key, entry := range r.entries {
		keyByRevision[entry.Revision] = key
	}
	last := batch.Revision
	for _, entry := range batch.Entries {
		if entry.Revision > last || entry.Revision > r.completeUpTo {
			continue
		}
		knownKey, isKnown := keyByRevision[entry.Revision]
		if isKnown && knownKey != entry.Key || r.wasWrittenAfterRestore(entry) {
			last = entry.Revision - 1
		}
	}
	return last
}

// wasWrittenAfterRestore reports whether an entry was evidently written after the store came back from an older
// copy, by what was known of its key in the era before. The mutex is held.
func (r *replica) wasWrittenAfterRestore(entry Entry) bool {
	if known, isHeld := r.entries[entry.Key]; isHeld {
		state := retainedState{entry: known, lastWrite: known.Revision}
		return entry.Revision > known.Revision || state.isRewrittenAs(entry)
	}
	// One that is gone was there, at revisions that may not have been seen; so may others have been, where
	// changes were passed over.
	_, isGone := r.tombstones[entry.Key]
	return !isGone && !r.areDeletionsUnknown(entry.Revision)
}

// states returns the state of each key that the listener was told last. The mutex is held.
func (r *replica) statesInForce() map[string]retainedState {
	states := make(map[string]retainedState, len(r.entries)+len(r.tombstones))
	for key, deleted := range r.tombstones {
		states[key] = retainedState{entry: deleted.notified, lastWrite: deleted.lastWrite}
	}
	// Also those that were written again since they went.
	for key, entry := range r.entries {
		states[key] = retainedState{entry: entry, lastWrite: entry.Revision}
	}
	maps.Copy(states, r.retained.states)
	return states
}

// shouldNotify reports whether the listener is to be told of a state that the store holds now. If so, the
// earlier state of its key has come to its end.
func (r *replica) shouldNotify(entry Entry) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	known, exists := r.retained.states[entry.Key]
	if !exists {
		return true
	}
	isConfirmed := known.isConfirmedBy(entry)
	if isConfirmed || known.isSupersededBy(entry, r.retained.baseline) {
		delete(r.retained.states, entry.Key)
		return !isConfirmed
	}
	return false
}

// applyRetained takes states from before the era that another node knows, which saw the era begin at a
// moment; zero if it does not know. It returns how many were news.
func (r *replica) learnRetained(states []retainedState, eraStart time.Time, writeBackSpan time.Duration, now time.Time) int {
	r.notifying.Lock()
	defer r.notifying.Unlock()
	r.noteEraStart(eraStart)
	changes := 0
	for _, state := range states {
		if r.retain(state, writeBackSpan, now) {
			r.listener.Changed(state.entry)
			changes++
		}
	}
	return changes
}

// noteEraStart takes when another node saw the era begin; zero if it does not know. The first one that saw
// it decides, so that all nodes take the store to have settled at about the same time.
func (r *replica) noteEraStart(startedAt time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.retained.eraStart.IsZero() || !startedAt.IsZero() && startedAt.Before(r.retained.eraStart) {
		r.retained.eraStart = startedAt
	}
}

// startedAt returns when the era began, as this node or another one saw it; zero for long ago.
func (r *replica) eraStartedAt() time.Time {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.retained.eraStart
}

// retain keeps a state that another node knows, if it goes before what this one does, and
// reports whether it did.
func (r *replica) retain(state retainedState, writeBackSpan time.Duration, now time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	key := state.entry.Key
	span := state.retention(writeBackSpan)
	if state.entry.Era >= r.era || span != unlimitedRetention && !now.Before(r.retained.eraStart.Add(span)) {
		return false
	}
	if known, exists := r.retained.states[key]; exists {
		if !state.isLaterThan(known) {
			return false
		}
		r.retained.states[key] = state
		return true
	}
	current, exists := r.entries[key]
	_, isGone := r.tombstones[key]
	switch {
	case isGone, !exists && state.entry.Gone:
		return false
	case exists && (state.isConfirmedBy(current) || state.isSupersededBy(current, r.retained.baseline)):
		return false
	}
	r.retained.states[key] = state
	return true
}

// expireRetained ends the earlier states that were not written again by a moment at which the store was
// known: what it holds is in force from then on.
func (r *replica) expireRetained(confirmedAt time.Time, writeBackSpan time.Duration) {
	r.notifying.Lock()
	defer r.notifying.Unlock()
	for _, entry := range r.takeExpired(confirmedAt, writeBackSpan) {
		r.listener.Changed(entry)
	}
}

// takeExpired returns what the store holds in the place of the earlier states that have expired.
func (r *replica) takeExpired(confirmedAt time.Time, writeBackSpan time.Duration) []Entry {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var changed []Entry
	if len(r.retained.states) == 0 {
		return nil
	}
	for _, key := range slices.Sorted(maps.Keys(r.retained.states)) {
		state := r.retained.states[key]
		current, exists := r.entries[key]
		span := state.retention(writeBackSpan)
		if r.isGoneInBoth(key) {
			// An even older copy may hold the key.
			span = tombstoneLifetime
		}
		if span == unlimitedRetention || confirmedAt.Before(r.retained.eraStart.Add(span)) {
			continue
		}
		delete(r.retained.states, key)
		switch {
		case exists:
			changed = append(changed, current)
		case !state.entry.Gone:
			gone := state.entry.asGone(r.completeUpTo)
			gone.Era = r.era
			changed = append(changed, gone)
		}
	}
	return changed
}

// isGoneInBoth reports whether the earlier state of a key is the same as what the store holds: none. The
// mutex is held.
func (r *replica) isGoneInBoth(key string) bool {
	_, exists := r.entries[key]
	return !exists && r.retained.states[key].entry.Gone
}

// overruling returns the earlier states that go before what the store holds. The mutex is held.
func (r *replica) overridingStates() map[string]retainedState {
	states := maps.Clone(r.retained.states)
	maps.DeleteFunc(states, func(key string, _ retainedState) bool { return r.isGoneInBoth(key) })
	return states
}

// retainedKeys returns the keys whose earlier state goes before what the store holds, in their order.
func (r *replica) retainedKeys() []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return slices.Sorted(maps.Keys(r.overridingStates()))
}

// retainedDigest returns a number that is the same for replicas with the same earlier states.
func (r *replica) retainedDigest() uint64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return digestOf(r.overridingStates())
}

// statesForEra returns what goes before the store's state of an era that another node knows. Where that
// node's era is later than its own, everything may.
func (r *replica) statesForEra(era uint64) []retainedState {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if era > r.era {
		states := r.statesInForce()
		// Servers write their entries again within seconds, to the store that the node reads.
		maps.DeleteFunc(states, func(_ string, state retainedState) bool { return state.entry.ServerID != "" })
		return slices.Collect(maps.Values(states))
	}
	return slices.Collect(maps.Values(r.overridingStates()))
}

// lostEntries returns the states that nodes write back, in the order of their keys.
func (r *replica) lostEntries() []LostEntry {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var lost []LostEntry
	overriding := r.overridingStates()
	for _, key := range slices.Sorted(maps.Keys(overriding)) {
		if state := overriding[key]; state.entry.isWrittenBackByNodes() {
			lost = append(lost, LostEntry{Entry: state.entry, StoreRevision: r.entries[key].Revision})
		}
	}
	return lost
}
