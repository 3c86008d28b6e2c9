package membership

import (
	"context"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/bramblemast/bramblemast/pkg/membership/membershippb"
	"github.com/bramblemast/bramblemast/pkg/peer"
	"github.com/bramblemast/bramblemast/pkg/target"
)

const (
	// summaryRounds is the number of rounds in which a bridge gets to every
	// other zone once.
	summaryRounds = 8
	// zoneSilence is the time without any exchange after which the members of
	// another zone are suspected.
	zoneSilence = 20 * time.Second
	// settleTime is the time after the start from which a node that found no
	// other node of its zone takes itself to be the first one.
	settleTime = 5 * time.Second
	// seedAfterFailures is the number of failed exchanges with a zone after
	// which its seeds are tried too.
	seedAfterFailures = 2
)

// zoneContact is how a bridge's exchanges with one zone went.
type zoneContact struct {
	// tried is the time of the last attempt, heard that of the last exchange
	// or of the first attempt.
	tried    time.Time
	heard    time.Time
	failures int
	// size is the number of members that the zone last reported.
	size int
}

// zoneContacts holds the contact of a bridge with each other zone.
type zoneContacts map[target.Zone]*zoneContact

func (z zoneContacts) of(zone target.Zone, now time.Time) *zoneContact {
	if z[zone] == nil {
		z[zone] = &zoneContact{heard: now}
	}
	return z[zone]
}

// startSummaries exchanges summaries with some other zones if this node is a
// bridge.
func (m *Membership) startSummaries(ctx context.Context) {
	m.mutex.Lock()
	var zones []target.Zone
	if m.table.isBridge(m.options.Bridges) {
		zones = m.nextZones()
	} else {
		clear(m.zones)
	}
	m.mutex.Unlock()
	if len(zones) == 0 {
		return
	}
	m.startOnce(&m.summarizing, func() {
		for _, zone := range zones {
			m.exchange(ctx, zone)
		}
	})
}

// nextZones returns the zones whose last attempt is longest ago, so that each
// has its turn within summaryRounds. The caller holds the mutex.
func (m *Membership) nextZones() []target.Zone {
	now := time.Now()
	zones := m.table.zones()
	for _, seed := range m.options.Seeds() {
		zones = append(zones, seed.Zone)
	}
	slices.Sort(zones)
	zones = slices.Compact(zones)
	zones = slices.DeleteFunc(zones, func(zone target.Zone) bool { return zone == "" || zone == m.options.Self.Zone })
	count := (len(zones) + summaryRounds - 1) / summaryRounds
	m.random.Shuffle(len(zones), func(i, j int) { zones[i], zones[j] = zones[j], zones[i] })
	slices.SortStableFunc(zones, func(one, other target.Zone) int {
		return m.zones.of(one, now).tried.Compare(m.zones.of(other, now).tried)
	})
	for _, zone := range zones[:count] {
		m.zones.of(zone, now).tried = now
	}
	return zones[:count]
}

