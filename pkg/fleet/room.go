package fleet

import "time"

// Constants of the room at a server: how many requests this node has there at a
// time.
const (
	// crowdedShare of a request's target is when an answer shows that the server
	// has too many requests: the node keeps the rest of the time for waiting
	// where their order can still be changed.
	crowdedShare = 0.5
	// calmShare of a request's target is within which an answer shows that the
	// server may get more.
	calmShare = 0.35
	// roomFactor lowers the room. A calm answer raises it by roomStep, but no more
	// than roomStepsPerRound for as many answers as there is room for: growth by a
	// fixed step for each answer is exponential, and where there is much room it
	// overshoots by the answers that are still under way (0.84 to 0.93 instead of 0.95
	// of the capacity and more in TestOverloadServesTheSameRequestsEverywhere).
	roomFactor        = 0.7
	roomStep          = 0.5
	roomStepsPerRound = 2.0
	// leastRoomPerSlot is the least room for each slot of this node's share of a
	// server.
	leastRoomPerSlot = 1.0
)

// adapt takes what the time of one request shows of the room at its server. The
// requests that were sent before the last reduction tell nothing new, and neither
// does a calm answer while the room was never full.
func (f *Fleet) adapt(lease *Lease, elapsed time.Duration, now time.Time) {
	used := lease.member
	if lease.target <= 0 {
		return
	}
	shared := float64(f.sharedLimit(used, now))
	share := float64(elapsed) / float64(lease.target)
	switch {
	case share > crowdedShare:
		f.lowerRoom(lease, now)
	case share < calmShare && !used.filledAt.Before(lease.began) && used.room < shared:
		used.room += min(roomStep, roomStepsPerRound/used.room)
	}
}

// lowerRoom lowers the room at the server of a lease, once for all requests that
// were sent before. The mutex is held.
func (f *Fleet) lowerRoom(lease *Lease, now time.Time) {
	used := lease.member
	if !lease.began.After(used.crowdedAt) {
		return
	}
	running := float64(len(used.active) + 1)
	used.room = max(f.leastRoom(used, now), roomFactor*min(used.room, running))
	used.crowdedAt = now
}

// leastRoom is the room that a server keeps, so that all nodes together can use
// all of its slots. The mutex is held.
func (f *Fleet) leastRoom(each *member, now time.Time) float64 {
	sharers := f.callers.Total
	if f.isOwned(each, now) {
		sharers = len(f.callers.ByZone)
	}
	return max(leastLimit, leastRoomPerSlot*float64(each.Slots)/float64(max(1, sharers)))
}
