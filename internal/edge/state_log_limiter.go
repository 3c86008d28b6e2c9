package edge

import "time"

// stateLogLimiter limits the rate of log lines about states that begin and end, such as a tenant at its limit:
// one about the beginning of the same key's state within a span, however often it changes, and one about
// the end of what had a line. It is not safe for concurrent use.
type stateLogLimiter[K comparable] struct {
	interval time.Duration
	// at is when a key's last line about a beginning was due; open says that none about its end was
	// since.
	lastBegin      map[K]time.Time
	hasLoggedBegin map[K]bool
}

// newStateLogLimiter returns the lines of a log that has none yet.
func newStateLogLimiter[K comparable](interval time.Duration) *stateLogLimiter[K] {
	return &stateLogLimiter[K]{interval: interval, lastBegin: make(map[K]time.Time), hasLoggedBegin: make(map[K]bool)}
}

// begins reports whether a line is due that a state has begun or lasts.
func (t *stateLogLimiter[K]) shouldLogBegin(key K, now time.Time) bool {
	if at, isKnown := t.lastBegin[key]; isKnown && now.Sub(at) < t.interval {
		return false
	}
	t.lastBegin[key], t.hasLoggedBegin[key] = now, true
	return true
}

// ends reports whether a line is due that a state has ended: if its beginning was told.
func (t *stateLogLimiter[K]) shouldLogEnd(key K, now time.Time) bool {
	hadLoggedBegin := t.hasLoggedBegin[key]
	delete(t.hasLoggedBegin, key)
	if now.Sub(t.lastBegin[key]) >= t.interval {
		delete(t.lastBegin, key)
	}
	return hadLoggedBegin
}
