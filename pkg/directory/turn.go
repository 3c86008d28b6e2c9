package directory

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/bramblemast/bramblemast/internal/pause"
)

// awaitTurn waits while other nodes read for this one: until what it knows is as
// old as allowed. Only Run calls it.
func (f *Follower) awaitTurn(ctx context.Context) {
	f.awaitRole(ctx)
	for ctx.Err() == nil {
		left := time.Until(f.turn())
		if left <= 0 {
			return
		}
		// A node may be given another role meanwhile.
		pause.For(ctx, min(left, confirmSpan))
	}
}

// awaitRole waits, after a reading of everything, until the nodes that were found there
// have decided what this one does. Only Run calls it.
func (f *Follower) awaitRole(ctx context.Context) {
	if f.others == nil {
		return
	}
	timer := time.NewTimer(confirmSpan)
	defer timer.Stop()
	for f.assigned.Load() < f.loads.Load() {
		select {
		case <-f.roleSet:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// turn returns when this node reads the store itself. Only Run calls it.
func (f *Follower) turn() time.Time {
	if !f.loaded {
		return time.Time{}
	}
	knownAt := f.ConfirmedAt()
	switch {
	case knownAt.IsZero() && f.Role() == PeerPoller:
		return later(f.loadedAt, f.assignedAt()).Add(confirmSpan)
	case f.gathers():
		return f.loadedAt.Add(confirmSpan)
	case f.Role() != PeerPoller || knownAt.IsZero():
		return time.Time{}
	case f.isOutage.Load():
		return knownAt.Add(f.allowedNewsAge() + f.spread)
	}
	return knownAt.Add(f.allowedNewsAge())
}

// later returns the later of two moments.
func later(one, other time.Time) time.Time {
	if one.After(other) {
		return one
	}
	return other
}

// gathers reports whether this node reads for itself alone only because it has not
// found the others yet, which all start within seconds. Only Run calls it.
func (f *Follower) gathers() bool {
	return f.isFirstStart && f.others != nil && f.Role() == Standalone && f.ConfirmedAt().IsZero() && time.Since(f.startedAt) < gatherSpan
}

// pauseAfterChange returns the pause after a change. Right after a reading of
// everything or a return of the store it is the least one: entries that lapsed
// while the store was away come back then. Only Run calls it.
func (f *Follower) pauseAfterChange(now time.Time) time.Duration {
	switch role := f.Role(); {
	case role == PeerPoller:
		return 0
	case now.Sub(f.loadedAt) < settleSpan || now.Sub(f.lastOutage().to) < settleSpan:
		return MinStalenessBound
	case role == Reader:
		return f.readerPause()
	}
	return f.allowedNewsAge()
}

// watchWait returns how long a watch waits for a change.
func (f *Follower) watchWait() time.Duration {
	switch f.Role() {
	case Reader:
		return max(leastWatchWait, f.readerPause()-time.Since(f.ConfirmedAt()))
	case PeerPoller:
		return leastWatchWait
	}
	if f.confirms.Load() {
		return max(leastWatchWait, f.allowedNewsAge()-time.Since(f.ConfirmedAt()))
	}
	wait := leastWait + rand.N(greatestWait-leastWait)
	if end, isSettling := f.settles(); isSettling {
		return max(leastWatchWait, min(wait, time.Until(end)))
	}
	return wait
}
