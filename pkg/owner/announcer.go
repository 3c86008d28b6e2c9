package owner

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/bramblemast/bramblemast/pkg/fanout"
	"github.com/bramblemast/bramblemast/pkg/loadshed"
	"github.com/bramblemast/bramblemast/pkg/owner/ownerpb"
	"github.com/bramblemast/bramblemast/pkg/peer"
	"github.com/bramblemast/bramblemast/pkg/target"
)

// Messages about the room at services. An owner sends kindRoom to one node of each part of the
// region, its head; the head sends kindRoomOnward to the others of its part, who pass it to nobody.
const (
	kindRoom       peer.Kind = "owner.room"
	kindRoomOnward peer.Kind = "owner.room.onward"
)

// Constants of what is told.
const (
	// tellTimeout bounds one message: meters repeat what still matters about as often.
	tellTimeout = 400 * time.Millisecond
	// onwardPause is the least time between two messages to this node's part of the region, so
	// that their number does not grow with the owners; it is short against the time between two
	// messages of one owner.
	onwardPause = 20 * time.Millisecond
)

// Announcer tells the nodes of the region what this node measures, as an owner, of the room at
// services, and takes what other owners tell. It is safe for concurrent use.
type Announcer struct {
	known     *fanout.AdmissionControl
	roster    *Roster
	transport peer.Transport
	told      func([]loadshed.Measurement)
	// waiting is what this node has measured and is to tell, and onward what it was told and is to
	// tell the nodes of its part.
	waiting, onward *outbox
	// heads are used by Run alone.
	heads heads
}

// AnnouncerOptions are the parts of an Announcer.
type AnnouncerOptions struct {
	// Admission holds the meters of this node and the measurements received from other owners.
	Admission *fanout.AdmissionControl
	// Roster lists the nodes of the region that receive the messages.
	Roster    *Roster
	Transport peer.Transport
	// OnPublish is called with each message that this node publishes; it must not block.
	OnPublish func([]loadshed.Measurement)
}

// NewAnnouncer registers the handler of what other owners tell.
func NewAnnouncer(options AnnouncerOptions) *Announcer {
	created := &Announcer{
		known: options.Admission, roster: options.Roster, transport: options.Transport, told: options.OnPublish,
		waiting: newOutbox(), onward: newOutbox(),
	}
	options.Admission.Meters.SetPublisher(created.waiting.put)
	options.Transport.Handle(kindRoom, created.takeAndTell)
	options.Transport.Handle(kindRoomOnward, created.take)
	return created
}

// Run tells what has changed, until ctx ends.
func (a *Announcer) Run(ctx context.Context) error {
	var onward sync.WaitGroup
	onward.Go(func() { a.onward.run(ctx, onwardPause, a.tellPart) })
	// Meters keep a pause between messages.
	a.waiting.run(ctx, 0, a.spread)
	onward.Wait()
	return nil
}

// spread tells the head of each part of the region, and waits until they have answered or
// tellTimeout is over.
func (a *Announcer) spread(ctx context.Context, message []loadshed.Measurement) {
	a.told(message)
	parts, _ := a.roster.parts()
	chosen := a.heads.choose(parts)
	answered := a.send(ctx, chosen, kindRoom, message)
	a.heads.note(chosen, answered, parts)
}

// tellPart tells the nodes of this node's part of the region what it was told. One that hears it
// twice takes the later measurement.
func (a *Announcer) tellPart(ctx context.Context, message []loadshed.Measurement) {
	parts, own := a.roster.parts()
	a.send(ctx, parts[own], kindRoomOnward, message)
}

// send sends a message to some nodes and returns those that took it in time.
func (a *Announcer) send(
	ctx context.Context, addresses []peer.Address, kind peer.Kind, message []loadshed.Measurement,
) []peer.Address {
	if len(addresses) == 0 {
		return nil
	}
	now := time.Now()
	rooms := &ownerpb.Rooms{}
	for _, each := range message {
		rooms.Rooms = append(rooms.Rooms, encodeRoom(each.Key, each.Shares, now.Sub(each.MeasuredAt)))
	}
	limited, cancel := context.WithTimeout(ctx, tellTimeout)
	defer cancel()
	return peer.SpreadAll(limited, a.transport, addresses, kind, rooms, func() proto.Message { return &ownerpb.Ping{} })
}

