package membership

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/bramblemast/bramblemast/pkg/membership/membershippb"
	"github.com/bramblemast/bramblemast/pkg/peer"
	"github.com/bramblemast/bramblemast/pkg/target"
)

const (
	// syncTimeout bounds one exchange of lists or of summaries.
	syncTimeout = 3 * time.Second
	// challengeInterval is the minimum time between two challenges of the same member.
	challengeInterval = 5 * time.Second
	// challengeWorkers bounds the challenges that run concurrently in one call.
	challengeWorkers = 8
)

// startSync compares the list with that of a random member.
func (m *Membership) startSync(ctx context.Context) {
	m.mutex.Lock()
	chosen := m.randomOthers(1, "")
	m.mutex.Unlock()
	if len(chosen) == 0 {
		return
	}
	m.startOnce(&m.syncing, func() { m.syncWith(ctx, chosen[0].Address) })
}

// syncWith reconciles the lists of two nodes. A first exchange finds the buckets that differ and
// fetches the peer's entries; a second one sends the entries that the peer lacks. A node of another
// zone may name a node of this zone, which is then contacted instead.
func (m *Membership) syncWith(ctx context.Context, address peer.Address) {
	reply, err := m.compare(ctx, address)
	if err != nil {
		return
	}
	if reply.Self.GetZone() != string(m.options.Self.Zone) {
		if named, ok := m.learnOtherZone(address, reply); ok && named != address {
			m.syncWithin(ctx, named)
		}
		return
	}
	m.completeSync(ctx, address, reply)
}

// syncWithin is syncWith for an address that should be in this zone.
func (m *Membership) syncWithin(ctx context.Context, address peer.Address) {
	reply, err := m.compare(ctx, address)
	if err == nil && reply.Self.GetZone() == string(m.options.Self.Zone) {
		m.completeSync(ctx, address, reply)
	}
}

// compare sends the digests of this node's list to a peer and returns the reply.
func (m *Membership) compare(ctx context.Context, address peer.Address) (*pb.SyncReply, error) {
	m.mutex.Lock()
	digests := m.table.digests
	recent := m.broadcasts.recent(time.Now())
	m.mutex.Unlock()
	m.counters.syncs.Add(1)
	return m.callSync(ctx, address, &pb.SyncRequest{Digests: digests[:], RecentNews: recent})
}

// completeSync applies the peer's reply and sends the entries that the peer lacks.
func (m *Membership) completeSync(ctx context.Context, address peer.Address, reply *pb.SyncReply) {
	if reply.Stale {
		return
	}
	m.merge(reply.Entries)
	m.receive(&pb.Gossip{News: reply.News})
	if len(reply.Buckets) == 0 {
		return
	}
	m.counters.syncsDiffering.Add(1)
	if missing := m.missingIn(reply); len(missing) > 0 {
		m.callSync(ctx, address, &pb.SyncRequest{Entries: missing})
	}
}

// callSync sends one message of a comparison. A reply that arrives long after the time-out, as
// after a pause of this process, is an error.
func (m *Membership) callSync(ctx context.Context, address peer.Address, request *pb.SyncRequest) (*pb.SyncReply, error) {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	m.mutex.Lock()
	request.Self = entryOf(m.table.self)
	m.mutex.Unlock()
	started := time.Now()
	reply := &pb.SyncReply{}
	err := m.options.Transport.Call(ctx, address, kindSync, request, reply)
	if err == nil && time.Since(started) > syncTimeout+m.options.Timing.PauseLimit {
		return nil, context.DeadlineExceeded
	}
	return reply, err
}

// handleSync answers a comparison.
func (m *Membership) handleSync(_ context.Context, _ target.NodeID, body []byte) (proto.Message, error) {
	request := &pb.SyncRequest{}
	if err := request.UnmarshalVT(body); err != nil {
		return nil, err
	}
	now := time.Now()
	m.mutex.Lock()
	defer m.unlock()
	m.detectPause(now)
	reply := &pb.SyncReply{Self: entryOf(m.table.self)}
	if m.stale {
		reply.Stale = true
		return reply, nil
	}
	if request.Self.GetZone() != string(m.options.Self.Zone) {
		reply.Entries = append(m.announced(), m.knownEntries(target.Zone(request.Self.GetZone()))...)
		return reply, nil
	}
	m.applyAll([]*pb.Entry{request.Self}, now, true)
	challenged := m.mergeLocked(request.Entries, now, true)
	m.challenge(challenged)
	m.fillReply(request, reply)
	return reply, nil
}

