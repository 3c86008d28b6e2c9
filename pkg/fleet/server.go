// Package fleet keeps what a node knows of the servers of each service: their
// entries in the platform's list and what its own requests have shown of them.
//
// A Fleet is safe for concurrent use; one mutex guards all of it and no call to
// another process is made under it.
package fleet

import (
	"time"

	"github.com/bramblemast/bramblemast/internal/pause"
	"github.com/bramblemast/bramblemast/pkg/exchange"
	"github.com/bramblemast/bramblemast/pkg/rhythm"
)

// Server is one incarnation of a server as the platform lists it.
type Server struct {
	ID      string
	Start   Start
	Service string
	Address string
	Zone    string
	// Slots is the number of requests that it runs at once; zero if unknown.
	Slots int
	// Draining says that it takes no new requests.
	Draining bool
	// WarmUp is how much longer it stays slow after its start.
	WarmUp time.Duration
}

// Constants of the view that is kept of a server.
const (
	// slowRatio is how many times the expected time counts as slow.
	slowRatio = 2.5
	// maxRatio bounds how slow a server is taken for.
	maxRatio = 12.0
	// suspectRatio is kept after one slow episode.
	suspectRatio = 1.4
	// minSlowEpisodes in a row, with no normal answer between them, show that a
	// server is slow; one alone is a pause or a heavy request.
	minSlowEpisodes = 2
	// ratioHalfLife is the time in which the doubt in a slow server halves, so
	// that it is tried again.
	ratioHalfLife = 3 * time.Second
	// failureGain is the weight of one outcome in the rate of failures: two failures in a
	// row show a server that fails every second request or more.
	failureGain = 0.25
	// failureHalfLife is the time in which a rate of failures halves without requests, so
	// that a server is tried again: one that fails 0.6 of its requests gets about one a
	// second of each owner.
	failureHalfLife = 3 * time.Second
	// failedRequestCost is what a request is delayed by that fails: the way to another server,
	// mostly in another region, its work, and the extra load that is then missing for others.
	failedRequestCost = 60 * time.Millisecond
	// answeringSpan is for how long after an answer a server counts as one that serves.
	answeringSpan = time.Second
	// partialFailureRate is the rate of failures below which a server is known to serve a
	// part of its requests: five refusals in a row are above it.
	partialFailureRate = 0.75
	// ratioGain is the weight of one ordinary sample.
	ratioGain = 0.25
	// initialPenalty and maxPenalty bound for how long a server that failed
	// or refused a request is avoided; each one in a row doubles the time.
	initialPenalty = 300 * time.Millisecond
	maxPenalty     = 3 * time.Second
	// unreachableRetry is how often a server that could not be reached is tried
	// again by this node: a refused connection costs little, but takes the place
	// of another server in the choice of every request.
	unreachableRetry = 100 * time.Millisecond
	// initialRefusedRetry and maxRefusedRetry bound for how long a server that
	// refused a request for want of room is not asked by this node; each refusal
	// in a row doubles the time. Refused requests are extra load, and where nodes
	// outnumber the places at a server, one request of each is too many.
	initialRefusedRetry = 50 * time.Millisecond
	maxRefusedRetry     = 800 * time.Millisecond
	// initialTurnedAwayRetry and maxTurnedAwayRetry bound the mean time after
	// which this node opens a connection again to a server that turned one away;
	// each one in a row doubles it. A server spends its time on connections that
	// it turns away: where all nodes open them at once, as after a loss of power, it
	// serves none for seconds.
	initialTurnedAwayRetry = 50 * time.Millisecond
	maxTurnedAwayRetry     = 1600 * time.Millisecond
	// reducedSpan is for how long a server that turned a connection away gets
	// fewer requests at a time.
	reducedSpan = time.Second
	// reducedPenalty is for how long it is avoided, which is less than for a failure: it still
	// serves what it has.
	reducedPenalty = initialPenalty / 3
	// coldRatio is how much slower a server is taken for while it warms up.
	coldRatio = 1.6
)

