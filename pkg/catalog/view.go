// Package catalog maintains a node's knowledge of the back-end servers: which exist, what each one
// holds, and which are leaving, ejected or warming up. It merges the machine list, probes, hints on
// answers and updates from peers.
//
// Readers use a View, an immutable snapshot that is replaced as a whole, so that a query sees one
// consistent state from its plan to its last sub-request.
package catalog

import (
	"github.com/bramblemast/bramblemast/pkg/backend"
	"github.com/bramblemast/bramblemast/pkg/target"
)

// State is the condition of a server as seen by this node.
type State int

// The states. Only Active servers get new work. Ejected servers get it only when a part has no
// other replica.
const (
	Active State = iota
	// Ejected means that recent requests failed too often, that probes fail, or that the server is
	// not ready.
	Ejected
	// Leaving means that a source reported that the server drains or stops.
	Leaving
	// Gone means that the server must not be used at all.
	Gone
)

// String returns the name used in logs and by the command line.
func (s State) String() string {
	return [...]string{"active", "ejected", "leaving", "gone"}[s]
}

// Server is one back-end server as seen by this node.
type Server struct {
	ID      target.ServerID
	Service target.Service
	Group   string
	Zone    target.Zone
	// ZoneDistance is 0 in the node's zone, 1 elsewhere in its region, 2 in other regions.
	ZoneDistance int
	State        State
	// Weight is the share of normal traffic, above 0 and at most 1. It is below 1 during warm-up.
	Weight float64
	// Slots and Connections are the server's limits across all callers.
	Slots       int
	Connections int
	// ReportedLoad is the last reported share of slots in use; negative if unknown.
	ReportedLoad float64
	Indexes      []backend.Index
}

// View is a snapshot of all servers of one service. It is immutable.
type View struct {
	Service target.Service
	// Servers are sorted by ID.
	Servers []*Server
}

// Source provides the current view of a service.
type Source interface {
	// View returns the current view, or nil if the service is unknown.
	View(service target.Service) *View
	// ReportHints passes on the hints that a server attached to an answer.
	ReportHints(server target.ServerID, hints backend.Hints)
	// ReportResult passes on the result of a sub-request: err is nil or an *outcome.Error.
	ReportResult(server target.ServerID, err error)
}
