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
	// digestBuckets is the number of buckets of servers whose digests are compared.
	digestBuckets = 256
	// maxSyncBytes is the size of the updates in a reply after which no further bucket is added.
	maxSyncBytes = 128 << 10
)

// digests holds one digest of the facts for each bucket of servers. Two catalogs with the same
// facts have the same digests.
type digests [digestBuckets]uint64

func bucketOf(server target.ServerID) int {
	return int(xxhash.Sum64String(string(server)) % digestBuckets)
}

// digests returns the digests of the facts about the servers of the machine list. With
// operatorOnly, only the operators' marks are included.
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

// digest returns the digest of the facts about a server; zero if there are none. Contents are
// represented by their revision alone: if two nodes hold different contents with the same revision,
// the next probe assigns a higher one.
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

// answerSync returns the updates of all buckets whose digest differs from the peer's, beginning
// with firstBucket. It sets More when it stops at maxSyncBytes.
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

// appendSync adds the facts about a server to the reply and returns their size in bytes.
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