// member is one server with what this node has seen of it. The mutex of the
// Fleet guards it.
type member struct {
	Server
	pool *exchange.Pool
	zone *zoneTimes
	// active are the requests under way, oldest first; answeredAt is when one was
	// answered last.
	active     []*Lease
	answeredAt time.Time
	// ratio is the server's time over the expected time; 1 is normal.
	ratio   float64
	ratioAt time.Time
	// slowEpisodeEnd is when the last slow episode ended; requests that began
	// before it tell nothing new.
	slowEpisodeEnd time.Time
	// slowEpisodes counts slow episodes since the last normal answer.
	slowEpisodes int
	failures     int
	// failureRate is the share of the requests that failed or were refused lately, as of
	// failureRateAt.
	failureRate   float64
	failureRateAt time.Time
	// turnedAway counts connections turned away since the last answer.
	turnedAway int
	// rhythm foresees its pauses.
	rhythm rhythm.Server
	// unreachable says that the last request could not open a connection.
	unreachable bool
	avoidUntil  time.Time
	// retryAt is from when a server that could not be reached is tried again.
	retryAt   time.Time
	warmUntil time.Time
	// quota is this node's part of what the server bears while it is cold, and coldSends are
	// when requests went to it in the last coldWindow.
	coldBudget coldQuota
	coldSends  []time.Time
	// reducedLimit bounds the requests at the server until reducedUntil, since it
	// has turned connections away.
	reducedLimit int
	reducedUntil time.Time
	// room bounds the requests at the server by the times of its answers;
	// decreasedAt is when it was lowered last, filledAt when a request last took all
	// that was left of it.
	adaptiveLimit float64
	decreasedAt   time.Time
	filledAt      time.Time
	// askedAsOwnerAt is when this node last asked for its service as the owner; zero for
	// never.
	askedAsOwnerAt time.Time
	// listed says that the platform lists the server.
	listed bool
	// leavesAt is from when it is asked only if its service has no other, and
	// endsAt from when it is not asked at all; zero while it is to stay.
	leavesAt time.Time
	endsAt   time.Time
}

// currentRatio returns the ratio with the decay of doubt since its last sample.
func (m *member) currentRatio(now time.Time) float64 {
	ratio := m.ratio
	if ratio > 1 {
		halves := float64(now.Sub(m.ratioAt)) / float64(ratioHalfLife)
		ratio = 1 + (ratio-1)*exp2(-halves)
	}
	if m.isCold(now) {
		ratio = max(ratio, coldRatio)
	}
	return ratio
}

// observe takes the time that the server needed for one request.
func (m *member) observe(startedAt, now time.Time, ratio float64) {
	ratio = min(ratio, maxRatio)
	current := m.currentRatio(now)
	if ratio < slowRatio {
		m.slowEpisodes = 0
		m.setRatio(current+ratioGain*(ratio-current), now)
		return
	}
	if startedAt.Before(m.slowEpisodeEnd) {
		return
	}
	m.slowEpisodeEnd = now
	m.slowEpisodes++
	if m.slowEpisodes >= minSlowEpisodes {
		m.setRatio(max(current, ratio), now)
		return
	}
	m.setRatio(max(current, suspectRatio), now)
}

// currentFailureRate returns the rate of failures with its decay since the last outcome.
func (m *member) currentFailureRate(now time.Time) float64 {
	if m.failureRate == 0 {
		return 0
	}
	return m.failureRate * exp2(-float64(now.Sub(m.failureRateAt))/float64(failureHalfLife))
}

// refusesPartially reports whether a server that refused its last request serves others: it is
// not full, and asked where no better one is.
func (m *member) refusesPartially(now time.Time) bool {
	isAnswering := !m.answeredAt.IsZero() && now.Sub(m.answeredAt) < answeringSpan
	return isAnswering && !m.unreachable && m.turnedAway == 0 && m.currentFailureRate(now) < partialFailureRate
}

// recordOutcome takes whether a request failed at the server or was refused by it.
func (m *member) recordOutcome(failed bool, now time.Time) {
	rate := m.currentFailureRate(now)
	outcome := 0.0
	if failed {
		outcome = 1
	}
	m.failureRate, m.failureRateAt = rate+failureGain*(outcome-rate), now
}

// setRatio takes the ratio of a moment.
func (m *member) setRatio(ratio float64, now time.Time) {
	m.ratio, m.ratioAt = ratio, now
}

// fail notes a request that failed or was refused.
func (m *member) recordFailure(now time.Time) {
	m.avoidUntil = now.Add(pause.Doubled(initialPenalty, maxPenalty, m.failures))
	m.failures++
}

// silentSince returns since when the server owes an answer and has given none; zero
// if it owes none. One that answers other requests is not silent, however long its
// oldest request takes.
func (m *member) silentSince() time.Time {
	if len(m.active) == 0 {
		return time.Time{}
	}
	if oldest := m.active[0].acquiredAt; oldest.After(m.answeredAt) {
		return oldest
	}
	return m.answeredAt
}
