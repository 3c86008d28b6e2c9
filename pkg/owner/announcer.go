package owner

import (
	"context"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bramblemast/bramblemast/pkg/directory"
	"github.com/bramblemast/bramblemast/pkg/fanout"
	"github.com/bramblemast/bramblemast/pkg/loadshed"
	"github.com/bramblemast/bramblemast/pkg/owner/ownerpb"
	"github.com/bramblemast/bramblemast/pkg/peer"
	"github.com/bramblemast/bramblemast/pkg/target"
)

// kindRoom tells of the room at services.
const kindRoom peer.Kind = "owner.room"

// Constants of what is told to all nodes of a region.
const (
	// tellTimeout bounds one message: what matters after it is told again by then.
	tellTimeout = 400 * time.Millisecond
	// mostTold bounds the nodes that are told at once, so that the connections to them stay
	// open. In a larger region the others learn from the reports to their own questions.
	mostTold = 40
)

// Announcer tells the nodes of the region what this node measures, as an owner, of the room at
// services, and takes what other owners tell. It is safe for concurrent use.
type Announcer struct {
	known     *fanout.Room
	roster    *Roster
	transport peer.Transport
	told      func([]loadshed.Measured)
	// waiting has the message that is to be told next.
	waiting chan []loadshed.Measured
}

// AnnouncerOptions are the parts of an Announcer.
type AnnouncerOptions struct {
	// Known is what this node measures, and takes what others tell.
	Known *fanout.Room
	// Roster has the nodes that are told.
	Roster    *Roster
	Transport peer.Transport
	// Told takes what the nodes are told; it does not block.
	Told func([]loadshed.Measured)
}

// NewAnnouncer registers the handler of what other owners tell.
func NewAnnouncer(options AnnouncerOptions) *Announcer {
	created := &Announcer{
		known: options.Known, roster: options.Roster, transport: options.Transport, told: options.Told,
		waiting: make(chan []loadshed.Measured, 1),
	}
	options.Known.Meters.Tell(created.put)
	options.Transport.Handle(kindRoom, created.take)
	return created
}

// put keeps a message until Run tells it, with what one that still waits tells of other services:
// their change counts as told. Meters calls it for one message at a time.
func (a *Announcer) put(message []loadshed.Measured) {
	select {
	case earlier := <-a.waiting:
		message = merge(earlier, message)
	default:
	}
	select {
	case a.waiting <- message:
	default:
	}
}

// merge returns a message with what an earlier one tells of services that it does not name.
func merge(earlier, message []loadshed.Measured) []loadshed.Measured {
	merged := slices.Clone(message)
	for _, each := range earlier {
		isNamed := slices.ContainsFunc(message, func(later loadshed.Measured) bool { return later.Key == each.Key })
		if !isNamed {
			merged = append(merged, each)
		}
	}
	return merged
}

// Run tells what has changed, until ctx ends.
func (a *Announcer) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case message := <-a.waiting:
			a.spread(ctx, message)
		}
	}
}

// spread tells the nodes of the region, and waits until they have answered or tellTimeout is over.
func (a *Announcer) spread(ctx context.Context, message []loadshed.Measured) {
	a.told(message)
	now := time.Now()
	rooms := &ownerpb.Rooms{}
	for _, each := range message {
		rooms.Rooms = append(rooms.Rooms, encodeRoom(each.Key, each.Shares, now.Sub(each.At)))
	}
	limited, cancel := context.WithTimeout(ctx, tellTimeout)
	defer cancel()
	peer.Spread(limited, a.transport, a.roster.neighbours(), kindRoom, rooms, func() proto.Message { return &ownerpb.Ping{} })
}

// take notes what another owner tells.
func (a *Announcer) take(_ context.Context, _ target.NodeID, body []byte) (proto.Message, error) {
	rooms := &ownerpb.Rooms{}
	if err := rooms.UnmarshalVT(body); err != nil {
		return nil, err
	}
	takeRooms(a.known.Board, rooms.Rooms, time.Now())
	return &ownerpb.Ping{}, nil
}

// roomOf returns what is told with a report about some services.
func (a *Announcer) roomOf(services []string, regions string, now time.Time) []*ownerpb.Room {
	if a == nil {
		return nil
	}
	var rooms []*ownerpb.Room
	for _, service := range services {
		measured, ok := a.known.Meters.Report(loadshed.Key{Service: service, Regions: regions}, now)
		if ok {
			rooms = append(rooms, encodeRoom(measured.Key, measured.Shares, now.Sub(measured.At)))
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

// takeRoom notes one service's shares on a board.
func takeRoom(board *loadshed.Board, told *ownerpb.Room, now time.Time) {
	var shares loadshed.Shares
	for _, rank := range told.Ranks {
		shares.Ranks = append(shares.Ranks, loadshed.RankShare{Priority: int(rank.Priority), Share: rank.Share})
	}
	for _, heavy := range told.Tenants {
		shares.Tenants = append(shares.Tenants, loadshed.TenantShare{
			Class: loadshed.Class{Priority: int(heavy.Priority), Tenant: heavy.Tenant}, Share: heavy.Share,
		})
	}
	board.Take(loadshed.Key{Service: told.Service, Regions: told.Regions}, shares, now.Add(-time.Duration(told.AgeMs)*time.Millisecond))
}

// takeRooms notes what an owner tells. Of services that it does not name, which it may not have
// measured, what was told before holds until that is too old.
func takeRooms(board *loadshed.Board, told []*ownerpb.Room, now time.Time) {
	for _, each := range told {
		takeRoom(board, each, now)
	}
}

// neighbours returns the other nodes of the region that are told of changes.
func (r *Roster) neighbours() []peer.Address {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var addresses []peer.Address
	for _, node := range r.byName {
		isOther := node.Name != r.local.Name
		if isOther && directory.SameRegion(r.regions, node.Zone, r.local.Zone) && len(addresses) < mostTold {
			addresses = append(addresses, peer.Address(node.PeerAddress))
		}
	}
	return addresses
}
