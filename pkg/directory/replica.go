package directory

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// tombstoneLifetime is for how long a node remembers which keys have gone, so
// that it can tell another node only what has changed.
const tombstoneLifetime = 2 * time.Minute

// replica is what a node knows of the store: the newest state of each key, up
// to a revision. It is safe for concurrent use.
type replica struct {
	listener Listener

	// order makes changes reach the listener one at a time.
	notifying sync.Mutex

	mutex sync.Mutex
	// The fields below are guarded by mutex.
	entries    map[string]Entry
	tombstones map[string]tombstone
	// deletionsUnknownUpTo is the revision up to which it is not known which keys have
	// gone.
	deletionsUnknownUpTo uint64
	// gaps are the later spans of revisions that were passed over by reading
	// everything, oldest first; at most maxGaps.
	gaps []gap
	// at is the revision up to which the replica is complete; zero for nothing. era is the era of
	// the store that it and all others belong to; zero if the store tells none.
	completeUpTo uint64
	era          uint64
	// isLoaded says that the listener was told of the first state.
	isLoaded bool
	// earlier are states from before the era, which go before what the store holds.
	retained retainedStates
	// succession is how the era differs from the one before, for nodes that know that one.
	eraDiff eraDiff
}

// gap is a span of revisions of which only the outcome is known. A key that was
// written and went between its ends was never seen; all that existed at its begin
// and has gone left a tombstone.
type gap struct{ from, to uint64 }

// maxGaps bounds the gaps that are remembered: a store may forget its history again
// and again, each time that it is read.
const maxGaps = 16

// tombstone remembers a key that is gone.
type tombstone struct {
	revision  uint64
	deletedAt time.Time
	// end is the state that the listener was told, and written the revision of the last write.
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

// apply takes a batch and returns the number of changes that were news. covered
// says what the batch tells: keys that the whole state does not hold are gone, and so
// are those that were written after the replica's revision and are not among all
// changes up to that of the batch. A batch of an earlier era tells nothing, and of a later
// one only the whole state does.
func (r *replica) apply(batch Batch, covered coverage, now time.Time) int {
	r.notifying.Lock()
	defer r.notifying.Unlock()
	position := r.position()
	if batch.Era == 0 {
		batch.Era = position.Era
	}
	switch {
	case batch.Era < position.Era, batch.Era > position.Era && covered != wholeState:
		return 0
	case batch.Era > position.Era:
		r.startEra(batch, now)
	case batch.Revision < position.Revision:
		return 0
	}
	known := r.revision()
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

// noteGap notes that the changes between two revisions were not seen. The mutex is
// held.
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

// areDeletionsUnknown reports whether a node that knows everything up to a revision may hold
// keys of which it is not known that they have gone. One that is at the begin of a
// gap, or before it, holds none that came within it. The mutex is held.
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

// absent returns the end of each key that was written after a revision and that a
// batch does not hold.
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

// applyEntries offers entries and returns how many of them were news.
func (r *replica) applyEntries(entries []Entry, now time.Time) int {
	changes := 0
	for _, entry := range entries {
		changes += r.applyEntry(entry, now)
	}
	return changes
}

// offer hands an entry to the listener if it is newer than what is known of its
// key, and returns 1 if it is. An earlier state may go before it.
func (r *replica) applyEntry(entry Entry, now time.Time) int {
	if !r.update(&entry, now) {
		return 0
	}
	if r.shouldNotify(entry) {
		r.listener.Changed(entry)
	}
	return 1
}

// replace takes an entry, which becomes one of the era, and reports whether it is news.
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

// forget drops old tombstones. The mutex is held.
func (r *replica) expireTombstones(now time.Time) {
	for key, deleted := range r.tombstones {
		if now.Sub(deleted.deletedAt) > tombstoneLifetime {
			r.deletionsUnknownUpTo = max(r.deletionsUnknownUpTo, deleted.revision)
			delete(r.tombstones, key)
		}
	}
}

// coverage says what a batch tells a node that knows everything up to a revision.
type coverage int

const (
	// allChanges since that revision, also which keys have gone.
	allChanges coverage = iota
	// wholeState is everything; what is missing from it has gone.
	wholeState
	// newerOnly are entries that are newer; which keys have gone is not known, so
	// they complete nothing and the batch keeps the node's own revision.
	newerOnly
)

// since returns what has changed after a revision, as far as it is known.
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
	for key, old := range r.tombstones {
		if old.revision > after {
			batch.Entries = append(batch.Entries, Entry{Key: key, Revision: old.revision, Gone: true})
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
