package fleet

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/bramblemast/bramblemast/pkg/exchange"
)

// Place is where a node runs.
type Place struct {
	Zone   string
	Region string
}

// Settings of a Fleet.
type Settings struct {
	Local Place
	// Regions maps each zone to its region.
	Regions map[string]string
	// LeaveWithin is how long after a server was known to leave it may still be
	// asked if its service has no other.
	LeaveWithin time.Duration
	Dialer      exchange.Dialer
	// Random is not shared with other users.
	Random *rand.Rand
}

// Fleet is the set of servers that a node knows.
type Fleet struct {
	settings Settings

	mutex sync.Mutex
	// The fields below are guarded by mutex.
	members  map[string]*member
	services map[string][]*member
	zones    map[string]*zoneTimes
	profiles map[string]*Profile
	// callers are the nodes that share the servers' connections.
	callers Callers
	// connections is the greatest number of connections of a server, by service.
	connections map[string]int
}

// New returns an empty fleet.
func New(settings Settings) *Fleet {
	return &Fleet{
		settings:    settings,
		members:     make(map[string]*member),
		services:    make(map[string][]*member),
		zones:       make(map[string]*zoneTimes),
		profiles:    make(map[string]*Profile),
		connections: make(map[string]int),
	}
}

// Change is what Apply did to one server, for logs.
type Change struct {
	Server Server
	What   string
}

// Apply takes the state of one server from the platform's list and returns
// what changed; an empty text if nothing did.
func (f *Fleet) Apply(server Server, now time.Time) string {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	known := f.members[server.ID]
	if known != nil && known.Address == server.Address && known.Service == server.Service {
		return known.update(server, now)
	}
	if known != nil {
		f.drop(known, now)
	}
	added := &member{Server: server, pool: exchange.NewPool(server.Address, f.settings.Dialer), ratio: 1, ratioAt: now}
	added.zone = f.zone(server.Zone)
	added.warmUntil = now.Add(server.WarmUp)
	if server.Draining {
		added.leave(now)
	}
	f.members[server.ID] = added
	f.services[server.Service] = append(f.services[server.Service], added)
	return "added"
}

// Remove takes a server that left the platform's list and reports whether it
// was known.
func (f *Fleet) Remove(id string, now time.Time) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	known := f.members[id]
	if known == nil {
		return false
	}
	f.drop(known, now)
	return true
}

// drop forgets a server except as a last resort of its service. The mutex is
// held.
func (f *Fleet) drop(known *member, now time.Time) {
	known.leave(now)
	delete(f.members, known.ID)
}

// Sweep closes connections that rested for too long and forgets servers that
// left a while ago. It is called every second or so.
func (f *Fleet) Sweep(now time.Time) {
	f.mutex.Lock()
	var pools, closing []*exchange.Pool
	for name, members := range f.services {
		kept := members[:0]
		for _, each := range members {
			if f.forgets(each, now) {
				closing = append(closing, each.pool)
				continue
			}
			kept = append(kept, each)
			pools = append(pools, each.pool)
		}
		clear(members[len(kept):])
		f.services[name] = kept
		if len(kept) == 0 {
			delete(f.services, name)
		}
	}
	f.mutex.Unlock()
	for _, pool := range closing {
		pool.Close()
	}
	for _, pool := range pools {
		pool.CloseExpired(now)
	}
}

// forgets reports whether a server is gone for good. The mutex is held.
func (f *Fleet) forgets(each *member, now time.Time) bool {
	_, listed := f.members[each.ID]
	listed = listed && f.members[each.ID] == each
	return !listed && len(each.active) == 0 && now.Sub(each.leftAt) > f.settings.LeaveWithin
}

// SetConnections takes how many connections each server of a service accepts.
func (f *Fleet) SetConnections(connections map[string]int) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.connections = connections
}

// Callers counts the nodes that share the servers, this node among them.
type Callers struct {
	Total  int
	ByZone map[string]int
}

// SetCallers takes the nodes that share the servers; the caller does not change
// the map afterwards.
func (f *Fleet) SetCallers(callers Callers) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.callers = callers
}

// Len returns the number of listed servers.
func (f *Fleet) Len() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return len(f.members)
}

// zone returns the times of a zone. The mutex is held.
func (f *Fleet) zone(name string) *zoneTimes {
	times := f.zones[name]
	if times == nil {
		times = assumedTimes(f.settings.Local, name, f.settings.Regions[name])
		f.zones[name] = times
	}
	return times
}

func (m *member) update(server Server, now time.Time) string {
	wasDraining := !m.leftAt.IsZero()
	m.Slots, m.Zone = server.Slots, server.Zone
	m.Draining = server.Draining
	switch {
	case server.Draining && !wasDraining:
		m.leave(now)
		return "draining"
	case !server.Draining && wasDraining:
		m.leftAt = time.Time{}
		return "returned"
	}
	return ""
}
