package edge

import "time"

// stateLines limits the rate of log lines about states that begin and end, such as a tenant at its limit:
// one about the beginning of the same key's state within a span, however often it changes, and one about
// the end of what had a line. It is not safe for concurrent use.
type stateLines[K comparable] struct {
	span time.Duration
	// at is when a key's last line about a beginning was due; open says that none about its end was
	// since.
	at   map[K]time.Time
	open map[K]bool
}

// newStateLines returns the lines of a log that has none yet.
func newStateLines[K comparable](span time.Duration) *stateLines[K] {
	return &stateLines[K]{span: span, at: make(map[K]time.Time), open: make(map[K]bool)}
}

// begins reports whether a line is due that a state has begun or lasts.
func (t *stateLines[K]) begins(key K, now time.Time) bool {
	if at, isKnown := t.at[key]; isKnown && now.Sub(at) < t.span {
		return false
	}
	t.at[key], t.open[key] = now, true
	return true
}

// ends reports whether a line is due that a state has ended: if its beginning was told.
func (t *stateLines[K]) ends(key K, now time.Time) bool {
	wasOpen := t.open[key]
	delete(t.open, key)
	if now.Sub(t.at[key]) >= t.span {
		delete(t.at, key)
	}
	return wasOpen
}
