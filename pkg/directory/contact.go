package directory

import (
	"time"

	"github.com/pkg/errors"
)

// contact is whether the store answers.
type contact int

const (
	contactUnknown contact = iota
	contactLost
	contactEstablished
)

// noteRegainedByPeers notes that other nodes have read the store since it did not
// answer this one.
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

// AbsenceUncertainUntil returns until when the absence of a key proves nothing, because
// the store does not answer or has begun to answer only lately: it may have
// lost keys that their owners are about to write again.
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

// isStoreUntried reports whether the store has neither answered nor failed yet: a
// starting node reads everything there rather than from a peer.
func (f *Follower) isStoreUntried() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.contact == contactUnknown
}

// IsStoreLost reports whether the store did not answer the last call.
func (f *Follower) IsStoreLost() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.contact == contactLost
}

// lost takes that a call to the store failed. It tells of the first failure in a row, and of each
// that is of another kind than the one before.
func (f *Follower) noteStoreLost(cause error) {
	before, kind := f.setContact(contactLost), kindOfFailure(cause)
	if before != contactLost || kind != f.failureKind {
		f.listener.Dependency(storeDependency, false, cause)
	}
	f.failureKind = kind
}

// failureKind tells failures of calls to the store apart, whose texts differ each time.
type failureKind int

const (
	// failureOther is any failure that has no kind of its own, such as a lost connection.
	failureOther failureKind = iota
	failureLimited
	// failureBehind means that the store answers with an older state than is known.
	failureBehind
)

// kindOfFailure returns the kind of a failed call.
func kindOfFailure(cause error) failureKind {
	switch {
	case errors.Is(cause, ErrStoreBehind):
		return failureBehind
	case errors.Is(cause, ErrRateLimited):
		return failureLimited
	}
	return failureOther
}

func (f *Follower) noteStoreRegained() {
	if f.setContact(contactEstablished) != contactEstablished {
		f.listener.Dependency(storeDependency, true, nil)
	}
}

// setContact notes whether the store answers and returns what was known before.
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
	// ageTolerance is by how much two moments may be in the wrong order that other nodes
	// tell as ages: the way of an answer between regions, and a busy process.
	ageTolerance = 200 * time.Millisecond
	// confirmationSpacing and maxConfirmations bound what is remembered: 8 s.
	confirmationSpacing = 250 * time.Millisecond
	maxConfirmations    = 32
)

// outage is a span in which the store did not answer a node; the zero value stands for
// none.
type outage struct{ from, to time.Time }

// learnOutage takes when the store did not answer a node that this one learns from. What
// went missing then may be written again soon, for this node too; unless the store is known
// to have answered others meanwhile, so that the other node alone was cut off from it. Each
// healed cut would otherwise keep servers that have left in use at all nodes.
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

// recentOutage returns when the store did not answer last; see outage.
func (f *Follower) lastOutage() outage {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.latestOutage
}

// noteConfirmation remembers a moment at which the store is known to have answered. The
// mutex is held.
func (f *Follower) noteConfirmation(at time.Time) {
	if last := len(f.confirmations) - 1; last >= 0 && at.Before(f.confirmations[last].Add(confirmationSpacing)) {
		return
	}
	if len(f.confirmations) == maxConfirmations {
		f.confirmations = append(f.confirmations[:0], f.confirmations[1:]...)
	}
	f.confirmations = append(f.confirmations, at)
}

// wasConfirmedBetween reports whether the store is known to have answered between two moments. The
// mutex is held.
func (f *Follower) wasConfirmedBetween(from, to time.Time) bool {
	for _, at := range f.confirmations {
		if at.After(from) && at.Before(to) {
			return true
		}
	}
	return false
}
