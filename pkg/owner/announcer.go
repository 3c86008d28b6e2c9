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

// Kinds of messages with measured admission shares of services. An owner sends kindMeasurements to
// one node of each segment of the region, its relay. The relay sends kindForwardedMeasurements to
// the other nodes of its segment, which do not forward it.
const (
	kindMeasurements          peer.Kind = "owner.room"
	kindForwardedMeasurements peer.Kind = "owner.room.onward"
)

// Timing of messages with measurements.
const (
	// sendTimeout bounds one message: meters repeat measurements that are still relevant at about
	// this interval.
	sendTimeout = 400 * time.Millisecond
	// forwardInterval is the minimum time between two messages to this node's segment, so that
	// their number does not grow with the number of owners. It is short compared with the time
	// between two messages of one owner.
	forwardInterval = 20 * time.Millisecond
)

// Announcer publishes the admission shares that this node measures as an owner to the nodes of its
// region, and applies those that other owners publish. It is safe for concurrent use.
type Announcer struct {
	admission *fanout.AdmissionControl
	roster    *Roster
	transport peer.Transport
	onPublish func([]loadshed.Measurement)
	// outgoing holds measurements of this node, forwarded those received from other owners for the
	// nodes of this node's segment.
	outgoing, forwarded *outbox
	// relays is used by Run only.
	relays relays
}

// AnnouncerOptions configures an Announcer.
type AnnouncerOptions struct {
	// Admission holds the meters of this node and the measurements received from other owners.
	Admission *fanout.AdmissionControl
	// Roster lists the nodes of the region that receive the messages.
	Roster    *Roster
	Transport peer.Transport
	// OnPublish is called with each message that this node publishes; it must not block.
	OnPublish func([]loadshed.Measurement)
}

// NewAnnouncer returns an Announcer and registers its handlers for messages of other owners.
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

// Run publishes and forwards measurements until ctx ends. It always returns nil.
func (a *Announcer) Run(ctx context.Context) error {
	var forwarding sync.WaitGroup
	forwarding.Go(func() { a.forwarded.run(ctx, forwardInterval, a.forward) })
	// The meters limit the rate of their messages themselves.
	a.outgoing.run(ctx, 0, a.publish)
	forwarding.Wait()
	return nil
}

// publish sends a message to the relay of each segment and waits until all have answered or
// sendTimeout has passed.
func (a *Announcer) publish(ctx context.Context, message []loadshed.Measurement) {
	a.onPublish(message)
	segments, _ := a.roster.segments()
	chosen := a.relays.choose(segments)
	answered := a.send(ctx, chosen, kindMeasurements, message)
	a.relays.recordAnswers(chosen, answered, segments)
}

// forward sends measurements of other owners to the nodes of this node's segment. A node that
// receives a service's shares twice keeps the later measurement.
func (a *Announcer) forward(ctx context.Context, message []loadshed.Measurement) {
	segments, own := a.roster.segments()
	a.send(ctx, segments[own], kindForwardedMeasurements, message)
}

// send sends a message to several nodes and returns those that acknowledged it in time.
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

// handleMeasurements applies a message of another owner.
func (a *Announcer) handleMeasurements(_ context.Context, _ target.NodeID, body []byte) (proto.Message, error) {
	_, err := a.apply(body)
	return &ownerpb.Ping{}, err
}

// handleAndForward applies a message of another owner and queues it for this node's segment.
func (a *Announcer) handleAndForward(_ context.Context, _ target.NodeID, body []byte) (proto.Message, error) {
	message, err := a.apply(body)
	if err == nil {
		a.forwarded.put(message)
	}
	return &ownerpb.Ping{}, err
}

// apply decodes a message, passes it to this node's admitter and returns it.
func (a *Announcer) apply(body []byte) ([]loadshed.Measurement, error) {
	rooms := &ownerpb.Rooms{}
	if err := rooms.UnmarshalVT(body); err != nil {
		return nil, errors.Wrap(err, "decode rooms")
	}
	return applyMeasurements(a.admission.Admitter, rooms.Rooms, time.Now()), nil
}

// measurementsFor returns the measurements that go with a report: those of the question's services
// that this node has measured to be overloaded, or to admit all requests although the asking node
// admits only a part. The Announcer may be nil.
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

// encodeMeasurement returns the message for one service's shares, where age is the time since they
// were measured.
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

// applyMeasurements passes an owner's measurements to the admitter and returns them. For services
// that are not in the message, which the owner may not have measured, earlier measurements hold
// until they expire.
func applyMeasurements(admitter *loadshed.Admitter, received []*ownerpb.Room, now time.Time) []loadshed.Measurement {
	message := make([]loadshed.Measurement, len(received))
	for index, each := range received {
		decoded := decodeMeasurement(each, now)
		admitter.Update(decoded.Key, decoded.Shares, decoded.MeasuredAt)
		message[index] = decoded
	}
	return message
}

// decodeMeasurement decodes one service's shares; now is the time at which they were received.
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
