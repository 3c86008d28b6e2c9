package fleet

import (
	"math"
	"time"

	"github.com/bramblemast/bramblemast/pkg/route"
)

// Constants of server selection.
const (
	// avoidedServerCost is added to the cost of a server that is avoided because it failed recently,
	// and to that of one whose retry time has not come.
	avoidedServerCost = 2 * time.Second
	// sameZoneShare and otherZoneShare are the parts of a server's connections that the nodes of
	// its own zone and all other nodes may use, respectively.
	sameZoneShare  = 0.3
	otherZoneShare = 0.5
	// minLimit is the smallest limit on a node's concurrent requests at one server.
	minLimit = 1
	// jitterShare is the random part of the cost, relative to the typical time. It spreads requests
	// over servers of about equal cost.
	jitterShare = 0.1
	// stallFactor times the typical time is how long a server may be silent, beyond the round trip,
	// before it counts as stalled.
	stallFactor = 2
	// minStall is the minimum of the silence after which a server counts as stalled.
	minStall = 12 * time.Millisecond
)

// Choice describes a request for which a server is to be chosen.
type Choice struct {
	Service string
	// Kind is the kind of request. Typical times are kept by kind.
	Kind string
	// Assumed is the typical time of the kind until a time has been measured.
	Assumed time.Duration
	// Target is the time within which an answer has its full value; zero for no limit.
	Target time.Duration
	// Span is the total time that the request has until its deadline.
	Span time.Duration
	// Rank orders sub-requests when there are not enough free servers for all.
	Rank Rank
	// Excluded are leases of servers that have already been tried for this request.
	Excluded []*Lease
	// Regions are the regions in which the request may be served.
	Regions route.Regions
	// AsOwner says that this node sends requests to the service on behalf of the nodes around it,
	// and may therefore use their share of the connections of its servers.
	AsOwner bool
}

// Availability says whether a server is available, and if not, why.
type Availability int

// The values of Availability.
const (
	// Available means that there is a server.
	Available Availability = iota
	// Busy means that each server that could be used has reached its limit of requests of this
	// node, or is not to be tried again yet.
	Busy
	// Absent means that the service has no usable server left: each one could not be reached, has
	// ended, is in an evacuated zone or outside the allowed regions, or has already been tried.
	Absent
)

// String returns the name used in logs.
func (a Availability) String() string { return [...]string{"available", "busy", "absent"}[a] }

// Acquire chooses the server that is expected to answer first and returns a lease of it, or nil and
// the reason why there is none. The caller ends the lease with Finish or Cancel.
func (f *Fleet) Acquire(choice Choice, now time.Time) (*Lease, Availability) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	profile := f.profile(choice)
	best, _, availability := f.cheapest(choice, profile, now)
	if best == nil {
		if availability == Absent {
			f.recordAbsence(choice.loadKey(), now)
		}
		return nil, availability
	}
	if f.hasPrecedingWaiter(best, choice.Rank, now) {
		return nil, Busy
	}
	lease := &Lease{
		Server: best.Server, Pool: best.pool, member: best, profile: profile, loadKey: choice.loadKey(), acquiredAt: now,
		Network: best.zone.roundTrip, Expected: best.zone.roundTrip + profile.typical() + 2*profile.deviation,
	}
	best.active = append(best.active, lease)
	best.rhythm.RecordSent(now, &f.sharedPeriod)
	f.recordColdSend(best, now)
	lease.target = choice.Target
	if len(best.active) >= f.limit(best, now) {
		best.filledAt = now
	}
	return lease, Available
}

// Estimate returns the expected time until the best server answers, without acquiring a lease. The
// second result is false if there is no server.
func (f *Fleet) Estimate(choice Choice, now time.Time) (time.Duration, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	best, cost, _ := f.cheapest(choice, f.profile(choice), now)
	return cost, best != nil
}

// Profile returns the current statistics of the times of a kind of request; assumed is the typical
// time until one is measured.
func (f *Fleet) Profile(kind string, assumed time.Duration) ProfileView {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	profile := f.profile(Choice{Kind: kind, Assumed: assumed})
	return ProfileView{Mean: profile.typical(), Deviation: profile.deviation}
}

// profile returns the profile of the kind of a choice, which it creates if there is none. The mutex
// is held.
func (f *Fleet) profile(choice Choice) *Profile {
	found := f.profiles[choice.Kind]
	if found == nil {
		found = newProfile(choice.Assumed)
		f.profiles[choice.Kind] = found
	}
	return found
}

