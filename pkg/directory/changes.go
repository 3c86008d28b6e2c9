package directory

import (
	"context"
	"math"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/bramblemast/bramblemast/pkg/directory/directorypb"
	"github.com/bramblemast/bramblemast/pkg/target"
)

// learnOutage records the outage that a node reports in a reply to a request sent at sentAt. A node that
// learns of deletions from others needs to know, as they do, whether the store was lost. It is called
// before the reply's changes are applied.
func (p *Peers) learnOutage(reply *directorypb.ChangesReply, sentAt time.Time) {
	if reply.RegainedAgeMs != nil && p.follower.Role() == PeerPoller {
		p.follower.learnOutage(outageFrom(reply, sentAt))
	}
}

// confirmedAtFrom returns when the other node was known to be up to date with the store, by its reply to a
// request sent at sentAt; zero if the reply does not say.
func (p *Peers) confirmedAtFrom(reply *directorypb.ChangesReply, sentAt time.Time) time.Time {
	if reply.KnownAgeMs == nil || p.incomplete {
		return time.Time{}
	}
	return timeFromAge(sentAt, reply.KnownAgeMs)
}

// outageFrom returns the outage that a reply reports. One that began too long ago to be reported
// began before anything that this node remembers.
func outageFrom(reply *directorypb.ChangesReply, sentAt time.Time) outage {
	reported := outage{from: sentAt.Add(-maxReportedAge), to: timeFromAge(sentAt, reply.RegainedAgeMs)}
	if reply.LostAgeMs != nil {
		reported.from = timeFromAge(sentAt, reply.LostAgeMs)
	}
	return reported
}

// timeFromAge returns the time that a reply reports as an age.
func timeFromAge(sentAt time.Time, ageMillis *uint32) time.Time {
	return sentAt.Add(-time.Duration(*ageMillis) * time.Millisecond)
}

// coverageOf returns what the last reply covers.
func (p *Peers) coverageOf(reply *directorypb.ChangesReply) coverage {
	switch {
	case p.incomplete:
		return newerOnly
	case reply.Full:
		return wholeState
	}
	return allChanges
}

// isNewerOnly reports whether a reply cannot tell which keys were deleted: it is marked as full,
// but has the revision of the request.
func isNewerOnly(reply *directorypb.ChangesReply, after uint64) bool {
	return reply.Full && after > 0 && reply.Revision == after
}

func (p *Peers) decode(item *directorypb.Item) Entry {
	entry := p.follower.source.Decode(item.Key, item.Value, item.Revision)
	if item.Gone {
		return entry.asGone(item.Revision)
	}
	return entry
}

// handleChanges answers another node's request with the changes that it lacks.
func (p *Peers) handleChanges(_ context.Context, from target.NodeID, body []byte) (proto.Message, error) {
	request := &directorypb.ChangesRequest{}
	if err := request.UnmarshalVT(body); err != nil {
		return nil, errors.Wrap(err, "decode question for changes")
	}
	// This is read before the replica, which may be newer by then.
	confirmedAt := p.follower.ConfirmedAt()
	batch, covered, continues := p.changesFor(request)
	isAhead := request.Era > batch.Era || request.Era == batch.Era && request.After > batch.Revision
	if isAhead && !p.follower.isStoreUntried() {
		select {
		case p.ahead <- from:
		default:
		}
	}
	recentOutage := p.follower.lastKnownOutage()
	reply := &directorypb.ChangesReply{
		Era: batch.Era, Revision: batch.Revision, Full: covered != allChanges, Continues: continues, AwaitsPeers: p.follower.AwaitsPeers(),
		KnownAgeMs: ageMillis(confirmedAt), RegainedAgeMs: ageMillis(recentOutage.to), LostAgeMs: ageMillis(recentOutage.from),
	}
	for _, each := range batch.gaps {
		reply.Gaps = append(reply.Gaps, &directorypb.Gap{From: each.from, To: each.to})
	}
	for _, entry := range batch.Entries {
		reply.Items = append(reply.Items, &directorypb.Item{
			Key: entry.Key, Value: entry.Value, Revision: entry.Revision, Gone: entry.Gone,
		})
	}
	p.addRetained(request, reply)
	return reply, nil
}

// changesFor returns the changes that another node lacks, what they cover, and whether they are
// only the differences from the previous era.
func (p *Peers) changesFor(request *directorypb.ChangesRequest) (batch Batch, covered coverage, continues bool) {
	position := p.follower.replica.position()
	after := request.After
	switch {
	case request.Era > position.Era:
		return Batch{Era: position.Era, Revision: position.Revision}, allChanges, false
	case request.Era < position.Era:
		if batch, known := p.follower.replica.diffSince(Position{Era: request.Era, Revision: request.After}); known {
			return batch, allChanges, true
		}
		after = 0
	}
	batch, covered = p.follower.replica.since(after)
	return batch, covered, false
}

// addRetained adds the retained states of earlier eras that the other node does not hold.
func (p *Peers) addRetained(request *directorypb.ChangesRequest, reply *directorypb.ChangesReply) {
	reply.EraAgeMs = ageMillis(p.follower.replica.eraStartedAt())
	if request.EarlierDigest == p.follower.replica.retainedDigest() && request.Era <= reply.Era {
		return
	}
	for _, state := range p.follower.replica.statesForEra(request.Era) {
		reply.Earlier = append(reply.Earlier, &directorypb.Item{
			Key: state.entry.Key, Value: state.entry.Value, Revision: state.lastWrite, Gone: state.entry.Gone, Era: state.entry.Era,
		})
	}
}

// applyRetained applies the retained states in a reply to a request sent at sentAt. A reply from a
// node that was already running ends the wait of a node that has just started, since that node
// knows what was in force.
func (p *Peers) applyRetained(reply *directorypb.ChangesReply, sentAt time.Time) {
	states := make([]retainedState, 0, len(reply.Earlier))
	for _, item := range reply.Earlier {
		entry := p.decode(item)
		entry.Era = item.Era
		states = append(states, retainedState{entry: entry, lastWrite: item.Revision})
	}
	var eraStart time.Time
	if reply.EraAgeMs != nil && reply.Era == p.follower.replica.position().Era {
		eraStart = timeFromAge(sentAt, reply.EraAgeMs)
	}
	p.follower.replica.learnRetained(states, eraStart, p.follower.writeBackSpan(), time.Now())
	if reply.Revision > 0 && !reply.AwaitsPeers {
		p.follower.stopAwaitingPeers()
	}
}

// ageMillis returns the age of a time in milliseconds; nil if the time is zero or too old to be
// reported.
func ageMillis(at time.Time) *uint32 {
	age := time.Since(at)
	if at.IsZero() || age > maxReportedAge {
		return nil
	}
	// Rounded up, since a time that is too early claims less.
	millis := uint32(math.Ceil(max(0, age).Seconds() * 1000))
	return &millis
}
