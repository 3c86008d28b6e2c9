package directory

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/internal/pause"
)

const (
	// copyTimeout bounds one read of a copy of the store. After that the store itself is read, whose
	// changes can be followed in the meantime.
	copyTimeout = 2 * time.Second
	// partInterval is how often a long read of everything applies what it has read so far, and asks for
	// the changes in the meantime.
	partInterval = MinStalenessBound
	// maxReadPause is how long after its last part a read of everything that failed is still continued.
	maxReadPause = 10 * time.Second
)

// load reads everything, at most once per MinStalenessBound, since a store may drop its history
// again and again. A node with an empty replica reads a copy of the store first and then the
// changes since. Reading a copy costs a tenth of reading the store itself, and one copy serves many
// nodes at once.
func (f *Follower) load(ctx context.Context) error {
	if since := time.Since(f.loadedAt); since < MinStalenessBound {
		pause.For(ctx, MinStalenessBound-since)
	}
	read := f.currentRead(time.Now())
	err := f.readPages(ctx, read)
	if errors.Is(err, errCopyTooLarge) {
		f.historyGone = true
		return nil
	}
	if err != nil {
		return err
	}
	f.reading = nil
	batch := read.whole()
	if !read.fresh && !f.trustsCopy(batch) {
		f.historyGone = true
		return nil
	}
	if known := f.replica.position(); known.isAheadOf(batch) {
		if !read.fresh || read.hasParts {
			// Other nodes have reported more in the meantime; the changes since are read next.
			f.noteLoaded(time.Now())
			return nil
		}
		return errors.Wrapf(ErrStoreBehind, "the store answered with revision %d of era %d, revision %d of era %d is known",
			batch.Revision, batch.Era, known.Revision, known.Era)
	}
	f.noteStoreRegained()
	f.startAwaitingPeers(batch)
	f.noteOwnRead(time.Now())
	f.applyBatch(batch, wholeState)
	f.noteSettlingAtStart()
	f.noteLoaded(time.Now())
	if read.fresh {
		f.historyGone = false
		f.confirm(read.completeAt)
	}
	return nil
}

// currentRead returns the read of the store that broke off, or a new one of the store or of a copy.
func (f *Follower) currentRead(now time.Time) *wholeRead {
	if f.reading == nil || !f.reading.fresh || now.Sub(f.reading.partAt) > maxReadPause {
		fresh := f.historyGone || !f.ConfirmedAt().IsZero() || f.failures%2 == 1
		f.reading = newWholeRead(fresh, now)
	}
	return f.reading
}

// errCopyTooLarge ends a read of a copy that makes progress but takes too long.
var errCopyTooLarge = errors.New("the copy of the store takes too long to read")

// readPages reads the pages that are left. After a failed call the read can be continued.
func (f *Follower) readPages(ctx context.Context, read *wholeRead) error {
	for !read.isDone {
		if !read.fresh && time.Since(read.partAt) >= copyTimeout {
			return errCopyTooLarge
		}
		page, err := f.loadPage(ctx, read)
		if err != nil {
			return err
		}
		if read.isStarted && page.Era != read.era {
			f.reading = nil
			return errors.Errorf("the store was restored from an older copy in the meantime: pages of eras %d and %d", read.era, page.Era)
		}
		page.Entries = f.replica.withoutUnreadable(page.Entries)
		read.addPage(page, time.Now())
		if err := f.applyPart(ctx, read); err != nil {
			return err
		}
	}
	return nil
}

// loadPage reads the next page.
func (f *Follower) loadPage(ctx context.Context, read *wholeRead) (Page, error) {
	limited, cancel := withStallTimeout(ctx, stallTimeout)
	defer cancel()
	page, err := f.source.LoadPage(limited, read.next, read.fresh)
	if err != nil {
		return Page{}, callError(limited, err, "read the store")
	}
	return page, nil
}

// applyPart applies what a long read has read since the last part, together with the changes in the
// meantime, so that a change takes effect in time however much the store holds. Deletions that only the
// whole shows are left to its end.
func (f *Follower) applyPart(ctx context.Context, read *wholeRead) error {
	if !read.fresh || time.Since(read.partAt) < partInterval {
		return nil
	}
	if err := f.readChanges(ctx, read); err != nil {
		return err
	}
	read.partAt, read.hasParts = time.Now(), true
	if known := f.replica.position(); known.Revision > 0 && (known.Era != read.era || known.Revision > read.followedUpTo) {
		// The whole decides what a restored store or an older one means.
		read.pending = nil
		return nil
	}
	if f.IsStoreLost() {
		f.noteStoreRegained()
	}
	f.startAwaitingPeers(read.whole())
	f.applyBatch(read.takePending(f.replica.revision()), newerOnly)
	f.noteSettlingAtStart()
	return nil
}

// readChanges adds the changes that the store has seen since the read began or last asked for them.
func (f *Follower) readChanges(ctx context.Context, read *wholeRead) error {
	limited, cancel := withStallTimeout(ctx, immediateWatchWait+stallTimeout)
	defer cancel()
	changes, err := f.source.Watch(limited, read.followedUpTo, immediateWatchWait)
	if errors.Is(err, ErrHistoryGone) {
		read.noteGap()
		return nil
	}
	if err != nil {
		return callError(limited, err, "read changes during a read of the store")
	}
	if changes.Era != read.era {
		f.reading = nil
		return errors.Errorf("the store was restored from an older copy in the meantime: changes of era %d, pages of era %d", changes.Era, read.era)
	}
	changes.Entries = f.replica.withoutUnreadable(changes.Entries)
	read.addChanges(changes, time.Now())
	return nil
}

// noteLoaded records a full read.
func (f *Follower) noteLoaded(now time.Time) {
	if f.loadedAt.IsZero() {
		close(f.firstLoad)
	}
	f.loaded, f.loadedAt = true, now
	f.loadCount.Add(1)
	signal(f.loadDone)
}
