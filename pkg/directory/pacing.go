package directory

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/bramblemast/bramblemast/internal/pause"
)

// awaitOwnRead waits until this node has to read the store itself: while its readers supply the
// changes, until the replica reaches the staleness bound. Only Run calls it.
func (f *Follower) awaitOwnRead(ctx context.Context) {
	f.awaitRole(ctx)
	for ctx.Err() == nil {
		left := time.Until(f.nextReadAt())
		if left <= 0 {
			return
		}
		// The role may change in the meantime.
		pause.For(ctx, min(left, confirmTimeout))
	}
}

// awaitRole waits, after a full read, until the role has been assigned from the nodes found by it,
// for at most a confirmTimeout. Only Run calls it.
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

// nextReadAt returns when this node reads the store itself; zero for at once. Only Run calls it.
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

func later(one, other time.Time) time.Time {
	if one.After(other) {
		return one
	}
	return other
}

func earlier(one, other time.Time) time.Time {
	if one.Before(other) {
		return one
	}
	return other
}

// isDiscovering reports whether this node reads for itself alone only because it has not found the
// other nodes yet, which all start within seconds. Only Run calls it.
func (f *Follower) isDiscovering() bool {
	return f.isFirstStart && f.peerCount != nil && f.Role() == Standalone && f.ConfirmedAt().IsZero() && time.Since(f.startedAt) < discoverySpan
}

// pauseAfterChange returns the pause after a change. It is the shortest one right after a full read
// or a return of the store, when entries that expired during an outage are written again. Only Run
// calls it.
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
	if f.IsStoreLost() {
		// The first answer ends the outage, which other nodes are to know of soon.
		return immediateWatchWait
	}
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
