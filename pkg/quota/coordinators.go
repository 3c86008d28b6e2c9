package quota

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bramblemast/bramblemast/pkg/peer"
	"github.com/bramblemast/bramblemast/pkg/rendezvous"
)

// Number and choice of the coordinators of a deployment, and how long node lists may differ.
const (
	// minCoordinators is the minimum number of nodes that coordinate limits.
	minCoordinators = 4
	// rankedCoordinators is the number of coordinators of the whole deployment that a node uses for
	// one tenant. The next one is a coordinator of its own zone, so that a zone that is cut off
	// shares its part of the limit.
	rankedCoordinators = 2
	// zoneCoordinatorCount is the number of nodes of a zone that coordinate limits within it.
	zoneCoordinatorCount = 4
	// coordinatorsKey is the rendezvous key that ranks the coordinators.
	coordinatorsKey = "quota"
	// assumedNodes is the number of nodes assumed until the node list is known. It is large, so
	// that the node's equal part of a limit is small until then.
	assumedNodes = 100
	// departedSpan is how long a node that has left the node list counts as cut off and not as
	// stopped. A node that is cut off leaves the list some seconds later and may still admit
	// requests by its entitlement. If its process has stopped, its part of the limits is unused for
	// departedSpan.
	departedSpan = 20 * time.Second
	// listFillSpan is how long after its start a process that was not in the node list before
	// regards node lists as incomplete, as after a power loss in which the entries of all nodes
	// expired.
	listFillSpan = 10 * time.Second
	// coordinatorSettleSpan is how long, within listFillSpan, the set of coordinators must be
	// unchanged before it is relied on. Until then several nodes may regard themselves as the first
	// coordinator of a tenant.
	coordinatorSettleSpan = 2 * time.Second
)

// Node is one node of the deployment.
type Node struct {
	Name    string
	Zone    string
	Address peer.Address
}

// SetNodes sets the nodes of the deployment, including this one. Nodes without an address are left
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
	previous := l.addresses
	l.addresses = addresses
	slices.Sort(names)
	l.rank = max(0, slices.Index(names, l.options.Local))
	l.chooseCoordinators(names, inZone, now)
	l.recordDeparted(previous, addresses, now)
	l.openLinks(now)
	for tenant, entry := range l.meters {
		entry.meter.SetNodes(l.nodeCount())
		entry.meter.SetRoundingOffset(l.roundingOffset(tenant))
		entry.ranked = l.ranked(tenant)
		entry.meter.SetMode(l.mode(entry.ranked), now)
	}
	l.requestReport()
}

// chooseCoordinators ranks the coordinators of the deployment and those of this node's zone. The
// caller holds the mutex.
func (l *Limiter) chooseCoordinators(names, inZone []string, now time.Time) {
	current := l.coordinators.Top(coordinatorsKey, l.coordinators.Len())
	chosen := rendezvous.Top(coordinatorsKey, names, coordinatorCount(len(names)))
	if !slices.Equal(current, chosen) {
		l.coordinators, l.coordinatorsSince, l.isCoordinator = rendezvous.NewSet(chosen), now, make(map[string]bool, len(chosen))
		for _, name := range chosen {
			l.isCoordinator[name] = true
		}
	}
	l.zoneCoordinators = rendezvous.NewSet(rendezvous.Top(coordinatorsKey, inZone, zoneCoordinatorCount))
}

// recordDeparted compares the node list with the previous one. A node that has left the list may be
// cut off and still admit requests by its entitlement, so it counts as silent for departedSpan. A
// node that is listed again counts as silent until it reports or answers. The caller holds the
// mutex.
func (l *Limiter) recordDeparted(before, after map[string]peer.Address, now time.Time) {
	for name := range before {
		if after[name] == "" && name != l.options.Local {
			delete(l.relisted, name)
			l.silent[name] = true
			l.departed[name] = now.Add(departedSpan)
		}
	}
	for name := range after {
		if _, hasReturned := l.departed[name]; hasReturned {
			delete(l.departed, name)
			l.relisted[name] = now.Add(departedSpan)
		}
	}
}

// forgetDeparted removes nodes that left the list more than departedSpan ago. A node that coordinates
// nothing also forgets that listed nodes were silent: they neither report to it nor receive verdicts
// from it, so nothing else would show that they are back. The caller holds the mutex.
func (l *Limiter) forgetDeparted(now time.Time) {
	for name, until := range l.departed {
		if now.After(until) {
			delete(l.departed, name)
			delete(l.silent, name)
		}
	}
	for name, until := range l.relisted {
		if now.After(until) && !l.coordinates(l.options.Local) {
			delete(l.relisted, name)
			delete(l.silent, name)
		}
	}
}

// isSettling reports whether other nodes may have a different node list. The caller holds the
// mutex.
func (l *Limiter) isSettling(now time.Time) bool {
	return now.Sub(l.startedAt) < listFillSpan && now.Sub(l.coordinatorsSince) < coordinatorSettleSpan && l.options.WasListed != nil && !l.options.WasListed()
}

// coordinatorCount returns how many of the given number of nodes coordinate limits. It grows with
// the square root of that number, so that each node has few connections to coordinators and a
// coordinator has few to the others.
func coordinatorCount(nodes int) int {
	count := minCoordinators
	for count*count < nodes {
		count++
	}
	return min(nodes, count)
}

// ranked returns the coordinators of a tenant for this node, best first. The caller holds the
// mutex.
func (l *Limiter) ranked(tenant string) []string {
	names := l.coordinators.Top(tenant, rankedCoordinators)
	for _, name := range l.zoneCoordinators.Top(tenant, 1) {
		if !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	return names
}

// roundingOffset returns this node's offset for a tenant (see Meter.SetRoundingOffset), from 0 to
// below 1. Multiples of the golden ratio, taken by rank, spread any number of nodes evenly;
// starting at a hash of the tenant's name prevents one node from being preferred for all tenants.
// The caller holds the mutex.
func (l *Limiter) roundingOffset(tenant string) float64 {
	start := float64(xxhash.Sum64String(tenant)>>11) / (1 << 53)
	_, offset := math.Modf(start + float64(l.rank)/math.Phi)
	return offset
}

// nodeCount returns the number of nodes, or assumedNodes while it is unknown. The caller holds the
// mutex.
func (l *Limiter) nodeCount() int {
	if len(l.addresses) == 0 {
		return assumedNodes
	}
	return len(l.addresses)
}