// knownEntries returns the entries of another zone's members that are not dead. The caller holds
// the mutex.
func (m *Membership) knownEntries(zone target.Zone) []*pb.Entry {
	var entries []*pb.Entry
	for _, r := range m.table.ranked(zone) {
		entries = append(entries, entryOf(r))
	}
	return entries
}

// fillReply adds the entries that the requesting node may lack, any accusation of that node that
// this node holds, and the broadcasts that it missed. The caller holds the mutex.
func (m *Membership) fillReply(request *pb.SyncRequest, reply *pb.SyncReply) {
	if accusation := m.accusationFor(target.NodeID(request.Self.GetId())); accusation != nil {
		reply.Entries = append(reply.Entries, accusation)
	}
	if len(request.Digests) == 0 {
		return
	}
	reply.News = m.broadcasts.missing(request.RecentNews, time.Now())
	differ := m.table.digests.differing(request.Digests)
	for bucket, differs := range differ {
		if differs {
			reply.Buckets = append(reply.Buckets, uint32(bucket))
		}
	}
	for id, r := range m.table.records {
		if differ[bucketOf(id)] && r != m.table.self {
			reply.Entries = append(reply.Entries, entryOf(r))
		}
	}
	reply.Entries = append(reply.Entries, reply.Self)
}

// merge applies a list from a node of this zone. The first list that a node receives contains
// nothing new to the others, so it is not passed on.
func (m *Membership) merge(entries []*pb.Entry) {
	m.mutex.Lock()
	challenged := m.mergeLocked(entries, time.Now(), m.joined)
	m.joined = true
	m.unlock()
	m.challenge(challenged)
}

// mergeLocked applies a list. Another node's claim that a member of this zone is suspect or dead is
// not applied, because that node may have been cut off. Instead, the accused members are returned
// so that they can be challenged. Claims about this node, or about known members of other zones,
// are applied directly. The caller holds the mutex.
func (m *Membership) mergeLocked(entries []*pb.Entry, now time.Time, passOn bool) []challenge {
	var challenges []challenge
	declared := make([]*pb.Entry, 0, len(entries))
	for _, entry := range entries {
		known := m.table.records[target.NodeID(entry.GetId())]
		applyDirectly := known != nil && (known.remote || known == m.table.self)
		if !valid(entry) || applyDirectly || !accuses(entry) {
			declared = append(declared, entry)
			continue
		}
		if known != nil && m.mayChallenge(known, entry, now) {
			known.challengedAt = now
			challenges = append(challenges, challenge{member: known.member, accusation: entry})
		}
	}
	m.applyAll(declared, now, passOn)
	return challenges
}

// mayChallenge reports whether an accused member should be challenged. The caller holds the mutex.
func (m *Membership) mayChallenge(known *record, accusation *pb.Entry, now time.Time) bool {
	return known.member.State != Dead &&
		accusation.Incarnation >= known.member.Incarnation &&
		!known.remote &&
		now.Sub(known.challengedAt) >= challengeInterval
}

// missingIn returns the entries of the differing buckets that the reply lacks or has at a lower
// incarnation, and those of dead members that the reply lists.
func (m *Membership) missingIn(reply *pb.SyncReply) []*pb.Entry {
	var differ [digestBuckets]bool
	for _, bucket := range reply.Buckets {
		differ[bucket%digestBuckets] = true
	}
	incarnations := make(map[string]uint64, len(reply.Entries))
	for _, entry := range reply.Entries {
		incarnations[entry.Id] = entry.Incarnation
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.stale {
		return nil
	}
	var missing []*pb.Entry
	for id, r := range m.table.records {
		incarnation, found := incarnations[string(id)]
		if !differ[bucketOf(id)] || (!found && r.member.State == Dead) {
			continue
		}
		if incarnation < r.member.Incarnation || r.member.State == Dead {
			missing = append(missing, entryOf(r))
		}
	}
	return missing
}

// challenge is a member that another node holds to be suspect or dead.
type challenge struct {
	member     Member
	accusation *pb.Entry
}

// challenge sends each accused member its accusation, so that it refutes it. Members that do not
// answer are suspected.
func (m *Membership) challenge(challenges []challenge) {
	if len(challenges) == 0 {
		return
	}
	work := make(chan challenge, len(challenges))
	for _, each := range challenges {
		work <- each
	}
	close(work)
	timeout := m.options.Timing.ProbeTimeout
	for range min(challengeWorkers, len(challenges)) {
		m.start(func() {
			for each := range work {
				if _, err := m.ping(context.Background(), each.member, timeout, []*pb.Entry{each.accusation}); err != nil {
					m.accuse(each.member, true)
				}
			}
		})
	}
}
