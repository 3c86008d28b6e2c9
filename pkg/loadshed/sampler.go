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
	// within a lotSpan at one node.
	mostTries = 2
	// leastLotSlots is how many counts a node holds: 1 KiB, since small nodes have few requests
	// and little memory. mostLotSlots bounds them at 64 KiB.
	leastLotSlots = 1 << 10
	mostLotSlots  = 1 << 16
	// lotSlotGrowth times as many are taken at once when they are too few: each step forgets
	// the counts, so that there are to be few.
	lotSlotGrowth = 8
	// lotSlotsPerTry is how many there are for each counted request, so that few share a count
	// with another one.
	lotSlotsPerTry = 8
)

// Lots draws the lots of requests. Tries of one client that ask the same draw the same, so
// that nobody gains by repeating at once. Where many ask the same, each draws for itself:
// otherwise all of them would be let in or none. It is safe for concurrent use.
type Sampler struct {
	mutex sync.Mutex
	// The fields below are guarded by mutex.
	// span numbers the current lotSpan, seen counts the requests in it by what they ask, up to
	// mostTries, and counted is how many were counted in it.
	span    uint64
	seen    []uint8
	counted int
}

// Draw returns the lot of a request from hashes of what it asks and of its id.
func (l *Sampler) Sample(asked, id uint64, now time.Time) uint64 {
	span := uint64(now.UnixNano()) / uint64(lotSpan)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if span != l.span || l.seen == nil {
		l.seen = make([]uint8, slotsFor(l.counted))
		l.span, l.counted = span, 0
	}
	count := &l.seen[asked%uint64(len(l.seen))]
	if *count >= mostTries {
		return id
	}
	*count++
	l.counted++
	if needed := slotsFor(l.counted); needed > len(l.seen) {
		// What was counted is forgotten: a client's next try draws the same lot all the more,
		// and of many that ask the same mostTries more do.
		l.seen = make([]uint8, needed)
	}
	return mix(asked, span)
}

// slotsFor returns how many counts are held for a number of counted requests in a span.
func slotsFor(counted int) int {
	slots := leastLotSlots
	for slots < mostLotSlots && slots < lotSlotsPerTry*counted {
		slots *= lotSlotGrowth
	}
	return slots
}

// mix spreads a hash and the number of a span over all lots: the finalizer of MurmurHash3, after
// the number times 2^64 over the golden ratio, by which numbers that follow each other differ much.
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
