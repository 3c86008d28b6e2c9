package configsync

import (
	"context"
	"math"

	pb "github.com/bramblemast/bramblemast/pkg/configsync/configsyncpb"
	"github.com/bramblemast/bramblemast/pkg/template"
)

// A document spreads in a zone along a tree. The members of the zone are ordered by a hash of
// document and member, so the tree differs for each document and the load is even over many
// documents. The first member of the order is the root. Each node that passes a document on splits
// the range of the order that it is responsible for into Fanout parts, and sends each part to its
// first member, the head. If the head does not answer, the next member becomes the head of the rest
// of the part. After maxHeadsTried heads in a row have failed, the node splits the rest again, so
// that members that are down can't keep a document from those after them, however many they are.
// Ranges are given as hashes, not positions, so a member that only one of two nodes knows does not
// shift the others.
//
// A node that receives a document outside the tree hands it to the root, which starts the tree once
// and offers the document to each other zone.

const (
	// pushQueueCapacity bounds the pushes that wait in each queue. Pushes beyond it are dropped; the
	// periodic comparisons deliver those documents.
	pushQueueCapacity = 1024
	// localSenders and remoteSenders bound the concurrent pushes within the zone and to other zones.
	localSenders  = 8
	remoteSenders = 4
	// maxHeadsTried bounds the heads that are tried one after the other for one part, so that the
	// members after them wait for four push timeouts at most.
	maxHeadsTried = 4
)

// pushTask is a document to be sent to the first of some members that answers.
type pushTask struct {
	published template.Published
	route     pb.Route
	// heads are tried in order until one answers. It becomes responsible for the range from its own
	// hash to lastHash; on the route to the root the range starts at 0.
	heads    []member
	lastHash uint64
	// onFailure is called if none of the tried heads answered; may be nil.
	onFailure func()
}

// handToRoot hands a version to the root of this node's zone, once. This node acts as the root
// itself if it is first in the order or none of the members tried before it answers.
func (r *Replica) handToRoot(published template.Published) {
	if !r.table.markHandedToRoot(published) {
		return
	}
	order := r.zoneOrder(fingerprint(published))
	var predecessors []member
	for _, candidate := range order {
		if candidate.ID == r.options.Self.ID {
			break
		}
		predecessors = append(predecessors, candidate)
	}
	if len(predecessors) == 0 {
		r.startTree(published)
		return
	}
	r.enqueue(r.localQueue, pushTask{
		published: published, route: pb.Route_ROUTE_ROOT, heads: predecessors, lastHash: math.MaxUint64,
		onFailure: func() { r.startTree(published) },
	})
}

// startTree starts the zone's tree for a version and offers the version to the other zones, once.
func (r *Replica) startTree(published template.Published) {
	if !r.table.markTreeStarted(published) {
		return
	}
	r.relayRange(published, 0, math.MaxUint64, "")
	for _, members := range r.otherZones(fingerprint(published)) {
		r.enqueue(r.remoteQueue, pushTask{published: published, route: pb.Route_ROUTE_SEED, heads: members, lastHash: math.MaxUint64})
	}
}

// relayRange passes a document on to the members with hashes from firstHash to lastHash, both
// inclusive, except this node and the sender.
func (r *Replica) relayRange(published template.Published, firstHash, lastHash uint64, sender string) {
	var members []member
	for _, candidate := range r.zoneOrder(fingerprint(published)) {
		isOther := candidate.ID != r.options.Self.ID && string(candidate.ID) != sender
		if isOther && candidate.hash >= firstHash && candidate.hash <= lastHash {
			members = append(members, candidate)
		}
	}
	r.enqueueParts(published, members, lastHash)
}

// enqueueParts splits ordered members, whose hashes are at most lastHash, into parts and enqueues a
// push to the heads of each.
func (r *Replica) enqueueParts(published template.Published, members []member, lastHash uint64) {
	for _, part := range split(members, r.options.Fanout, lastHash) {
		part.published, part.route = published, pb.Route_ROUTE_BRANCH
		r.enqueue(r.localQueue, part)
	}
}

// split divides ordered members into at most count parts of nearly equal size. The range of the last
// part ends at lastHash.
func split(members []member, count int, lastHash uint64) []pushTask {
	count = min(count, len(members))
	parts := make([]pushTask, 0, count)
	for index := range count {
		from, to := index*len(members)/count, (index+1)*len(members)/count
		part := pushTask{heads: members[from:to], lastHash: lastHash}
		if to < len(members) {
			part.lastHash = members[to].hash - 1
		}
		parts = append(parts, part)
	}
	return parts
}

