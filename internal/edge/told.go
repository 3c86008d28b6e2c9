package edge

import "time"

// told bounds the lines about states that begin and end: one about the same key within a span,
// however often its state changes. It is not safe for concurrent use.
type told[K comparable] struct {
	span time.Duration
	// at is when the beginning of a key's state was told last; open says that its end has not
	// been told since.
	at   map[K]time.Time
	open map[K]bool
}

// newTold returns a bound that has told nothing yet.
func newTold[K comparable](span time.Duration) *told[K] {
	return &told[K]{span: span, at: make(map[K]time.Time), open: make(map[K]bool)}
}

// begins reports whether a line is due that a state has begun or lasts.
func (t *told[K]) begins(key K, now time.Time) bool {
	if at, isKnown := t.at[key]; isKnown && now.Sub(at) < t.span {
		return false
	}
	t.at[key], t.open[key] = now, true
	return true
}

// ends reports whether a line is due that a state has ended: if its beginning was told.
func (t *told[K]) ends(key K, now time.Time) bool {
	wasOpen := t.open[key]
	delete(t.open, key)
	if now.Sub(t.at[key]) >= t.span {
		delete(t.at, key)
	}
	return wasOpen
}
