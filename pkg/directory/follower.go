package directory

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Times of the follower.
const (
	// watchWait is how long one watch waits; an answer that was lost on the way
	// is noticed after it.
	watchWait = 4 * time.Second
	// watchSlack is how much longer the answer of a watch may take.
	watchSlack = time.Second
	// loadTimeout bounds one reading of everything.
	loadTimeout = 2 * time.Second
	// eventPause lets changes that come together travel together.
	eventPause = 800 * time.Millisecond
	// leastRetry and greatestRetry bound the wait after a failed call.
	leastRetry    = 100 * time.Millisecond
	greatestRetry = 800 * time.Millisecond
)

// Follower keeps reading a source. Run is called once; the other methods are
// safe for concurrent use.
type Follower struct {
	source   Source
	listener Listener

	mutex sync.Mutex
	// The fields below are guarded by mutex.
	known     map[string]Entry
	at        uint64
	contactAt time.Time
	connected bool

	loaded bool
}

// NewFollower returns a follower that has read nothing yet.
func NewFollower(source Source, listener Listener) *Follower {
	return &Follower{source: source, listener: listener, known: make(map[string]Entry)}
}

// Revision returns up to which revision the source has been read, and when it
// last answered.
func (f *Follower) Revision() (uint64, time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.at, f.contactAt
}

// Run follows the source until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	failures := 0
	for ctx.Err() == nil {
		changed, err := f.step(ctx, failures)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			f.lost(err)
			sleep(ctx, retryDelay(failures))
			failures++
			continue
		}
		f.regained()
		failures = 0
		if changed {
			sleep(ctx, eventPause)
		}
	}
	return nil
}

// step makes one call and reports whether anything changed.
func (f *Follower) step(ctx context.Context, failures int) (bool, error) {
	if !f.loaded {
		return false, f.load(ctx, failures%3 != 2)
	}
	limited, cancel := context.WithTimeout(ctx, watchWait+watchSlack)
	defer cancel()
	batch, err := f.source.Watch(limited, f.currentRevision(), watchWait)
	if errors.Is(err, ErrHistoryGone) {
		f.loaded = false
		return false, nil
	}
	if err != nil {
		return false, errors.WithMessage(err, "watch the store")
	}
	f.apply(batch)
	return len(batch.Entries) > 0, nil
}

func (f *Follower) load(ctx context.Context, fresh bool) error {
	limited, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	batch, err := f.source.Load(limited, fresh)
	if err != nil {
		return errors.WithMessage(err, "read the store")
	}
	if batch.Revision < f.currentRevision() {
		if fresh {
			return errors.Errorf("the store answered with revision %d, %d was seen", batch.Revision, f.currentRevision())
		}
		return errors.New("the store's copy is older than what is known")
	}
	f.removeAbsent(batch)
	f.apply(batch)
	f.loaded = true
	return nil
}

// removeAbsent reports the keys that a full reading no longer has.
func (f *Follower) removeAbsent(batch Batch) {
	f.mutex.Lock()
	absent := maps.Clone(f.known)
	f.mutex.Unlock()
	for _, entry := range batch.Entries {
		delete(absent, entry.Key)
	}
	for key, entry := range absent {
		if entry.Revision <= batch.Revision {
			f.Offer(Entry{Key: key, ServerID: entry.ServerID, Revision: batch.Revision, Gone: true})
		}
	}
}

func (f *Follower) apply(batch Batch) {
	for _, entry := range batch.Entries {
		f.Offer(entry)
	}
	f.mutex.Lock()
	f.at = max(f.at, batch.Revision)
	f.mutex.Unlock()
}

// Offer hands an entry to the listener if it is newer than what is known.
func (f *Follower) Offer(entry Entry) {
	f.mutex.Lock()
	known, exists := f.known[entry.Key]
	isNewer := entry.Revision > known.Revision && (exists || !entry.Gone)
	if isNewer {
		f.known[entry.Key] = entry
		if entry.Gone {
			delete(f.known, entry.Key)
		}
	}
	f.mutex.Unlock()
	if isNewer {
		f.listener.Changed(entry)
	}
}

func (f *Follower) currentRevision() uint64 {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.at
}

func (f *Follower) lost(cause error) {
	f.mutex.Lock()
	wasConnected := f.connected || f.contactAt.IsZero()
	if f.contactAt.IsZero() {
		f.contactAt = time.Unix(0, 0)
	}
	f.connected = false
	f.mutex.Unlock()
	if wasConnected {
		f.listener.Dependency(false, cause)
	}
}

func (f *Follower) regained() {
	f.mutex.Lock()
	wasConnected := f.connected
	f.connected, f.contactAt = true, time.Now()
	f.mutex.Unlock()
	if !wasConnected {
		f.listener.Dependency(true, nil)
	}
}

func retryDelay(failures int) time.Duration {
	return min(leastRetry<<min(failures, 6), greatestRetry)
}

func sleep(ctx context.Context, span time.Duration) {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
