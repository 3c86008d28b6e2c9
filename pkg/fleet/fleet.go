package fleet

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/bramblemast/bramblemast/pkg/exchange"
	"github.com/bramblemast/bramblemast/pkg/loadshed"
	"github.com/bramblemast/bramblemast/pkg/rhythm"
)

// Place is the location of a node.
type Place struct {
	Zone   string
	Region string
}

// Settings of a Fleet.
type Settings struct {
	// Node is the name of this node as it appears in Callers.Names.
	Node  string
	Local Place
	// Regions maps each zone to its region.
	Regions map[string]string
	// LeaveGrace is for how long a server that is known to leave may still be used if its service
	// has no other.
	LeaveGrace time.Duration
	// WarmUpBounds bounds the requests to cold servers; see SetWarmUpBounds.
	WarmUpBounds WarmUpBounds
	Dialer       exchange.Dialer
	// Random must not be shared with other users.
	Random *rand.Rand
}

// Fleet is the set of servers that a node knows. It is safe for concurrent use.
type Fleet struct {
	settings Settings

	mutex sync.Mutex
	// The fields below are guarded by mutex.
	//
	// leaveGrace and warmUpBounds have the values of the settings until others are set.
	leaveGrace   time.Duration
	warmUpBounds WarmUpBounds
	members      map[string]*member
	services     map[string][]*member
	zones        map[string]*zoneTimes
	profiles     map[string]*Profile
	// sharedPeriod is the period of the pauses that servers have in common.
	sharedPeriod rhythm.SharedPeriod
	// callers are the nodes that share the servers' connections.
	callers Callers
	// connections is the maximum number of connections of each server, by service.
	connections map[string]int
	// warmUps is what cold servers can take, by service. callersGeneration changes with warmUps,
	// warmUpBounds and callers.
	warmUps           map[string]WarmUp
	callersGeneration uint64
	// startRequired holds the ids whose server had given a start time when one of its entries was
	// rejected. An entry without a start is then not accepted as the server's own, even after the
	// server has been forgotten.
	startRequired map[string]bool
	// evacuations are the zones under evacuation, to whose servers no requests are to be sent.
	evacuations map[string]evacuation
	// waiters are the sub-requests that wait for a free server, by service.
	waiters map[string][]*Waiter
	// absences are the loads that have recently found no server.
	absences map[loadshed.Key]absence
	// generation changes whenever the result of ServingZones may have changed.
	generation uint64
}

// New returns a fleet without servers.
func New(settings Settings) *Fleet {
	return &Fleet{
		settings:   settings,
		leaveGrace: settings.LeaveGrace, warmUpBounds: settings.WarmUpBounds,
		members:       make(map[string]*member),
		services:      make(map[string][]*member),
		zones:         make(map[string]*zoneTimes),
		profiles:      make(map[string]*Profile),
		connections:   make(map[string]int),
		waiters:       make(map[string][]*Waiter),
		evacuations:   make(map[string]evacuation),
		startRequired: make(map[string]bool),
		absences:      make(map[loadshed.Key]absence),
	}
}

// Apply takes the state of one server from the platform's list and returns what changed. The calls
// must be in the order of the list: a server whose start differs from the known one has restarted,
// whichever of the two times is later.
func (f *Fleet) Apply(server Server, now time.Time) Change {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	known := f.members[server.ID]
	switch {
	case known == nil && server.Start == 0 && f.startRequired[server.ID]:
		return Change{Kind: StillInvalid}
	case known == nil:
		f.add(server, now)
		return Change{Kind: Added}
	case server.Start == 0 && known.Start != 0:
		return f.unlistInvalid(known, now)
	case known.Address != server.Address || known.Service != server.Service || known.Start != server.Start:
		return f.replace(known, server, now)
	}
	return Change{Kind: f.update(known, server, now)}
}

// add adds a server that was not known. The mutex is held.
func (f *Fleet) add(server Server, now time.Time) {
	added := &member{
		Server: server, pool: exchange.NewPool(server.Address, f.settings.Dialer), ratio: 1, ratioAt: now, listed: true,
		adaptiveLimit: math.MaxInt32,
	}
	added.pool.SetIdle(f.idleBound(added))
	added.zone = f.zone(server.Zone)
	added.markCold(now.Add(server.WarmUp))
	if server.Draining {
		added.scheduleLeave(now, now.Add(f.leaveGrace))
	}
	f.generation++
	f.members[server.ID] = added
	f.services[server.Service] = append(f.services[server.Service], added)
}

