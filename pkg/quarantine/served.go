package quarantine

import (
	"encoding/binary"
	"sync"
	"time"

	"github.com/bramblemast/bramblemast/pkg/exchange"
)

// Bounds of the memory of requests that were answered.
const (
	// servedSpan is for how long a request that was answered counts as one that ends no
	// servers: a request that comes several times a minute is known so when it loses its
	// servers with another one. It is kept for up to twice as long.
	servedSpan = 30 * time.Second
	// servedSlots is how many requests are remembered at most, in 32 KB for each span.
	servedSlots = 4096
)

// served remembers which requests were answered lately. Two requests that fall on one slot
// displace each other. It is safe for concurrent use.
type served struct {
	mutex sync.Mutex
	// current and previous hold the answered requests of this span and the last, and
	// beganAt is when this one began; guarded by mutex.
	current, previous *[servedSlots]uint64
	beganAt           time.Time
}

func newServed() *served {
	return &served{current: new([servedSlots]uint64), previous: new([servedSlots]uint64)}
}

func (s *served) add(fingerprint exchange.Fingerprint, now time.Time) {
	key := keyOf(fingerprint)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.turn(now)
	s.current[key%servedSlots] = key
}

func (s *served) has(fingerprint exchange.Fingerprint, now time.Time) bool {
	key := keyOf(fingerprint)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.turn(now)
	return s.current[key%servedSlots] == key || s.previous[key%servedSlots] == key
}

// turn begins a new span if the current one is over. The mutex is held.
func (s *served) turn(now time.Time) {
	elapsed := now.Sub(s.beganAt)
	if elapsed < servedSpan {
		return
	}
	s.current, s.previous, s.beganAt = s.previous, s.current, now
	clear(s.current[:])
	if elapsed >= 2*servedSpan {
		clear(s.previous[:])
	}
}

func keyOf(fingerprint exchange.Fingerprint) uint64 {
	return binary.BigEndian.Uint64(fingerprint[:]) | 1
}
