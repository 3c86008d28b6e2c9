package fleet

import (
	"time"

	"github.com/bramblemast/bramblemast/pkg/exchange"
)

// Constants of idle connections. After a power failure of some nodes a server still counts their
// old connections while the same nodes come back and open new ones. The idle connections of all
// nodes together must leave capacity for that.
const (
	// sameZoneIdleShare and otherZoneIdleShare are the parts of a server's connections that the
	// nodes of its own zone and all other nodes may keep idle, respectively. Nodes of the same zone
	// use theirs all the time; the others are for hedges and for the loss of a nearby server. With
	// 0.3 and 0.5, the shares that apply to connections in use, servers rejected 2,900 and 4,100
	// connections after a power failure; with these shares 26 to 55 (two and three runs).
	sameZoneIdleShare  = 0.3
	otherZoneIdleShare = 0.25
	// maxIdleShare is the part of a server's connections that may be idle where there are too many
	// nodes for each to keep one.
	maxIdleShare = 0.5
)

// scarceIdle is the idle bound where not every node can keep a connection: connections in regular
// use are kept, those of one or two hedges are not.
var scarceIdle = exchange.IdleBound{AfterFirstUse: time.Second, AfterReuse: 2500 * time.Millisecond}

// idleBound returns how many connections to a server are kept idle, and for how long. Where each
// node can keep one, they are kept for as long as servers allow. Where there are too many nodes for
// that, only connections that are used again soon are kept. The mutex is held.
func (f *Fleet) idleBound(server *member) exchange.IdleBound {
	connections := float64(f.connections[server.Service])
	if connections <= 0 {
		return exchange.DefaultIdleBound
	}
	if f.areConnectionsScarce(connections) {
		return scarceIdle
	}
	share, sharers := otherZoneIdleShare, f.callers.Total-f.callers.ByZone[server.Zone]
	if server.Zone == f.settings.Local.Zone {
		share, sharers = sameZoneIdleShare, f.callers.ByZone[server.Zone]
	}
	bound := exchange.DefaultIdleBound
	bound.MaxConnections = max(1, int(share*connections/float64(max(1, sharers))))
	return bound
}

// areConnectionsScarce reports whether a server with this many connections has too few for each
// node to keep one idle. The mutex is held.
func (f *Fleet) areConnectionsScarce(connections float64) bool {
	return connections > 0 && maxIdleShare*connections < float64(f.callers.Total)
}

// DropIdle closes all idle connections to all servers.
func (f *Fleet) DropIdle() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, each := range f.members {
		each.pool.DropIdle()
	}
}

// updateIdleBounds sets the idle bounds of all pools, which depend on the nodes and on the
// connections of each service. The mutex is held.
func (f *Fleet) updateIdleBounds() {
	for _, members := range f.services {
		for _, each := range members {
			each.pool.SetIdle(f.idleBound(each))
		}
	}
}
