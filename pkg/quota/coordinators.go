package quota

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bramblemast/bramblemast/pkg/peer"
	"github.com/bramblemast/bramblemast/pkg/rendezvous"
)

// Coordinators of a deployment.
const (
	// leastCoordinators is the least number of nodes that coordinate limits.
	leastCoordinators = 4
	// rankedCoordinators is the number of coordinators of the whole deployment that a node
	// turns to for one tenant. The next is one of its own zone, so that a zone that is cut off
	// holds its part of the limit together.
	rankedCoordinators = 2
	// zoneCoordinatorCount is the number of nodes of a zone that coordinate limits within it.
	zoneCoordinatorCount = 4
	// coordinatorsKey is what the coordinators are ranked by.
	coordinatorsKey = "quota"
	// assumedNodes stands for the number of nodes until they are known. A node's equal part of a
	// limit is small then.
	assumedNodes = 100
	// goneSpan is for how long a node that has left the list counts as cut off rather than
	// ended. Lists lose a node that is cut off some seconds later, and it may go on at its
	// entitlement; for a node that has ended, that part of limits lies unused as long.
	goneSpan = 20 * time.Second
	// listSpan is the time from the start of a process that was in no list before in which nodes still hear of
	// each other, as when the entries of all lapsed while there was no power.
	listSpan = 10 * time.Second
	// settleSpan is for how long the coordinators must have been the same in it: before that, several nodes may take
	// themselves for the first coordinator of a tenant.
	settleSpan = 2 * time.Second
)

// Node is one node of the deployment.
type Node struct {
	Name    string
	Zone    string
	Address peer.Address
}

// SetNodes takes the nodes of the deployment, this one included.
func (l *Limiter) SetNodes(nodes []Node) {
	now := time.Now()
	names, near := make([]string, 0, len(nodes)), make([]string, 0, len(nodes))
	addresses := make(map[string]peer.Address, len(nodes))
	for _, node := range nodes {
		if node.Address != "" {
			names = append(names, node.Name)
			addresses[node.Name] = node.Address
			if node.Zone == l.options.Zone {
				near = append(near, node.Name)
			}
		}
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	before := l.addresses
	l.addresses = addresses
	slices.Sort(names)
	l.rank = max(0, slices.Index(names, l.options.Local))
	known := l.coordinators.Top(coordinatorsKey, l.coordinators.Len())
	found := rendezvous.Top(coordinatorsKey, names, coordinatorCount(len(names)))
	if !slices.Equal(known, found) {
		l.coordinators, l.coordinatorsSince, l.isCoordinator = rendezvous.NewSet(found), now, make(map[string]bool, len(found))
		for _, name := range found {
			l.isCoordinator[name] = true
		}
	}
	l.zoneCoordinators = rendezvous.NewSet(rendezvous.Top(coordinatorsKey, near, zoneCoordinatorCount))
	l.noteGone(before, addresses, now)
	l.openLinks(now)
	for tenant, held := range l.meters {
		held.meter.SetNodes(l.nodeCount())
		held.meter.SetPlace(l.place(tenant))
		held.ranked = l.ranked(tenant)
		held.meter.SetStanding(l.standing(held.ranked), now)
	}
	l.requestReport()
}

// noteGone notes which nodes have left the list and which are back. One that left may be cut off
// and go on with its entitlement, so that it counts as silent for a while; one that is back does
// until it has answered. The caller holds the mutex.
func (l *Limiter) noteGone(before, now map[string]peer.Address, at time.Time) {
	for name := range before {
		if now[name] == "" && name != l.options.Local {
			l.silent[name] = true
			l.gone[name] = at.Add(goneSpan)
		}
	}
	for name := range now {
		delete(l.gone, name)
	}
}

// forgetGone forgets nodes that have left the list for long. The caller holds the mutex.
func (l *Limiter) forgetGone(now time.Time) {
	for name, until := range l.gone {
		if now.After(until) {
			delete(l.gone, name)
			delete(l.silent, name)
		}
	}
}

// isSettling reports whether other nodes may have another list of nodes than this one. The caller holds the mutex.
func (l *Limiter) isSettling(now time.Time) bool {
	return now.Sub(l.startedAt) < listSpan && now.Sub(l.coordinatorsSince) < settleSpan && l.options.WasListed != nil && !l.options.WasListed()
}

// coordinatorCount returns how many of some nodes coordinate limits. It grows with the root of
// their number: the connections of each node to coordinators, and those of coordinators, stay
// few.
func coordinatorCount(nodes int) int {
	count := leastCoordinators
	for count*count < nodes {
		count++
	}
	return min(nodes, count)
}

// ranked returns the coordinators of a tenant for this node, best first. The caller holds the
// mutex.
func (l *Limiter) ranked(tenant string) []string {
	found := l.coordinators.Top(tenant, rankedCoordinators)
	for _, name := range l.zoneCoordinators.Top(tenant, 1) {
		if !slices.Contains(found, name) {
			found = append(found, name)
		}
	}
	return found
}

// place returns where this node stands among all for a tenant: multiples of the golden ratio spread
// any number of nodes evenly, and each tenant has the even spread from another beginning, so
// that no node comes first with all of them. The caller holds the mutex.
func (l *Limiter) place(tenant string) float64 {
	begin := float64(xxhash.Sum64String(tenant)>>11) / (1 << 53)
	_, place := math.Modf(begin + float64(l.rank)/math.Phi)
	return place
}

// nodeCount returns the number of nodes. The caller holds the mutex.
func (l *Limiter) nodeCount() int {
	if len(l.addresses) == 0 {
		return assumedNodes
	}
	return len(l.addresses)
}
