package backend

import (
	"sync/atomic"

	"github.com/bramblemast/bramblemast/internal/lab/standin/labapi"
)

// counters are the live form of labapi.Counters.
type counters struct {
	received           atomic.Uint64
	executed           atomic.Uint64
	completed          atomic.Uint64
	aborted            atomic.Uint64
	refused            atomic.Uint64
	shed               atomic.Uint64
	connections        atomic.Uint64
	connectionsRefused atomic.Uint64
	probes             atomic.Uint64
}

func (c *counters) snapshot() labapi.Counters {
	return labapi.Counters{
		Received:           c.received.Load(),
		Executed:           c.executed.Load(),
		Completed:          c.completed.Load(),
		Aborted:            c.aborted.Load(),
		Refused:            c.refused.Load(),
		Shed:               c.shed.Load(),
		Connections:        c.connections.Load(),
		ConnectionsRefused: c.connectionsRefused.Load(),
		Probes:             c.probes.Load(),
	}
}
