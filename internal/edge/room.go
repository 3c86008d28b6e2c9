package edge

import (
	"github.com/bramblemast/bramblemast/pkg/fanout"
	"github.com/bramblemast/bramblemast/pkg/loadshed"
	"github.com/bramblemast/bramblemast/pkg/owner"
)

// openRoom lets this node tell others of the room at services that it asks on their behalf.
func (n *Node) openRoom() {
	n.room = owner.NewRoom(owner.RoomOptions{
		Known: n.known, Roster: n.state.roster, Transport: n.transport, Told: n.logRoom,
	})
	n.figures.gauge("services_short_of_room", "Services of which this node lets in only a part of the requests.", func() float64 {
		return float64(n.known.Board.Limited())
	})
}

// logRoom tells in the log what this node tells others as an owner of services that are short
// of room, or have room again.
func (n *Node) logRoom(message []loadshed.Measured) {
	for _, each := range message {
		if each.Shares.IsFull() {
			n.logger.Info("room again", "service", each.Service)
			continue
		}
		n.logger.Warn("short of room", "service", each.Service, "shares", each.Shares.Ranks, "tenants", each.Shares.Tenants)
	}
}

// appendAdmission tells by what a request was let in or refused while a service that it needs
// is short of room.
func appendAdmission(list []any, result fanout.Result) []any {
	admission := result.Admission
	if admission.Share >= 1 || admission.Scarcest == "" {
		return list
	}
	return append(list, "short_service", admission.Scarcest, "share", roundShare(admission.Share),
		"share_age_ms", admission.Age.Milliseconds(), "priority", admission.Class.Priority)
}

// roundShare rounds a share for a log line.
func roundShare(share float64) float64 {
	const digits = 1000
	return float64(int(share*digits+0.5)) / digits
}
