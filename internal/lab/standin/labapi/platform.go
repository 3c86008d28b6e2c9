package labapi

import "github.com/bramblemast/bramblemast/pkg/target"

// OutageMode is how the configuration store is away.
type OutageMode string

// The outage modes.
const (
	// OutageNone is no outage.
	OutageNone OutageMode = ""
	// OutageRefuse closes every connection without a reply.
	OutageRefuse OutageMode = "refuse"
	// OutageError answers 500 as the store does without a leader.
	OutageError OutageMode = "error"
	// OutageHang takes requests and does nothing; their connections are cut
	// when the outage ends.
	OutageHang OutageMode = "hang"
)

// StoreFaults are the faults of the configuration store. The zero value is a
// healthy, unlimited store.
type StoreFaults struct {
	Outage OutageMode `json:"outage,omitempty"`
	// LatencyMS is added to every request.
	LatencyMS int64 `json:"latency_ms,omitempty"`
	// LoseReplies is the number of next writes that commit and whose reply is
	// lost.
	LoseReplies int `json:"lose_replies,omitempty"`
	// Rate limits the requests a second, with Burst; no limit if zero.
	Rate  float64 `json:"rate,omitempty"`
	Burst int     `json:"burst,omitempty"`
}

// StoreStats counts the requests of the configuration store.
type StoreStats struct {
	Index    uint64 `json:"index"`
	Reads    uint64 `json:"reads"`
	Blocking uint64 `json:"blocking"`
	Writes   uint64 `json:"writes"`
	Sessions uint64 `json:"sessions"`
	Limited  uint64 `json:"limited"`
	Lost     uint64 `json:"lost"`
}

// RollbackRequest brings the configuration store back to an older state.
type RollbackRequest struct {
	// Index is the index of the state to go back to.
	Index uint64 `json:"index"`
}

// MachineState is what the machine list says of a machine.
type MachineState string

// The states of a machine.
const (
	MachineLive    MachineState = "live"
	MachineLeaving MachineState = "leaving"
	// MachineMissing machines are not in the list.
	MachineMissing MachineState = "missing"
)

// Roles of a machine in the list.
const (
	RoleBackend = "backend"
	RoleNode    = "node"
)

// Machine is one entry of the machine list.
type Machine struct {
	// Address is the host:port of the machine's main listener.
	Address string         `json:"address"`
	Role    string         `json:"role"`
	Zone    target.Zone    `json:"zone"`
	Region  target.Region  `json:"region"`
	Service target.Service `json:"service,omitempty"`
	Group   string         `json:"group,omitempty"`
	State   MachineState   `json:"state"`
}

// MachineListFaults are the faults of the machine list.
type MachineListFaults struct {
	// LagMS makes the list show the state as it was that long ago.
	LagMS int64 `json:"lag_ms,omitempty"`
	// Outage answers 503.
	Outage bool `json:"outage,omitempty"`
	// Hang gives no reply until the fault ends.
	Hang bool `json:"hang,omitempty"`
}

// NodeService is the service name under which the machine list holds the nodes
// of the query tier themselves; the address is the one that peers use.
const NodeService target.Service = "bramblemast"
