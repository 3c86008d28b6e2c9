package edge

import (
	"github.com/bramblemast/bramblemast/pkg/directory"
	"github.com/bramblemast/bramblemast/pkg/exchange"
	"github.com/bramblemast/bramblemast/pkg/fleet"
	"github.com/bramblemast/bramblemast/pkg/peer"
	"github.com/bramblemast/bramblemast/pkg/quarantine"
)

// suspectEvents logs which requests are kept from servers, and why. It implements
// quarantine.Events.
type suspectEvents struct {
	node *Node
	// recorder limits the rate of lines: a crash makes each request in flight at the server a suspect.
	recorder *requestRecorder
}

// StateChanged implements quarantine.Events.
func (e suspectEvents) StateChanged(fingerprint exchange.Fingerprint, current quarantine.State, servers []fleet.Incarnation) {
	e.node.metrics.suspectStates.WithLabelValues(current.String()).Inc()
	if !e.recorder.mayWrite() {
		return
	}
	names := make([]string, 0, len(servers))
	for _, server := range servers {
		names = append(names, server.String())
	}
	list := []any{"fingerprint", fingerprint.String(), "servers_ended", names}
	if current == quarantine.Clear {
		e.node.logger.Info("request cleared", list...)
		return
	}
	e.node.logger.Warn("request "+current.String(), list...)
}

// LedgerFailed implements quarantine.Events.
func (e suspectEvents) LedgerFailed(call string, err error) {
	if !e.recorder.mayWrite() {
		return
	}
	e.node.logger.Warn("notes on suspect requests not stored", "call", call, "error", err.Error())
}

// openGossiper lets nodes exchange notes on suspect requests directly, not only through the store.
func (n *Node) openGossiper() {
	n.gossiper = quarantine.NewGossiper(n.quarantine, n.transport)
	n.state.gossiper = n.gossiper
	n.metrics.counter("suspect_notes_told_total", "Notes on requests under which servers ended that were told to other nodes.", func() uint64 {
		sent, _ := n.gossiper.Counts()
		return sent
	})
	n.metrics.counter("suspect_notes_heard_total", "Notes on requests under which servers ended that other nodes told first.", func() uint64 {
		_, received := n.gossiper.Counts()
		return received
	})
	n.metrics.counter("suspect_notes_refused_total", "Times that a note for other nodes found no room to wait: ends are told later, the rest by the store.", n.gossiper.Refused)
}

// peerAddresses returns the peer addresses of nodes.
func peerAddresses(nodes []directory.Node) []peer.Address {
	addresses := make([]peer.Address, 0, len(nodes))
	for _, node := range nodes {
		addresses = append(addresses, peer.Address(node.PeerAddress))
	}
	return addresses
}
