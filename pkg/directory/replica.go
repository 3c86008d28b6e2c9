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
	order sync.Mutex

	mutex sync.Mutex
	// The fields below are guarded by mutex.
	entries    map[string]Entry
	tombstones map[string]tombstone
	// forgottenUpTo is the revision up to which it is not known which keys have
	// gone.
	forgottenUpTo uint64
	// gaps are the later spans of revisions that were passed over by reading
	// everything, oldest first; at most maxGaps.
	gaps []gap
	// at is the revision up to which the replica is complete; zero for nothing. era is the era of
	// the store that it and all others belong to; zero if the store tells none.
	at  uint64
	era uint64
	// isRestored says that the listener was told of the first state.
	isRestored bool
	// earlier are states from before the era, which go before what the store holds.
	earlier earlierStates
	// succession is how the era differs from the one before, for nodes that know that one.
	succession succession
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
	revision uint64
	since    time.Time
	// end is the state that the listener was told, and written the revision of the last write.
	end     Entry
	written uint64
}

func newReplica(listener Listener) *replica {
	return &replica{
		listener: listener, entries: make(map[string]Entry), tombstones: make(map[string]tombstone),
		earlier: earlierStates{states: make(map[string]earlierState)},
	}
}

// revision returns the revision up to which the replica is complete.
func (r *replica) revision() uint64 { return r.position().Revision }

// position returns the era, and the revision in it up to which the replica is complete.
func (r *replica) position() Position {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return Position{Era: r.era, Revision: r.at}
}

// apply takes a batch and returns the number of changes that were news. covered
// says what the batch tells: keys that the whole state does not hold are gone, and so
// are those that were written after the replica's revision and are not among all
// changes up to that of the batch. A batch of an earlier era tells nothing, and of a later
// one only the whole state does.
func (r *replica) apply(batch Batch, covered coverage, now time.Time) int {
	r.order.Lock()
	defer r.order.Unlock()
	position := r.position()
	if batch.Era == 0 {
		batch.Era = position.Era
	}
	switch {
	case batch.Era < position.Era, batch.Era > position.Era && covered != wholeState:
		return 0
	case batch.Era > position.Era:
		r.beginEra(batch, now)
	case batch.Revision < position.Revision:
		return 0
	}
	known := r.revision()
	news := 0
	switch covered {
	case wholeState:
		news += r.offerAll(r.absent(batch, 0), now)
	case allChanges:
		news += r.offerAll(r.absent(batch, known), now)
	}
	news += r.offerAll(batch.Entries, now)
	r.mutex.Lock()
	r.at = max(r.at, batch.Revision)
	if covered == wholeState {
		r.noteGap(gap{from: known, to: batch.Revision})
	}
	for _, each := range batch.gaps {
		r.noteGap(each)
	}
	r.forget(now)
	isFirst := !r.isRestored && batch.Revision > 0
	r.isRestored = r.isRestored || isFirst
	r.mutex.Unlock()
	if isFirst {
		r.listener.Loaded(batch.Revision)
	}
	return news
}

// noteGap notes that the changes between two revisions were not seen. The mutex is
// held.
func (r *replica) noteGap(passed gap) {
	if passed.from == 0 {
		r.forgottenUpTo = max(r.forgottenUpTo, passed.to)
		return
	}
	if passed.from < passed.to && !slices.Contains(r.gaps, passed) {
		r.gaps = append(r.gaps, passed)
	}
	if len(r.gaps) > maxGaps {
		r.forgottenUpTo = max(r.forgottenUpTo, r.gaps[0].to)
		r.gaps = slices.Delete(r.gaps, 0, 1)
	}
}

// isForgotten reports whether a node that knows everything up to a revision may hold
// keys of which it is not known that they have gone. One that is at the begin of a
// gap, or before it, holds none that came within it. The mutex is held.
func (r *replica) isForgotten(after uint64) bool {
	return isForgottenBy(after, r.forgottenUpTo, r.gaps)
}

func isForgottenBy(after, forgottenUpTo uint64, gaps []gap) bool {
	if after < forgottenUpTo {
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
func (r *replica) absent(batch Batch, after uint64) []Entry {
	r.mutex.Lock()
	missing := maps.Clone(r.entries)
	r.mutex.Unlock()
	for _, entry := range batch.Entries {
		delete(missing, entry.Key)
	}
	var ends []Entry
	for _, entry := range missing {
		if entry.Revision > after && entry.Revision <= batch.Revision {
			ends = append(ends, entry.end(batch.Revision))
		}
	}
	return ends
}

// offerAll offers entries and returns how many of them were news.
func (r *replica) offerAll(entries []Entry, now time.Time) int {
	news := 0
	for _, entry := range entries {
		news += r.offer(entry, now)
	}
	return news
}

// offer hands an entry to the listener if it is newer than what is known of its
// key, and returns 1 if it is. An earlier state may go before it.
func (r *replica) offer(entry Entry, now time.Time) int {
	if !r.replace(&entry, now) {
		return 0
	}
	if r.isInForce(entry) {
		r.listener.Changed(entry)
	}
	return 1
}

// replace takes an entry, which becomes one of the era, and reports whether it is news.
func (r *replica) replace(entry *Entry, now time.Time) bool {
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
	written := max(known.Revision, r.tombstones[entry.Key].written)
	r.tombstones[entry.Key] = tombstone{revision: entry.Revision, since: now, end: *entry, written: written}
	return exists
}

// forget drops old tombstones. The mutex is held.
func (r *replica) forget(now time.Time) {
	for key, old := range r.tombstones {
		if now.Sub(old.since) > tombstoneLifetime {
			r.forgottenUpTo = max(r.forgottenUpTo, old.revision)
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
	batch := Batch{Era: r.era, Revision: r.at}
	if after >= r.at {
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
	if r.isForgotten(after) {
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
