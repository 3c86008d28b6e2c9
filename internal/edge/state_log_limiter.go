package edge

import "time"

// stateLogLimiter limits the rate of log lines about states that begin and end, such as a tenant at its
// limit. For each key it admits one line about the beginning of the state per interval, however often
// the state changes, and one line about the end if the beginning was logged. It is not safe for
// concurrent use.
type stateLogLimiter[K comparable] struct {
	interval time.Duration
	// lastBegin is the time of a key's last line about a beginning. hasLoggedBegin says that no line
	// about the end has followed.
	lastBegin      map[K]time.Time
	hasLoggedBegin map[K]bool
}

// newStateLogLimiter returns a limiter that has admitted no line yet.
func newStateLogLimiter[K comparable](interval time.Duration) *stateLogLimiter[K] {
	return &stateLogLimiter[K]{interval: interval, lastBegin: make(map[K]time.Time), hasLoggedBegin: make(map[K]bool)}
}

// shouldLogBegin reports whether to log that a state has begun or continues.
func (t *stateLogLimiter[K]) shouldLogBegin(key K, now time.Time) bool {
	if at, isKnown := t.lastBegin[key]; isKnown && now.Sub(at) < t.interval {
		return false
	}
	t.lastBegin[key], t.hasLoggedBegin[key] = now, true
	return true
}

// shouldLogEnd reports whether to log that a state has ended, which is so if its beginning was logged.
func (t *stateLogLimiter[K]) shouldLogEnd(key K, now time.Time) bool {
	wasLogged := t.hasLoggedBegin[key]
	delete(t.hasLoggedBegin, key)
	if now.Sub(t.lastBegin[key]) >= t.interval {
		delete(t.lastBegin, key)
	}
	return wasLogged
}
