package store

import (
	"time"

	"github.com/pkg/errors"
)

// Defaults of a session, as the interface has them.
const (
	defaultLockDelay = 15 * time.Second
	behaviorRelease  = "release"
	behaviorDelete   = "delete"
)

// errInvalidSession is what an acquire with an unknown session ends in.
var errInvalidSession = errors.New("invalid session")

// session is a lease that holds locks on keys.
type session struct {
	id       string
	name     string
	behavior string
	// ttl is zero for a session that does not expire.
	ttl         time.Duration
	lockDelay   time.Duration
	expires     time.Time
	createIndex uint64
}

// createSession makes a session and returns its identity.
func (s *state) createSession(wanted session) string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.index++
	wanted.id = newSessionID()
	wanted.createIndex = s.index
	wanted.expires = s.now().Add(wanted.ttl)
	s.sessions[wanted.id] = &wanted
	return wanted.id
}

// renewSession extends a session by its TTL; false if there is none.
func (s *state) renewSession(id string) (session, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expireSessions()
	found := s.sessions[id]
	if found == nil {
		return session{}, false
	}
	found.expires = s.now().Add(found.ttl)
	return *found, true
}

// infoSession returns a session; false if there is none.
func (s *state) infoSession(id string) (session, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expireSessions()
	found := s.sessions[id]
	if found == nil {
		return session{}, false
	}
	return *found, true
}

// destroySession ends a session and frees its locks.
func (s *state) destroySession(id string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if found := s.sessions[id]; found != nil {
		s.invalidate(found)
	}
}

// expireSessions ends the sessions whose TTL has passed. The caller holds the
// mutex.
func (s *state) expireSessions() {
	now := s.now()
	for _, candidate := range s.sessions {
		if candidate.ttl > 0 && now.After(candidate.expires) {
			s.invalidate(candidate)
		}
	}
}

// nextExpiry returns when the next session expires; false if none does.
func (s *state) nextExpiry() (time.Time, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var next time.Time
	for _, candidate := range s.sessions {
		if candidate.ttl > 0 && (next.IsZero() || candidate.expires.Before(next)) {
			next = candidate.expires
		}
	}
	return next, !next.IsZero()
}

// invalidate ends a session: its keys are released or deleted, and cannot be
// acquired until the lock delay is over. The caller holds the mutex.
func (s *state) invalidate(ended *session) {
	delete(s.sessions, ended.id)
	for key, item := range s.pairs {
		if item.Session != ended.id {
			continue
		}
		if ended.lockDelay > 0 {
			s.lockDelays[key] = s.now().Add(ended.lockDelay)
		}
		if ended.behavior == behaviorDelete {
			s.commit(key, nil)
			continue
		}
		released := *item
		released.Session = ""
		s.commit(key, &released)
	}
}

// applyLock changes the lock of a pair that is about to be written, and reports
// whether the write may go on. The caller holds the mutex.
func (s *state) applyLock(next *pair, w write) (bool, error) {
	switch {
	case w.acquire != "":
		return s.acquire(next, w.acquire)
	case w.release != "":
		if next.Session != w.release {
			return false, nil
		}
		next.Session = ""
	}
	return true, nil
}

func (s *state) acquire(next *pair, id string) (bool, error) {
	if s.sessions[id] == nil {
		return false, errors.Wrapf(errInvalidSession, "session %q", id)
	}
	if next.Session == id {
		return true, nil
	}
	if next.Session != "" || s.now().Before(s.lockDelays[next.Key]) {
		return false, nil
	}
	delete(s.lockDelays, next.Key)
	next.Session = id
	next.LockIndex++
	return true, nil
}
