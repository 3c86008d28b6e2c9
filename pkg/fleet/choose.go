package fleet

import (
	"time"
)

// Constants of the choice of a server.
const (
	// failedCost is added for a server that failed a short while ago.
	failedCost = 2 * time.Second
	// connectionShare is the part of a server's connections that all nodes
	// together use.
	connectionShare = 0.9
	// jitterShare spreads requests over servers that are about alike.
	jitterShare = 0.1
	// stallFactor times the expected time is when a silent server is taken for
	// stalled.
	stallFactor = 2
	// stallFloor is the least time after which a server is taken for stalled.
	stallFloor = 12 * time.Millisecond
)

// Choice is a request for a server.
type Choice struct {
	Service string
	// Kind is the kind of request, by which typical times are kept.
	Kind string
	// Assumed is the typical time of the kind until one is measured.
	Assumed time.Duration
	// Excluded are servers that were asked already.
	Excluded []*Lease
}

// Acquire chooses the server that is expected to answer soonest and returns a
// lease of it, or nil if the service has no server that may be asked.
func (f *Fleet) Acquire(choice Choice, now time.Time) *Lease {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	profile := f.profile(choice)
	best, cost := f.cheapest(choice, profile, now)
	if best == nil {
		return nil
	}
	lease := &Lease{
		Server: best.Server, Pool: best.pool, member: best, profile: profile, began: now, Cost: cost,
		Expected: best.zone.roundTrip + profile.typical() + 2*profile.deviation,
	}
	best.active = append(best.active, lease)
	return lease
}

// Estimate returns the expected time of the best server without taking it; the
// second value is false if there is none.
func (f *Fleet) Estimate(choice Choice, now time.Time) (time.Duration, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	best, cost := f.cheapest(choice, f.profile(choice), now)
	return cost, best != nil
}

// Typical returns the mean time that servers need for a kind of request and
// its mean deviation, without the network.
func (f *Fleet) Typical(kind string, assumed time.Duration) (time.Duration, time.Duration) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	profile := f.profile(Choice{Kind: kind, Assumed: assumed})
	return profile.typical(), profile.deviation
}

// profile returns the profile of a kind. The mutex is held.
func (f *Fleet) profile(choice Choice) *Profile {
	found := f.profiles[choice.Kind]
	if found == nil {
		found = newProfile(choice.Assumed)
		f.profiles[choice.Kind] = found
	}
	return found
}

// cheapest returns the member with the least cost. The mutex is held.
func (f *Fleet) cheapest(choice Choice, profile *Profile, now time.Time) (*member, time.Duration) {
	var best, leaving *member
	var bestCost, leavingCost time.Duration
	limit := f.limit(choice.Service)
	for _, each := range f.services[choice.Service] {
		if wasAsked(choice.Excluded, each) || len(each.active) >= limit {
			continue
		}
		cost := f.cost(each, profile, now)
		if !each.leftAt.IsZero() {
			if now.Sub(each.leftAt) < f.settings.LeaveWithin && (leaving == nil || cost < leavingCost) {
				leaving, leavingCost = each, cost
			}
			continue
		}
		if best == nil || cost < bestCost {
			best, bestCost = each, cost
		}
	}
	if best == nil {
		return leaving, leavingCost
	}
	return best, bestCost
}

// limit returns how many requests this node may have at one server. The mutex
// is held.
func (f *Fleet) limit(service string) int {
	connections := f.connections[service]
	if connections <= 0 {
		return 1 << 30
	}
	return max(2, int(connectionShare*float64(connections)/float64(f.callers)))
}

// cost estimates when a server would answer. The mutex is held.
func (f *Fleet) cost(each *member, profile *Profile, now time.Time) time.Duration {
	typical := profile.typical()
	slots := each.Slots
	if slots <= 0 {
		slots = 1
	}
	load := 1 + float64(len(each.active))/float64(slots)
	cost := each.zone.roundTrip + time.Duration(float64(typical)*each.currentRatio(now)*load)
	if each.pool.Resting() == 0 {
		cost += each.zone.connect
	}
	if now.Before(each.avoidUntil) {
		cost += failedCost
	}
	cost += stallCost(each, typical, now)
	return cost + time.Duration(jitterShare*f.settings.Random.Float64()*float64(typical))
}

// stallCost is added for a server whose oldest request is overdue.
func stallCost(each *member, typical time.Duration, now time.Time) time.Duration {
	oldest := each.oldest()
	if oldest.IsZero() {
		return 0
	}
	overdue := now.Sub(oldest) - each.zone.roundTrip - max(stallFactor*each.active[0].profile.typical(), stallFloor)
	if overdue <= 0 {
		return 0
	}
	return overdue + 2*typical
}

func wasAsked(excluded []*Lease, candidate *member) bool {
	for _, lease := range excluded {
		if lease.member == candidate {
			return true
		}
	}
	return false
}
