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

// Place is where a node runs.
type Place struct {
	Zone   string
	Region string
}

// Settings of a Fleet.
type Settings struct {
	// Node is the name of this node, as in Callers.Names.
	Node  string
	Local Place
	// Regions maps each zone to its region.
	Regions map[string]string
	// LeaveGrace is how long after a server was known to leave it may still be
	// asked if its service has no other.
	LeaveGrace time.Duration
	// WarmUpBounds bound the requests to cold servers; see SetWarmUpBounds.
	WarmUpBounds WarmUpBounds
	Dialer       exchange.Dialer
	// Random is not shared with other users.
	Random *rand.Rand
}

// Fleet is the set of servers that a node knows.
type Fleet struct {
	settings Settings

	mutex sync.Mutex
	// The fields below are guarded by mutex.
	// leaveGrace and warmUpBounds are those of the settings until others are set.
	leaveGrace   time.Duration
	warmUpBounds WarmUpBounds
	members      map[string]*member
	services     map[string][]*member
	zones        map[string]*zoneTimes
	profiles     map[string]*Profile
	// periods are those in which servers pause.
	sharedPeriod rhythm.SharedPeriod
	// callers are the nodes that share the servers' connections.
	callers Callers
	// connections is the greatest number of connections of a server, by service.
	connections map[string]int
	// warmUps are what cold servers bear, by service, and callersGeneration changes with
	// them and with callers.
	warmUps           map[string]WarmUp
	callersGeneration uint64
	// startRequired has the ids whose server had told its start when an entry of theirs was refused:
	// an entry without a start is not taken for the server's, also once the server is forgotten.
	startRequired map[string]bool
	// evacuations are the zones to whose servers nothing is to be sent.
	evacuations map[string]evacuation
	// waiters are the sub-requests for which no server was free, by service.
	waiters map[string][]*Waiter
	// absences are the loads that have found no server lately.
	absences map[loadshed.Key]absence
	// generation changes with the servers that are listed and their zones.
	generation uint64
}

// New returns an empty fleet.
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

// Apply takes the state of one server from the platform's list and returns what changed. The
// order of the calls is that of the list: a server whose start differs from the known one has
// started again, whichever of the two is the later moment.
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

// add takes a server that was not known. The mutex is held.
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

// update takes the new state of a known server. The mutex is held.
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

// Remove takes a server that left the platform's list and reports whether it was listed. Until
// the moment unconfirmedUntil the list itself is not confirmed, and the server is asked as before as
// long as it answers.
func (f *Fleet) Remove(id string, unconfirmedUntil, now time.Time) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	delete(f.startRequired, id)
	known := f.members[id]
	return known != nil && f.unlist(known, unconfirmedUntil, now)
}

// unlist notes that the platform's list names a server no longer, and reports whether it did.
// The mutex is held.
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

// Sweep closes connections that were idle for too long and forgets servers that
// left a while ago. It is called every second or so.
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

// forgets reports whether a server is gone for good. The mutex is held.
func (f *Fleet) forgetIfGone(server *member, now time.Time) bool {
	if server.listed || len(server.active) > 0 || !server.hasEnded(now) {
		return false
	}
	if f.members[server.ID] == server {
		delete(f.members, server.ID)
	}
	return true
}

// SetConnections takes how many connections each server of a service accepts.
func (f *Fleet) SetConnections(connections map[string]int) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.connections = connections
	f.updateIdleBounds()
}

// SetLeaveGrace takes for how long a leaving server may be asked if its service has no other.
func (f *Fleet) SetLeaveGrace(span time.Duration) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.leaveGrace = span
}

// Callers counts the nodes that share the servers, this node among them.
type Callers struct {
	Total  int
	ByZone map[string]int
	// Names are those of all nodes, in any order.
	Names []string
}

// SetCallers takes the nodes that share the servers; the caller does not change
// the map afterwards.
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

// CountPredictedPauses returns the number of listed servers whose next pause is foreseen.
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

// zone returns the times of a zone. The mutex is held.
func (f *Fleet) zone(name string) *zoneTimes {
	times := f.zones[name]
	if times == nil {
		times = assumedTimes(f.settings.Local, name, f.settings.Regions[name])
		f.zones[name] = times
	}
	return times
}
