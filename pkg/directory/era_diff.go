package directory

import (
	"maps"
)

// eraDiff is how an era differs from the previous one. A restore changes few keys, so a node that
// knows the previous era is sent only the differences. The zero value means none.
type eraDiff struct {
	// from is how far the previous era was known, and firstRevision the revision of the first state
	// of the era.
	from          Position
	firstRevision uint64
	// changed are the keys whose state or revision differs between the two.
	changed map[string]bool
	// deletedAt are the revisions at which keys were deleted in the previous era.
	deletedAt map[string]uint64
	// deletionsUnknownUpTo and gaps are what is not known of the previous era; see replica.
	deletionsUnknownUpTo uint64
	gaps                 []gap
}

// diffTo returns how a batch, the first of an era, differs from the known state of the previous
// era. The mutex is held.
func (r *replica) diffTo(batch Batch) eraDiff {
	diff := eraDiff{
		from: Position{Era: r.era, Revision: r.completeUpTo}, firstRevision: batch.Revision, changed: make(map[string]bool),
		deletedAt: make(map[string]uint64, len(r.tombstones)), deletionsUnknownUpTo: r.deletionsUnknownUpTo, gaps: r.gaps,
	}
	for key, deleted := range r.tombstones {
		diff.deletedAt[key] = deleted.revision
	}
	for key := range r.entries {
		diff.changed[key] = true
	}
	for _, entry := range batch.Entries {
		known, exists := r.entries[entry.Key]
		state := retainedState{entry: known, lastWrite: known.Revision}
		if exists && known.Revision == entry.Revision && state.isConfirmedBy(entry) {
			delete(diff.changed, entry.Key)
		} else {
			diff.changed[entry.Key] = true
		}
	}
	return diff
}

// covers reports whether the differences suffice for a node at a position of the previous era.
func (s eraDiff) covers(position Position) bool {
	isWithin := s.from.Revision > 0 && position.Era == s.from.Era && position.Revision > 0 && position.Revision <= s.from.Revision
	return isWithin && !areDeletionsUnknownIn(position.Revision, s.deletionsUnknownUpTo, s.gaps)
}

// diffSince returns the changes that a node at a position of the previous era lacks; false if it
// needs the whole state.
func (r *replica) diffSince(position Position) (Batch, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if !r.eraDiff.covers(position) {
		return Batch{}, false
	}
	batch := Batch{Era: r.era, Revision: r.completeUpTo}
	gone := maps.Clone(r.eraDiff.changed)
	for key, revision := range r.eraDiff.deletedAt {
		if revision > position.Revision {
			gone[key] = true
		}
	}
	for key := range r.tombstones {
		gone[key] = true
	}
	// Revisions that follow the first state of the era may be smaller than those that the node
	// knows.
	from := min(position.Revision, r.eraDiff.firstRevision)
	for key, entry := range r.entries {
		if entry.Revision > from || r.eraDiff.changed[key] {
			batch.Entries = append(batch.Entries, entry)
		}
		delete(gone, key)
	}
	for key := range gone {
		batch.Entries = append(batch.Entries, Entry{Key: key, Revision: r.completeUpTo, Gone: true})
	}
	return batch, true
}

// mergeDiff returns the whole state of a new era from the differences in a batch and this node's
// state at a position of the previous era; false if this node's state has changed since.
func (r *replica) mergeDiff(batch Batch, position Position) (Batch, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.era != position.Era || r.completeUpTo != position.Revision || r.hasChangesAfter(r.completeUpTo) {
		return Batch{}, false
	}
	entries := maps.Clone(r.entries)
	for _, entry := range batch.Entries {
		entries[entry.Key] = entry
	}
	state := Batch{Era: batch.Era, Revision: batch.Revision}
	for _, entry := range entries {
		if !entry.Gone {
			state.Entries = append(state.Entries, entry)
		}
	}
	return state, true
}

// hasChangesAfter reports whether single changes after a revision are known. The mutex is held.
func (r *replica) hasChangesAfter(revision uint64) bool {
	for _, entry := range r.entries {
		if entry.Revision > revision {
			return true
		}
	}
	for _, deleted := range r.tombstones {
		if deleted.revision > revision {
			return true
		}
	}
	return false
}
