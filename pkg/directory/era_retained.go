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

// Bounds of how long states from before a restore stay in force.
const (
	// defaultWriteBackSpan is how long the operator and the servers may take to write again what
	// the store has lost; see SetWriteBackSpan.
	defaultWriteBackSpan = 2800 * time.Millisecond
	// nodeWriteBackSpan is how long the nodes may take. Their writes are spread, since the store
	// rate-limits its callers. It equals the duration of their leases, after which the entry of a
	// lost node expires.
	nodeWriteBackSpan = 90 * time.Second
	// unlimitedRetention is for states that never revert to an older one.
	unlimitedRetention = time.Duration(math.MaxInt64)
)

// retainedState is the state of a key from before the store was restored from an older copy.
type retainedState struct {
	entry Entry
	// lastWrite is the revision of the key's last write, also if the key is deleted.
	lastWrite uint64
}

// retention returns how long the state stays in force unless its key is written again, where
// writeBackSpan is how long the operator and the servers may take. A configuration is only ever
// replaced by a later version.
func (s retainedState) retention(writeBackSpan time.Duration) time.Duration {
	switch {
	case s.entry.Configuration != nil:
		return unlimitedRetention
	case s.entry.isWrittenBackByNodes() || s.entry.Node != nil:
		return nodeWriteBackSpan
	}
	return writeBackSpan
}

// isWrittenBackByNodes reports whether the nodes write the key back, since nobody else does.
func (e Entry) isWrittenBackByNodes() bool { return e.Template != nil || e.Note != nil }

// isConfirmedBy reports whether the store holds the same state again.
func (s retainedState) isConfirmedBy(entry Entry) bool {
	if s.entry.Gone || entry.Gone {
		return s.entry.Gone && entry.Gone
	}
	// An entry that could not be decoded may lack parts of the value.
	return s.entry.Problem == nil && entry.Problem == nil && bytes.Equal(s.entry.Value, entry.Value)
}

// isSupersededBy reports whether a state in the restored store is a later one. A state of the copy
// was never written later than the last known write of its key, and one beyond the baseline was
// written after the restore. A state that is neither may be from before the restore or after it.
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

// isRewrittenAs reports whether an entry has the revision of this state but was evidently written
// after the restore. The entry of a server proves nothing, since its heartbeat counter changes
// without a new revision.
func (s retainedState) isRewrittenAs(entry Entry) bool {
	return !s.entry.Gone && entry.Revision == s.lastWrite && s.entry.ServerID == "" && !s.isConfirmedBy(entry)
}

