package quota

import (
	"slices"
	"time"

	"github.com/bramblemast/bramblemast/pkg/peer"
	"github.com/bramblemast/bramblemast/pkg/rendezvous"
)

// Coordinators of a deployment.
const (
	// leastSeats is the least number of nodes that coordinate limits.
	leastSeats = 4
	// ranks is the number of coordinators of the whole deployment that a node turns to for
	// one tenant. The next is one of its own zone, so that a zone that is cut off holds its
	// part of the limit together.
	ranks = 2
	// zoneSeats is the number of nodes of a zone that coordinate limits within it.
	zoneSeats = 4
	// seatsKey is what the seats are drawn by.
	seatsKey = "quota"
	// assumedNodes stands for the number of nodes until they are known.
	assumedNodes = 100
	// goneSpan is for how long a node that has left the list may be cut off rather than ended:
	// lists lose a node some seconds after it is cut off, and cuts last for ten or more.
	goneSpan = 20 * time.Second
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
	seated := l.seats.Top(seatsKey, l.seats.Len())
	seats := rendezvous.Top(seatsKey, names, seatCount(len(names)))
	if !slices.Equal(seated, seats) {
		l.seats, l.seatedAt, l.seated = rendezvous.NewSet(seats), now, make(map[string]bool, len(seats))
		for _, name := range seats {
			l.seated[name] = true
		}
	}
	l.zoneSeats = rendezvous.NewSet(rendezvous.Top(seatsKey, near, zoneSeats))
	l.noteGone(before, addresses, now)
	l.openLinks(now)
	for tenant, held := range l.meters {
		held.meter.SetNodes(l.nodeCount())
		held.ranked = l.ranked(tenant)
		held.meter.SetStanding(l.standing(held.ranked), now)
	}
	l.stir()
}

// noteGone takes which nodes have left the list and which are back. One that left may be cut off
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

// seatCount returns how many of some nodes coordinate limits. It grows with the root of their
// number: the connections of each node to coordinators, and those of coordinators, stay few.
func seatCount(nodes int) int {
	seats := leastSeats
	for seats*seats < nodes {
		seats++
	}
	return min(nodes, seats)
}

// ranked returns the coordinators of a tenant for this node, best first. The caller holds the
// mutex.
func (l *Limiter) ranked(tenant string) []string {
	found := l.seats.Top(tenant, ranks)
	for _, name := range l.zoneSeats.Top(tenant, 1) {
		if !slices.Contains(found, name) {
			found = append(found, name)
		}
	}
	return found
}

// nodeCount returns the number of nodes. The caller holds the mutex.
func (l *Limiter) nodeCount() int {
	if len(l.addresses) == 0 {
		return assumedNodes
	}
	return len(l.addresses)
}
