package quota

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// lotSpan is for how long a request that was refused is refused again: one that is repeated
// at once gets no further, and one that waits has a new chance.
const lotSpan = 500 * time.Millisecond

// lot is the draw of one request: a number from 0 to 1 that stays the same for lotSpan.
type lot struct {
	hash uint64
	// ends is when the request gets another draw.
	ends time.Duration
}

// drawLot returns the lot of a request. All nodes draw alike, so that trying another node
// does not help. The spans of different requests end at different moments, so that refused
// clients do not return together.
func drawLot(tenant, requestID string, now time.Time) lot {
	var digest xxhash.Digest
	digest.Reset()
	// Writing to a digest does not fail.
	_, _ = digest.WriteString(tenant)
	_, _ = digest.WriteString("/")
	_, _ = digest.WriteString(requestID)
	base := digest.Sum64()
	since := now.UnixNano() + int64(base%uint64(lotSpan))
	var span [8]byte
	binary.LittleEndian.PutUint64(span[:], uint64(since/int64(lotSpan)))
	_, _ = digest.Write(span[:])
	return lot{hash: digest.Sum64(), ends: lotSpan - time.Duration(since%int64(lotSpan))}
}

// isWithin reports whether the lot is among a share of all.
func (l lot) isWithin(share float64) bool {
	const scale = 1 << 53
	return float64(l.hash>>(64-53)) < share*scale
}