// update applies the new state of a known server. The mutex is held.
func (f *Fleet) update(known *member, server Server, now time.Time) ChangeKind {
	wasListed, wasDraining := known.listed, known.Draining
	known.Server, known.listed = server, true
	known.markCold(now.Add(server.WarmUp))
	switch {
	case server.Draining && !wasDraining:
		f.generation++
		known.scheduleLeave(now, now.Add(f.leaveGrace))
		return Draining
	case !server.Draining && (wasDraining || !wasListed):
		f.generation++
		known.cancelLeave()
		return Returned
	}
	return Unchanged
}

// Remove handles a server that has disappeared from the platform's list and reports whether it was
// listed. Until unconfirmedUntil the list itself is not confirmed, and the server is used as before
// for as long as it answers.
func (f *Fleet) Remove(id string, unconfirmedUntil, now time.Time) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	delete(f.startRequired, id)
	known := f.members[id]
	return known != nil && f.unlist(known, unconfirmedUntil, now)
}

// unlist marks a server as no longer listed by the platform and reports whether it was listed
// before. The mutex is held.
func (f *Fleet) unlist(known *member, unconfirmedUntil, now time.Time) bool {
	if !known.listed {
		return false
	}
	known.listed = false
	f.generation++
	if unconfirmedUntil.After(now) {
		known.scheduleLeave(unconfirmedUntil, unconfirmedUntil)
		return true
	}
	known.scheduleLeave(now, now.Add(f.leaveGrace))
	return true
}

// Sweep closes connections that have been idle for too long and forgets servers that have ended and
// have no requests in flight. It is meant to be called about once a second.
func (f *Fleet) Sweep(now time.Time) {
	f.mutex.Lock()
	var pools, closing []*exchange.Pool
	for name, members := range f.services {
		kept := members[:0]
		for _, each := range members {
			if f.forgetIfGone(each, now) {
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
			f.forgetAbsences(name)
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

// forgetIfGone removes a server from the members if it is no longer listed, has ended and has no
// requests in flight. It reports whether it was removed. The mutex is held.
func (f *Fleet) forgetIfGone(server *member, now time.Time) bool {
	if server.listed || len(server.active) > 0 || !server.hasEnded(now) {
		return false
	}
	if f.members[server.ID] == server {
		delete(f.members, server.ID)
	}
	return true
}

// SetConnections sets how many connections each server of a service accepts. The caller must not
// change the map afterwards.
func (f *Fleet) SetConnections(connections map[string]int) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.connections = connections
	f.updateIdleBounds()
}

// SetLeaveGrace sets for how long a leaving server may be used if its service has no other.
func (f *Fleet) SetLeaveGrace(span time.Duration) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.leaveGrace = span
}

// Callers are the nodes that share the servers, including this node.
type Callers struct {
	Total  int
	ByZone map[string]int
	// Names are the names of all nodes, in any order.
	Names []string
}

// SetCallers sets the nodes that share the servers. The caller must not change the map or the names
// afterwards.
func (f *Fleet) SetCallers(callers Callers) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.callers = callers
	f.callersGeneration++
	f.updateIdleBounds()
}

// Len returns the number of listed servers.
func (f *Fleet) Len() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	count := 0
	for _, each := range f.members {
		if each.listed {
			count++
		}
	}
	return count
}

// CountPredictedPauses returns the number of listed servers whose next pause is predicted.
func (f *Fleet) CountPredictedPauses(now time.Time) int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	count := 0
	for _, each := range f.members {
		if each.listed && each.rhythm.PredictsPause(now, &f.sharedPeriod) {
			count++
		}
	}
	return count
}

// zone returns the network times of a zone; assumed ones if the zone is new. The mutex is held.
func (f *Fleet) zone(name string) *zoneTimes {
	times := f.zones[name]
	if times == nil {
		times = assumedTimes(f.settings.Local, name, f.settings.Regions[name])
		f.zones[name] = times
	}
	return times
}
