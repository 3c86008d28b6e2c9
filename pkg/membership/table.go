package membership

import (
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	pb "github.com/bramblemast/bramblemast/pkg/membership/membershippb"
	"github.com/bramblemast/bramblemast/pkg/target"
)

// record is what this node knows about one member. Here member.State is Alive, Leaving or Dead; a
// suspicion is stored separately.
type record struct {
	member    Member
	suspicion *suspicion
	// left is set if the member left as announced or was replaced by another process at its
	// address.
	left bool
	// deadSince is when the member was marked dead; it is zero for other members.
	deadSince time.Time
	// finalProbeRunning is set while a suspected member is probed for the last time.
	finalProbeRunning bool
	// declaredAt is when this node last learned a new declaration of the member.
	declaredAt time.Time
	// challengedAt is when the member was last challenged.
	challengedAt time.Time
	// remote is set for members of a zone other than this node's.
	remote bool
	// rank orders the members of a zone, which determines the bridges and which members other zones
	// know; see outranks.
	rank uint64
	// position is the record's index in table.others.
	position int
}

func newRecord(member Member) *record {
	return &record{member: member, rank: xxhash.Sum64String(string(member.ID))}
}

// state returns the state that callers see.
func (r *record) state() State {
	if r.member.State == Alive && r.suspicion != nil {
		return Suspect
	}
	return r.member.State
}

// wireState returns the state for entries sent to peers. Suspicions within the zone are short-lived
// and spread only by gossip. Suspicions of another zone's members last as long as that zone is
// silent.
func (r *record) wireState() pb.State {
	switch {
	case r.remote && r.suspicion != nil:
		return pb.State_STATE_SUSPECT
	case r.member.State == Dead && r.left:
		return pb.State_STATE_LEFT
	case r.member.State == Dead:
		return pb.State_STATE_DEAD
	case r.member.State == Leaving:
		return pb.State_STATE_LEAVING
	default:
		return pb.State_STATE_ALIVE
	}
}

// table is the list of members that this node knows, including itself. It reads no clock and is not
// safe for concurrent use.
type table struct {
	self           *record
	records        map[target.NodeID]*record
	membersPerZone int
	digests        digests
	// others holds the members of this node's zone that are not dead, excluding this node, in no
	// particular order.
	others []*record
	// zoneSize is the number of members of this node's zone that are not dead, including this node.
	zoneSize int
	// suspects is the number of suspected members.
	suspects int
	// version is incremented by every change.
	version uint64
}

func newTable(self Member, membersPerZone int) *table {
	t := &table{
		self:           newRecord(self),
		records:        make(map[target.NodeID]*record),
		membersPerZone: membersPerZone,
	}
	t.insert(t.self)
	return t
}

func (t *table) insert(r *record) {
	r.remote = r.member.Zone != t.self.member.Zone
	t.records[r.member.ID] = r
	t.count(r, 1)
	t.version++
}

// change applies edit to a record and keeps the counts and digests consistent.
func (t *table) change(r *record, edit func()) {
	t.count(r, -1)
	edit()
	t.count(r, 1)
	t.version++
}

func (t *table) remove(r *record) {
	t.count(r, -1)
	delete(t.records, r.member.ID)
	t.version++
}

func (t *table) count(r *record, by int) {
	if r.suspicion != nil {
		t.suspects += by
	}
	if r.member.State == Dead {
		return
	}
	t.digests.toggle(r)
	if r.remote {
		return
	}
	t.zoneSize += by
	if r == t.self {
		return
	}
	if by > 0 {
		t.addOther(r)
	} else {
		t.removeOther(r)
	}
}

func (t *table) addOther(r *record) {
	r.position = len(t.others)
	t.others = append(t.others, r)
}

func (t *table) removeOther(r *record) {
	last := t.others[len(t.others)-1]
	t.others[r.position] = last
	last.position = r.position
	t.others[len(t.others)-1] = nil
	t.others = t.others[:len(t.others)-1]
}

