// Package fleet keeps what a node knows about the servers of each service: their entries in the
// platform's list, and what the node has observed with its own requests. It chooses the server for
// each request.
//
// A Fleet is safe for concurrent use. One mutex guards all of it, and no call to another process is
// made while it is held.
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
	// Slots is the number of requests that the server runs at once; zero if unknown.
	Slots int
	// Draining says that the server accepts no new requests.
	Draining bool
	// WarmUp is how much longer the server stays slow after its start.
	WarmUp time.Duration
}

// Constants of the state that is kept for a server.
const (
	// slowRatio is the ratio of measured to expected time from which an answer counts as slow.
	slowRatio = 2.5
	// maxRatio is the upper bound of a server's ratio.
	maxRatio = 12.0
	// suspectRatio is the minimum ratio of a server after a single slow episode.
	suspectRatio = 1.4
	// minSlowEpisodes is the number of slow episodes without a normal answer in between from which
	// a server counts as slow. A single episode is a pause or a heavy request.
	minSlowEpisodes = 2
	// ratioHalfLife is the time in which the excess of a slow server's ratio over 1 halves, so that
	// the server is tried again.
	ratioHalfLife = 3 * time.Second
	// failureGain is the weight of one outcome in the failure rate. Two failures in a row indicate
	// a server that fails every second request or more.
	failureGain = 0.25
	// failureHalfLife is the time in which a failure rate halves without requests, so that the
	// server is tried again: one that fails 0.6 of its requests gets about one request a second
	// from each owner.
	failureHalfLife = 3 * time.Second
	// failedRequestCost is the delay of a request that fails: the round trip to another server,
	// mostly in another region, its work, and the extra load that is then not available to other
	// requests.
	failedRequestCost = 60 * time.Millisecond
	// answeringSpan is for how long after an answer a server counts as answering.
	answeringSpan = time.Second
	// partialFailureRate is the failure rate below which a server counts as serving some of its
	// requests. Five refusals in a row exceed it.
	partialFailureRate = 0.75
	// ratioGain is the weight of one sample that is not slow.
	ratioGain = 0.25
	// initialPenalty and maxPenalty bound for how long a server that failed or refused a request is
	// avoided. Each further failure in a row doubles the time.
	initialPenalty = 300 * time.Millisecond
	maxPenalty     = 3 * time.Second
	// unreachableRetry is the interval at which this node retries a server that could not be
	// reached. A refused connection costs little, but takes the place of another server in the
	// selection for each request.
	unreachableRetry = 100 * time.Millisecond
	// initialRefusedRetry and maxRefusedRetry bound for how long this node sends no requests to a
	// server that refused one because it was full. Each further refusal in a row doubles the time.
	// Refused requests are extra load, and where there are more nodes than places at a server, one
	// request of each node is already too many.
	initialRefusedRetry = 50 * time.Millisecond
	maxRefusedRetry     = 800 * time.Millisecond
	// initialTurnedAwayRetry and maxTurnedAwayRetry bound the mean time after which this node opens
	// a connection again to a server that rejected one. Each further rejection in a row doubles it.
	// Rejecting connections costs a server time: if all nodes open them at once, as after a power
	// failure, it serves no requests for seconds.
	initialTurnedAwayRetry = 50 * time.Millisecond
	maxTurnedAwayRetry     = 1600 * time.Millisecond
	// reducedSpan is for how long a server that rejected a connection gets fewer concurrent
	// requests.
	reducedSpan = time.Second
	// reducedPenalty is for how long such a server is avoided. It is shorter than for a failure,
	// since the server still serves the connections that it has.
	reducedPenalty = initialPenalty / 3
	// coldRatio is the minimum ratio of a server while it warms up.
	coldRatio = 1.6
)

