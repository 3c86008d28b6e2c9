package fleet

import "time"

// Constants of the room at a server: how many requests this node has there at a
// time.
const (
	// decreaseShare of a request's target is when an answer shows that the server
	// has too many requests: the node keeps the rest of the time for waiting
	// where their order can still be changed.
	decreaseShare = 0.5
	// increaseShare of a request's target is within which an answer shows that the
	// server may get more.
	increaseShare = 0.35
	// decreaseFactor lowers the room. A calm answer raises it by increaseStep, but no more
	// than increaseStepsPerRound for as many answers as there is room for: growth by a
	// fixed step for each answer is exponential, and where there is much room it
	// overshoots by the answers that are still under way (0.84 to 0.93 instead of 0.95
	// of the capacity and more in TestOverloadServesTheSameRequestsEverywhere).
	decreaseFactor        = 0.7
	increaseStep          = 0.5
	increaseStepsPerRound = 2.0
	// minLimitPerSlot is the least room for each slot of this node's share of a
	// server.
	minLimitPerSlot = 1.0
)

// adapt takes what the time of one request shows of the room at its server. The
// requests that were sent before the last reduction tell nothing new, and neither
// does a calm answer while the room was never full.
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

// lowerAdaptiveLimit lowers the room at the server of a lease, once for all requests that
// were sent before. The mutex is held.
func (f *Fleet) lowerAdaptiveLimit(lease *Lease, now time.Time) {
	server := lease.member
	if !lease.acquiredAt.After(server.decreasedAt) {
		return
	}
	running := float64(len(server.active) + 1)
	server.adaptiveLimit = max(f.minAdaptiveLimit(server, now), decreaseFactor*min(server.adaptiveLimit, running))
	server.decreasedAt = now
}

// minAdaptiveLimit is the room that a server keeps, so that all nodes together can use
// all of its slots. The mutex is held.
func (f *Fleet) minAdaptiveLimit(server *member, now time.Time) float64 {
	sharers := f.callers.Total
	if f.isOwner(server, now) {
		sharers = len(f.callers.ByZone)
	}
	return max(minLimit, minLimitPerSlot*float64(server.Slots)/float64(max(1, sharers)))
}
