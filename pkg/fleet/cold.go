package fleet

import (
	"slices"
	"time"

	"github.com/bramblemast/bramblemast/pkg/rendezvous"
)

// WarmUp describes how many requests the servers of a service can take while they are cold: after a
// start, or whenever their entries say so.
type WarmUp struct {
	// Span is how long a server usually takes to warm up.
	Span time.Duration
	// PerSecond is how many requests per second a cold server can take from all nodes together;
	// zero for no limit.
	PerSecond float64
}

// WarmUpBounds bound how far the requests to a cold server may exceed WarmUp.PerSecond in any
// second: up to Factor times it, plus Extra.
type WarmUpBounds struct {
	Factor float64
	Extra  float64
}

// Constants of requests to cold servers.
const (
	// coldWindow is the sliding window over which these requests are counted.
	coldWindow = time.Second
	// coldShare is the part of the bound that is used. The rest is a margin: requests are counted
	// when a server is chosen but sent only once a connection is open, and nodes that have just
	// started are not yet known to all others.
	coldShare = 0.8
	// ownerShare is the owners' part of coldShare, where a service has owners. The rest is for
	// all nodes, which send requests to the servers directly when an owner does not answer.
	ownerShare = 0.75
	// OwnersPerRegion is how many nodes of a region may consider themselves the owner of a service
	// at the same time: all that are ranked as candidates for it (package owner).
	OwnersPerRegion = 3
	// assumedCallerCount is the number of nodes that is assumed to share the bound until the nodes
	// are known.
	assumedCallerCount = 64
)

// SetWarmUps sets what cold servers can take, by service. The caller must not change the map
// afterwards.
func (f *Fleet) SetWarmUps(warmUps map[string]WarmUp) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.warmUps = warmUps
	f.callersGeneration++
}

// SetWarmUpBounds sets how far requests to cold servers may exceed what they can take.
func (f *Fleet) SetWarmUpBounds(bounds WarmUpBounds) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.warmUpBounds = bounds
	f.callersGeneration++
}

// markCold marks the server as cold until the given time, unless it is already cold for longer.
func (m *member) markCold(until time.Time) {
	if until.After(m.warmUntil) {
		m.warmUntil = until
	}
}

// isCold reports whether the server is still warming up.
func (m *member) isCold(now time.Time) bool { return now.Before(m.warmUntil) }

// coldQuota is how many requests this node may send to a cold server in a coldWindow.
type coldQuota struct {
	// general applies to all requests; owner is added to it while this node is an owner of the
	// service.
	general, owner int
	// generation is the value of Fleet.callersGeneration for which the quota was computed.
	generation uint64
}

// isWithinColdQuota reports whether this node may send one more request to a cold server, so that
// all nodes together stay within what it can take. The mutex is held.
func (f *Fleet) isWithinColdQuota(server *member, now time.Time) bool {
	if f.warmUps[server.Service].PerSecond <= 0 {
		return true
	}
	if server.quota.generation != f.callersGeneration || server.quota.generation == 0 {
		server.quota = f.newColdQuota(server)
	}
	allowed := server.quota.general
	if f.isOwner(server, now) {
		allowed += server.quota.owner
	}
	server.coldSends = slices.DeleteFunc(server.coldSends, func(at time.Time) bool { return now.Sub(at) >= coldWindow })
	return len(server.coldSends) < allowed
}

// newColdQuota returns this node's part of what a cold server can take. The nodes compute their
// parts without messages: equal parts, or where that is less than one request each, one request for
// each of the top-ranked nodes. The mutex is held.
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

// isAmongTop reports whether this node is one of the count top-ranked nodes for a server. The mutex
// is held.
func (f *Fleet) isAmongTop(server string, count int) bool {
	return slices.Contains(rendezvous.Top(server, f.callers.Names, count), f.settings.Node)
}

// regionCount counts the regions whose zones have nodes. The mutex is held.
func (f *Fleet) regionCount() int {
	regions := make(map[string]bool)
	for zone := range f.callers.ByZone {
		regions[f.settings.Regions[zone]] = true
	}
	return max(1, len(regions))
}

// recordColdSend counts a request to a server if the server is cold. The mutex is held.
func (f *Fleet) recordColdSend(server *member, now time.Time) {
	if server.isCold(now) && f.warmUps[server.Service].PerSecond > 0 {
		server.coldSends = append(server.coldSends, now)
	}
}
