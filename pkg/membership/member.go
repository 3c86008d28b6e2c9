// Package membership maintains each node's list of the query tier's other nodes and whether they
// are alive, leaving or dead. It needs no dedicated machine.
//
// Within a zone every node knows every other one. The nodes follow the SWIM protocol: in each
// period, each node probes one member, first directly and then through other members. It suspects a
// member that does not answer, and removes it after a time in which the member can refute the
// suspicion. Gossip is carried by the probes. A node that is slow itself waits longer before it
// suspects others. A node that was paused suspects nobody and fetches the list again.
//
// Between zones, only the bridges communicate. They are a few members of each zone, chosen by rank,
// and they exchange a few members of each side. So apart from the size of its list, the cost of a
// node depends neither on the number of nodes nor on the number of zones.
//
// docs/design/membership.md explains the choices.
package membership

import (
	"github.com/bramblemast/bramblemast/pkg/peer"
	"github.com/bramblemast/bramblemast/pkg/target"
)

// State is the condition of a member as this node sees it.
type State int

const (
	Alive State = iota
	// Suspect members did not answer recently; they are still members.
	Suspect
	// Leaving members announced a planned stop. They still answer peers but accept no new work.
	Leaving
	// Dead members are gone. They stay listed for a while for operators.
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
	// Address receives messages from peers.
	Address peer.Address
	// CallerAddress and OperatorAddress are the host:port of the node's HTTP interfaces.
	CallerAddress   string
	OperatorAddress string
	Zone            target.Zone
	Region          target.Region
	State           State
	// Incarnation is raised by the member itself to refute a suspicion or to announce that it is
	// leaving.
	Incarnation uint64
}

// Living reports whether the member counts as running: alive or suspected.
func (m Member) Living() bool { return m.State == Alive || m.State == Suspect }

// Seed is an address at which a node may be found, from the configuration or the machine list.
type Seed struct {
	Address peer.Address
	// Zone is empty if it is not known.
	Zone target.Zone
}
