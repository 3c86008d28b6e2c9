package membership

import (
	pb "github.com/bramblemast/bramblemast/pkg/membership/membershippb"
	"github.com/bramblemast/bramblemast/pkg/peer"
	"github.com/bramblemast/bramblemast/pkg/target"
)

// Kinds of messages between nodes.
const (
	kindPing    peer.Kind = "membership.ping"
	kindProbe   peer.Kind = "membership.probe"
	kindSync    peer.Kind = "membership.sync"
	kindSummary peer.Kind = "membership.summary"
)

// memberOf converts a member's own declaration.
func memberOf(entry *pb.Entry) Member {
	state := Alive
	if entry.State == pb.State_STATE_LEAVING {
		state = Leaving
	}
	return Member{
		ID:              target.NodeID(entry.Id),
		Address:         peer.Address(entry.Address),
		CallerAddress:   entry.CallerAddress,
		OperatorAddress: entry.OperatorAddress,
		Zone:            target.Zone(entry.Zone),
		Region:          target.Region(entry.Region),
		State:           state,
		Incarnation:     entry.Incarnation,
	}
}

// entryOf converts a record for peers: a declaration with addresses, an accusation, or an entry
// that the member is dead or has left.
func entryOf(r *record) *pb.Entry {
	state := r.wireState()
	if state == pb.State_STATE_SUSPECT {
		return accusationOf(r, r.suspicion.accusers[0])
	}
	if state == pb.State_STATE_DEAD || state == pb.State_STATE_LEFT {
		return &pb.Entry{Id: string(r.member.ID), State: state, Incarnation: r.member.Incarnation}
	}
	return &pb.Entry{
		Id:              string(r.member.ID),
		Address:         string(r.member.Address),
		CallerAddress:   r.member.CallerAddress,
		OperatorAddress: r.member.OperatorAddress,
		Zone:            string(r.member.Zone),
		Region:          string(r.member.Region),
		State:           state,
		Incarnation:     r.member.Incarnation,
	}
}

// accusationOf returns an entry stating that accuser suspects the member.
func accusationOf(r *record, accuser target.NodeID) *pb.Entry {
	return &pb.Entry{
		Id:          string(r.member.ID),
		State:       pb.State_STATE_SUSPECT,
		Incarnation: r.member.Incarnation,
		Accuser:     string(accuser),
	}
}

// accuses reports whether an entry states that the member is suspect or dead.
func accuses(entry *pb.Entry) bool {
	return entry.State == pb.State_STATE_SUSPECT || entry.State == pb.State_STATE_DEAD
}

// claimsNotRunning reports whether an entry states that the member is suspect, dead or has left.
func claimsNotRunning(entry *pb.Entry) bool {
	return accuses(entry) || entry.State == pb.State_STATE_LEFT
}

// valid reports whether an entry is complete enough to be applied.
func valid(entry *pb.Entry) bool {
	if entry == nil || entry.Id == "" || entry.Incarnation == 0 {
		return false
	}
	declared := entry.State == pb.State_STATE_ALIVE || entry.State == pb.State_STATE_LEAVING
	return !declared || (entry.Address != "" && entry.Zone != "")
}
