package quota

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bramblemast/bramblemast/pkg/peer"
	"github.com/bramblemast/bramblemast/pkg/rendezvous"
)

// Number and choice of the coordinators of a deployment, and how long its lists of nodes may differ.
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
	// assumedNodes stands for the number of nodes until the list of nodes is known. It is large, so
	// that a node's equal part of a limit is small until then.
	assumedNodes = 100
	// goneSpan is for how long a node that has left the list of nodes counts as cut off rather than
	// ended. A node that is cut off leaves the list some seconds later and may still admit requests
	// at its entitlement; if it has ended, its part of limits stays unused for goneSpan.
	goneSpan = 20 * time.Second
	// listSpan is for how long after its start a process that the list did not hold before takes the lists of
	// nodes to be incomplete, as after a loss of power in which the entries of all nodes lapsed.
	listSpan = 10 * time.Second
	// settleSpan is for how long, within listSpan, the coordinators must stay the same before they are relied
	// on: until then several nodes may take themselves for the first coordinator of a tenant.
	settleSpan = 2 * time.Second
)

// Node is one node of the deployment.
type Node struct {
	Name    string
	Zone    string
	Address peer.Address
}

// SetNodes takes the nodes of the deployment, this one included. Nodes without an address are left
// out, since nothing can be sent to them.
func (l *Limiter) SetNodes(nodes []Node) {
	now := time.Now()
	names, inZone := make([]string, 0, len(nodes)), make([]string, 0, len(nodes))
	addresses := make(map[string]peer.Address, len(nodes))
	for _, node := range nodes {
		if node.Address != "" {
			names = append(names, node.Name)
			addresses[node.Name] = node.Address
			if node.Zone == l.options.Zone {
				inZone = append(inZone, node.Name)
			}
		}
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	before := l.addresses
	l.addresses = addresses
	slices.Sort(names)
	l.rank = max(0, slices.Index(names, l.options.Local))
	l.chooseCoordinators(names, inZone, now)
	l.noteGone(before, addresses, now)
	l.openLinks(now)
	for tenant, held := range l.meters {
		held.meter.SetNodes(l.nodeCount())
		held.meter.SetRoundingOffset(l.place(tenant))
		held.ranked = l.ranked(tenant)
		held.meter.SetMode(l.standing(held.ranked), now)
	}
	l.requestReport()
}

// chooseCoordinators ranks the coordinators of the deployment and those of this node's zone. The caller
// holds the mutex.
func (l *Limiter) chooseCoordinators(names, inZone []string, now time.Time) {
	known := l.coordinators.Top(coordinatorsKey, l.coordinators.Len())
	found := rendezvous.Top(coordinatorsKey, names, coordinatorCount(len(names)))
	if !slices.Equal(known, found) {
		l.coordinators, l.coordinatorsSince, l.isCoordinator = rendezvous.NewSet(found), now, make(map[string]bool, len(found))
		for _, name := range found {
			l.isCoordinator[name] = true
		}
	}
	l.zoneCoordinators = rendezvous.NewSet(rendezvous.Top(coordinatorsKey, inZone, zoneCoordinatorCount))
}

// noteGone compares the list of nodes with the one before it. A node that has left it may be cut off
// and still admit requests at its entitlement, so that it counts as silent for goneSpan. One that is
// listed again counts as silent until it reports or answers. The caller holds the mutex.
func (l *Limiter) noteGone(before, after map[string]peer.Address, now time.Time) {
	for name := range before {
		if after[name] == "" && name != l.options.Local {
			l.silent[name] = true
			l.gone[name] = now.Add(goneSpan)
		}
	}
	for name := range after {
		delete(l.gone, name)
	}
}

// forgetGone forgets nodes that left the list more than goneSpan ago. The caller holds the mutex.
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

// coordinatorCount returns how many of a number of nodes coordinate limits. It grows with the square
// root of that number, so that each node has few connections to coordinators, and
// a coordinator few to the others.
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

// place returns this node's place for a tenant (see Meter.SetRoundingOffset), 0 to below 1. Multiples of the golden
// ratio, taken by rank, spread any number of nodes evenly; an offset by the hash of the tenant's name
// keeps one node from being first for all tenants. The caller holds the mutex.
func (l *Limiter) place(tenant string) float64 {
	offset := float64(xxhash.Sum64String(tenant)>>11) / (1 << 53)
	_, place := math.Modf(offset + float64(l.rank)/math.Phi)
	return place
}

// nodeCount returns the number of nodes. The caller holds the mutex.
func (l *Limiter) nodeCount() int {
	if len(l.addresses) == 0 {
		return assumedNodes
	}
	return len(l.addresses)
}
