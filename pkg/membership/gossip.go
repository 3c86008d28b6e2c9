package membership

import (
	"context"

	pb "github.com/bramblemast/bramblemast/pkg/membership/membershippb"
	"github.com/bramblemast/bramblemast/pkg/target"
)

// startGossip sends fresh news to some random members.
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

// takeGossip returns the gossip for one message, nil if there is none.
func (m *Membership) takeGossip() *pb.Gossip {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.takeGossipLocked()
}

// takeGossipLocked is takeGossip for callers that hold the mutex. A node that
// was paused passes nothing on.
func (m *Membership) takeGossipLocked() *pb.Gossip {
	if m.stale {
		return nil
	}
	return m.queue.take(maxGossipBytes, retransmits(m.table.zoneSize))
}

// gossipFor returns the gossip for one member, with the given entries and with
// what this node holds against that member, so that it can refute it.
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

// gossipInAck returns the gossip for the answer to a ping. Most of what could
// answer gossip is known to its sender, so only a ping without any gets some.
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

// accusationFor returns what this node holds against a member, or nil. The
// caller holds the mutex.
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

// randomOthers returns up to count different members of the zone that are not
// dead, without this node and the excluded one. The caller holds the mutex.
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

// maxPicksPerMember bounds the tries to find a member that is not chosen yet.
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
