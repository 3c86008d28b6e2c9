package directory

import "time"

// SetConfirmWhenIdle sets whether the replica is confirmed within the staleness bound even when
// nothing changes. A node that reads the store for itself alone then calls it more often.
func (f *Follower) SetConfirmWhenIdle(isEnabled bool) { f.confirmWhenIdle.Store(isEnabled) }

// IsFreshWithin reports whether the node is known to have had, at most a span ago, every write that
// the store had acknowledged. Reads of a restored store that may still lack writes do not count.
func (f *Follower) IsFreshWithin(span time.Duration) bool {
	provenAt := f.lastProvenAt()
	return !provenAt.IsZero() && time.Since(provenAt) <= span
}

// IsFresh reports whether the replica is as recent as it is while the store answers. A pending
// watch counts as up to date while the store answers this node. The replica is never fresh while a
// restored store may lack acknowledged writes.
func (f *Follower) IsFresh() bool {
	if f.IsSettling() {
		return false
	}
	maxAge := f.stalenessBound() + watchSlack
	if f.Role() == Standalone && f.inContact() {
		maxAge += maxWatchWait
	}
	return f.IsFreshWithin(maxAge)
}