// historyContains reports whether the published template of an entry is part of this one's history.
func (s retainedState) historyContains(entry Entry) bool {
	document, err := stored.Decode(s.entry.Template.Template.Key(), s.entry.Value)
	if err != nil {
		// The value was decoded when it was read, so only its history can be unreadable: the
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

// retainedStates are the states of earlier eras that stay in force, including which keys were
// deleted. They are guarded by the mutex of their replica.
type retainedStates struct {
	states map[string]retainedState
	// eraStart is when this node or another one first saw the era; zero for long ago.
	eraStart time.Time
	// baseline is an upper bound of the last revision of the copy that the era started from; see
	// lastCopyRevision.
	baseline uint64
}

// digestOf returns a digest that is equal for equal states; zero for none.
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

// startEra drops what the store held in the previous era and retains what is in force, except the
// states that the first batch of the new era confirms. notifying is held.
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

// lastCopyRevision returns an upper bound of the last revision of the copy from which the store was
// restored, derived from the first batch of the new era and the state known of the previous one.
// Where a revision belonged to something else before, it was assigned again, and so were all that
// follow. The mutex is held.
func (r *replica) lastCopyRevision(batch Batch) uint64 {
	// Revisions of deletions are not used: a deletion that was found by reading everything happened
	// earlier than its recorded revision.
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

// wasWrittenAfterRestore reports whether an entry was evidently written after the restore, judged
// by the state of its key in the previous era. The mutex is held.
func (r *replica) wasWrittenAfterRestore(entry Entry) bool {
	if known, isHeld := r.entries[entry.Key]; isHeld {
		state := retainedState{entry: known, lastWrite: known.Revision}
		return entry.Revision > known.Revision || state.isRewrittenAs(entry)
	}
	// A deleted key existed before, at revisions that may not have been seen. Other keys may have
	// too, if changes were skipped.
	_, isGone := r.tombstones[entry.Key]
	return !isGone && !r.areDeletionsUnknown(entry.Revision)
}

// statesInForce returns the state of each key that the listener received last. The mutex is held.
func (r *replica) statesInForce() map[string]retainedState {
	states := make(map[string]retainedState, len(r.entries)+len(r.tombstones))
	for key, deleted := range r.tombstones {
		states[key] = retainedState{entry: deleted.notified, lastWrite: deleted.lastWrite}
	}
	// Entries come second, since they include keys that were written again after their deletion.
	for key, entry := range r.entries {
		states[key] = retainedState{entry: entry, lastWrite: entry.Revision}
	}
	maps.Copy(states, r.retained.states)
	return states
}

// shouldNotify reports whether the listener is to receive a state that the store holds now. A
// retained state of its key that the entry confirms or supersedes is dropped.
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

// learnRetained adds states of earlier eras that another node retains, which first saw the era at
// eraStart; zero if it does not know. It returns how many were new.
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

// noteEraStart records when another node first saw the era; zero if it does not know. The earliest
// time counts, so that all nodes consider the store settled at about the same time.
func (r *replica) noteEraStart(startedAt time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.retained.eraStart.IsZero() || !startedAt.IsZero() && startedAt.Before(r.retained.eraStart) {
		r.retained.eraStart = startedAt
	}
}

// eraStartedAt returns when this node or another one first saw the era; zero for long ago.
func (r *replica) eraStartedAt() time.Time {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.retained.eraStart
}

// retain keeps a state that another node retains if it overrides what this one knows, and reports
// whether it did.
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

// expireRetained drops the retained states that had not been written again by confirmedAt, a time
// at which the replica equalled the store. What the store holds is in force from then on.
func (r *replica) expireRetained(confirmedAt time.Time, writeBackSpan time.Duration) {
	r.notifying.Lock()
	defer r.notifying.Unlock()
	for _, entry := range r.takeExpired(confirmedAt, writeBackSpan) {
		r.listener.Changed(entry)
	}
}

// takeExpired drops the expired retained states and returns what the store holds in their place.
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
			// The next restore may be from an even older copy that holds the key.
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

// isGoneInBoth reports whether a key is deleted both in its retained state and in the store. The
// mutex is held.
func (r *replica) isGoneInBoth(key string) bool {
	_, exists := r.entries[key]
	return !exists && r.retained.states[key].entry.Gone
}

// overridingStates returns the retained states that override what the store holds. The mutex is
// held.
func (r *replica) overridingStates() map[string]retainedState {
	states := maps.Clone(r.retained.states)
	maps.DeleteFunc(states, func(key string, _ retainedState) bool { return r.isGoneInBoth(key) })
	return states
}

// retainedKeys returns the keys whose retained state overrides what the store holds, sorted.
func (r *replica) retainedKeys() []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return slices.Sorted(maps.Keys(r.overridingStates()))
}

// retainedDigest returns a digest that is equal for replicas with the same overriding states.
func (r *replica) retainedDigest() uint64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return digestOf(r.overridingStates())
}

// statesForEra returns the states that override what the store holds in an era that another node
// knows. If that era is later than the replica's own, that may be any state in force.
func (r *replica) statesForEra(era uint64) []retainedState {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if era > r.era {
		states := r.statesInForce()
		// Servers write their entries again within seconds, to the store that the other node reads.
		maps.DeleteFunc(states, func(_ string, state retainedState) bool { return state.entry.ServerID != "" })
		return slices.Collect(maps.Values(states))
	}
	return slices.Collect(maps.Values(r.overridingStates()))
}

// lostEntries returns the states that nodes write back, sorted by key.
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
