package directory

import (
	"time"

	"github.com/pkg/errors"
)

// contact is the state of the connection to the store.
type contact int

const (
	contactUnknown contact = iota
	contactLost
	contactEstablished
)

// noteRegainedByPeers records that other nodes have read the store since its last failure at this
// node.
func (f *Follower) noteRegainedByPeers() {
	f.mutex.Lock()
	isLost := f.contact == contactLost
	if isLost {
		f.contact = contactEstablished
		f.latestOutage = outage{from: f.outageStart, to: time.Now()}
	}
	f.mutex.Unlock()
	if isLost {
		f.listener.Dependency(storeDependency, true, nil)
	}
}

// AbsenceUncertainUntil returns until when the absence of a key does not prove that it was deleted:
// while the store does not answer, and for the settle span after it answers again, when owners may
// be about to write lost keys again. It is zero if the store has not been lost.
func (f *Follower) AbsenceUncertainUntil(settle time.Duration, now time.Time) time.Time {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.contact == contactLost {
		return now.Add(settle)
	}
	if f.latestOutage.to.IsZero() {
		return time.Time{}
	}
	return f.latestOutage.to.Add(settle)
}

// inContact reports whether the store answered the last call.
func (f *Follower) inContact() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.contact == contactEstablished
}

// isStoreUntried reports whether no call to the store has succeeded or failed yet. A starting node
// loads everything from the store rather than from a peer.
func (f *Follower) isStoreUntried() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.contact == contactUnknown
}

// IsStoreLost reports whether the last call to the store failed.
func (f *Follower) IsStoreLost() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.contact == contactLost
}

// noteStoreLost records a failed call to the store. It reports the first failure in a row to the
// listener, and each one whose kind differs from the one before.
func (f *Follower) noteStoreLost(cause error) {
	before, kind := f.setContact(contactLost), kindOfFailure(cause)
	if before != contactLost || kind != f.failureKind {
		f.listener.Dependency(storeDependency, false, cause)
	}
	f.failureKind = kind
}

// failureKind groups failed calls to the store, whose error texts differ each time.
type failureKind int

const (
	// failureOther is any failure without a kind of its own, such as a lost connection.
	failureOther failureKind = iota
	failureRateLimited
	// failureBehind means that the store answered with an older state than is known.
	failureBehind
)

func kindOfFailure(cause error) failureKind {
	switch {
	case errors.Is(cause, ErrStoreBehind):
		return failureBehind
	case errors.Is(cause, ErrRateLimited):
		return failureRateLimited
	}
	return failureOther
}

// noteStoreRegained records a call to the store that succeeded, and reports the end of an outage to
// the listener.
func (f *Follower) noteStoreRegained() {
	if f.setContact(contactEstablished) != contactEstablished {
		f.listener.Dependency(storeDependency, true, nil)
	}
}

// setContact sets the state of the connection to the store and returns the state before.
func (f *Follower) setContact(now contact) contact {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	before := f.contact
	f.contact = now
	if now == contactEstablished {
		f.contactAt = time.Now()
	}
	if now == contactLost {
		f.failedAt = time.Now()
	}
	if now == contactLost && before != contactLost {
		f.outageStart = f.failedAt
	}
	if now == contactEstablished && before == contactLost {
		f.latestOutage = outage{from: f.outageStart, to: f.contactAt}
	}
	return before
}

// Constants of what another node's loss of the store says about the store.
const (
	// ageTolerance bounds the error of a time that another node reports as an age, caused by the
	// latency between regions and by busy processes.
	ageTolerance = 200 * time.Millisecond
	// confirmationSpacing and maxConfirmations bound the recorded confirmations to the last 8 s.
	confirmationSpacing = 250 * time.Millisecond
	maxConfirmations    = 32
)

// outage is a span in which the store did not answer a node; the zero value means none.
type outage struct{ from, to time.Time }

// learnOutage records an outage that was reported by a node from which this one learns. Keys that
// went missing then may soon be written again, so their absence is uncertain for this node too. An
// outage during which the store is known to have answered other nodes is ignored, since only the
// reporting node was cut off. Otherwise each healed partition would keep servers that have left in
// use at all nodes.
func (f *Follower) learnOutage(reported outage) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.wasConfirmedBetween(reported.from.Add(ageTolerance), reported.to.Add(-ageTolerance)) {
		return
	}
	if reported.to.After(f.latestOutage.to) {
		f.latestOutage = reported
	}
}

// lastOutage returns the latest outage of the store; zero if there was none.
func (f *Follower) lastOutage() outage {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.latestOutage
}

// noteConfirmation records a time at which the store is known to have answered. The mutex is held.
func (f *Follower) noteConfirmation(at time.Time) {
	if last := len(f.confirmations) - 1; last >= 0 && at.Before(f.confirmations[last].Add(confirmationSpacing)) {
		return
	}
	if len(f.confirmations) == maxConfirmations {
		f.confirmations = append(f.confirmations[:0], f.confirmations[1:]...)
	}
	f.confirmations = append(f.confirmations, at)
}

// wasConfirmedBetween reports whether the store is known to have answered between two times. The
// mutex is held.
func (f *Follower) wasConfirmedBetween(from, to time.Time) bool {
	for _, at := range f.confirmations {
		if at.After(from) && at.Before(to) {
			return true
		}
	}
	return false
}
