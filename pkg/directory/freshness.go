package directory

import "time"

// SetConfirmWhenIdle tells whether what is known is to be confirmed within the age that news may
// have also where nothing changes: a node that reads for itself alone then asks more often.
func (f *Follower) SetConfirmWhenIdle(isEnabled bool) { f.confirmWhenIdle.Store(isEnabled) }

// IsFreshWithin reports whether the node is known to have had all that was acknowledged a span
// ago. While a restored store may lack some of it, what it tells proves nothing.
func (f *Follower) IsFreshWithin(span time.Duration) bool {
	provenAt := f.lastProvenAt()
	return !provenAt.IsZero() && time.Since(provenAt) <= span
}

// IsFresh reports whether what the node knows is as new as it is while the store answers. A
// watch that waits for a change counts as news while the store answers this node. While a restored
// store may lack what was acknowledged, nothing does.
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
