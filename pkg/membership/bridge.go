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
	// summaryRounds is the number of rounds within which a bridge contacts every other zone once.
	summaryRounds = 8
	// zoneSilenceTimeout is the time without a successful exchange after which the members of
	// another zone are suspected.
	zoneSilenceTimeout = 20 * time.Second
	// firstNodeSettleTime is the time after the start from which a node that found no other node of
	// its zone assumes that it is the first one.
	firstNodeSettleTime = 5 * time.Second
	// listCompleteAfter is the time after the start from which a node assumes that its list is
	// complete, so that a member it does not know is dead.
	listCompleteAfter = time.Minute
	// seedAfterFailures is the number of failed exchanges with a zone after which the zone's seeds
	// are tried too.
	seedAfterFailures = 2
)

// zoneContact is the state of a bridge's exchanges with one other zone.
type zoneContact struct {
	// lastAttempt is the time of the last attempt. lastExchange is the time of the last successful
	// exchange, or of the first attempt if there was none.
	lastAttempt  time.Time
	lastExchange time.Time
	failures     int
	// failed holds the addresses that failed since the last successful exchange. allFailed is set
	// once every candidate address has failed.
	failed    map[peer.Address]bool
	allFailed bool
	// reportedSize is the number of members that the zone last reported.
	reportedSize int
}

// zoneContacts holds a bridge's contact state for each other zone.
type zoneContacts map[target.Zone]*zoneContact

func (z zoneContacts) of(zone target.Zone, now time.Time) *zoneContact {
	if z[zone] == nil {
		z[zone] = &zoneContact{lastExchange: now, failed: make(map[peer.Address]bool)}
	}
	return z[zone]
}

// startSummaries exchanges summaries with some of the other zones if this node is a bridge.
func (m *Membership) startSummaries(ctx context.Context) {
	m.mutex.Lock()
	var zones []target.Zone
	if m.table.isBridge(m.options.Bridges) {
		zones = m.nextZones()
	} else {
		clear(m.contacts)
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

// nextZones returns the zones with the oldest last attempt, so that each zone is contacted within
// summaryRounds rounds. The caller holds the mutex.
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
		return m.contacts.of(one, now).lastAttempt.Compare(m.contacts.of(other, now).lastAttempt)
	})
	for _, zone := range zones[:count] {
		m.contacts.of(zone, now).lastAttempt = now
	}
	return zones[:count]
}

// exchange sends a summary to a random known member of a zone. After seedAfterFailures failures,
// the zone's seeds are candidates too.
func (m *Membership) exchange(ctx context.Context, zone target.Zone) {
	m.mutex.Lock()
	address, ok := m.contactAddress(zone)
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
	if err != nil || reply.Self.GetZone() != string(zone) {
		m.exchangeFailed(zone, address, now)
		return
	}
	if reply.Stale {
		m.contacts.of(zone, now).lastExchange = now
		m.removeReplacedRemote(reply.Self, now)
		return
	}
	m.contacts[zone] = &zoneContact{lastAttempt: now, lastExchange: now, reportedSize: int(reply.ZoneSize), failed: make(map[peer.Address]bool)}
	m.removeReplacedRemote(reply.Self, now)
	m.applyMembersOf(zone, reply.Members, now)
	m.applyAll(m.entriesOfZone(reply.Corrections, zone), now, true)
	m.applyAll(otherZoneOnly(reply.Contacts, m.options.Self.Zone), now, true)
}

// exchangeFailed records a failed exchange. Once all candidates have failed and the zone has been
// silent for zoneSilenceTimeout, it suspects the zone's members, except those with a new
// declaration within that time. Only a member's own zone removes it. The caller holds the mutex.
func (m *Membership) exchangeFailed(zone target.Zone, address peer.Address, now time.Time) {
	contact := m.contacts.of(zone, now)
	contact.failures++
	contact.failed[address] = true
	if now.Sub(contact.lastExchange) < zoneSilenceTimeout || !contact.allFailed {
		return
	}
	for _, r := range m.table.ranked(zone) {
		recentlyDeclared := now.Sub(r.declaredAt) < zoneSilenceTimeout
		if r.suspicion == nil && !recentlyDeclared && m.table.suspect(r, r.member.Incarnation, m.options.Self.ID, now) {
			m.queue.addEntry(accusationOf(r, m.options.Self.ID))
		}
	}
}

// contactAddress returns the address to exchange with: one that has not failed since the last
// successful exchange, or any candidate once all have failed. The caller holds the mutex.
func (m *Membership) contactAddress(zone target.Zone) (peer.Address, bool) {
	candidates := make(map[peer.Address]bool)
	for _, r := range m.table.ranked(zone) {
		candidates[r.member.Address] = true
	}
	contact := m.contacts.of(zone, time.Now())
	if len(candidates) == 0 || contact.failures >= seedAfterFailures {
		for _, seed := range m.options.Seeds() {
			if seed.Zone == zone {
				candidates[seed.Address] = true
			}
		}
	}
	all := m.shuffledAddresses(candidates)
	if len(all) == 0 {
		return "", false
	}
	for _, address := range all {
		if !contact.failed[address] {
			return address, true
		}
	}
	contact.allFailed = true
	clear(contact.failed)
	return all[0], true
}

