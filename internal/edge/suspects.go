package edge

import (
	"github.com/bramblemast/bramblemast/pkg/exchange"
	"github.com/bramblemast/bramblemast/pkg/fleet"
	"github.com/bramblemast/bramblemast/pkg/quarantine"
)

// suspectEvents tells in the log which requests are kept from servers, and why. It
// implements quarantine.Events.
type suspectEvents struct {
	node *Node
	// recorder bounds the lines: one crash leaves as many suspects as it had requests.
	recorder *events
}

// Standing implements quarantine.Events.
func (e suspectEvents) Standing(fingerprint exchange.Fingerprint, standing quarantine.Standing, servers []fleet.Incarnation) {
	e.node.figures.standings.WithLabelValues(standing.String()).Inc()
	if !e.recorder.mayWrite() {
		return
	}
	names := make([]string, 0, len(servers))
	for _, server := range servers {
		names = append(names, server.String())
	}
	list := []any{"fingerprint", fingerprint.String(), "servers_ended", names}
	if standing == quarantine.Clear {
		e.node.logger.Info("request cleared", list...)
		return
	}
	e.node.logger.Warn("request "+standing.String(), list...)
}

// LedgerFailed implements quarantine.Events.
func (e suspectEvents) LedgerFailed(call string, err error) {
	if !e.recorder.mayWrite() {
		return
	}
	e.node.logger.Warn("notes on suspect requests not kept", "call", call, "error", err.Error())
}