// apply applies one entry that is not about this node. It reports whether anything changed, so that
// the entry is worth passing on.
func (t *table) apply(entry *pb.Entry, now time.Time) bool {
	known := t.records[target.NodeID(entry.Id)]
	switch entry.State {
	case pb.State_STATE_ALIVE, pb.State_STATE_LEAVING:
		return t.applyDeclaration(known, entry, now)
	case pb.State_STATE_SUSPECT:
		return known != nil && t.suspect(known, entry.Incarnation, target.NodeID(entry.Accuser), now)
	case pb.State_STATE_DEAD, pb.State_STATE_LEFT:
		return known != nil && t.markDead(known, entry.Incarnation, entry.State == pb.State_STATE_LEFT, now)
	default:
		return false
	}
}

// applyDeclaration applies a member's declaration about itself.
func (t *table) applyDeclaration(known *record, entry *pb.Entry, now time.Time) bool {
	if known == nil {
		added := newRecord(memberOf(entry))
		added.declaredAt = now
		t.insert(added)
		return t.trim(target.Zone(entry.Zone), target.NodeID(entry.Id))
	}
	if entry.Incarnation <= known.member.Incarnation {
		return false
	}
	t.change(known, func() {
		known.member = memberOf(entry)
		known.declaredAt = now
		known.suspicion = nil
		known.left = false
		known.deadSince = time.Time{}
	})
	return t.trim(target.Zone(entry.Zone), target.NodeID(entry.Id))
}

// suspect records an accusation. It reports whether anything changed.
func (t *table) suspect(known *record, incarnation uint64, accuser target.NodeID, now time.Time) bool {
	if known.member.State == Dead || incarnation < known.member.Incarnation {
		return false
	}
	if known.suspicion != nil {
		return known.suspicion.confirm(accuser)
	}
	t.change(known, func() {
		known.member.Incarnation = incarnation
		known.suspicion = &suspicion{since: now, accusers: []target.NodeID{accuser}}
	})
	return true
}

// markDead marks a member as dead. It reports whether anything changed.
func (t *table) markDead(known *record, incarnation uint64, left bool, now time.Time) bool {
	if known.member.State == Dead || incarnation < known.member.Incarnation {
		return false
	}
	t.change(known, func() {
		known.member.Incarnation = incarnation
		known.member.State = Dead
		known.suspicion = nil
		known.left = left
		known.deadSince = now
	})
	return true
}

// trim limits the number of known members of another zone to membersPerZone by removing those of
// lowest rank. It reports whether the given member was kept.
func (t *table) trim(zone target.Zone, added target.NodeID) bool {
	if zone == t.self.member.Zone {
		return true
	}
	living := t.ranked(zone)
	kept := true
	for _, dropped := range living[min(len(living), t.membersPerZone):] {
		t.remove(dropped)
		kept = kept && dropped.member.ID != added
	}
	return kept
}

// ranked returns the members of a zone that are not dead, highest rank first. Every node computes
// the same order.
func (t *table) ranked(zone target.Zone) []*record {
	var living []*record
	for _, r := range t.records {
		if r.member.Zone == zone && r.member.State != Dead {
			living = append(living, r)
		}
	}
	sort.Slice(living, func(i, j int) bool { return living[i].outranks(living[j]) })
	return living
}

// outranks orders members by a hash of their IDs, so that duties are spread evenly and reassigned
// without agreement when members join or leave.
func (r *record) outranks(other *record) bool {
	if r.rank != other.rank {
		return r.rank > other.rank
	}
	return r.member.ID > other.member.ID
}

// isBridge reports whether this node is alive and one of its zone's highest-ranked alive members, of
// which the given number are bridges.
func (t *table) isBridge(bridges int) bool {
	above := 0
	for _, other := range t.others {
		if other.state() == Alive && other.outranks(t.self) {
			above++
		}
		if above >= bridges {
			return false
		}
	}
	return t.self.member.State == Alive
}

