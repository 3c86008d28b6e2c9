package fleet

import (
	"slices"
	"time"

	"github.com/bramblemast/bramblemast/internal/pause"
	"github.com/bramblemast/bramblemast/pkg/exchange"
	"github.com/bramblemast/bramblemast/pkg/loadshed"
	"github.com/bramblemast/bramblemast/pkg/route"
)

// Lease is the permission to send one request to a server. Exactly one call of Fleet.Finish or
// Fleet.Cancel ends it.
type Lease struct {
	Server Server
	Pool   *exchange.Pool
	// Expected is the time within which an answer of this server is expected, network included.
	Expected time.Duration
	// Network is the network's part of Expected.
	Network time.Duration

	member  *member
	profile *Profile
	// loadKey is the load that the request is counted in.
	loadKey    loadshed.Key
	acquiredAt time.Time
	// target is Choice.Target.
	target time.Duration
}

// AcquiredAt returns when the lease was acquired.
func (l *Lease) AcquiredAt() time.Time { return l.acquiredAt }

// Result is the outcome of a request as far as it tells something about its server.
type Result int

// The values of Result.
const (
	// Answered means that a valid answer was received.
	Answered Result = iota
	// Failed means that no valid answer was received.
	Failed
	// Unreachable means that no connection could be opened, so that the request was never sent.
	Unreachable
	// Refused means that the server refused the request.
	Refused
	// TurnedAway means that the server reset a new connection, most likely because it already has
	// as many as it accepts.
	TurnedAway
	// Abandoned means that nobody was waiting for the answer any longer.
	Abandoned
	// WrongInstance means that another server has the address.
	WrongInstance
	// Withdrawn means that the request was not sent, since the server may no longer be used.
	Withdrawn
)

// String returns the name used in logs.
func (r Result) String() string {
	return [...]string{
		"answered", "failed", "unreachable", "refused", "turned_away", "abandoned", "wrong_instance", "withdrawn",
	}[r]
}

// MaySend reports whether a request may still be sent to a leased server. It must be called right
// before sending, so that changes of the platform's list or the regions since the lease was
// acquired are respected.
func (f *Fleet) MaySend(lease *Lease, regions route.Regions, now time.Time) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return !f.isWithdrawn(lease.member, now) && f.isAllowed(regions, lease.member)
}

// Finish ends a lease. connect is the time that opening a new connection took, zero if none was
// opened.
func (f *Fleet) Finish(lease *Lease, result Result, connect time.Duration, now time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	server := lease.member
	server.removeLease(lease)
	if connect > 0 {
		server.zone.observeConnect(connect)
	}
	elapsed := now.Sub(lease.acquiredAt) - connect
	server.unreachable = result == Unreachable || result == Abandoned && server.unreachable
	switch result {
	case Answered:
		server.failures, server.turnedAway = 0, 0
		server.recordOutcome(false, now)
		server.answeredAt = now
		server.rhythm.RecordAnswer(lease.acquiredAt.Add(connect), now, server.zone.roundTrip+lease.profile.typical(), &f.sharedPeriod)
		delete(f.absences, lease.loadKey)
		server.avoidUntil = time.Time{}
		f.observeTime(lease, elapsed, now)
		f.adaptLimit(lease, elapsed, now)
	case Abandoned:
		if elapsed > lease.Expected {
			f.observeTime(lease, elapsed, now)
			f.adaptLimit(lease, elapsed, now)
		}
	case Unreachable:
		server.recordFailure(now)
		server.retryAt = now.Add(unreachableRetry)
	case Failed:
		server.recordOutcome(true, now)
		server.recordFailure(now)
	case Refused:
		server.recordOutcome(true, now)
		server.retryAt = now.Add(pause.Doubled(initialRefusedRetry, maxRefusedRetry, server.failures))
		server.recordFailure(now)
		f.lowerAdaptiveLimit(lease, now)
	case TurnedAway:
		server.reduceLimit(now)
		f.backOffTurnedAway(server, now)
	case WrongInstance:
		server.scheduleLeave(now, now)
	}
	f.wakeWaiters(server, now)
}

// minServiceTime is the lower bound of a measured service time. The round trip that is subtracted
// from the time of an answer is an average over the zone, and single answers may take less than it.
const minServiceTime = 100 * time.Microsecond

// observeTime adds the time of one request to the profile of its kind and to the ratio of its
// server. The mutex is held.
func (f *Fleet) observeTime(lease *Lease, elapsed time.Duration, now time.Time) {
	service := max(elapsed-lease.member.zone.roundTrip, minServiceTime)
	typical := lease.profile.typical()
	lease.member.observe(lease.acquiredAt, now, float64(service)/float64(typical))
	lease.profile.observe(service)
}

// removeLease removes a lease from the active ones.
func (m *member) removeLease(lease *Lease) {
	for index, each := range m.active {
		if each == lease {
			m.active = append(m.active[:index], m.active[index+1:]...)
			return
		}
	}
}

// scheduleLeave records that the server leaves: from leavesAt it is used only if its service has no
// other, from endsAt not at all. Of several calls the earliest times apply.
func (m *member) scheduleLeave(leavesAt, endsAt time.Time) {
	if m.leavesAt.IsZero() || leavesAt.Before(m.leavesAt) {
		m.leavesAt = leavesAt
	}
	if m.endsAt.IsZero() || endsAt.Before(m.endsAt) {
		m.endsAt = endsAt
	}
}

// cancelLeave undoes scheduleLeave.
func (m *member) cancelLeave() { m.leavesAt, m.endsAt = time.Time{}, time.Time{} }

// isLeaving reports whether the server is used only if its service has no other.
func (m *member) isLeaving(now time.Time) bool {
	return !m.leavesAt.IsZero() && !now.Before(m.leavesAt)
}

// hasEnded reports whether the server may no longer be used.
func (m *member) hasEnded(now time.Time) bool { return !m.endsAt.IsZero() && !now.Before(m.endsAt) }

// reduceLimit limits this node's concurrent requests at the server to half of those in flight, at
// least one, for reducedSpan. It avoids the server for reducedPenalty.
func (m *member) reduceLimit(now time.Time) {
	m.reducedLimit = max(1, len(m.active)/2)
	m.reducedUntil = now.Add(reducedSpan)
	m.avoidUntil = now.Add(reducedPenalty)
}

// backOffTurnedAway sets the time before which no request is sent to a server that rejected a
// connection. Rejections during that time belong to connections that were opened before it and are
// ignored. The delay is random, so that nodes that were rejected together return at different
// times. The mutex is held.
func (f *Fleet) backOffTurnedAway(server *member, now time.Time) {
	if now.Before(server.retryAt) {
		return
	}
	meanDelay := pause.Doubled(initialTurnedAwayRetry, maxTurnedAwayRetry, server.turnedAway)
	server.turnedAway++
	server.retryAt = now.Add(meanDelay/2 + time.Duration(f.settings.Random.Int64N(int64(meanDelay))))
}

// Cancel ends a lease whose request was not sent.
func (f *Fleet) Cancel(lease *Lease) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	lease.member.removeLease(lease)
	server := lease.member
	server.coldSends = slices.DeleteFunc(server.coldSends, func(at time.Time) bool { return at.Equal(lease.acquiredAt) })
	f.wakeWaiters(server, time.Now())
}
