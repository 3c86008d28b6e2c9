package quota

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// drawSpan is for how long a request that was refused is refused again: one that is repeated
// at once gets no further, and one that waits has a new chance.
const drawSpan = 500 * time.Millisecond

// lot is the draw of one request: a number from 0 to 1 that stays the same for drawSpan.
type draw struct {
	hash uint64
	// ends is when the request gets another draw.
	expiresIn time.Duration
}

// drawFor returns the lot of a request. All nodes draw alike, so that trying another node
// does not help. The spans of different requests end at different moments, so that refused
// clients do not return together.
func drawFor(tenant, requestID string, now time.Time) draw {
	var digest xxhash.Digest
	digest.Reset()
	// Writing to a digest does not fail.
	_, _ = digest.WriteString(tenant)
	_, _ = digest.WriteString("/")
	_, _ = digest.WriteString(requestID)
	base := digest.Sum64()
	since := now.UnixNano() + int64(base%uint64(drawSpan))
	var span [8]byte
	binary.LittleEndian.PutUint64(span[:], uint64(since/int64(drawSpan)))
	_, _ = digest.Write(span[:])
	return draw{hash: digest.Sum64(), expiresIn: drawSpan - time.Duration(since%int64(drawSpan))}
}

// isWithin reports whether the lot is among a share of all.
func (d draw) isWithin(share float64) bool {
	const scale = 1 << 53
	return float64(d.hash>>(64-53)) < share*scale
}
