package membership

import (
	"context"
	"slices"
	"time"

	pb "github.com/bramblemast/bramblemast/pkg/membership/membershippb"
	"github.com/bramblemast/bramblemast/pkg/peer"
	"github.com/bramblemast/bramblemast/pkg/target"
)

const (
	// joinPeriod is the time between two attempts to find a first member.
	joinPeriod = 500 * time.Millisecond
	// joinAttempts is the number of addresses that are tried in each attempt.
	joinAttempts = 3
	// seedZoneRetention is how long the zone of a seed is remembered.
	seedZoneRetention = 5 * time.Minute
)

// seedZones remembers the zones of seeds that were found to be in another zone
// than this node, so that they are not asked over and over.
type seedZones map[peer.Address]seedZone

type seedZone struct {
	zone  target.Zone
	since time.Time
}

// of returns the remembered zone of an address, or an empty one.
func (s seedZones) of(address peer.Address, now time.Time) target.Zone {
	remembered, ok := s[address]
	if ok && now.Sub(remembered.since) >= seedZoneRetention {
		delete(s, address)
		return ""
	}
	return remembered.zone
}

// rejoinPeriod is shorter until the node has found its zone. The caller holds
// the mutex.
func (m *Membership) rejoinPeriod() time.Duration {
	if m.joined {
		return m.options.Timing.RejoinPeriod
	}
	return min(joinPeriod, m.options.Timing.RejoinPeriod)
}

// startRejoin looks for nodes of the zone that this node does not know or holds
// as dead, at the addresses where they may be.
func (m *Membership) startRejoin(ctx context.Context) {
	m.startOnce(&m.joining, func() {
		m.mutex.Lock()
		addresses := m.rejoinAddresses(time.Now())
		attempts := 1
		if !m.joined {
			attempts = joinAttempts
		}
		m.mutex.Unlock()
		for _, address := range addresses[:min(attempts, len(addresses))] {
			m.syncWith(ctx, address)
		}
	})
}

// rejoinAddresses returns, in random order, the addresses of dead members and
// the seeds of this zone, or of an unknown one, that no living member has. A
// node that is alone asks other zones too. The caller holds the mutex.
func (m *Membership) rejoinAddresses(now time.Time) []peer.Address {
	isolated := len(m.table.others) == 0
	candidates := make(map[peer.Address]bool)
	for _, r := range m.table.records {
		if r.member.State == Dead && !r.left && !r.remote {
			candidates[r.member.Address] = true
		}
	}
	for _, seed := range m.options.Seeds() {
		zone := seed.Zone
		if zone == "" {
			zone = m.seedZones.of(seed.Address, now)
		}
		if zone == "" || zone == m.options.Self.Zone || isolated {
			candidates[seed.Address] = true
		}
	}
	for _, r := range m.table.records {
		if r.member.State != Dead {
			delete(candidates, r.member.Address)
		}
	}
	return m.shuffledAddresses(candidates)
}

func (m *Membership) shuffledAddresses(candidates map[peer.Address]bool) []peer.Address {
	addresses := make([]peer.Address, 0, len(candidates))
	for address := range candidates {
		addresses = append(addresses, address)
	}
	slices.Sort(addresses)
	m.random.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses
}

// recoverySource returns a random member or seed to fetch the list from.
func (m *Membership) recoverySource() (peer.Address, bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	candidates := make(map[peer.Address]bool)
	for _, member := range m.randomOthers(joinAttempts, "") {
		candidates[member.Address] = true
	}
	for _, seed := range m.options.Seeds() {
		if seed.Zone == m.options.Self.Zone && seed.Address != m.options.Self.Address {
			candidates[seed.Address] = true
		}
	}
	addresses := m.shuffledAddresses(candidates)
	if len(addresses) == 0 {
		return "", false
	}
	return addresses[0], true
}

// learnOtherZone takes in what a node of another zone told. It returns the
// address of an unknown member of this zone, if that node named one.
func (m *Membership) learnOtherZone(address peer.Address, reply *pb.SyncReply) (peer.Address, bool) {
	zone := target.Zone(reply.Self.GetZone())
	if zone == "" {
		return "", false
	}
	now := time.Now()
	m.mutex.Lock()
	defer m.unlock()
	m.seedZones[address] = seedZone{zone: zone, since: now}
	m.applyAll(otherZoneOnly(reply.Entries, m.options.Self.Zone), now, true)
	named := make(map[peer.Address]bool)
	for _, entry := range reply.Entries {
		ownZone := valid(entry) && target.Zone(entry.Zone) == m.options.Self.Zone
		if ownZone && m.table.records[target.NodeID(entry.Id)] == nil {
			named[peer.Address(entry.Address)] = true
		}
	}
	addresses := m.shuffledAddresses(named)
	if len(addresses) == 0 {
		return "", false
	}
	return addresses[0], true
}

// otherZoneOnly returns the declarations about members of other zones.
func otherZoneOnly(entries []*pb.Entry, ownZone target.Zone) []*pb.Entry {
	var others []*pb.Entry
	for _, entry := range entries {
		if valid(entry) && entry.Zone != "" && target.Zone(entry.Zone) != ownZone {
			others = append(others, entry)
		}
	}
	return others
}
