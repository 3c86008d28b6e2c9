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
	// syncTimeout bounds one exchange of lists.
	syncTimeout = 3 * time.Second
	// challengeInterval is the least time between two challenges of a member.
	challengeInterval = 5 * time.Second
	// challengeWorkers bounds the challenges that run at once.
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

// syncWith makes the lists of two nodes equal: a first exchange finds the
// buckets that differ and fetches the other's entries, a second one gives it
// what it lacks. A node of another zone may name one of this zone, which is
// asked then.
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

// compare sends the digests of this node's list.
func (m *Membership) compare(ctx context.Context, address peer.Address) (*pb.SyncReply, error) {
	m.mutex.Lock()
	digests := m.table.digests
	recent := m.broadcasts.recent(time.Now())
	m.mutex.Unlock()
	m.counters.syncs.Add(1)
	return m.callSync(ctx, address, &pb.SyncRequest{Digests: digests[:], RecentNews: recent})
}

// completeSync takes in what the other node gave, and gives it what it lacks.
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

// callSync sends one message of a comparison.
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

// knownEntries returns the living members of another zone. The caller holds the
// mutex.
func (m *Membership) knownEntries(zone target.Zone) []*pb.Entry {
	var entries []*pb.Entry
	for _, r := range m.table.ranked(zone) {
		entries = append(entries, entryOf(r))
	}
	return entries
}

// fillReply gives the entries that the asking node may lack, and what this node
// holds against it. The caller holds the mutex.
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

// merge takes in a list that a node of the zone gave. The first list that a
// node gets is not news to the others, so it is not passed on.
func (m *Membership) merge(entries []*pb.Entry) {
	m.mutex.Lock()
	challenged := m.mergeLocked(entries, time.Now(), m.joined)
	m.joined = true
	m.unlock()
	m.challenge(challenged)
}

// mergeLocked takes in a list. That another node calls a member dead is no
// news by itself, because it may have been cut off: such members are returned,
// to be asked themselves. The caller holds the mutex.
func (m *Membership) mergeLocked(entries []*pb.Entry, now time.Time, passOn bool) []challenge {
	var challenges []challenge
	declared := make([]*pb.Entry, 0, len(entries))
	for _, entry := range entries {
		known := m.table.records[target.NodeID(entry.GetId())]
		direct := known != nil && (known.remote || known == m.table.self)
		if !valid(entry) || direct || !accuses(entry) {
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

// mayChallenge reports whether a member that is called dead should be asked.
// The caller holds the mutex.
func (m *Membership) mayChallenge(known *record, accusation *pb.Entry, now time.Time) bool {
	return known.member.State != Dead &&
		accusation.Incarnation >= known.member.Incarnation &&
		!known.remote &&
		now.Sub(known.challengedAt) >= challengeInterval
}

// missingIn returns the entries of the differing buckets that the reply lacks
// or has at a lower incarnation.
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

// challenge is a member that another node calls dead.
type challenge struct {
	member     Member
	accusation *pb.Entry
}

// challenge tells members that they are called dead, so that they refute it;
// those that do not answer are suspected.
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
