// Package catalog holds what a node knows of the back-end servers: which exist,
// what each holds, which are leaving, ejected or warming up. It merges the
// machine list, probes, hints on answers and news from peers.
//
// Readers work on a View, an immutable value that is replaced as a whole, so a
// query sees one consistent state from its plan to its last sub-request.
package catalog

import (
	"github.com/bramblemast/bramblemast/pkg/backend"
	"github.com/bramblemast/bramblemast/pkg/target"
)

// State is the condition of a server as this node sees it.
type State int

// The states. Only Active servers get new work; Ejected ones get it only when
// a part has no other replica.
const (
	Active State = iota
	// Ejected means that recent requests failed too often.
	Ejected
	// Leaving means that some source said that the server drains or stops.
	Leaving
	// Gone means that the server is not to be asked at all.
	Gone
)

// String returns the name used in logs and by the command line.
func (s State) String() string {
	return [...]string{"active", "ejected", "leaving", "gone"}[s]
}

// Server is one back-end server as this node sees it.
type Server struct {
	ID      target.ServerID
	Service target.Service
	Group   string
	Zone    target.Zone
	// ZoneDistance is 0 in the node's zone, 1 in its region, 2 elsewhere.
	ZoneDistance int
	State        State
	// Weight is above 0 and at most 1; below 1 while the server warms up.
	Weight float64
	// Slots and Connections are the server's limits over all callers.
	Slots       int
	Connections int
	// ReportedLoad is the last reported share of slots in use, or negative.
	ReportedLoad float64
	Indexes      []backend.Index
}

// View is the state of all servers of one service at one moment. It is
// immutable.
type View struct {
	Service target.Service
	// Servers are sorted by ID.
	Servers []*Server
}

// Source gives the current view of a service.
type Source interface {
	// View returns the current view; nil if the service is unknown.
	View(service target.Service) *View
	// ReportHints tells the catalog what a server said of itself on an answer.
	ReportHints(server target.ServerID, hints backend.Hints)
	// ReportResult tells the catalog how a sub-request ended: err is nil or an
	// *outcome.Error.
	ReportResult(server target.ServerID, err error)
}
