package membership

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/bramblemast/bramblemast/pkg/target"
)

// digestBuckets is the number of parts that member lists are compared in, so
// that a small difference costs the exchange of a small part.
const digestBuckets = 32

// digests holds, for each bucket, the exclusive or of the hashes of the living
// members in it: their IDs, incarnations and states as sent to peers.
type digests [digestBuckets]uint64

// bucketOf returns the bucket of a member.
func bucketOf(id target.NodeID) int {
	return int(xxhash.Sum64String(string(id)) % digestBuckets)
}

// toggle adds a record, or takes it out again.
func (d *digests) toggle(r *record) {
	var digest xxhash.Digest
	digest.Reset()
	digest.WriteString(string(r.member.ID))
	var fields [9]byte
	binary.BigEndian.PutUint64(fields[:], r.member.Incarnation)
	fields[8] = byte(r.wireState())
	digest.Write(fields[:])
	d[bucketOf(r.member.ID)] ^= digest.Sum64()
}

// differing returns which buckets differ from a peer's digests; all of them if
// the peer uses another number of buckets.
func (d *digests) differing(other []uint64) [digestBuckets]bool {
	var differ [digestBuckets]bool
	for bucket := range differ {
		differ[bucket] = len(other) != digestBuckets || other[bucket] != d[bucket]
	}
	return differ
}
