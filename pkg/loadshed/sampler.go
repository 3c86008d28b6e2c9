package loadshed

import (
	"math"
	"sync"
	"time"
)

// Constants of lots.
const (
	// sampleSpan is how long a request's lot stays the same: the tries of one client fall into
	// one span mostly, and nobody is unlucky for as long as an overload lasts.
	sampleSpan = 10 * time.Second
	// maxTries is how many requests that ask the same are taken for tries of one client
	// within a sampleSpan at one node.
	maxTries = 2
	// minSlots is how many counts a node holds: 1 KiB, since small nodes have few requests
	// and little memory. maxSlots bounds them at 64 KiB.
	minSlots = 1 << 10
	maxSlots = 1 << 16
	// slotGrowth times as many are taken at once when they are too few: each step forgets
	// the counts, so that there are to be few.
	slotGrowth = 8
	// slotsPerTry is how many there are for each counted request, so that few share a count
	// with another one.
	slotsPerTry = 8
)

// Lots draws the lots of requests. Tries of one client that ask the same draw the same, so
// that nobody gains by repeating at once. Where many ask the same, each draws for itself:
// otherwise all of them would be let in or none. It is safe for concurrent use.
type Sampler struct {
	mutex sync.Mutex
	// The fields below are guarded by mutex.
	// span numbers the current sampleSpan, seen counts the requests in it by what they ask, up to
	// maxTries, and counted is how many were counted in it.
	spanNumber uint64
	counts     []uint8
	counted    int
}

// Draw returns the lot of a request from hashes of what it asks and of its id.
func (s *Sampler) Sample(contentHash, requestHash uint64, now time.Time) uint64 {
	spanNumber := uint64(now.UnixNano()) / uint64(sampleSpan)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if spanNumber != s.spanNumber || s.counts == nil {
		s.counts = make([]uint8, slotsFor(s.counted))
		s.spanNumber, s.counted = spanNumber, 0
	}
	count := &s.counts[contentHash%uint64(len(s.counts))]
	if *count >= maxTries {
		return requestHash
	}
	*count++
	s.counted++
	if needed := slotsFor(s.counted); needed > len(s.counts) {
		// What was counted is forgotten: a client's next try draws the same lot all the more,
		// and of many that ask the same maxTries more do.
		s.counts = make([]uint8, needed)
	}
	return mix(contentHash, spanNumber)
}

// slotsFor returns how many counts are held for a number of counted requests in a span.
func slotsFor(counted int) int {
	slots := minSlots
	for slots < maxSlots && slots < slotsPerTry*counted {
		slots *= slotGrowth
	}
	return slots
}

// mix spreads a hash and the number of a span over all lots: the finalizer of MurmurHash3, after
// the number times 2^64 over the golden ratio, by which numbers that follow each other differ much.
func mix(hash, spanNumber uint64) uint64 {
	hash ^= spanNumber * 0x9e3779b97f4a7c15
	hash ^= hash >> 33
	hash *= 0xff51afd7ed558ccd
	hash ^= hash >> 33
	hash *= 0xc4ceb9fe1a85ec53
	return hash ^ hash>>33
}

// Constants of the order of waits.
const (
	// priorityShift is how many bits of its place in the order a priority costs: the first
	// quarter of the less urgent requests waits among the more urgent ones, so that they keep a
	// quarter of the rate.
	priorityShift = 2
	// lastDistinctPriority is the priority from which on all are alike.
	lastDistinctPriority = 8
)

// WaitOrder returns the order in which a request waits for a server, the greatest first: by its
// lot and its urgency.
func WaitOrder(sample uint64, priority int) uint64 {
	position := math.MaxUint64 - sample
	return math.MaxUint64 - position>>(priorityShift*(lastDistinctPriority-min(max(priority, 0), lastDistinctPriority)))
}
