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
	load  loadshed.Key
	began time.Time
	// target is that of the Choice.
	target time.Duration
}

// AcquiredAt returns when the lease was taken.
func (l *Lease) AcquiredAt() time.Time { return l.began }

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
	return !f.isOut(lease.member, now) && f.isAllowed(regions, lease.member)
}

// Finish ends a lease. connect is the time that a new connection took, zero if
// none was opened.
func (f *Fleet) Finish(lease *Lease, result Result, connect time.Duration, now time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	used := lease.member
	used.removeLease(lease)
	if connect > 0 {
		used.zone.observeConnect(connect)
	}
	elapsed := now.Sub(lease.began) - connect
	used.unreachable = result == Unreachable || result == Abandoned && used.unreachable
	switch result {
	case Answered:
		used.failures, used.turnedAway = 0, 0
		used.noteOutcome(false, now)
		used.answeredAt = now
		used.rhythm.RecordAnswer(lease.began.Add(connect), now, used.zone.roundTrip+lease.profile.typical(), &f.periods)
		delete(f.absences, lease.load)
		used.avoidUntil = time.Time{}
		f.observeTime(lease, elapsed, now)
		f.adapt(lease, elapsed, now)
	case Abandoned:
		if elapsed > lease.Expected {
			f.observeTime(lease, elapsed, now)
			f.adapt(lease, elapsed, now)
		}
	case Unreachable:
		used.fail(now)
		used.retryAt = now.Add(unreachableRetry)
	case Failed:
		used.noteOutcome(true, now)
		used.fail(now)
	case Refused:
		used.noteOutcome(true, now)
		used.retryAt = now.Add(pause.Doubled(firstRefusedRetry, greatestRefusedRetry, used.failures))
		used.fail(now)
		f.lowerRoom(lease, now)
	case TurnedAway:
		used.narrow(now)
		f.pauseTurnedAway(used, now)
	case WrongInstance:
		used.leave(now, now)
	}
	f.wakeWaiters(used, now)
}

// leastServiceTime is the least time that a server is taken to need for a request: the round trip is an
// average, of which single answers take less.
const leastServiceTime = 100 * time.Microsecond

// observeTime takes the time of one request into the profile of its kind and
// the ratio of its server. The mutex is held.
func (f *Fleet) observeTime(lease *Lease, elapsed time.Duration, now time.Time) {
	service := max(elapsed-lease.member.zone.roundTrip, leastServiceTime)
	typical := lease.profile.typical()
	lease.member.observe(lease.began, now, float64(service)/float64(typical))
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
func (m *member) leave(leavesAt, endsAt time.Time) {
	if m.leavesAt.IsZero() || leavesAt.Before(m.leavesAt) {
		m.leavesAt = leavesAt
	}
	if m.endsAt.IsZero() || endsAt.Before(m.endsAt) {
		m.endsAt = endsAt
	}
}

// stay takes back that the server leaves.
func (m *member) stay() { m.leavesAt, m.endsAt = time.Time{}, time.Time{} }

// isLeaving reports whether the server is asked only as the last one.
func (m *member) isLeaving(now time.Time) bool {
	return !m.leavesAt.IsZero() && !now.Before(m.leavesAt)
}

// hasEnded reports whether the server is not asked any more.
func (m *member) hasEnded(now time.Time) bool { return !m.endsAt.IsZero() && !now.Before(m.endsAt) }

// narrow lowers for a while how many requests this node has at the server.
func (m *member) narrow(now time.Time) {
	m.narrowLimit = max(1, len(m.active)/2)
	m.narrowUntil = now.Add(narrowSpan)
	m.avoidUntil = now.Add(narrowPenalty)
}

// pauseTurnedAway sets from when a server that turned a connection away is tried
// again. Connections that are turned away during a pause belong to those before
// it. Nodes that were turned away together come back at different times. The mutex
// is held.
func (f *Fleet) pauseTurnedAway(used *member, now time.Time) {
	if now.Before(used.retryAt) {
		return
	}
	mean := pause.Doubled(firstTurnedAwayRetry, greatestTurnedAwayRetry, used.turnedAway)
	used.turnedAway++
	used.retryAt = now.Add(mean/2 + time.Duration(f.settings.Random.Int64N(int64(mean))))
}

// Cancel ends a lease whose request was not sent.
func (f *Fleet) Cancel(lease *Lease) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	lease.member.removeLease(lease)
	used := lease.member
	used.coldSends = slices.DeleteFunc(used.coldSends, func(at time.Time) bool { return at.Equal(lease.began) })
	f.wakeWaiters(used, time.Now())
}