// cheapest returns the member with the lowest cost. A leaving server is used only if there is no
// other, and a server in a zone under evacuation only if the others have no capacity. The mutex is
// held.
func (f *Fleet) cheapest(choice Choice, profile *Profile, now time.Time) (*member, time.Duration, Availability) {
	var best, lastResort *member
	var bestCost, lastResortCost time.Duration
	availability := Absent
	for _, each := range f.services[choice.Service] {
		if choice.AsOwner {
			each.requestedAsOwnerAt = now
		}
		if !f.isEligible(choice, each) || f.isWithdrawn(each, now) {
			continue
		}
		if now.Before(each.retryAt) && !each.refusesPartially(now) || len(each.active) >= f.limit(each, now) {
			if !each.unreachable {
				availability = Busy
			}
			continue
		}
		if each.isCold(now) && !f.isWithinColdQuota(each, now) {
			availability = Busy
			continue
		}
		cost := f.cost(each, profile, now)
		if f.isLastResort(each, now) {
			if lastResort == nil || cost < lastResortCost {
				lastResort, lastResortCost = each, cost
			}
			continue
		}
		if best == nil || cost < bestCost {
			best, bestCost = each, cost
		}
	}
	if best != nil {
		return best, bestCost, Available
	}
	if lastResort != nil && (availability == Absent || !lastResort.isLeaving(now)) {
		return lastResort, lastResortCost, Available
	}
	return nil, 0, availability
}

// limit returns how many concurrent requests this node may have at a server, so that all nodes
// together stay within the server's connections. Nodes in the server's own zone get a larger share,
// since nearby servers are preferred. The mutex is held.
func (f *Fleet) limit(server *member, now time.Time) int {
	shared := min(f.sharedLimit(server, now), max(minLimit, int(server.adaptiveLimit)))
	if now.Before(server.reducedUntil) {
		return min(shared, server.reducedLimit)
	}
	return shared
}

// sharedLimit returns the limit that follows from the connections of the server alone. The mutex is
// held.
func (f *Fleet) sharedLimit(server *member, now time.Time) int {
	connections := f.connections[server.Service]
	if connections <= 0 {
		return math.MaxInt
	}
	share := otherZoneShare
	if server.Zone == f.settings.Local.Zone {
		share = sameZoneShare
	}
	return max(minLimit, int(share*float64(connections)/float64(max(1, f.sharers(server, now)))))
}

// sharers counts the nodes that divide a part of a server's connections among them: the nodes of
// its zone for a server in this node's zone, and all nodes outside the server's zone otherwise.
// Where owners send requests on behalf of the nodes around them, there is about one sharer in each
// zone. The mutex is held.
func (f *Fleet) sharers(server *member, now time.Time) int {
	isSameZone, asOwner := server.Zone == f.settings.Local.Zone, f.isOwner(server, now)
	switch {
	case isSameZone && asOwner:
		return 1
	case isSameZone:
		return f.callers.ByZone[server.Zone]
	case asOwner:
		return len(f.callers.ByZone)
	}
	return f.callers.Total - f.callers.ByZone[server.Zone]
}

// ownerSpan is for how long a node counts as the owner of a service after its last request as the
// owner. It is longer than the gaps between requests at a low rate.
const ownerSpan = 5 * time.Second

// isOwner reports whether this node sends requests to a server's service on behalf of others. The
// mutex is held.
func (f *Fleet) isOwner(server *member, now time.Time) bool {
	return !server.requestedAsOwnerAt.IsZero() && now.Sub(server.requestedAsOwnerAt) < ownerSpan
}

// cost estimates the time until a server would answer. The mutex is held.
func (f *Fleet) cost(server *member, profile *Profile, now time.Time) time.Duration {
	typical := profile.typical()
	slots := server.Slots
	if slots <= 0 {
		slots = 1
	}
	load := 1 + float64(len(server.active))/float64(slots)
	cost := server.zone.roundTrip + time.Duration(float64(typical)*server.currentRatio(now)*load)
	if server.pool.Idle() == 0 {
		cost += server.zone.connect
	}
	if now.Before(server.avoidUntil) {
		cost += avoidedServerCost
	}
	if now.Before(server.retryAt) {
		cost += avoidedServerCost
	}
	cost += time.Duration(server.currentFailureRate(now) * float64(failedRequestCost))
	cost += stallCost(server, typical, now)
	cost += server.rhythm.ExpectedWait(now, server.zone.roundTrip+typical, &f.sharedPeriod)
	return cost + time.Duration(jitterShare*f.settings.Random.Float64()*float64(typical))
}

// stallCost returns the extra cost of a server that has been silent for longer than an answer
// takes. A single heavy request does not count as silence while the server answers others, so that
// a nearby server is not abandoned for a distant one. The mutex is held.
func stallCost(server *member, typical time.Duration, now time.Time) time.Duration {
	since := server.silentSince()
	if since.IsZero() {
		return 0
	}
	overdue := now.Sub(since) - server.zone.roundTrip - max(stallFactor*server.active[0].profile.typical(), minStall)
	if overdue <= 0 {
		return 0
	}
	return overdue + 2*typical
}

// isEligible reports whether a request may be sent to a server at all: the server has not been
// tried before and is in an allowed region. The mutex is held.
func (f *Fleet) isEligible(choice Choice, candidate *member) bool {
	for _, lease := range choice.Excluded {
		if lease.member == candidate {
			return false
		}
	}
	return f.isAllowed(choice.Regions, candidate)
}

// isAllowed reports whether a server is in an allowed region. A zone without a known region belongs
// to no region.
func (f *Fleet) isAllowed(regions route.Regions, candidate *member) bool {
	return regions.Allow(f.settings.Regions[candidate.Zone])
}
