package fleet

import (
	"time"

	"github.com/bramblemast/bramblemast/pkg/exchange"
)

// Constants of resting connections.
const (
	// restShare is the part of a server's connections that those which rest may
	// take, over all nodes. The others stay free: a server still counts the
	// connections of nodes that have lost their power, while the same nodes come
	// back and open new ones.
	restShare = 0.5
	// scarceRest times the part of a connection that each node may keep is how
	// long a connection rests where that is less than one.
	scarceRest = 2 * time.Second
	// leastRest is the least bound of a rest.
	leastRest = time.Second
)

// restBound returns for how long connections to the servers of a service rest.
// Where each node may keep one, a rest is as long as servers allow. Where there
// are more nodes than that, only what is used again soon rests. The mutex is
// held.
func (f *Fleet) restBound(service string) time.Duration {
	connections := f.connections[service]
	if connections <= 0 {
		return exchange.GreatestRest
	}
	share := restShare * float64(connections) / float64(max(1, f.callers.Total))
	if share >= 1 {
		return exchange.GreatestRest
	}
	return max(leastRest, time.Duration(share*float64(scarceRest)))
}

// boundRests gives all pools the bound of their service. The mutex is held.
func (f *Fleet) boundRests() {
	for service, members := range f.services {
		bound := f.restBound(service)
		for _, each := range members {
			each.pool.SetRest(bound)
		}
	}
}
