package fleet

import (
	"time"

	"github.com/bramblemast/bramblemast/pkg/exchange"
)

// Constants of idle connections. A server still counts the connections of nodes
// that have lost their power, while the same nodes come back and open new ones:
// what is idle at all nodes together must leave room for that.
const (
	// sameZoneIdleShare and otherZoneIdleShare are the parts of a server's connections that
	// the nodes of its zone and all other nodes keep idle. Nodes nearby use theirs
	// all the time; the others are for hedges, and for when a server nearby is
	// lost. With 0.3 and 0.5, the shares in use, servers turned 2,900 and 4,100
	// connections away after a loss of power, with these 26 to 55 (two and three runs).
	sameZoneIdleShare  = 0.3
	otherZoneIdleShare = 0.25
	// maxIdleShare is the part of a server's connections that may be idle where
	// there are more nodes than connections to keep one for each.
	maxIdleShare = 0.5
)

// scarceIdle is for how long connections are kept where that is less than one
// for each node: the few that are used regularly are kept, those of a hedge or
// two are not.
var scarceIdle = exchange.IdleBound{First: time.Second, Again: 2500 * time.Millisecond}

// idleBound returns which connections to a server are kept idle. Where each node
// may keep one, they are kept for as long as servers allow. Where there are more
// nodes than that, only what is used again soon is kept. The mutex is held.
func (f *Fleet) idleBound(server *member) exchange.IdleBound {
	connections := float64(f.connections[server.Service])
	if connections <= 0 {
		return exchange.LongestIdle
	}
	if f.areConnectionsScarce(connections) {
		return scarceIdle
	}
	share, sharers := otherZoneIdleShare, f.callers.Total-f.callers.ByZone[server.Zone]
	if server.Zone == f.settings.Local.Zone {
		share, sharers = sameZoneIdleShare, f.callers.ByZone[server.Zone]
	}
	bound := exchange.LongestIdle
	bound.Most = max(1, int(share*connections/float64(max(1, sharers))))
	return bound
}

// crowds reports whether there are more nodes than a server with so many
// connections can keep one for. The mutex is held.
func (f *Fleet) areConnectionsScarce(connections float64) bool {
	return connections > 0 && maxIdleShare*connections < float64(f.callers.Total)
}

// DropIdle closes all idle connections.
func (f *Fleet) DropIdle() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, each := range f.members {
		each.pool.DropIdle()
	}
}

// updateIdleBounds gives all pools their bounds, which depend on the nodes and on the
// connections of the service. The mutex is held.
func (f *Fleet) updateIdleBounds() {
	for _, members := range f.services {
		for _, each := range members {
			each.pool.SetIdle(f.idleBound(each))
		}
	}
}
