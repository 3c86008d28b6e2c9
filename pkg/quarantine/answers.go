package quarantine

import (
	"encoding/binary"
	"sync"
	"time"

	"github.com/bramblemast/bramblemast/pkg/exchange"
)

// Bounds of the memory of answered requests.
const (
	// answerSpan is how long an answered request counts as one that does not crash servers. A
	// request that comes several times a minute is thus recognized when its servers crash because
	// of another request. Answers are kept for up to twice as long.
	answerSpan = 30 * time.Second
	// answerSlots is the maximum number of requests remembered per span, in 32 KB each.
	answerSlots = 4096
)

// recentAnswers remembers which requests were answered recently. Requests that share a slot
// displace each other. It is safe for concurrent use.
type recentAnswers struct {
	mutex sync.Mutex
	// current and previous hold the requests answered in this span and in the one before, and
	// startedAt is when this one started; guarded by mutex.
	current, previous *[answerSlots]uint64
	startedAt         time.Time
}

func newRecentAnswers() *recentAnswers {
	return &recentAnswers{current: new([answerSlots]uint64), previous: new([answerSlots]uint64)}
}

func (s *recentAnswers) add(fingerprint exchange.Fingerprint, now time.Time) {
	key := slotKey(fingerprint)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.rotate(now)
	s.current[key%answerSlots] = key
}

func (s *recentAnswers) has(fingerprint exchange.Fingerprint, now time.Time) bool {
	key := slotKey(fingerprint)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.rotate(now)
	return s.current[key%answerSlots] == key || s.previous[key%answerSlots] == key
}

// rotate starts a new span if the current one is over. The mutex is held.
func (s *recentAnswers) rotate(now time.Time) {
	elapsed := now.Sub(s.startedAt)
	if elapsed < answerSpan {
		return
	}
	s.current, s.previous, s.startedAt = s.previous, s.current, now
	clear(s.current[:])
	if elapsed >= 2*answerSpan {
		clear(s.previous[:])
	}
}

// slotKey returns the key of a request, which is never zero: zero marks an empty slot.
func slotKey(fingerprint exchange.Fingerprint) uint64 {
	return binary.BigEndian.Uint64(fingerprint[:]) | 1
}
