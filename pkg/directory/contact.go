package directory

import "time"

// contact is whether the store answers.
type contact int

const (
	contactUnknown contact = iota
	contactLost
	contactHeld
)

// regainedByOthers notes that other nodes have read the store since it did not
// answer this one.
func (f *Follower) regainedByOthers() {
	f.mutex.Lock()
	isLost := f.contact == contactLost
	if isLost {
		f.contact = contactHeld
		f.regainedAt = time.Now()
	}
	f.mutex.Unlock()
	if isLost {
		f.listener.Dependency(storeDependency, true, nil)
	}
}

// DoubtedUntil returns until when the absence of a key proves nothing, because
// the store does not answer or has begun to answer only lately: it may have
// lost keys that their owners are about to write again.
func (f *Follower) DoubtedUntil(settle time.Duration, now time.Time) time.Time {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.contact == contactLost {
		return now.Add(settle)
	}
	if f.regainedAt.IsZero() {
		return time.Time{}
	}
	return f.regainedAt.Add(settle)
}

// inContact reports whether the store answered the last call.
func (f *Follower) inContact() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.contact == contactHeld
}

// isFirstCall reports whether the store has neither answered nor failed yet: a
// starting node reads everything there rather than from a peer.
func (f *Follower) isFirstCall() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.contact == contactUnknown
}

// HasLost reports whether the store did not answer the last call.
func (f *Follower) HasLost() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.contact == contactLost
}

func (f *Follower) lost(cause error) {
	if f.setContact(contactLost) != contactLost {
		f.listener.Dependency(storeDependency, false, cause)
	}
}

func (f *Follower) regained() {
	if f.setContact(contactHeld) != contactHeld {
		f.listener.Dependency(storeDependency, true, nil)
	}
}

// setContact notes whether the store answers and returns what was known before.
func (f *Follower) setContact(now contact) contact {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	before := f.contact
	f.contact = now
	if now == contactHeld {
		f.contactAt = time.Now()
	}
	if now == contactLost {
		f.lostAt = time.Now()
	}
	if now == contactHeld && before == contactLost {
		f.regainedAt = f.contactAt
	}
	return before
}