// member is one server with what this node has observed of it. The mutex of the Fleet guards it.
type member struct {
	Server
	pool *exchange.Pool
	zone *zoneTimes
	// active are the requests in flight, oldest first; answeredAt is the time of the last answer.
	active     []*Lease
	answeredAt time.Time
	// ratio is the server's service time relative to the expected time; 1 is normal. ratioAt is the
	// time of its last sample.
	ratio   float64
	ratioAt time.Time
	// slowEpisodeEnd is when the last slow episode ended. Slow answers to requests that started
	// before it belong to that episode and are ignored.
	slowEpisodeEnd time.Time
	// slowEpisodes counts slow episodes since the last normal answer. failures counts failed and
	// refused requests, and failures to connect, since the last answer.
	slowEpisodes int
	failures     int
	// failureRate is the share of recent requests that failed or were refused, as of failureRateAt.
	failureRate   float64
	failureRateAt time.Time
	// turnedAway counts rejected connections since the last answer.
	turnedAway int
	// rhythm predicts the server's pauses.
	rhythm rhythm.Server
	// unreachable says that the last request could not open a connection.
	unreachable bool
	// avoidUntil is until when avoidedServerCost is added to the server's cost, after a request
	// failed or was refused or a connection was rejected.
	avoidUntil time.Time
	// retryAt is the time before which the server is not tried again after it could not be reached,
	// refused a request or rejected a connection.
	retryAt   time.Time
	warmUntil time.Time
	// quota is this node's part of what the server can take while it is cold. coldSends are the
	// times of the requests that were sent to it within the last coldWindow.
	quota     coldQuota
	coldSends []time.Time
	// reducedLimit bounds the concurrent requests at the server until reducedUntil, because it has
	// rejected connections.
	reducedLimit int
	reducedUntil time.Time
	// adaptiveLimit bounds the concurrent requests at the server according to its answer times.
	// decreasedAt is when it was last decreased, filledAt when a request last used up the limit.
	adaptiveLimit float64
	decreasedAt   time.Time
	filledAt      time.Time
	// requestedAsOwnerAt is when this node last requested a lease for the server's service as its
	// owner; zero for never.
	requestedAsOwnerAt time.Time
	// listed says that the platform lists the server.
	listed bool
	// leavesAt is the time from which the server is used only if its service has no other, endsAt
	// the time from which it is not used at all; zero while the server is not leaving.
	leavesAt time.Time
	endsAt   time.Time
}

// currentRatio returns the ratio, with its decay since the last sample.
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

// observe records the ratio of the measured to the expected time of one request.
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

// currentFailureRate returns the failure rate, with its decay since the last outcome.
func (m *member) currentFailureRate(now time.Time) float64 {
	if m.failureRate == 0 {
		return 0
	}
	return m.failureRate * exp2(-float64(now.Sub(m.failureRateAt))/float64(failureHalfLife))
}

// refusesPartially reports whether a server that refused its last request still serves others. Such
// a server is not full, and is used where there is no better one.
func (m *member) refusesPartially(now time.Time) bool {
	isAnswering := !m.answeredAt.IsZero() && now.Sub(m.answeredAt) < answeringSpan
	return isAnswering && !m.unreachable && m.turnedAway == 0 && m.currentFailureRate(now) < partialFailureRate
}

// recordOutcome adds one outcome to the failure rate; failed says that the request failed at the
// server or was refused by it.
func (m *member) recordOutcome(failed bool, now time.Time) {
	rate := m.currentFailureRate(now)
	outcome := 0.0
	if failed {
		outcome = 1
	}
	m.failureRate, m.failureRateAt = rate+failureGain*(outcome-rate), now
}

// setRatio sets the ratio as of now.
func (m *member) setRatio(ratio float64, now time.Time) {
	m.ratio, m.ratioAt = ratio, now
}

// recordFailure counts a request that failed or was refused, or that could not open a connection,
// and avoids the server for a while.
func (m *member) recordFailure(now time.Time) {
	m.avoidUntil = now.Add(pause.Doubled(initialPenalty, maxPenalty, m.failures))
	m.failures++
}

// silentSince returns the time since which the server has given no answer while requests are in
// flight; zero if none are. A server that answers other requests is not silent, however long its
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
