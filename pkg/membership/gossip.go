package membership

import (
	"context"
	"time"

	pb "github.com/bramblemast/bramblemast/pkg/membership/membershippb"
	"github.com/bramblemast/bramblemast/pkg/relay"
	"github.com/bramblemast/bramblemast/pkg/target"
)

// startGossip delivers queued gossip to the successors that are due, and to random members so that
// it spreads quickly. Without other members, it clears the queue.
func (m *Membership) startGossip(ctx context.Context) {
	m.mutex.Lock()
	timeout := m.options.Timing.ProbeTimeout
	batches := m.takeRelayBatches(time.Now())
	var chosen []Member
	if m.queue.len() > 0 {
		chosen = m.randomOthers(max(1, m.options.GossipFanout-len(batches)), "")
	}
	if len(m.table.others) == 0 {
		m.queue.clear()
	}
	m.mutex.Unlock()
	for _, batch := range batches {
		m.start(func() { m.relayTo(ctx, batch, timeout) })
	}
	for _, member := range chosen {
		m.start(func() { m.ping(ctx, member, timeout, nil) })
	}
}

// relayBatch is gossip to be delivered to one successor.
type relayBatch = relay.Batch[target.NodeID, *item]

// takeRelayBatches returns what is to be sent to the successors now. The caller holds the mutex.
func (m *Membership) takeRelayBatches(now time.Time) []relayBatch {
	if m.stale {
		return nil
	}
	m.ring.update(m.table)
	isAlive := func(id target.NodeID) bool { return m.table.records[id].state() == Alive }
	m.queue.relay.Follow(m.ring.members, relay.RingSuccessors, isAlive)
	return m.queue.relay.Take(now)
}

// relayTo sends a batch to a successor and records whether the successor acknowledged it.
func (m *Membership) relayTo(ctx context.Context, batch relayBatch, timeout time.Duration) {
	m.counters.relays.Add(1)
	delivered := m.deliverBatch(ctx, batch, timeout)
	m.mutex.Lock()
	defer m.unlock()
	if delivered {
		m.queue.relay.Acknowledge(batch)
		return
	}
	m.counters.relayFailures.Add(1)
	m.queue.relay.Fail(batch, time.Now())
}

// deliverBatch sends a batch to a successor, with any accusation of it that this node holds. It
// reports whether the successor acknowledged it.
func (m *Membership) deliverBatch(ctx context.Context, batch relayBatch, timeout time.Duration) bool {
	gossip := &pb.Gossip{}
	for _, each := range batch.Items {
		each.appendTo(gossip)
	}
	m.mutex.Lock()
	known := m.table.records[batch.Node]
	if known == nil {
		m.unlock()
		return false
	}
	member := known.member
	if accusation := m.accusationFor(member.ID); accusation != nil {
		gossip.Entries = append(gossip.Entries, accusation)
	}
	m.unlock()
	ack, _, err := m.pingWith(ctx, member, timeout, gossip)
	return err == nil && target.NodeID(ack.Id) == member.ID
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
