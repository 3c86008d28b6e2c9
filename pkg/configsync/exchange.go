package configsync

import (
	"context"

	pb "github.com/bramblemast/bramblemast/pkg/configsync/configsyncpb"
	"github.com/bramblemast/bramblemast/pkg/template"
	"github.com/bramblemast/bramblemast/pkg/template/stored"
)

// Bounds of one comparison. They keep messages within the 1 MiB limit of a frame.
const (
	// maxListedEntries bounds the entries listed in one request. A single shard that is larger is
	// still listed whole.
	maxListedEntries = 4096
	// maxReplyBytes bounds the documents in a reply, and in the push that follows it.
	maxReplyBytes = 256 << 10
	// maxRounds bounds the compare-and-reconcile rounds of one comparison.
	maxRounds = 1000
)

// exchangeLoop runs anti-entropy: it compares with a random peer about once per ExchangePeriod until
// ctx ends.
func (r *Replica) exchangeLoop(ctx context.Context) {
	for r.pause(ctx, r.options.ExchangePeriod) {
		partner, exists := r.randomPeer()
		if !exists {
			continue
		}
		if _, err := r.exchange(ctx, partner, SourceExchange); err != nil {
			r.counters.exchangesFailed.Add(1)
			r.logger.Debug("comparison with peer failed", "peer", partner.ID, "error", err)
		}
	}
}

// exchange compares with a peer and transfers documents until both hold the same versions, no
// progress is made or maxRounds is reached. It returns whether the peer is ready itself.
func (r *Replica) exchange(ctx context.Context, partner Peer, source Source) (bool, error) {
	r.counters.exchanges.Add(1)
	isReady := false
	for range maxRounds {
		differing, ready, err := r.compare(ctx, partner)
		if err != nil {
			return false, err
		}
		isReady = ready
		if len(differing) == 0 {
			return isReady, nil
		}
		more, err := r.reconcile(ctx, partner, differing, source)
		if err != nil || !more {
			return isReady, err
		}
	}
	return isReady, nil
}

// compare returns the shards in which a peer differs, and whether the peer is ready.
func (r *Replica) compare(ctx context.Context, partner Peer) ([]stored.Shard, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, r.options.CallTimeout)
	defer cancel()
	reply := &pb.CompareReply{}
	err := r.call(ctx, partner, kindCompare, &pb.CompareRequest{Summary: r.table.summary()}, reply)
	if err != nil {
		return nil, false, err
	}
	return r.table.differing(reply.ShardSums), reply.Ready, nil
}

// reconcile sends a peer a listing of this node's documents in some shards, applies the documents
// that the peer returns and pushes those that it requests. It returns true if the exchange made
// progress and documents remain.
func (r *Replica) reconcile(ctx context.Context, partner Peer, shards []stored.Shard, source Source) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, r.options.CallTimeout)
	defer cancel()
	request, complete := r.table.listing(shards)
	reply := &pb.ReconcileReply{}
	if err := r.call(ctx, partner, kindReconcile, request, reply); err != nil {
		return false, err
	}
	for _, encoded := range reply.Documents {
		r.applyEncoded(encoded, partner.ID, source)
	}
	wanted, sentAll := r.table.documentsByHash(reply.Wanted)
	if len(wanted) > 0 {
		if err := r.call(ctx, partner, kindPush, &pb.Push{Documents: wanted}, &pb.PushReply{}); err != nil {
			return false, err
		}
	}
	progress := len(reply.Documents) > 0 || len(wanted) > 0
	return progress && (reply.More || !complete || !sentAll), nil
}

// handleCompare replies with this node's shard sums if the summary of the peer differs.
func (r *Replica) handleCompare(request *pb.CompareRequest) *pb.CompareReply {
	reply := &pb.CompareReply{Ready: r.Ready()}
	sums := r.table.shardSums()
	if sums.summary() != request.Summary {
		reply.ShardSums = sums[:]
	}
	return reply
}

// handleReconcile answers a listing with the documents that are newer here and the key hashes of
// those that are newer at the peer.
func (r *Replica) handleReconcile(request *pb.ReconcileRequest) *pb.ReconcileReply {
	reply := &pb.ReconcileReply{}
	size := 0
	for _, listing := range request.Shards {
		if listing.Shard >= stored.ShardCount {
			continue
		}
		documents, wanted := r.table.diffListing(stored.Shard(listing.Shard), listing.Entries)
		reply.Wanted = append(reply.Wanted, wanted...)
		for _, published := range documents {
			size += len(published.Encoded)
			if size > maxReplyBytes {
				reply.More = true
				return reply
			}
			reply.Documents = append(reply.Documents, published.Encoded)
		}
	}
	return reply
}

func (t *table) shardSums() shardSums {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.sums
}

func (t *table) summary() uint64 {
	sums := t.shardSums()
	return sums.summary()
}

// differing returns the shards whose sums differ from a peer's; none if the peer sent no sums.
// Shards that the peer sent no sum for, because another release has fewer shards, differ too.
func (t *table) differing(others []uint64) []stored.Shard {
	if len(others) == 0 {
		return nil
	}
	sums := t.shardSums()
	var shards []stored.Shard
	for shard, sum := range sums {
		if shard >= len(others) || others[shard] != sum {
			shards = append(shards, stored.Shard(shard))
		}
	}
	return shards
}

// listing lists the documents of some shards. Complete is false if not all of the shards fit within
// maxListedEntries.
func (t *table) listing(shards []stored.Shard) (request *pb.ReconcileRequest, complete bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	request = &pb.ReconcileRequest{}
	listed := 0
	for _, shard := range shards {
		if listed > 0 && listed+len(t.shards[shard]) > maxListedEntries {
			return request, false
		}
		listing := &pb.ShardListing{Shard: uint32(shard)}
		for _, held := range t.shards[shard] {
			listing.Entries = append(listing.Entries, digestOf(held.published))
		}
		listed += len(listing.Entries)
		request.Shards = append(request.Shards, listing)
	}
	return request, true
}

// diffListing compares one shard with a peer's listing of it. It returns the documents that are
// newer here, and the key hashes of those that are newer at the peer. If two documents have the same
// revision but different change ids, both are exchanged, since only the whole change id, not its
// hash, determines which is higher.
func (t *table) diffListing(shard stored.Shard, entries []*pb.EntryDigest) (documents []template.Published, wanted []uint64) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	listed := make(map[uint64]*pb.EntryDigest, len(entries))
	for _, digest := range entries {
		listed[digest.Key] = digest
	}
	for _, held := range t.shards[shard] {
		local := digestOf(held.published)
		remote := listed[local.Key]
		delete(listed, local.Key)
		isFork := remote != nil && local.Revision == remote.Revision && local.Change != remote.Change
		if remote == nil || local.Revision > remote.Revision || isFork {
			documents = append(documents, held.published)
		}
		if remote != nil && (local.Revision < remote.Revision || isFork) {
			wanted = append(wanted, local.Key)
		}
	}
	for key := range listed {
		wanted = append(wanted, key)
	}
	return documents, wanted
}

// documentsByHash returns the encoded documents with the given key hashes. Complete is false if not
// all of them fit within maxReplyBytes.
func (t *table) documentsByHash(hashes []uint64) (documents [][]byte, complete bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	size := 0
	for _, hash := range hashes {
		held := t.entries[t.byHash[hash]]
		if held == nil {
			continue
		}
		size += len(held.published.Encoded)
		if size > maxReplyBytes {
			return documents, false
		}
		documents = append(documents, held.published.Encoded)
	}
	return documents, true
}
