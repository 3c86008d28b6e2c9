package configsync

import (
	"context"
	"math"

	pb "github.com/bramblemast/bramblemast/pkg/configsync/configsyncpb"
	"github.com/bramblemast/bramblemast/pkg/template"
)

// A document spreads in a zone along a tree. Its members are ordered by a hash
// of document and member, so the tree differs for each document and the work is
// even over many. The first of the order is the root. Each node that passes a
// document on splits the members that it is responsible for, a range of the
// order, into Fanout parts, and hands each part to the part's first member. If
// that member does not answer, the next one gets the rest of the part; after
// maxHeadsTried members in a row the node divides the rest anew, so that no number of
// members that are down hides those behind them. A range is of hashes and not of
// positions, so members that only one of two nodes knows of do not shift the
// others.
//
// Whoever learns a document outside the tree hands it to the root, which starts
// the tree once and offers the document to each other zone.

const (
	// pushQueueCapacity bounds the pushes that wait; what exceeds it is left to the
	// comparisons.
	pushQueueCapacity = 1024
	// localSenders and remoteSenders bound the pushes that are under way.
	localSenders  = 8
	remoteSenders = 4
	// maxHeadsTried bounds the members that are tried one after the other for one part of
	// the zone, so that those behind them wait for four pushes at most.
	maxHeadsTried = 4
)

// push is a document on its way to one of some members.
type pushTask struct {
	published template.Published
	route     pb.Route
	// heads are tried in order until one takes the document. It gets the range
	// from its own hash to last.
	heads    []member
	lastHash uint64
	// failed is called if none took the document; nil for nothing.
	onFailure func()
}

// introduce hands a document to the root of this node's zone, once.
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

// root starts the zone's tree and tells the other zones, once.
func (r *Replica) startTree(published template.Published) {
	if !r.table.markTreeStarted(published) {
		return
	}
	r.relayRange(published, 0, math.MaxUint64, "")
	for _, members := range r.otherZones(fingerprint(published)) {
		r.enqueue(r.remoteQueue, pushTask{published: published, route: pb.Route_ROUTE_SEED, heads: members, lastHash: math.MaxUint64})
	}
}

// branch passes a document on to the members with hashes from first to last.
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

// divide hands ordered members, whose last hash is at most last, to the heads of
// their parts.
func (r *Replica) enqueueParts(published template.Published, members []member, lastHash uint64) {
	for _, part := range split(members, r.options.Fanout, lastHash) {
		part.published, part.route = published, pb.Route_ROUTE_BRANCH
		r.enqueue(r.localQueue, part)
	}
}

// split cuts ordered members into at most count parts of even size.
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

// sendLoop sends the pushes of a queue.
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

// send offers a document to one head after the other.
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

// sendTo reports whether the member answered.
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

// sendPush sends one message; false if it was not answered.
func (r *Replica) sendPush(ctx context.Context, head member, request *pb.Push) (*pb.PushReply, bool) {
	ctx, cancel := context.WithTimeout(ctx, r.options.PushTimeout)
	defer cancel()
	reply := &pb.PushReply{}
	if err := r.call(ctx, head.Peer, kindPush, request, reply); err != nil {
		r.counters.pushesFailed.Add(1)
		r.logger.Debug("push failed", "peer", head.ID, "error", err)
		return nil, false
	}
	return reply, true
}

// handlePush takes documents from a peer and passes them on as it asks.
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

// wants reports whether an offered document may be newer than the held one.
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

// receive takes one document and passes it on in the role that the route gives
// this node. It returns this node's document if that is newer.
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
