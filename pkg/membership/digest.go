package membership

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/bramblemast/bramblemast/pkg/target"
)

// digestBuckets is the number of buckets that a member list is divided into for anti-entropy, so
// that a small difference transfers only a small part of the list.
const digestBuckets = 32

// digests holds, for each bucket, the XOR of the hashes of its members that are not dead. A hash
// covers the ID, the incarnation and the state as sent to peers.
type digests [digestBuckets]uint64

func bucketOf(id target.NodeID) int {
	return int(xxhash.Sum64String(string(id)) % digestBuckets)
}

// toggle adds a record to its bucket's digest, or removes it if it was added before.
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

// differing returns which buckets differ from a peer's digests. All differ if the peer uses another
// number of buckets.
func (d *digests) differing(other []uint64) [digestBuckets]bool {
	var differ [digestBuckets]bool
	for bucket := range differ {
		differ[bucket] = len(other) != digestBuckets || other[bucket] != d[bucket]
	}
	return differ
}
