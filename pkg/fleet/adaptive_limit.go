package fleet

import "time"

// Constants of the adaptive limit, which bounds this node's concurrent requests at a server.
const (
	// decreaseShare is the part of a request's target beyond which an answer time shows that the
	// server has too many requests. The rest of the time is kept for waiting in this node, where
	// the order of requests can still be changed.
	decreaseShare = 0.5
	// increaseShare is the part of a request's target within which an answer time shows that the
	// server can take more requests.
	increaseShare = 0.35
	// decreaseFactor multiplies the limit on a decrease. A fast answer raises the limit by
	// increaseStep, but no more than increaseStepsPerRound for as many answers as the limit allows
	// at once. Growth by a fixed step for each answer would be exponential, and where the limit is
	// large it overshoots by the answers that are still in flight (0.84 to 0.93 of the capacity
	// instead of 0.95 and more in TestOverloadServesTheSameRequestsEverywhere).
	decreaseFactor        = 0.7
	increaseStep          = 0.5
	increaseStepsPerRound = 2.0
	// minLimitPerSlot is the minimum of the limit for each slot of this node's share of a server.
	minLimitPerSlot = 1.0
)

// adaptLimit adapts the limit of a server to the time of one request. Requests that were sent
// before the last decrease cause no further decrease, and a fast answer causes no increase unless
// the limit was reached since its request was sent. The mutex is held.
func (f *Fleet) adaptLimit(lease *Lease, elapsed time.Duration, now time.Time) {
	server := lease.member
	if lease.target <= 0 {
		return
	}
	shared := float64(f.sharedLimit(server, now))
	share := float64(elapsed) / float64(lease.target)
	switch {
	case share > decreaseShare:
		f.lowerAdaptiveLimit(lease, now)
	case share < increaseShare && !server.filledAt.Before(lease.acquiredAt) && server.adaptiveLimit < shared:
		server.adaptiveLimit += min(increaseStep, increaseStepsPerRound/server.adaptiveLimit)
	}
}

// lowerAdaptiveLimit decreases the limit of a lease's server, once for all requests that were sent
// before the decrease. The mutex is held.
func (f *Fleet) lowerAdaptiveLimit(lease *Lease, now time.Time) {
	server := lease.member
	if !lease.acquiredAt.After(server.decreasedAt) {
		return
	}
	running := float64(len(server.active) + 1)
	server.adaptiveLimit = max(f.minAdaptiveLimit(server, now), decreaseFactor*min(server.adaptiveLimit, running))
	server.decreasedAt = now
}

// minAdaptiveLimit returns the minimum of a server's limit, which lets all nodes together use all
// of its slots. The mutex is held.
func (f *Fleet) minAdaptiveLimit(server *member, now time.Time) float64 {
	sharers := f.callers.Total
	if f.isOwner(server, now) {
		sharers = len(f.callers.ByZone)
	}
	return max(minLimit, minLimitPerSlot*float64(server.Slots)/float64(max(1, sharers)))
}