// exchange sends a summary to a random known member of a zone, or to one of its
// seeds if that failed before.
func (m *Membership) exchange(ctx context.Context, zone target.Zone) {
	m.mutex.Lock()
	address, ok := m.contactOf(zone)
	request := m.summaryRequest(zone)
	stale := m.stale
	m.mutex.Unlock()
	if !ok || stale {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	started := time.Now()
	reply := &pb.SummaryReply{}
	err := m.options.Transport.Call(ctx, address, kindSummary, request, reply)
	now := time.Now()
	if now.Sub(started) > syncTimeout+m.options.Timing.PauseLimit {
		return
	}
	m.counters.summaries.Add(1)
	m.mutex.Lock()
	defer m.unlock()
	if err != nil || reply.Stale || reply.Self.GetZone() != string(zone) {
		m.exchangeFailed(zone, now)
		return
	}
	*m.zones.of(zone, now) = zoneContact{tried: now, heard: now, size: int(reply.ZoneSize)}
	m.applyAll(otherZoneOnly(reply.Members, m.options.Self.Zone), now, true)
	m.applyAll(m.aboutZone(reply.Corrections, zone), now, true)
	m.applyAll(otherZoneOnly(reply.Contacts, m.options.Self.Zone), now, true)
}

// exchangeFailed suspects all known members of a zone that has been silent for
// long. Only their own zone removes them. The caller holds the mutex.
func (m *Membership) exchangeFailed(zone target.Zone, now time.Time) {
	contact := m.zones.of(zone, now)
	contact.failures++
	if now.Sub(contact.heard) < zoneSilence {
		return
	}
	for _, r := range m.table.ranked(zone) {
		if r.suspicion == nil && m.table.suspect(r, r.member.Incarnation, m.options.Self.ID, now) {
			m.queue.addEntry(accusationOf(r, m.options.Self.ID))
		}
	}
}

// contactOf returns the address to exchange with. The caller holds the mutex.
func (m *Membership) contactOf(zone target.Zone) (peer.Address, bool) {
	candidates := make(map[peer.Address]bool)
	for _, r := range m.table.ranked(zone) {
		candidates[r.member.Address] = true
	}
	contact := m.zones.of(zone, time.Now())
	if len(candidates) == 0 || contact.failures >= seedAfterFailures {
		for _, seed := range m.options.Seeds() {
			if seed.Zone == zone {
				candidates[seed.Address] = true
			}
		}
	}
	addresses := m.shuffledAddresses(candidates)
	if len(addresses) == 0 {
		return "", false
	}
	return addresses[0], true
}

// summaryRequest tells a zone about this one, and what is held about it. The
// caller holds the mutex.
func (m *Membership) summaryRequest(zone target.Zone) *pb.SummaryRequest {
	request := &pb.SummaryRequest{
		Self:     entryOf(m.table.self),
		Members:  m.announced(),
		ZoneSize: uint32(m.table.zoneSize),
	}
	for _, known := range m.table.zones() {
		request.Zones = append(request.Zones, string(known))
	}
	for _, r := range m.table.ranked(zone) {
		request.Known = append(request.Known, &pb.Entry{Id: string(r.member.ID), State: r.wireState(), Incarnation: r.member.Incarnation})
	}
	return request
}

// announced returns the members of this zone that other zones should know. The
// caller holds the mutex.
func (m *Membership) announced() []*pb.Entry {
	var entries []*pb.Entry
	for _, r := range m.table.ranked(m.options.Self.Zone) {
		if r.state() != Alive {
			continue
		}
		entries = append(entries, entryOf(r))
		if len(entries) == m.options.MembersPerZone {
			break
		}
	}
	return entries
}

// handleSummary answers a bridge of another zone.
func (m *Membership) handleSummary(_ context.Context, _ target.NodeID, body []byte) (proto.Message, error) {
	request := &pb.SummaryRequest{}
	if err := request.UnmarshalVT(body); err != nil {
		return nil, err
	}
	now := time.Now()
	m.mutex.Lock()
	defer m.unlock()
	m.noticePause(now)
	reply := &pb.SummaryReply{Self: entryOf(m.table.self)}
	if m.stale || !m.settled(now) {
		reply.Stale = true
		return reply, nil
	}
	m.applyAll(otherZoneOnly(request.Members, m.options.Self.Zone), now, true)
	reply.Members = m.announced()
	reply.ZoneSize = uint32(m.table.zoneSize)
	reply.Corrections = m.corrections(request.Known, now)
	reply.Contacts = m.contactsBeyond(request)
	return reply, nil
}

// contactsBeyond returns one living member of each zone that the asking node
// does not know, so that zones find each other through a third. The caller
// holds the mutex.
func (m *Membership) contactsBeyond(request *pb.SummaryRequest) []*pb.Entry {
	var contacts []*pb.Entry
	for _, zone := range m.table.zones() {
		known := slices.Contains(request.Zones, string(zone))
		if known || zone == m.options.Self.Zone || string(zone) == request.Self.GetZone() {
			continue
		}
		for _, r := range m.table.ranked(zone) {
			if r.state() == Alive {
				contacts = append(contacts, entryOf(r))
				break
			}
		}
	}
	return contacts
}

// settled reports whether this node knows its own zone well enough to correct
// others. The caller holds the mutex.
func (m *Membership) settled(now time.Time) bool {
	return m.joined || now.Sub(m.begun) >= settleTime
}

// corrections returns what is wrong in what another zone holds about members of
// this one. Members that it suspects and that are alive here are asked to
// refute. The caller holds the mutex.
func (m *Membership) corrections(known []*pb.Entry, now time.Time) []*pb.Entry {
	var corrections []*pb.Entry
	var challenges []challenge
	for _, held := range known {
		r := m.table.records[target.NodeID(held.GetId())]
		switch {
		case !valid(&pb.Entry{Id: held.GetId(), Incarnation: held.GetIncarnation()}):
		case r == nil || r.member.State == Dead:
			corrections = append(corrections, &pb.Entry{Id: held.Id, State: pb.State_STATE_DEAD, Incarnation: held.Incarnation})
		case r.member.Incarnation > held.Incarnation:
			corrections = append(corrections, entryOf(r))
		case r == m.table.self && accuses(held):
			m.refute(held)
			corrections = append(corrections, entryOf(r))
		case accuses(held) && m.mayChallenge(r, held, now):
			r.challenged = now
			challenges = append(challenges, challenge{member: r.member, accusation: held})
		}
	}
	m.challenge(challenges)
	return corrections
}

// aboutZone returns the entries about known members of one zone.
func (m *Membership) aboutZone(entries []*pb.Entry, zone target.Zone) []*pb.Entry {
	return slices.DeleteFunc(slices.Clone(entries), func(entry *pb.Entry) bool {
		known := m.table.records[target.NodeID(entry.GetId())]
		return known == nil || known.member.Zone != zone
	})
}
