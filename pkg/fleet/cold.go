package fleet

import (
	"slices"
	"time"

	"github.com/bramblemast/bramblemast/pkg/rendezvous"
)

// WarmUp is what the servers of a service bear while they are cold: after a start, or
// whenever they say so.
type WarmUp struct {
	// Span is how long a server usually needs to warm up.
	Span time.Duration
	// PerSecond is how many requests a second a cold server bears, from all nodes together;
	// zero for no bound.
	PerSecond float64
}

// WarmUpBounds are how far the requests to a cold server may go beyond WarmUp.PerSecond in
// any second: Factor times it, and Extra more.
type WarmUpBounds struct {
	Factor float64
	Extra  float64
}

// Constants of the requests to cold servers.
const (
	// coldSpan is the span over which they are counted.
	coldSpan = time.Second
	// coldShare of the bound is used: requests are counted when a server is chosen and
	// leave once a connection is open, and nodes that have just started are not known to
	// all others.
	coldShare = 0.8
	// ownersShare of that is for the owners of services that have owners; the rest is for
	// all nodes, which turn to the servers themselves where an owner is silent.
	ownersShare = 0.75
	// OwnersPerRegion is how many nodes of a region may take themselves for the owner of a
	// service at the same time: as many as have a rank for it (package owner).
	OwnersPerRegion = 3
	// assumedCallers share the bound until the nodes are known.
	assumedCallers = 64
)

// SetWarmUps takes what cold servers bear, by service; the caller does not change the map
// afterwards.
func (f *Fleet) SetWarmUps(warmUps map[string]WarmUp) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.warmUps = warmUps
	f.callersGeneration++
}

// SetWarmUpBounds takes how far requests to cold servers may go beyond what they bear.
func (f *Fleet) SetWarmUpBounds(bounds WarmUpBounds) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.warmUpBounds = bounds
	f.callersGeneration++
}

// cool notes that the server is cold until a moment.
func (m *member) cool(until time.Time) {
	if until.After(m.warmUntil) {
		m.warmUntil = until
	}
}

// isCold reports whether the server is still warming up.
func (m *member) isCold(now time.Time) bool { return now.Before(m.warmUntil) }

// coldQuota is how many requests this node may send to a server in a coldSpan while it is
// cold.
type coldQuota struct {
	// general is for any request, owned for those that this node asks as an owner beyond it.
	general, owned int
	// generation is that of the nodes for which it was computed.
	generation uint64
}

// mayAskCold reports whether this node may send one more request to a server that is cold,
// so that all nodes together stay within what it bears. The mutex is held.
func (f *Fleet) mayAskCold(each *member, now time.Time) bool {
	if f.warmUps[each.Service].PerSecond <= 0 {
		return true
	}
	if each.quota.generation != f.callersGeneration || each.quota.generation == 0 {
		each.quota = f.quotaOf(each)
	}
	allowed := each.quota.general
	if f.isOwned(each, now) {
		allowed += each.quota.owned
	}
	each.coldSends = slices.DeleteFunc(each.coldSends, func(at time.Time) bool { return now.Sub(at) >= coldSpan })
	return len(each.coldSends) < allowed
}

// quotaOf divides what a cold server bears among the nodes, without messages: in even
// parts, and where that is less than one request for each, one for each of the first nodes
// by rank. The mutex is held.
func (f *Fleet) quotaOf(each *member) coldQuota {
	bounds := f.warmUpBounds
	bound := coldShare * (max(1, bounds.Factor)*f.warmUps[each.Service].PerSecond + bounds.Extra)
	quota := coldQuota{generation: f.callersGeneration}
	if f.crowds(float64(f.connections[each.Service])) {
		quota.owned = int(ownersShare * bound / float64(OwnersPerRegion*f.regionCount()))
		bound *= 1 - ownersShare
	}
	callers := len(f.callers.Names)
	if callers == 0 {
		callers = assumedCallers
	}
	quota.general = int(bound) / callers
	if quota.general == 0 && f.ranksAmong(each.ID, int(bound)) {
		quota.general = 1
	}
	return quota
}

// ranksAmong reports whether this node is one of the first for a server. The mutex is held.
func (f *Fleet) ranksAmong(server string, first int) bool {
	return slices.Contains(rendezvous.Top(server, f.callers.Names, first), f.settings.Node)
}

// regionCount counts the regions of the zones that have nodes. The mutex is held.
func (f *Fleet) regionCount() int {
	regions := make(map[string]bool)
	for zone := range f.callers.ByZone {
		regions[f.settings.Regions[zone]] = true
	}
	return max(1, len(regions))
}

// noteColdSend counts a request to a server if it is cold. The mutex is held.
func (f *Fleet) noteColdSend(each *member, now time.Time) {
	if each.isCold(now) && f.warmUps[each.Service].PerSecond > 0 {
		each.coldSends = append(each.coldSends, now)
	}
}
