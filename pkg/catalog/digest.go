package catalog

import (
	"encoding/binary"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bramblemast/bramblemast/pkg/catalog/catalogpb"
	"github.com/bramblemast/bramblemast/pkg/target"
)

const (
	// digestBuckets is the number of groups of servers that are compared.
	digestBuckets = 256
	// maxSyncBytes bounds the news of one reply.
	maxSyncBytes = 128 << 10
)

// digests sums up what is known of the servers of each bucket. Two catalogs
// with the same facts have the same digests.
type digests [digestBuckets]uint64

func bucketOf(server target.ServerID) int {
	return int(xxhash.Sum64String(string(server)) % digestBuckets)
}

// digests returns the digests of the facts about the servers of the machine
// list, or of the operators' marks alone.
func (c *Catalog) digests(operatorOnly bool) digests {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var sums digests
	c.records.Range(func(_, value any) bool {
		r := value.(*record)
		if r.listing.listed {
			sums[bucketOf(r.server)] ^= r.digest(operatorOnly)
		}
		return true
	})
	return sums
}

// digest is zero for a server of which nothing is known. Contents count by
// their revision alone: where two nodes hold different ones of the same
// revision, the next probe gives a higher one.
func (r *record) digest(operatorOnly bool) uint64 {
	var sum uint64
	if mark := r.facts.operator; mark.Sequence > 0 {
		sum ^= digestOf(string(r.server)+"\x00"+mark.Author, mark.Drained, mark.Sequence)
	}
	if operatorOnly {
		return sum
	}
	for _, known := range r.facts.instances {
		sum ^= digestOf(string(r.server)+"\x01"+known.ID, known.Draining, known.Generation, known.Liveness, known.Revision)
	}
	return sum
}

func digestOf(text string, flag bool, numbers ...uint64) uint64 {
	const wordBytes = 8
	buffer := make([]byte, 0, len(text)+1+len(numbers)*wordBytes)
	buffer = append(buffer, text...)
	buffer = strconv.AppendBool(buffer, flag)
	for _, number := range numbers {
		buffer = binary.LittleEndian.AppendUint64(buffer, number)
	}
	return xxhash.Sum64(buffer)
}

// answerSync returns the news of all buckets whose digest differs from the one
// asked about, beginning with the bucket first, up to the bound.
func (c *Catalog) answerSync(peerDigests []uint64, firstBucket int, operatorOnly bool) *catalogpb.SyncReply {
	own := c.digests(operatorOnly)
	reply := &catalogpb.SyncReply{}
	differing := make(map[int][]*record)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.records.Range(func(_, value any) bool {
		r := value.(*record)
		bucket := bucketOf(r.server)
		if r.listing.listed && own[bucket] != peerDigests[bucket] {
			differing[bucket] = append(differing[bucket], r)
		}
		return true
	})
	now, size := c.options.Now(), 0
	for offset := range digestBuckets {
		if size >= maxSyncBytes {
			reply.More = true
			return reply
		}
		for _, r := range differing[(firstBucket+offset)%digestBuckets] {
			size += c.appendSync(reply, r, now, operatorOnly)
		}
	}
	return reply
}

// appendSync adds what is known of a server and returns its size in bytes.
func (c *Catalog) appendSync(reply *catalogpb.SyncReply, r *record, now time.Time, operatorOnly bool) int {
	size := 0
	for _, update := range c.recordUpdates(r, now) {
		if operatorOnly {
			update.Instance = Instance{}
			if update.Operator.Sequence == 0 {
				return size
			}
		}
		message := ToProto(&update)
		size += message.SizeVT()
		reply.News = append(reply.News, message)
		if operatorOnly {
			return size
		}
	}
	return size
}
