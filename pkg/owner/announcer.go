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

// Messages about the room at services. An owner sends kindMeasurements to one node of each part of the
// region, its head; the head sends kindForwardedMeasurements to the others of its part, who pass it to nobody.
const (
	kindMeasurements          peer.Kind = "owner.room"
	kindForwardedMeasurements peer.Kind = "owner.room.onward"
)

// Constants of what is told.
const (
	// sendTimeout bounds one message: meters repeat what still matters about as often.
	sendTimeout = 400 * time.Millisecond
	// forwardInterval is the least time between two messages to this node's part of the region, so
	// that their number does not grow with the owners; it is short against the time between two
	// messages of one owner.
	forwardInterval = 20 * time.Millisecond
)

// Announcer tells the nodes of the region what this node measures, as an owner, of the room at
// services, and takes what other owners tell. It is safe for concurrent use.
type Announcer struct {
	admission *fanout.AdmissionControl
	roster    *Roster
	transport peer.Transport
	onPublish func([]loadshed.Measurement)
	// waiting is what this node has measured and is to tell, and onward what it was told and is to
	// tell the nodes of its part.
	outgoing, forwarded *outbox
	// heads are used by Run alone.
	relays relays
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
		admission: options.Admission, roster: options.Roster, transport: options.Transport, onPublish: options.OnPublish,
		outgoing: newOutbox(), forwarded: newOutbox(),
	}
	options.Admission.Meters.SetPublisher(created.outgoing.put)
	options.Transport.Handle(kindMeasurements, created.handleAndForward)
	options.Transport.Handle(kindForwardedMeasurements, created.handleMeasurements)
	return created
}

// Run tells what has changed, until ctx ends.
func (a *Announcer) Run(ctx context.Context) error {
	var forwarding sync.WaitGroup
	forwarding.Go(func() { a.forwarded.run(ctx, forwardInterval, a.forward) })
	// Meters keep a pause between messages.
	a.outgoing.run(ctx, 0, a.publish)
	forwarding.Wait()
	return nil
}

// spread tells the head of each part of the region, and waits until they have answered or
// sendTimeout is over.
func (a *Announcer) publish(ctx context.Context, message []loadshed.Measurement) {
	a.onPublish(message)
	segments, _ := a.roster.segments()
	chosen := a.relays.choose(segments)
	answered := a.send(ctx, chosen, kindMeasurements, message)
	a.relays.recordAnswers(chosen, answered, segments)
}

// forward tells the nodes of this node's part of the region what it was told. One that hears it
// twice takes the later measurement.
func (a *Announcer) forward(ctx context.Context, message []loadshed.Measurement) {
	segments, own := a.roster.segments()
	a.send(ctx, segments[own], kindForwardedMeasurements, message)
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
		rooms.Rooms = append(rooms.Rooms, encodeMeasurement(each.Key, each.Shares, now.Sub(each.MeasuredAt)))
	}
	limited, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	return peer.SpreadAll(limited, a.transport, addresses, kind, rooms, func() proto.Message { return &ownerpb.Ping{} })
}

// take notes what another owner tells.
func (a *Announcer) handleMeasurements(_ context.Context, _ target.NodeID, body []byte) (proto.Message, error) {
	_, err := a.apply(body)
	return &ownerpb.Ping{}, err
}

// handleAndForward notes what another owner tells, and lets the nodes of this node's part know.
func (a *Announcer) handleAndForward(_ context.Context, _ target.NodeID, body []byte) (proto.Message, error) {
	message, err := a.apply(body)
	if err == nil {
		a.forwarded.put(message)
	}
	return &ownerpb.Ping{}, err
}

// note notes a message on this node's board and returns it.
func (a *Announcer) apply(body []byte) ([]loadshed.Measurement, error) {
	rooms := &ownerpb.Rooms{}
	if err := rooms.UnmarshalVT(body); err != nil {
		return nil, errors.Wrap(err, "decode rooms")
	}
	return applyMeasurements(a.admission.Admitter, rooms.Rooms, time.Now()), nil
}

// measurementsFor returns what is told with a report about the services of a question: those that this node
// has measured to be short of room, or to have room although the asking node let only a part in.
func (a *Announcer) measurementsFor(question *ownerpb.Question, regions string, now time.Time) []*ownerpb.Room {
	if a == nil {
		return nil
	}
	var rooms []*ownerpb.Room
	for index, service := range question.Services {
		measured, ok := a.admission.Meters.Measurement(loadshed.Key{Service: service, Regions: regions}, now)
		isPartlyAdmitted := index < len(question.AdmittedShares) && question.AdmittedShares[index] < 1
		if ok && (isPartlyAdmitted || !measured.Shares.IsFull()) {
			rooms = append(rooms, encodeMeasurement(measured.Key, measured.Shares, now.Sub(measured.MeasuredAt)))
		}
	}
	return rooms
}

// encodeMeasurement returns the message for one service's shares, judged an age ago.
func encodeMeasurement(key loadshed.Key, shares loadshed.Shares, age time.Duration) *ownerpb.Room {
	encoded := &ownerpb.Room{Service: key.Service, Regions: key.Regions, AgeMs: uint32(max(0, age.Milliseconds()))}
	for _, rank := range shares.Ranks {
		encoded.Ranks = append(encoded.Ranks, &ownerpb.RankShare{Priority: int32(rank.Priority), Share: rank.Share})
	}
	for _, tenant := range shares.Tenants {
		encoded.Tenants = append(encoded.Tenants, &ownerpb.TenantShare{
			Priority: int32(tenant.Priority), Tenant: tenant.Tenant, Share: tenant.Share,
		})
	}
	return encoded
}

// applyMeasurements notes what an owner tells and returns it. Of services that it does not name, which it
// may not have measured, what was told before holds until that is too old.
func applyMeasurements(admitter *loadshed.Admitter, received []*ownerpb.Room, now time.Time) []loadshed.Measurement {
	message := make([]loadshed.Measurement, len(received))
	for index, each := range received {
		decoded := decodeMeasurement(each, now)
		admitter.Update(decoded.Key, decoded.Shares, decoded.MeasuredAt)
		message[index] = decoded
	}
	return message
}

// decodeMeasurement reads one service's shares.
func decodeMeasurement(encoded *ownerpb.Room, now time.Time) loadshed.Measurement {
	var shares loadshed.Shares
	for _, rank := range encoded.Ranks {
		shares.Ranks = append(shares.Ranks, loadshed.RankShare{Priority: int(rank.Priority), Share: rank.Share})
	}
	for _, tenant := range encoded.Tenants {
		shares.Tenants = append(shares.Tenants, loadshed.TenantShare{
			Class: loadshed.Class{Priority: int(tenant.Priority), Tenant: tenant.Tenant}, Share: tenant.Share,
		})
	}
	return loadshed.Measurement{
		Key: loadshed.Key{Service: encoded.Service, Regions: encoded.Regions}, Shares: shares,
		MeasuredAt: now.Add(-time.Duration(encoded.AgeMs) * time.Millisecond),
	}
}
