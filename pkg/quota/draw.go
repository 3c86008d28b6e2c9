package quota

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// drawSpan is how long the decision about a refused request stays the same: repeating it at once
// does not help, waiting gives it a new chance.
const drawSpan = 500 * time.Millisecond

// draw is the pseudo-random number of one request, from 0 to 1. It stays the same for drawSpan.
type draw struct {
	hash uint64
	// expiresIn is the time until the request gets another draw.
	expiresIn time.Duration
}

// drawFor returns the draw of a request. All nodes compute the same one, so that trying another
// node does not help. The spans of different requests end at different times, so that refused
// clients do not all return together.
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

// isWithin reports whether the draw falls into the given share.
func (d draw) isWithin(share float64) bool {
	const scale = 1 << 53
	return float64(d.hash>>(64-53)) < share*scale
}
