package membership

import (
	"context"

	pb "github.com/bramblemast/bramblemast/pkg/membership/membershippb"
	"github.com/bramblemast/bramblemast/pkg/target"
)

// startGossip sends queued gossip to some random members. Without other members, it clears the
// queue.
func (m *Membership) startGossip(ctx context.Context) {
	m.mutex.Lock()
	chosen := m.randomOthers(m.options.GossipFanout, "")
	timeout := m.options.Timing.ProbeTimeout
	if len(chosen) == 0 {
		m.queue.clear()
	}
	m.mutex.Unlock()
	for _, member := range chosen {
		m.start(func() { m.ping(ctx, member, timeout, nil) })
	}
}

// takeGossip returns the gossip for one message, or nil if there is none.
func (m *Membership) takeGossip() *pb.Gossip {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.takeGossipLocked()
}

// takeGossipLocked is takeGossip for callers that hold the mutex. A node that is stale after a
// pause passes on no gossip.
func (m *Membership) takeGossipLocked() *pb.Gossip {
	if m.stale {
		return nil
	}
	return m.queue.take(maxGossipBytes, retransmits(m.table.zoneSize))
}

// gossipFor returns the gossip for one member: queued gossip, the given entries and any accusation
// of that member that this node holds, so that the member can refute it.
func (m *Membership) gossipFor(id target.NodeID, entries []*pb.Entry) *pb.Gossip {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	gossip := m.takeGossipLocked()
	if accusation := m.accusationFor(id); accusation != nil {
		entries = append([]*pb.Entry{accusation}, entries...)
	}
	if len(entries) == 0 {
		return gossip
	}
	if gossip == nil {
		gossip = &pb.Gossip{}
	}
	gossip.Entries = append(gossip.Entries, entries...)
	return gossip
}

// gossipInAck returns the gossip for the ack of a ping. The sender of gossip already knows most of
// what the ack could contain, so queued gossip is added only if the ping carried none.
func (m *Membership) gossipInAck(from target.NodeID, received *pb.Gossip) *pb.Gossip {
	if received == nil {
		return m.gossipFor(from, nil)
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if accusation := m.accusationFor(from); accusation != nil {
		return &pb.Gossip{Entries: []*pb.Entry{accusation}}
	}
	return nil
}

// accusationFor returns the entry by which this node holds a member to be dead or suspect, or nil.
// The caller holds the mutex.
func (m *Membership) accusationFor(id target.NodeID) *pb.Entry {
	known := m.table.records[id]
	if m.stale || known == nil {
		return nil
	}
	if known.member.State == Dead {
		return entryOf(known)
	}
	if known.suspicion != nil {
		return accusationOf(known, m.options.Self.ID)
	}
	return nil
}

// randomOthers returns up to count different members of this zone that are not dead, excluding this
// node and the excluded member. The caller holds the mutex.
func (m *Membership) randomOthers(count int, excluded target.NodeID) []Member {
	others := m.table.others
	if len(others) <= count+1 {
		return m.shuffledOthers(count, excluded)
	}
	chosen := make([]Member, 0, count)
	for range maxPicksPerMember * count {
		candidate := others[m.random.IntN(len(others))].member
		if candidate.ID == excluded || contains(chosen, candidate.ID) {
			continue
		}
		chosen = append(chosen, candidate)
		if len(chosen) == count {
			break
		}
	}
	return chosen
}

// maxPicksPerMember bounds the random picks per requested member, because a pick may hit a member
// that is already chosen.
const maxPicksPerMember = 8

func (m *Membership) shuffledOthers(count int, excluded target.NodeID) []Member {
	chosen := make([]Member, 0, len(m.table.others))
	for _, other := range m.table.others {
		if other.member.ID != excluded {
			chosen = append(chosen, other.member)
		}
	}
	m.random.Shuffle(len(chosen), func(i, j int) { chosen[i], chosen[j] = chosen[j], chosen[i] })
	return chosen[:min(count, len(chosen))]
}

func contains(members []Member, id target.NodeID) bool {
	for _, member := range members {
		if member.ID == id {
			return true
		}
	}
	return false
}
