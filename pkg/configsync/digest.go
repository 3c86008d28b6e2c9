package configsync

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	pb "github.com/bramblemast/bramblemast/pkg/configsync/configsyncpb"
	"github.com/bramblemast/bramblemast/pkg/template"
	"github.com/bramblemast/bramblemast/pkg/template/stored"
)

// keyHash returns the hash that identifies a template in a digest.
func keyHash(key template.Key) uint64 { return xxhash.Sum64String(key.String()) }

// digestOf returns the digest of a document as sent in listings and offers: the hash of its key, its
// revision and the hash of its change id.
func digestOf(published template.Published) *pb.EntryDigest {
	return &pb.EntryDigest{
		Key:      keyHash(published.Key()),
		Revision: published.Template.Revision,
		Change:   xxhash.Sum64String(published.Template.ChangeID),
	}
}

// fingerprint returns a hash over the key and version of a document.
func fingerprint(published template.Published) uint64 {
	digest := digestOf(published)
	return hashNumbers(digest.Key, digest.Revision, digest.Change)
}

// hashNumbers combines numbers into one hash.
func hashNumbers(numbers ...uint64) uint64 {
	const width = 8
	buffer := make([]byte, 0, width*len(numbers))
	for _, number := range numbers {
		buffer = binary.LittleEndian.AppendUint64(buffer, number)
	}
	return xxhash.Sum64(buffer)
}

// shardSums holds, for each shard, the exclusive or of its documents' fingerprints, which can be
// updated in constant time when a document changes.
type shardSums [stored.ShardCount]uint64

// replace swaps one document's fingerprint for another; zero means no document.
func (s *shardSums) replace(shard stored.Shard, before, after uint64) {
	s[shard] ^= before ^ after
}

// summary returns a hash over all shards.
func (s *shardSums) summary() uint64 { return hashNumbers(s[:]...) }