// summaryRequest describes this zone and lists what this node knows about the other zone. The
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
	for _, r := range m.table.membersOf(zone) {
		request.Known = append(request.Known, &pb.Entry{Id: string(r.member.ID), State: r.wireState(), Incarnation: r.member.Incarnation})
	}
	return request
}

// announced returns the members of this zone that other zones should know: the highest-ranked alive
// ones, at most MembersPerZone. The caller holds the mutex.
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

// handleSummary answers a summary from a bridge of another zone.
func (m *Membership) handleSummary(_ context.Context, _ target.NodeID, body []byte) (proto.Message, error) {
	request := &pb.SummaryRequest{}
	if err := request.UnmarshalVT(body); err != nil {
		return nil, err
	}
	now := time.Now()
	m.mutex.Lock()
	defer m.unlock()
	m.detectPause(now)
	reply := &pb.SummaryReply{Self: entryOf(m.table.self)}
	if m.stale || !m.settled(now) {
		reply.Stale = true
		return reply, nil
	}
	m.removeReplacedRemote(request.Self, now)
	m.applyMembersOf(target.Zone(request.Self.GetZone()), request.Members, now)
	reply.Members = withoutKnown(m.announced(), request.Known)
	reply.ZoneSize = uint32(m.table.zoneSize)
	reply.Corrections = m.corrections(request.Known, now)
	reply.Contacts = m.contactsInUnknownZones(request)
	return reply, nil
}

// removeReplacedRemote marks members of another zone as dead if a different process now has their
// address, and queues that as gossip. The caller holds the mutex.
func (m *Membership) removeReplacedRemote(self *pb.Entry, now time.Time) {
	if !valid(self) || target.Zone(self.Zone) == m.options.Self.Zone {
		return
	}
	for _, replaced := range m.table.markReplaced(self, now) {
		m.queue.addEntry(entryOf(replaced))
	}
}

// applyMembersOf applies what a zone reports about its own members, and ignores entries about other
// zones. The caller holds the mutex.
func (m *Membership) applyMembersOf(zone target.Zone, entries []*pb.Entry, now time.Time) {
	for _, entry := range otherZoneOnly(entries, m.options.Self.Zone) {
		if target.Zone(entry.Zone) == zone {
			m.applyAll([]*pb.Entry{entry}, now, true)
		}
	}
}

// withoutKnown returns the entries that the other side does not already hold in the same state and
// incarnation.
func withoutKnown(entries, known []*pb.Entry) []*pb.Entry {
	return slices.DeleteFunc(entries, func(entry *pb.Entry) bool {
		return slices.ContainsFunc(known, func(held *pb.Entry) bool {
			return held.GetId() == entry.Id && held.GetState() == entry.State && held.GetIncarnation() == entry.Incarnation
		})
	})
}

// contactsInUnknownZones returns one alive member of each zone that the requesting node does not
// know, so that zones discover each other through a third zone. The caller holds the mutex.
func (m *Membership) contactsInUnknownZones(request *pb.SummaryRequest) []*pb.Entry {
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

// settled reports whether this node knows its own zone well enough to correct other zones. The
// caller holds the mutex.
func (m *Membership) settled(now time.Time) bool {
	return m.joined || now.Sub(m.startedAt) >= firstNodeSettleTime
}

// corrections returns entries that fix errors in what another zone holds about members of this
// zone. Members that it holds as suspect or dead and that are alive here are asked to refute the
// accusation, so that their higher incarnation overrides the error everywhere. The caller holds the
// mutex.
func (m *Membership) corrections(known []*pb.Entry, now time.Time) []*pb.Entry {
	var corrections []*pb.Entry
	var challenges []challenge
	for _, held := range known {
		r := m.table.records[target.NodeID(held.GetId())]
		switch {
		case !valid(&pb.Entry{Id: held.GetId(), Incarnation: held.GetIncarnation()}):
		case r == nil && now.Sub(m.startedAt) < listCompleteAfter:
		case (r == nil || r.member.State == Dead) && held.State == pb.State_STATE_DEAD:
		case r == nil || r.member.State == Dead:
			corrections = append(corrections, &pb.Entry{Id: held.Id, State: pb.State_STATE_DEAD, Incarnation: held.Incarnation})
		case r.member.Incarnation > held.Incarnation:
			corrections = append(corrections, entryOf(r))
		case r == m.table.self && accuses(held):
			m.refute(held)
			corrections = append(corrections, entryOf(r))
		case accuses(held) && m.mayChallenge(r, held, now):
			r.challengedAt = now
			challenges = append(challenges, challenge{member: r.member, accusation: held})
		}
	}
	m.challenge(challenges)
	return corrections
}

// entriesOfZone returns the entries about known members of one zone.
func (m *Membership) entriesOfZone(entries []*pb.Entry, zone target.Zone) []*pb.Entry {
	return slices.DeleteFunc(slices.Clone(entries), func(entry *pb.Entry) bool {
		known := m.table.records[target.NodeID(entry.GetId())]
		return known == nil || known.member.Zone != zone
	})
}
