package directory

import (
	"maps"
)

// succession is what a node remembers of the begin of an era, so that it need not tell everything to
// nodes that know the era before: at a restore few keys differ. The zero value stands for none.
type succession struct {
	// from is how far the era before was known, and first the revision of the first state of the era.
	from  Position
	first uint64
	// changed are the keys whose state or revision differs between the two.
	changed map[string]bool
	// removed are the revisions at which keys had gone in the era before.
	removed map[string]uint64
	// forgottenUpTo and gaps are what is not known of the era before; see replica.
	forgottenUpTo uint64
	gaps          []gap
}

// successionTo returns how a batch, the first of an era, differs from what is known of the era before. The
// mutex is held.
func (r *replica) successionTo(batch Batch) succession {
	next := succession{
		from: Position{Era: r.era, Revision: r.at}, first: batch.Revision, changed: make(map[string]bool),
		removed: make(map[string]uint64, len(r.tombstones)), forgottenUpTo: r.forgottenUpTo, gaps: r.gaps,
	}
	for key, old := range r.tombstones {
		next.removed[key] = old.revision
	}
	for key := range r.entries {
		next.changed[key] = true
	}
	for _, entry := range batch.Entries {
		known, exists := r.entries[entry.Key]
		state := earlierState{entry: known, written: known.Revision}
		if exists && known.Revision == entry.Revision && state.isConfirmedBy(entry) {
			delete(next.changed, entry.Key)
		} else {
			next.changed[entry.Key] = true
		}
	}
	return next
}

// knows reports whether a node at a position of the era before can be told the differences alone.
func (s succession) knows(position Position) bool {
	isWithin := s.from.Revision > 0 && position.Era == s.from.Era && position.Revision > 0 && position.Revision <= s.from.Revision
	return isWithin && !isForgottenBy(position.Revision, s.forgottenUpTo, s.gaps)
}

// continuing returns what a node at a position of the era before does not know; false if it is to be told
// everything.
func (r *replica) continuing(position Position) (Batch, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if !r.succession.knows(position) {
		return Batch{}, false
	}
	batch := Batch{Era: r.era, Revision: r.at}
	gone := maps.Clone(r.succession.changed)
	for key, revision := range r.succession.removed {
		if revision > position.Revision {
			gone[key] = true
		}
	}
	for key := range r.tombstones {
		gone[key] = true
	}
	// Revisions of the era that follow its first state may be smaller than those that the node knows.
	from := min(position.Revision, r.succession.first)
	for key, entry := range r.entries {
		if entry.Revision > from || r.succession.changed[key] {
			batch.Entries = append(batch.Entries, entry)
		}
		delete(gone, key)
	}
	for key := range gone {
		batch.Entries = append(batch.Entries, Entry{Key: key, Revision: r.at, Gone: true})
	}
	return batch, true
}

// whole returns the whole state of an era of which a batch holds what differs from what this node knew at
// a position of the era before; false if it knows something else by now.
func (r *replica) whole(batch Batch, position Position) (Batch, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.era != position.Era || r.at != position.Revision || r.knowsBeyond(r.at) {
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

// knowsBeyond reports whether single changes after a revision are known. The mutex is held.
func (r *replica) knowsBeyond(revision uint64) bool {
	for _, entry := range r.entries {
		if entry.Revision > revision {
			return true
		}
	}
	for _, old := range r.tombstones {
		if old.revision > revision {
			return true
		}
	}
	return false
}
