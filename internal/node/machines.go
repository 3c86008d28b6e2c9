package node

import (
	"github.com/bramblemast/bramblemast/pkg/machinelist"
	"github.com/bramblemast/bramblemast/pkg/target"
)

// machineListKind is the kind of broadcast that carries changes of the machine
// list.
const machineListKind = "machinelist.delta"

// buildMachines sets up the reading of the machine list, by turns with the other
// nodes of the zone.
func (n *Node) buildMachines() {
	n.machines = machinelist.NewPoller(machinelist.PollerOptions{
		Fetcher: machinelist.NewClient(machinelist.ClientOptions{
			URL:  n.settings.MachineList.URL,
			HTTP: n.platformClient(),
		}),
		Interval: n.settings.MachineList.Interval,
		Turns: &machinelist.Turns{
			Self:      n.id,
			Living:    n.zoneMembers,
			Broadcast: func(message []byte) error { return n.members.Broadcast(machineListKind, message) },
		},
		OnList:  n.takeMachines,
		OnDelta: n.takeMachineDelta,
		Logger:  n.logger.Named("machinelist"),
	})
	n.members.HandleBroadcast(machineListKind, n.receiveMachines)
}

// receiveMachines takes what another node of the zone read.
func (n *Node) receiveMachines(from target.NodeID, message []byte) {
	if err := n.machines.Receive(message); err != nil {
		n.logger.Warn("change of the machine list can't be read", "peer", string(from), "error", err)
	}
}

// takeMachines gives the catalog the back ends of the machine list. The nodes
// of the query tier are in the same list, as seeds; they are no back ends.
func (n *Node) takeMachines(list machinelist.List) {
	backends := make(machinelist.List, 0, len(list))
	for _, entry := range list {
		if entry.Service != nodeService {
			backends = append(backends, entry)
		}
	}
	n.catalog.ReplaceMachines(backends)
}

// takeMachineDelta gives the catalog what changed of the back ends.
func (n *Node) takeMachineDelta(delta machinelist.Delta) {
	changed := make(machinelist.List, 0, len(delta.Changed))
	removed := append([]target.ServerID(nil), delta.Removed...)
	for _, entry := range delta.Changed {
		if entry.Service == nodeService {
			removed = append(removed, entry.Server)
			continue
		}
		changed = append(changed, entry)
	}
	n.catalog.ApplyMachines(changed, removed)
}