func (r *Replica) enqueue(queue chan<- pushTask, item pushTask) {
	select {
	case queue <- item:
	default:
		r.counters.dropped.Add(1)
	}
}

// sendLoop sends the pushes of a queue until ctx ends.
func (r *Replica) sendLoop(ctx context.Context, queue <-chan pushTask) {
	for {
		select {
		case item := <-queue:
			r.send(ctx, item)
		case <-ctx.Done():
			return
		}
	}
}

// send tries the heads of a push in order until one answers, maxHeadsTried at most. The rest of a
// part whose tried heads all failed is split again.
func (r *Replica) send(ctx context.Context, item pushTask) {
	tried := min(len(item.heads), maxHeadsTried)
	for _, head := range item.heads[:tried] {
		firstHash := head.hash
		if item.route == pb.Route_ROUTE_ROOT {
			firstHash = 0
		}
		if r.sendTo(ctx, head, item, firstHash) {
			return
		}
		if ctx.Err() != nil {
			return
		}
	}
	if item.onFailure != nil {
		item.onFailure()
	}
	if item.route == pb.Route_ROUTE_BRANCH {
		r.enqueueParts(item.published, item.heads[tried:], item.lastHash)
	}
}

// sendTo sends a push to one head and reports whether it answered. A push to another zone is
// preceded by an offer, so that the document is sent only if the head wants it.
func (r *Replica) sendTo(ctx context.Context, head member, item pushTask, firstHash uint64) bool {
	request := &pb.Push{
		Documents: [][]byte{item.published.Encoded}, Route: item.route, First: firstHash, Last: item.lastHash,
	}
	if item.route == pb.Route_ROUTE_SEED {
		offer := &pb.Push{Offers: []*pb.EntryDigest{digestOf(item.published)}}
		reply, answered := r.sendPush(ctx, head, offer)
		if !answered || len(reply.Wanted) == 0 {
			return answered
		}
	}
	reply, answered := r.sendPush(ctx, head, request)
	if !answered {
		return false
	}
	for _, encoded := range reply.Newer {
		r.applyEncoded(encoded, head.ID, SourceExchange)
	}
	return true
}

// sendPush sends one push message. It returns false if there was no answer.
func (r *Replica) sendPush(ctx context.Context, head member, request *pb.Push) (*pb.PushReply, bool) {
	ctx, cancel := context.WithTimeout(ctx, r.options.PushTimeout)
	defer cancel()
	reply := &pb.PushReply{}
	if err := r.call(ctx, head.Peer, kindPush, request, reply); err != nil {
		r.counters.pushesFailed.Add(1)
		r.logger.Debug("push to peer failed", "peer", head.ID, "error", err)
		return nil, false
	}
	return reply, true
}

// handlePush applies the documents of a peer, passes them on as the route of the request demands,
// and replies with newer documents of this node and the offers that it wants.
func (r *Replica) handlePush(sender string, request *pb.Push) *pb.PushReply {
	reply := &pb.PushReply{}
	for _, encoded := range request.Documents {
		published, err := template.ReadPublished(encoded)
		if err != nil {
			r.rejectMalformed(sender, err)
			continue
		}
		if newer := r.receivePushed(sender, published, request); newer != nil {
			reply.Newer = append(reply.Newer, newer)
		}
	}
	for _, offer := range request.Offers {
		if r.table.mayBeNewer(offer) {
			reply.Wanted = append(reply.Wanted, offer.Key)
		}
	}
	return reply
}

// mayBeNewer reports whether an offered document may be newer than the held one.
func (t *table) mayBeNewer(offer *pb.EntryDigest) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	held := t.entries[t.byHash[offer.Key]]
	if held == nil {
		return true
	}
	local := digestOf(held.published)
	return offer.Revision > local.Revision || (offer.Revision == local.Revision && offer.Change != local.Change)
}

// receivePushed applies one document and passes it on in the role that the route assigns to this
// node. It returns this node's encoded document if that is newer and the push came along a tree.
func (r *Replica) receivePushed(sender string, published template.Published, request *pb.Push) []byte {
	if request.Route == pb.Route_ROUTE_NONE {
		r.applyAndSpread(published, SourceExchange)
		return nil
	}
	if r.apply(published, SourcePush) == resultOlder {
		held, _ := r.table.get(published.Key())
		return held.Encoded
	}
	switch request.Route {
	case pb.Route_ROUTE_ROOT:
		r.startTree(published)
	case pb.Route_ROUTE_SEED:
		r.handToRoot(published)
	case pb.Route_ROUTE_BRANCH:
		if r.table.markRelayed(published) {
			r.relayRange(published, request.First, request.Last, sender)
		}
	}
	return nil
}
