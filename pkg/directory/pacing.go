package directory

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/bramblemast/bramblemast/internal/pause"
)

// awaitOwnRead waits while other nodes read for this one: until what it knows is as
// old as allowed. Only Run calls it.
func (f *Follower) awaitOwnRead(ctx context.Context) {
	f.awaitRole(ctx)
	for ctx.Err() == nil {
		left := time.Until(f.nextReadAt())
		if left <= 0 {
			return
		}
		// A node may be given another role meanwhile.
		pause.For(ctx, min(left, confirmTimeout))
	}
}

// awaitRole waits, after a reading of everything, until the nodes that were found there
// have decided what this one does. Only Run calls it.
func (f *Follower) awaitRole(ctx context.Context) {
	if f.peerCount == nil {
		return
	}
	timer := time.NewTimer(confirmTimeout)
	defer timer.Stop()
	for f.loadsAtRole.Load() < f.loadCount.Load() {
		select {
		case <-f.roleAssigned:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// turn returns when this node reads the store itself. Only Run calls it.
func (f *Follower) nextReadAt() time.Time {
	if !f.loaded {
		return time.Time{}
	}
	confirmedAt := f.ConfirmedAt()
	switch {
	case confirmedAt.IsZero() && f.Role() == PeerPoller:
		return later(f.loadedAt, f.roleAssignedAt()).Add(confirmTimeout)
	case f.isDiscovering():
		return f.loadedAt.Add(confirmTimeout)
	case f.Role() != PeerPoller || confirmedAt.IsZero():
		return time.Time{}
	case f.isOutage.Load():
		return confirmedAt.Add(f.stalenessBound() + f.outageJitter)
	}
	return confirmedAt.Add(f.stalenessBound())
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
func (f *Follower) isDiscovering() bool {
	return f.isFirstStart && f.peerCount != nil && f.Role() == Standalone && f.ConfirmedAt().IsZero() && time.Since(f.startedAt) < discoverySpan
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
	return f.stalenessBound()
}

// watchWait returns how long a watch waits for a change.
func (f *Follower) watchWait() time.Duration {
	switch f.Role() {
	case Reader:
		return max(immediateWatchWait, f.readerPause()-time.Since(f.ConfirmedAt()))
	case PeerPoller:
		return immediateWatchWait
	}
	if f.confirmWhenIdle.Load() {
		return max(immediateWatchWait, f.stalenessBound()-time.Since(f.ConfirmedAt()))
	}
	wait := minWatchWait + rand.N(maxWatchWait-minWatchWait)
	if end, isSettling := f.settlingEnd(); isSettling {
		return max(immediateWatchWait, min(wait, time.Until(end)))
	}
	return wait
}
