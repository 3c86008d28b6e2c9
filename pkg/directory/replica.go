package directory

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// tombstoneLifetime is how long a node remembers deleted keys, so that it can send other nodes only
// the changes.
const tombstoneLifetime = 2 * time.Minute

// replica is a node's copy of the store: the newest state of each key, complete up to a revision.
// It is safe for concurrent use.
type replica struct {
	listener Listener

	// notifying serializes the calls to the listener.
	notifying sync.Mutex

	mutex sync.Mutex
	// The fields below are guarded by mutex.
	entries    map[string]Entry
	tombstones map[string]tombstone
	// deletionsUnknownUpTo is the revision up to which the deleted keys are not known.
	deletionsUnknownUpTo uint64
	// gaps are the later spans of revisions that were skipped by reading everything, oldest first;
	// at most maxGaps.
	gaps []gap
	// completeUpTo is the revision up to which the replica is complete; zero if it is empty. era is
	// the era of the store that all revisions belong to; zero if the store reports none.
	completeUpTo uint64
	era          uint64
	// isLoaded says that the initial state was reported to the listener.
	isLoaded bool
	// retained are states of earlier eras that override what the store holds.
	retained retainedStates
	// eraDiff is how the era differs from the previous one, for nodes that know the previous one.
	eraDiff eraDiff
}

// gap is a span of revisions of which only the outcome is known. A key that was written and deleted
// within it was never seen; a key that existed at its start and was deleted within it left a
// tombstone.
type gap struct{ from, to uint64 }

// maxGaps bounds the remembered gaps: a store may lose its history again and again, after each full
// read.
const maxGaps = 16

// tombstone records a deleted key.
type tombstone struct {
	revision  uint64
	deletedAt time.Time
	// notified is the state that the listener received, and lastWrite the revision of the key's
	// last write.
	notified  Entry
	lastWrite uint64
}

func newReplica(listener Listener) *replica {
	return &replica{
		listener: listener, entries: make(map[string]Entry), tombstones: make(map[string]tombstone),
		retained: retainedStates{states: make(map[string]retainedState)},
	}
}

// revision returns the revision up to which the replica is complete.
func (r *replica) revision() uint64 { return r.position().Revision }

// position returns the era, and the revision in it up to which the replica is complete.
func (r *replica) position() Position {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return Position{Era: r.era, Revision: r.completeUpTo}
}

// apply applies a batch and returns the number of changes that were new. covered says what the
// batch contains: with the whole state, keys that it lacks are deleted; with all changes, keys are
// deleted that were written after the replica's revision, up to that of the batch, and that it
// lacks. A batch of an earlier era is ignored, and so is one of a later era unless it is the whole
// state.
func (r *replica) apply(batch Batch, covered coverage, now time.Time) int {
	r.notifying.Lock()
	defer r.notifying.Unlock()
	position := r.position()
	if batch.Era == 0 {
		batch.Era = position.Era
	}
	switch {
	case covered == newerOnly && position == Position{}:
		r.startFirstEra(batch.Era)
	case batch.Era < position.Era, batch.Era > position.Era && covered != wholeState:
		return 0
	case batch.Era > position.Era:
		r.startEra(batch, now)
	case batch.Revision < position.Revision:
		return 0
	}
	known := r.revision()
	batch.Entries = r.notifyUnreadable(batch.Entries)
	changes := 0
	switch covered {
	case wholeState:
		changes += r.applyEntries(r.impliedDeletions(batch, 0), now)
	case allChanges:
		changes += r.applyEntries(r.impliedDeletions(batch, known), now)
	}
	changes += r.applyEntries(batch.Entries, now)
	r.mutex.Lock()
	r.completeUpTo = max(r.completeUpTo, batch.Revision)
	if covered == wholeState {
		r.noteGap(gap{from: known, to: batch.Revision})
	}
	for _, each := range batch.gaps {
		r.noteGap(each)
	}
	r.expireTombstones(now)
	isFirst := !r.isLoaded && batch.Revision > 0
	r.isLoaded = r.isLoaded || isFirst
	r.mutex.Unlock()
	if isFirst {
		r.listener.Loaded(batch.Revision)
	}
	return changes
}

// startFirstEra sets the era of an empty replica that learns of single entries first.
func (r *replica) startFirstEra(era uint64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.era = era
}

// withoutUnreadable returns the entries without those that cannot be decoded and replace nothing. The
// listener is notified of new ones, but they are not kept, since other writers may leave any number of
// them.
func (r *replica) withoutUnreadable(entries []Entry) []Entry {
	r.notifying.Lock()
	defer r.notifying.Unlock()
	return r.notifyUnreadable(entries)
}

// notifyUnreadable is withoutUnreadable. notifying is held.
func (r *replica) notifyUnreadable(entries []Entry) []Entry {
	if !slices.ContainsFunc(entries, func(entry Entry) bool { return entry.Problem != nil }) {
		return entries
	}
	kept := make([]Entry, 0, len(entries))
	for _, entry := range entries {
		if entry.Problem == nil || entry.Gone || r.holds(entry.Key) {
			kept = append(kept, entry)
			continue
		}
		if entry.Revision > r.revision() {
			r.listener.Changed(entry)
		}
	}
	return kept
}