// take notes what another owner tells.
func (a *Announcer) take(_ context.Context, _ target.NodeID, body []byte) (proto.Message, error) {
	_, err := a.note(body)
	return &ownerpb.Ping{}, err
}

// takeAndTell notes what another owner tells, and lets the nodes of this node's part know.
func (a *Announcer) takeAndTell(_ context.Context, _ target.NodeID, body []byte) (proto.Message, error) {
	message, err := a.note(body)
	if err == nil {
		a.onward.put(message)
	}
	return &ownerpb.Ping{}, err
}

// note notes a message on this node's board and returns it.
func (a *Announcer) note(body []byte) ([]loadshed.Measurement, error) {
	rooms := &ownerpb.Rooms{}
	if err := rooms.UnmarshalVT(body); err != nil {
		return nil, errors.Wrap(err, "decode rooms")
	}
	return takeRooms(a.known.Admitter, rooms.Rooms, time.Now()), nil
}

// roomOf returns what is told with a report about the services of a question: those that this node
// has measured to be short of room, or to have room although the asking node let only a part in.
func (a *Announcer) roomOf(question *ownerpb.Question, regions string, now time.Time) []*ownerpb.Room {
	if a == nil {
		return nil
	}
	var rooms []*ownerpb.Room
	for index, service := range question.Services {
		measured, ok := a.known.Meters.Measurement(loadshed.Key{Service: service, Regions: regions}, now)
		isTakenForShort := index < len(question.AdmittedShares) && question.AdmittedShares[index] < 1
		if ok && (isTakenForShort || !measured.Shares.IsFull()) {
			rooms = append(rooms, encodeRoom(measured.Key, measured.Shares, now.Sub(measured.MeasuredAt)))
		}
	}
	return rooms
}

// encodeRoom returns the message for one service's shares, judged an age ago.
func encodeRoom(key loadshed.Key, shares loadshed.Shares, age time.Duration) *ownerpb.Room {
	encoded := &ownerpb.Room{Service: key.Service, Regions: key.Regions, AgeMs: uint32(max(0, age.Milliseconds()))}
	for _, rank := range shares.Ranks {
		encoded.Ranks = append(encoded.Ranks, &ownerpb.RankShare{Priority: int32(rank.Priority), Share: rank.Share})
	}
	for _, heavy := range shares.Tenants {
		encoded.Tenants = append(encoded.Tenants, &ownerpb.TenantShare{
			Priority: int32(heavy.Priority), Tenant: heavy.Tenant, Share: heavy.Share,
		})
	}
	return encoded
}

// takeRooms notes what an owner tells and returns it. Of services that it does not name, which it
// may not have measured, what was told before holds until that is too old.
func takeRooms(board *loadshed.Admitter, told []*ownerpb.Room, now time.Time) []loadshed.Measurement {
	message := make([]loadshed.Measurement, len(told))
	for index, each := range told {
		decoded := decodeRoom(each, now)
		board.Update(decoded.Key, decoded.Shares, decoded.MeasuredAt)
		message[index] = decoded
	}
	return message
}

// decodeRoom reads one service's shares.
func decodeRoom(told *ownerpb.Room, now time.Time) loadshed.Measurement {
	var shares loadshed.Shares
	for _, rank := range told.Ranks {
		shares.Ranks = append(shares.Ranks, loadshed.RankShare{Priority: int(rank.Priority), Share: rank.Share})
	}
	for _, heavy := range told.Tenants {
		shares.Tenants = append(shares.Tenants, loadshed.TenantShare{
			Class: loadshed.Class{Priority: int(heavy.Priority), Tenant: heavy.Tenant}, Share: heavy.Share,
		})
	}
	return loadshed.Measurement{
		Key: loadshed.Key{Service: told.Service, Regions: told.Regions}, Shares: shares,
		MeasuredAt: now.Add(-time.Duration(told.AgeMs) * time.Millisecond),
	}
}
