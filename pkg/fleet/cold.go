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
	// coldWindow is the span over which they are counted.
	coldWindow = time.Second
	// coldShare of the bound is used: requests are counted when a server is chosen and
	// leave once a connection is open, and nodes that have just started are not known to
	// all others.
	coldShare = 0.8
	// ownerShare of that is for the owners of services that have owners; the rest is for
	// all nodes, which turn to the servers themselves where an owner is silent.
	ownerShare = 0.75
	// OwnersPerRegion is how many nodes of a region may take themselves for the owner of a
	// service at the same time: as many as have a rank for it (package owner).
	OwnersPerRegion = 3
	// assumedCallerCount share the bound until the nodes are known.
	assumedCallerCount = 64
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
func (m *member) markCold(until time.Time) {
	if until.After(m.warmUntil) {
		m.warmUntil = until
	}
}

// isCold reports whether the server is still warming up.
func (m *member) isCold(now time.Time) bool { return now.Before(m.warmUntil) }

// coldQuota is how many requests this node may send to a server in a coldWindow while it is
// cold.
type coldQuota struct {
	// general is for any request, owned for those that this node asks as an owner beyond it.
	general, owner int
	// generation is that of the nodes for which it was computed.
	generation uint64
}

// isWithinColdQuota reports whether this node may send one more request to a server that is cold,
// so that all nodes together stay within what it bears. The mutex is held.
func (f *Fleet) isWithinColdQuota(server *member, now time.Time) bool {
	if f.warmUps[server.Service].PerSecond <= 0 {
		return true
	}
	if server.coldBudget.generation != f.callersGeneration || server.coldBudget.generation == 0 {
		server.coldBudget = f.newColdQuota(server)
	}
	allowed := server.coldBudget.general
	if f.isOwner(server, now) {
		allowed += server.coldBudget.owner
	}
	server.coldSends = slices.DeleteFunc(server.coldSends, func(at time.Time) bool { return now.Sub(at) >= coldWindow })
	return len(server.coldSends) < allowed
}

// newColdQuota divides what a cold server bears among the nodes, without messages: in even
// parts, and where that is less than one request for each, one for each of the first nodes
// by rank. The mutex is held.
func (f *Fleet) newColdQuota(server *member) coldQuota {
	bounds := f.warmUpBounds
	bound := coldShare * (max(1, bounds.Factor)*f.warmUps[server.Service].PerSecond + bounds.Extra)
	quota := coldQuota{generation: f.callersGeneration}
	if f.areConnectionsScarce(float64(f.connections[server.Service])) {
		quota.owner = int(ownerShare * bound / float64(OwnersPerRegion*f.regionCount()))
		bound *= 1 - ownerShare
	}
	callers := len(f.callers.Names)
	if callers == 0 {
		callers = assumedCallerCount
	}
	quota.general = int(bound) / callers
	if quota.general == 0 && f.isAmongTop(server.ID, int(bound)) {
		quota.general = 1
	}
	return quota
}

// isAmongTop reports whether this node is one of the first for a server. The mutex is held.
func (f *Fleet) isAmongTop(server string, count int) bool {
	return slices.Contains(rendezvous.Top(server, f.callers.Names, count), f.settings.Node)
}

// regionCount counts the regions of the zones that have nodes. The mutex is held.
func (f *Fleet) regionCount() int {
	regions := make(map[string]bool)
	for zone := range f.callers.ByZone {
		regions[f.settings.Regions[zone]] = true
	}
	return max(1, len(regions))
}

// recordColdSend counts a request to a server if it is cold. The mutex is held.
func (f *Fleet) recordColdSend(server *member, now time.Time) {
	if server.isCold(now) && f.warmUps[server.Service].PerSecond > 0 {
		server.coldSends = append(server.coldSends, now)
	}
}
