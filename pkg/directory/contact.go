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
		f.endOutage(time.Now())
	}
	f.mutex.Unlock()
	if isLost {
		f.listener.Dependency(storeDependency, true, nil)
	}
}

// AbsenceUncertainUntil returns until when the absence of a key does not prove that it was deleted:
// while the store does not answer, and for the settle span after it answers again, when owners may
// be about to write lost keys again. It is zero if the absence is certain. An outage that this node has
// not met may be that of other nodes alone: the span then begins when the replica last equalled the store,
// which is before the key was deleted.
func (f *Follower) AbsenceUncertainUntil(settle time.Duration, now time.Time) time.Time {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if !f.outageStart.IsZero() || f.Role() == PeerPoller && f.isAnswerLate(now) {
		return now.Add(settle)
	}
	until := f.latestOutage.uncertainUntil(settle)
	if f.unconfirmedOutage.to.After(f.latestOutage.to) {
		unconfirmed := f.unconfirmedOutage
		unconfirmed.to = earlier(unconfirmed.to, f.adjustedConfirmedAt())
		until = later(until, unconfirmed.uncertainUntil(settle))
	}
	if !until.After(now) {
		return time.Time{}
	}
	return until
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
	if kind != failureRateLimited {
		// A store that refuses a call because of its rate has lost no entries.
		f.beginOutage()
	}
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
	if now == contactEstablished && before == contactLost {
		f.endOutage(f.contactAt)
	}
	return before
}

// beginOutage records that the store did not answer the last call.
func (f *Follower) beginOutage() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.outageStart.IsZero() {
		f.outageStart = f.failedAt
	}
}

// endOutage records the end of an outage, if there is one. The mutex is held.
func (f *Follower) endOutage(now time.Time) {
	if !f.outageStart.IsZero() {
		f.latestOutage = outage{from: f.outageStart, to: now}
		f.outageStart = time.Time{}
	}
}

// Constants of what another node's loss of the store says about the store.
const (
	// ageTolerance bounds the error of a time that another node reports as an age, and how late the
	// store answers, caused by the latency between regions and by busy processes.
	ageTolerance = 200 * time.Millisecond
	// confirmationSpacing and maxConfirmations bound the recorded confirmations to the last 8 s.
	confirmationSpacing = 250 * time.Millisecond
	maxConfirmations    = 32
)

// outage is a span in which the store did not answer a node; the zero value means none.
type outage struct{ from, to time.Time }

// uncertainUntil returns the end of the settle span after the outage; zero for none.
func (o outage) uncertainUntil(settle time.Duration) time.Time {
	if o.to.IsZero() {
		return o.to
	}
	return o.to.Add(settle)
}

// learnOutage records an outage that a node reported from which this one learns. Keys that went missing
// then may soon be written again, so their absence is uncertain for this node too. However many nodes
// report it, it may be a cut of theirs: this node reads the store itself once its replica reaches the
// staleness bound, and so meets any longer outage of the store. The outage ends when the store is known
// to have answered another node.
func (f *Follower) learnOutage(report outage) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	report.to = f.firstConfirmation(report.from.Add(ageTolerance), report.to)
	if report.to.After(f.unconfirmedOutage.to) {
		f.unconfirmedOutage = report
	}
}

// noteOwnRead records that a node which polls others is about to apply what it has read of the store
// itself, since its replica had reached the staleness bound: the store may have been lost in between, and
// was if its answer began late.
func (f *Follower) noteOwnRead(now time.Time) {
	if f.Role() != PeerPoller {
		return
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	confirmedAt := f.adjustedConfirmedAt()
	if confirmedAt.IsZero() || now.Sub(confirmedAt) < f.stalenessBound() {
		return
	}
	f.unconfirmedOutage = outage{from: confirmedAt, to: now}
	if f.isAnswerLate(now) {
		f.latestOutage = f.unconfirmedOutage
	}
}

// isAnswerLate reports whether the store has not begun to answer the pending watch in time. The mutex is held.
func (f *Follower) isAnswerLate(now time.Time) bool {
	return !f.answerDueAt.IsZero() && now.After(f.answerDueAt)
}

// lastOutage returns the latest outage that this node has met itself; zero if there was none.
func (f *Follower) lastOutage() outage {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.latestOutage
}

// lastKnownOutage returns the latest outage that this node has met or that was reported to it; zero if
// there was none.
func (f *Follower) lastKnownOutage() outage {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.unconfirmedOutage.to.After(f.latestOutage.to) {
		return f.unconfirmedOutage
	}
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

// firstConfirmation returns when the store is first known to have answered after a time, and end if that
// is not earlier. The mutex is held.
func (f *Follower) firstConfirmation(after, end time.Time) time.Time {
	for _, at := range f.confirmations {
		if at.After(after) && at.Before(end) {
			return at
		}
	}
	return end
}