// holds reports whether the replica has a state of a key, or retains one.
func (r *replica) holds(key string) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_, exists := r.entries[key]
	_, isRetained := r.retained.states[key]
	return exists || isRetained
}

// noteGap records that the changes between two revisions were not seen. The mutex is held.
func (r *replica) noteGap(skipped gap) {
	if skipped.from == 0 {
		r.deletionsUnknownUpTo = max(r.deletionsUnknownUpTo, skipped.to)
		return
	}
	if skipped.from < skipped.to && !slices.Contains(r.gaps, skipped) {
		r.gaps = append(r.gaps, skipped)
	}
	if len(r.gaps) > maxGaps {
		r.deletionsUnknownUpTo = max(r.deletionsUnknownUpTo, r.gaps[0].to)
		r.gaps = slices.Delete(r.gaps, 0, 1)
	}
}

// areDeletionsUnknown reports whether a node that is complete up to a revision may hold keys whose
// deletion this replica does not know of. A node at the start of a gap or before it holds no key
// that was written within the gap. The mutex is held.
func (r *replica) areDeletionsUnknown(after uint64) bool {
	return areDeletionsUnknownIn(after, r.deletionsUnknownUpTo, r.gaps)
}

func areDeletionsUnknownIn(after, unknownUpTo uint64, gaps []gap) bool {
	if after < unknownUpTo {
		return true
	}
	for _, each := range gaps {
		if each.from < after && after < each.to {
			return true
		}
	}
	return false
}

// impliedDeletions returns the deletion of each key that was written after a revision and that a
// batch lacks.
func (r *replica) impliedDeletions(batch Batch, after uint64) []Entry {
	r.mutex.Lock()
	missing := maps.Clone(r.entries)
	r.mutex.Unlock()
	for _, entry := range batch.Entries {
		delete(missing, entry.Key)
	}
	var deletions []Entry
	for _, entry := range missing {
		if entry.Revision > after && entry.Revision <= batch.Revision {
			deletions = append(deletions, entry.asGone(batch.Revision))
		}
	}
	return deletions
}

// applyEntries applies entries and returns how many of them were new.
func (r *replica) applyEntries(entries []Entry, now time.Time) int {
	changes := 0
	for _, entry := range entries {
		changes += r.applyEntry(entry, now)
	}
	return changes
}

// applyEntry applies an entry if it is newer than the known state of its key, and returns 1 if it
// is. The listener receives it unless a retained state overrides it.
func (r *replica) applyEntry(entry Entry, now time.Time) int {
	if !r.update(&entry, now) {
		return 0
	}
	if r.shouldNotify(entry) {
		r.listener.Changed(entry)
	}
	return 1
}

// update stores an entry as one of the current era and reports whether it is new.
func (r *replica) update(entry *Entry, now time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	entry.Era = r.era
	known, exists := r.entries[entry.Key]
	if entry.Revision <= known.Revision || entry.Revision <= r.tombstones[entry.Key].revision {
		return false
	}
	if !entry.Gone {
		r.entries[entry.Key] = *entry
		return true
	}
	delete(r.entries, entry.Key)
	lastWrite := max(known.Revision, r.tombstones[entry.Key].lastWrite)
	r.tombstones[entry.Key] = tombstone{revision: entry.Revision, deletedAt: now, notified: *entry, lastWrite: lastWrite}
	return exists
}

// expireTombstones drops tombstones after tombstoneLifetime. The mutex is held.
func (r *replica) expireTombstones(now time.Time) {
	for key, deleted := range r.tombstones {
		if now.Sub(deleted.deletedAt) > tombstoneLifetime {
			r.deletionsUnknownUpTo = max(r.deletionsUnknownUpTo, deleted.revision)
			delete(r.tombstones, key)
		}
	}
}

// coverage says what a batch contains for a node that is complete up to a revision.
type coverage int

const (
	// allChanges means all changes since that revision, including deletions.
	allChanges coverage = iota
	// wholeState means everything; keys that it lacks are deleted.
	wholeState
	// newerOnly means newer entries without the deletions. They do not advance the revision up to
	// which the node is complete, so the batch keeps the node's own revision.
	newerOnly
)

// since returns the known changes after a revision.
func (r *replica) since(after uint64) (Batch, coverage) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	batch := Batch{Era: r.era, Revision: r.completeUpTo}
	if after >= r.completeUpTo {
		return batch, allChanges
	}
	for _, entry := range r.entries {
		if entry.Revision > after {
			batch.Entries = append(batch.Entries, entry)
		}
	}
	if after == 0 {
		return batch, wholeState
	}
	for key, deleted := range r.tombstones {
		if deleted.revision > after {
			batch.Entries = append(batch.Entries, Entry{Key: key, Revision: deleted.revision, Gone: true})
		}
	}
	if r.areDeletionsUnknown(after) {
		batch.Revision = after
		return batch, newerOnly
	}
	for _, each := range r.gaps {
		if each.to > after {
			batch.gaps = append(batch.gaps, each)
		}
	}
	return batch, allChanges
}
