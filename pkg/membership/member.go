// Package membership tells a node which other nodes of the query tier are
// alive, leaving or dead, without any machine being set aside.
//
// Within a zone every node knows every other one. It follows the SWIM protocol:
// each node probes one member in each period, first itself and then through
// others, suspects a member that does not answer, and removes it after a time
// in which the member can refute. News rides on the probes. A node that is slow
// itself waits longer before it accuses others, and one that was paused accuses
// nobody and fetches the list anew.
//
// Between zones only the bridges, a few members of each zone chosen by rank,
// exchange a few members of each side. So the cost of a node depends neither on
// the number of nodes nor on the number of zones, but for the size of its list.
//
// docs/design/membership.md explains the choices.
package membership

import (
	"github.com/bramblemast/bramblemast/pkg/peer"
	"github.com/bramblemast/bramblemast/pkg/target"
)

// State is the condition of a member as this node sees it.
type State int

// The states.
const (
	Alive State = iota
	// Suspect members did not answer lately; they are still members.
	Suspect
	// Leaving members announced a planned stop. They still answer peers but
	// take no new work.
	Leaving
	// Dead members are gone. They are listed for a while for operators.
	Dead
)

// String returns the name used in logs and by the command line.
func (s State) String() string {
	return [...]string{"alive", "suspect", "leaving", "dead"}[s]
}

// Member is one node of the query tier. It is an immutable value.
type Member struct {
	// ID is unique for each start of a process.
	ID target.NodeID
	// Address takes messages of peers.
	Address peer.Address
	// CallerAddress and OperatorAddress are the host:port of the node's HTTP
	// interfaces.
	CallerAddress   string
	OperatorAddress string
	Zone            target.Zone
	Region          target.Region
	State           State
	// Incarnation is raised by the member itself to refute a suspicion.
	Incarnation uint64
}

// Living reports whether the member counts as running: it is alive, or only
// suspected.
func (m Member) Living() bool { return m.State == Alive || m.State == Suspect }

// Seed is an address at which a node may be found, from the settings or from
// the machine list.
type Seed struct {
	Address peer.Address
	// Zone is empty if it is not known.
	Zone target.Zone
}
