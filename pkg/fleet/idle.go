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
)

// scarceRests are for how long connections rest where that is less than one for
// each node: the few that are used regularly are kept, those of a hedge or two
// are not.
var scarceRests = exchange.RestBound{First: time.Second, Again: 2500 * time.Millisecond}

// restBound returns for how long connections to the servers of a service rest.
// Where each node may keep one, a rest is as long as servers allow. Where there
// are more nodes than that, only what is used again soon rests. The mutex is
// held.
func (f *Fleet) restBound(service string) exchange.RestBound {
	connections := f.connections[service]
	if connections <= 0 || restShare*float64(connections) >= float64(f.callers.Total) {
		return exchange.LongestRests
	}
	return scarceRests
}

// boundRests gives all pools the bound of their service where it has changed. The
// mutex is held.
func (f *Fleet) boundRests() {
	for service, members := range f.services {
		bound := f.restBound(service)
		if f.rests[service] == bound {
			continue
		}
		f.rests[service] = bound
		for _, each := range members {
			each.pool.SetRest(bound)
		}
	}
}
