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
	// joinPeriod is the time between two attempts to join the zone, until the first one succeeds.
	joinPeriod = 500 * time.Millisecond
	// joinAttempts is the number of addresses that are tried in each attempt.
	joinAttempts = 3
	// seedZoneRetention is how long the zone of a seed is cached.
	seedZoneRetention = 5 * time.Minute
)

// seedZones caches the zones of seeds that turned out to be in another zone than this node, so that
// they are not contacted again and again.
type seedZones map[peer.Address]seedZone

type seedZone struct {
	zone  target.Zone
	since time.Time
}

// of returns the cached zone of an address, or an empty one.
func (s seedZones) of(address peer.Address, now time.Time) target.Zone {
	remembered, ok := s[address]
	if ok && now.Sub(remembered.since) >= seedZoneRetention {
		delete(s, address)
		return ""
	}
	return remembered.zone
}

// rejoinPeriod returns the time between two attempts to find members. It is shorter until the node
// has joined its zone. The caller holds the mutex.
func (m *Membership) rejoinPeriod() time.Duration {
	if m.joined {
		return m.options.Timing.RejoinPeriod
	}
	return min(joinPeriod, m.options.Timing.RejoinPeriod)
}

// startRejoin contacts addresses that may belong to nodes of this zone that this node does not know
// or holds as dead.
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

// rejoinAddresses returns, in random order, the addresses of dead members and the seeds of this
// zone or of an unknown zone, except addresses of members that are not dead. Members that left are
// not contacted. A node without other members in its zone contacts seeds of other zones too. The
// caller holds the mutex.
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

// recoverySource returns the address of a random member or seed of this zone to fetch the list
// from.
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

// learnOtherZone applies the reply of a node of another zone. It returns the address of a member of
// this zone that the reply names and this node does not know, if any.
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

// otherZoneOnly returns the valid entries that name another zone than ownZone.
func otherZoneOnly(entries []*pb.Entry, ownZone target.Zone) []*pb.Entry {
	var others []*pb.Entry
	for _, entry := range entries {
		if valid(entry) && entry.Zone != "" && target.Zone(entry.Zone) != ownZone {
			others = append(others, entry)
		}
	}
	return others
}
