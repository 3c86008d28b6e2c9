package fleet

import (
	"slices"
	"time"

	"github.com/bramblemast/bramblemast/internal/pause"
	"github.com/bramblemast/bramblemast/pkg/exchange"
	"github.com/bramblemast/bramblemast/pkg/loadshed"
	"github.com/bramblemast/bramblemast/pkg/route"
)

// Lease is the right to send one request to a server. It is ended by exactly
// one call of Fleet.Finish.
type Lease struct {
	Server Server
	Pool   *exchange.Pool
	// Expected is the time after which an answer is due at this server,
	// network included.
	Expected time.Duration
	// Network is the part of Expected that the network takes.
	Network time.Duration

	member  *member
	profile *Profile
	// load is that which the request is counted in.
	loadKey    loadshed.Key
	acquiredAt time.Time
	// target is that of the Choice.
	target time.Duration
}

// AcquiredAt returns when the lease was taken.
func (l *Lease) AcquiredAt() time.Time { return l.acquiredAt }

// Result is what a finished request showed of its server.
type Result int

// The results.
const (
	// Answered means that a sound answer came.
	Answered Result = iota
	// Failed means that no sound answer came.
	Failed
	// Unreachable means that no connection could be opened, so that the request
	// never arrived.
	Unreachable
	// Refused means that the server turned the request away.
	Refused
	// TurnedAway means that the server reset a new connection, most likely
	// because it has as many as it accepts.
	TurnedAway
	// Abandoned means that nobody waited for the answer any longer.
	Abandoned
	// WrongInstance means that another server has the address.
	WrongInstance
	// Withdrawn means that the request was not sent, since the server may not be asked
	// any more.
	Withdrawn
)

// String returns the name used in logs.
func (r Result) String() string {
	return [...]string{
		"answered", "failed", "unreachable", "refused", "turned_away", "abandoned", "wrong_instance", "withdrawn",
	}[r]
}

// MaySend reports whether a leased server may still be asked. It is called right before
// the request is sent: what the platform told meanwhile binds it too.
func (f *Fleet) MaySend(lease *Lease, regions route.Regions, now time.Time) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return !f.isWithdrawn(lease.member, now) && f.isAllowed(regions, lease.member)
}

// Finish ends a lease. connect is the time that a new connection took, zero if
// none was opened.
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

// minServiceTime is the least time that a server is taken to need for a request: the round trip is an
// average, of which single answers take less.
const minServiceTime = 100 * time.Microsecond

// observeTime takes the time of one request into the profile of its kind and
// the ratio of its server. The mutex is held.
func (f *Fleet) observeTime(lease *Lease, elapsed time.Duration, now time.Time) {
	service := max(elapsed-lease.member.zone.roundTrip, minServiceTime)
	typical := lease.profile.typical()
	lease.member.observe(lease.acquiredAt, now, float64(service)/float64(typical))
	lease.profile.observe(service)
}

// removeLease takes a lease from those under way.
func (m *member) removeLease(lease *Lease) {
	for index, each := range m.active {
		if each == lease {
			m.active = append(m.active[:index], m.active[index+1:]...)
			return
		}
	}
}

// leave notes that the server leaves: from one moment it is asked only if its
// service has no other, from the second not at all. The earliest notice counts.
func (m *member) scheduleLeave(leavesAt, endsAt time.Time) {
	if m.leavesAt.IsZero() || leavesAt.Before(m.leavesAt) {
		m.leavesAt = leavesAt
	}
	if m.endsAt.IsZero() || endsAt.Before(m.endsAt) {
		m.endsAt = endsAt
	}
}

// stay takes back that the server leaves.
func (m *member) cancelLeave() { m.leavesAt, m.endsAt = time.Time{}, time.Time{} }

// isLeaving reports whether the server is asked only as the last one.
func (m *member) isLeaving(now time.Time) bool {
	return !m.leavesAt.IsZero() && !now.Before(m.leavesAt)
}

// hasEnded reports whether the server is not asked any more.
func (m *member) hasEnded(now time.Time) bool { return !m.endsAt.IsZero() && !now.Before(m.endsAt) }

// narrow lowers for a while how many requests this node has at the server.
func (m *member) reduceLimit(now time.Time) {
	m.reducedLimit = max(1, len(m.active)/2)
	m.reducedUntil = now.Add(reducedSpan)
	m.avoidUntil = now.Add(reducedPenalty)
}

// backOffTurnedAway sets from when a server that turned a connection away is tried
// again. Connections that are turned away during a pause belong to those before
// it. Nodes that were turned away together come back at different times. The mutex
// is held.
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
