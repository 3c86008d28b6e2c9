package directory

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/bramblemast/bramblemast/pkg/directory/directorypb"
	"github.com/bramblemast/bramblemast/pkg/target"
)

// hearTimes takes the moments in an answer to a question that was asked at a
// moment, and returns when the other node knew all that the store held; zero if
// it does not tell. A node that learns from others what has gone must know, like
// them, whether the store has been away.
func (p *Peers) hearTimes(reply *directorypb.ChangesReply, asked time.Time) time.Time {
	if reply.RegainedAgeMs != nil && p.follower.Role() == PeerPoller {
		p.follower.hearOutage(outageOf(reply, asked))
	}
	if reply.KnownAgeMs == nil || p.incomplete {
		return time.Time{}
	}
	return momentOf(asked, reply.KnownAgeMs)
}

// outageOf returns the outage that an answer to a question tells of; one that began too
// long ago to be told began longer ago than anything that this node remembers.
func outageOf(reply *directorypb.ChangesReply, asked time.Time) outage {
	heard := outage{from: asked.Add(-greatestToldAge), to: momentOf(asked, reply.RegainedAgeMs)}
	if reply.LostAgeMs != nil {
		heard.from = momentOf(asked, reply.LostAgeMs)
	}
	return heard
}

// momentOf returns the moment that an answer to a question tells as an age.
func momentOf(asked time.Time, ageMillis *uint32) time.Time {
	return asked.Add(-time.Duration(*ageMillis) * time.Millisecond)
}

// coverageOf returns what the last answer tells.
func (p *Peers) coverageOf(reply *directorypb.ChangesReply) coverage {
	switch {
	case p.incomplete:
		return newerOnly
	case reply.Full:
		return wholeState
	}
	return allChanges
}

// isNewerOnly reports whether an answer cannot tell which keys have gone: it is
// marked as full, but has the revision of the question.
func isNewerOnly(reply *directorypb.ChangesReply, after uint64) bool {
	return reply.Full && after > 0 && reply.Revision == after
}

func (p *Peers) decode(item *directorypb.Item) Entry {
	entry := p.follower.source.Decode(item.Key, item.Value, item.Revision)
	if item.Gone {
		return entry.end(item.Revision)
	}
	return entry
}

// answer tells another node what it does not know.
func (p *Peers) answer(_ context.Context, from target.NodeID, body []byte) (proto.Message, error) {
	request := &directorypb.ChangesRequest{}
	if err := request.UnmarshalVT(body); err != nil {
		return nil, errors.Wrap(err, "decode question for changes")
	}
	// Read before the replica, which may know more by then.
	knownAt := p.follower.ConfirmedAt()
	batch, covered, continues := p.changesFor(request)
	isAhead := request.Era > batch.Era || request.Era == batch.Era && request.After > batch.Revision
	if isAhead && !p.follower.isFirstCall() {
		select {
		case p.ahead <- from:
		default:
		}
	}
	lapse := p.follower.lastOutage()
	reply := &directorypb.ChangesReply{
		Era: batch.Era, Revision: batch.Revision, Full: covered != allChanges, Continues: continues, AwaitsPeers: p.follower.AwaitsPeers(),
		KnownAgeMs: ageMillis(knownAt), RegainedAgeMs: ageMillis(lapse.to), LostAgeMs: ageMillis(lapse.from),
	}
	for _, each := range batch.gaps {
		reply.Gaps = append(reply.Gaps, &directorypb.Gap{From: each.from, To: each.to})
	}
	for _, entry := range batch.Entries {
		reply.Items = append(reply.Items, &directorypb.Item{
			Key: entry.Key, Value: entry.Value, Revision: entry.Revision, Gone: entry.Gone,
		})
	}
	p.tellEarlier(request, reply)
	return reply, nil
}

// changesFor returns what another node does not know, what that covers, and whether it is only what
// differs from the era before.
func (p *Peers) changesFor(request *directorypb.ChangesRequest) (batch Batch, covered coverage, continues bool) {
	position := p.follower.replica.position()
	after := request.After
	switch {
	case request.Era > position.Era:
		return Batch{Era: position.Era, Revision: position.Revision}, allChanges, false
	case request.Era < position.Era:
		if batch, known := p.follower.replica.continuing(Position{Era: request.Era, Revision: request.After}); known {
			return batch, allChanges, true
		}
		after = 0
	}
	batch, covered = p.follower.replica.since(after)
	return batch, covered, false
}

// tellEarlier adds the states from before the era that the other node does not hold.
func (p *Peers) tellEarlier(request *directorypb.ChangesRequest, reply *directorypb.ChangesReply) {
	reply.EraAgeMs = ageMillis(p.follower.replica.eraBegan())
	if request.EarlierDigest == p.follower.replica.earlierDigest() && request.Era <= reply.Era {
		return
	}
	for _, state := range p.follower.replica.statesForEra(request.Era) {
		reply.Earlier = append(reply.Earlier, &directorypb.Item{
			Key: state.entry.Key, Value: state.entry.Value, Revision: state.written, Gone: state.entry.Gone, Era: state.entry.Era,
		})
	}
}

// hearEarlier takes the states from before the era in an answer to a question of a moment. A node
// that has been running knows what was in force, so that one which has just started need not wait.
func (p *Peers) hearEarlier(reply *directorypb.ChangesReply, asked time.Time) {
	states := make([]earlierState, 0, len(reply.Earlier))
	for _, item := range reply.Earlier {
		entry := p.decode(item)
		entry.Era = item.Era
		states = append(states, earlierState{entry: entry, written: item.Revision})
	}
	var since time.Time
	if reply.EraAgeMs != nil && reply.Era == p.follower.replica.position().Era {
		since = momentOf(asked, reply.EraAgeMs)
	}
	p.follower.replica.learnEarlier(states, since, p.follower.writeBackWithin(), time.Now())
	if reply.Revision > 0 && !reply.AwaitsPeers {
		p.follower.endAwaitingPeers()
	}
}

// ageMillis returns how long ago a moment was, in milliseconds; nil if it is zero
// or too long ago to matter.
func ageMillis(at time.Time) *uint32 {
	age := time.Since(at)
	if at.IsZero() || age > greatestToldAge {
		return nil
	}
	millis := uint32(max(0, age).Milliseconds())
	return &millis
}
