package loadshed

import (
	"math"
	"sync"
	"time"
)

// Constants of lots.
const (
	// lotSpan is how long a request's lot stays the same: the tries of one client fall into
	// one span mostly, and nobody is unlucky for as long as an overload lasts.
	lotSpan = 10 * time.Second
	// mostTries is how many requests that ask the same are taken for tries of one client
	// within a lotSpan at one node; lotSlots bounds what is counted.
	mostTries = 2
	lotSlots  = 1024
)

// Lots draws the lots of requests. Tries of one client that ask the same draw the same, so
// that nobody gains by repeating at once. Where many ask the same, each draws for itself:
// otherwise all of them would be let in or none. It is safe for concurrent use.
type Lots struct {
	mutex sync.Mutex
	// span numbers the current lotSpan, seen counts the requests in it; guarded by mutex.
	span uint64
	seen [lotSlots]uint8
}

// Draw returns the lot of a request from hashes of what it asks and of its id.
func (l *Lots) Draw(asked, id uint64, now time.Time) uint64 {
	span := uint64(now.UnixNano()) / uint64(lotSpan)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if span != l.span {
		l.span, l.seen = span, [lotSlots]uint8{}
	}
	count := &l.seen[asked%lotSlots]
	if *count >= mostTries {
		return id
	}
	*count++
	return mix(asked, span)
}

// mix spreads a hash and the number of a span over all lots (the finalizer of MurmurHash3).
func mix(hash, span uint64) uint64 {
	hash ^= span * 0x9e3779b97f4a7c15
	hash ^= hash >> 33
	hash *= 0xff51afd7ed558ccd
	hash ^= hash >> 33
	hash *= 0xc4ceb9fe1a85ec53
	return hash ^ hash>>33
}

// Constants of the order of waits.
const (
	// urgencyShift is how many bits of its place in the order a priority costs: the first
	// quarter of the less urgent requests waits among the more urgent ones, so that they keep a
	// quarter of the rate.
	urgencyShift = 2
	// leastUrgent is the priority from which on all are alike.
	leastUrgent = 8
)

// WaitOrder returns the order in which a request waits for a server, the greatest first: by its
// lot and its urgency.
func WaitOrder(lot uint64, priority int) uint64 {
	place := math.MaxUint64 - lot
	return math.MaxUint64 - place>>(urgencyShift*(leastUrgent-min(max(priority, 0), leastUrgent)))
}
