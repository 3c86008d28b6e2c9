package directory

import "time"

// wholeRead is a read of everything, page by page. The pages are not a snapshot, so a long read also
// asks for the changes in the meantime.
type wholeRead struct {
	// fresh says that the store itself is read rather than a copy of it.
	fresh bool
	// next is the key after which the next page begins, and era the era of all pages.
	next              string
	era               uint64
	isStarted, isDone bool
	// completeUpTo is the revision up to which all changes are known, and completeAt when it was that of
	// the store. followedUpTo is the revision from which further changes are asked for; it is later once
	// changes were missed.
	completeUpTo, followedUpTo uint64
	completeAt                 time.Time
	hasGap                     bool
	// latest is the highest revision at which a page was read.
	latest uint64
	// entries are the newest known states by key, deletions included.
	entries map[string]Entry
	// pending are the entries that have not been applied yet, partAt is when that was done last, or when
	// the read began, and hasParts says that it was done.
	pending  []Entry
	partAt   time.Time
	hasParts bool
}

func newWholeRead(fresh bool, now time.Time) *wholeRead {
	return &wholeRead{fresh: fresh, entries: make(map[string]Entry), partAt: now}
}

// addPage adds the next page.
func (w *wholeRead) addPage(page Page, now time.Time) {
	if !w.isStarted {
		w.isStarted, w.era, w.completeAt = true, page.Era, now
		w.completeUpTo, w.followedUpTo = page.Revision, page.Revision
	}
	// The pages of copies may be of different ages.
	w.completeUpTo = min(w.completeUpTo, page.Revision)
	w.latest = max(w.latest, page.Revision)
	w.next, w.isDone = page.Next, page.Next == ""
	w.add(page.Entries)
}

// addChanges adds the changes since followedUpTo.
func (w *wholeRead) addChanges(changes Batch, now time.Time) {
	w.add(changes.Entries)
	w.followedUpTo = max(w.followedUpTo, changes.Revision)
	if !w.hasGap {
		w.completeUpTo, w.completeAt = w.followedUpTo, now
	}
}

// noteGap records that the changes since followedUpTo cannot be read. The read goes on and is as complete
// as it was before the gap.
func (w *wholeRead) noteGap() {
	w.hasGap, w.followedUpTo = true, max(w.followedUpTo, w.latest)
}

func (w *wholeRead) add(entries []Entry) {
	for _, entry := range entries {
		if known, exists := w.entries[entry.Key]; exists && known.Revision >= entry.Revision {
			continue
		}
		w.entries[entry.Key] = entry
		w.pending = append(w.pending, entry)
	}
}

// takePending returns the entries that have not been applied yet, as a batch for a node that is complete
// up to a revision.
func (w *wholeRead) takePending(known uint64) Batch {
	batch := Batch{Era: w.era, Revision: known, Entries: w.pending}
	w.pending = nil
	return batch
}

// whole returns what was read.
func (w *wholeRead) whole() Batch {
	batch := Batch{Era: w.era, Revision: w.completeUpTo, Entries: make([]Entry, 0, len(w.entries))}
	for _, entry := range w.entries {
		if !entry.Gone {
			batch.Entries = append(batch.Entries, entry)
		}
	}
	return batch
}