// expired returns the suspected members of this node's zone whose time to refute is over and whose
// final probe is not running. Members of other zones never expire: only their own zone removes
// them.
func (t *table) expired(now time.Time, probePeriod time.Duration) []*record {
	if t.suspects == 0 {
		return nil
	}
	var found []*record
	for _, r := range t.records {
		if r.suspicion == nil || r.finalProbeRunning || r.remote {
			continue
		}
		if now.Sub(r.suspicion.since) >= r.suspicion.timeout(t.zoneSize, probePeriod) {
			found = append(found, r)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].member.ID < found[j].member.ID })
	return found
}

// reap forgets members that have been dead for longer than retention. Dead members of other zones
// are remembered only while outdated gossip about them may still arrive, and members of a silent
// zone for remoteSilentRetention.
func (t *table) reap(now time.Time, retention time.Duration) {
	for _, r := range t.records {
		keepFor := retention
		if r.remote {
			keepFor = min(retention, remoteDeadRetention)
		}
		dead := r.member.State == Dead && now.Sub(r.deadSince) >= keepFor
		silent := r.remote && r.suspicion != nil && now.Sub(r.suspicion.since) >= remoteSilentRetention
		if dead || silent {
			t.remove(r)
		}
	}
}

const (
	// remoteDeadRetention is how long a dead member of another zone is remembered.
	remoteDeadRetention = time.Minute
	// remoteSilentRetention is how long the members of a silent zone are remembered. It exceeds the
	// time for which regions may lose contact with each other.
	remoteSilentRetention = 3 * time.Hour
)

// markReplaced marks as dead the other members of other zones that have the address of the process
// that sent self. It returns them.
func (t *table) markReplaced(self *pb.Entry, now time.Time) []*record {
	var replaced []*record
	for _, r := range t.records {
		if !r.remote || string(r.member.Address) != self.GetAddress() || string(r.member.ID) == self.GetId() {
			continue
		}
		if t.markDead(r, r.member.Incarnation, true, now) {
			replaced = append(replaced, r)
		}
	}
	return replaced
}

// restartSuspicions restarts the time to refute of every suspected member.
func (t *table) restartSuspicions(now time.Time) {
	for _, r := range t.records {
		if r.suspicion != nil {
			r.suspicion.since = now
		}
	}
}

// dropSuspicions removes all suspicions.
func (t *table) dropSuspicions() {
	for _, r := range t.records {
		if r.suspicion != nil {
			t.change(r, func() { r.suspicion = nil })
		}
	}
}

// dropBuckets removes the members in the given buckets, except this node.
func (t *table) dropBuckets(buckets []uint32) {
	var dropped [digestBuckets]bool
	for _, bucket := range buckets {
		dropped[bucket%digestBuckets] = true
	}
	for id, r := range t.records {
		if dropped[bucketOf(id)] && r != t.self {
			t.remove(r)
		}
	}
}

// members returns all members sorted by ID.
func (t *table) members() []Member {
	list := make([]Member, 0, len(t.records))
	for _, r := range t.records {
		member := r.member
		member.State = r.state()
		list = append(list, member)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}

// membersOf returns the records of a zone's members, including dead ones, sorted by ID.
func (t *table) membersOf(zone target.Zone) []*record {
	var found []*record
	for _, r := range t.records {
		if r.member.Zone == zone {
			found = append(found, r)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].member.ID < found[j].member.ID })
	return found
}

// zones returns the zones of all members that are not dead, sorted.
func (t *table) zones() []target.Zone {
	var zones []target.Zone
	for _, r := range t.records {
		if r.member.State != Dead && !slices.Contains(zones, r.member.Zone) {
			zones = append(zones, r.member.Zone)
		}
	}
	slices.Sort(zones)
	return zones
}
