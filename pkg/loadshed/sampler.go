package loadshed

import (
	"math"
	"sync"
	"time"
)

// Constants for sampling.
const (
	// sampleSpan is how long the sampling value of the same content stays the same: the tries of
	// one client mostly fall into one span, and no client is refused for as long as an overload
	// lasts.
	sampleSpan = 10 * time.Second
	// maxTries is how many requests with the same content count as tries of one client within a
	// sampleSpan at one node.
	maxTries = 2
	// minSlots is the minimum number of one-byte counters: 1 KiB, since small nodes have few
	// requests and little memory. maxSlots bounds them at 64 KiB.
	minSlots = 1 << 10
	maxSlots = 1 << 16
	// slotGrowth is the factor by which the number of counters grows. It is large, since each step
	// resets the counters.
	slotGrowth = 8
	// slotsPerTry is the number of counters for each counted request, so that few requests share a
	// counter with another one.
	slotsPerTry = 8
)

// Sampler assigns a pseudo-random sampling value to each request; Admitter admits the requests with
// the greatest values. Tries of one client with the same content get the same value, so that an
// immediate retry gains nothing. Where many requests have the same content, each gets a value of
// its own: otherwise either all of them would be admitted or none. The zero value is ready for use.
// It is safe for concurrent use.
type Sampler struct {
	mutex sync.Mutex
	// The fields below are guarded by mutex.
	// spanNumber is the number of the current sampleSpan, counts are the requests in it by content,
	// each up to maxTries, and counted is their total.
	spanNumber uint64
	counts     []uint8
	counted    int
}

// Sample returns the sampling value of a request from the hashes of its content and of its id.
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
		// Resetting the counters is harmless: the next try of a client still gets the same value,
		// and of many requests with the same content only maxTries more share it.
		s.counts = make([]uint8, needed)
	}
	return mix(contentHash, spanNumber)
}

// slotsFor returns the number of counters for a number of counted requests in a span.
func slotsFor(counted int) int {
	slots := minSlots
	for slots < maxSlots && slots < slotsPerTry*counted {
		slots *= slotGrowth
	}
	return slots
}

// mix spreads a hash and the number of a span over all sampling values. It is the finalizer of
// MurmurHash3. The number is multiplied by 2^64 over the golden ratio first, so that consecutive
// numbers differ in many bits.
func mix(hash, spanNumber uint64) uint64 {
	hash ^= spanNumber * 0x9e3779b97f4a7c15
	hash ^= hash >> 33
	hash *= 0xff51afd7ed558ccd
	hash ^= hash >> 33
	hash *= 0xc4ceb9fe1a85ec53
	return hash ^ hash>>33
}

// Constants for the order in which requests wait.
const (
	// priorityShift is the number of bits by which the positions of adjacent priorities are shifted
	// against each other: the first quarter of the less urgent requests is ordered among the more
	// urgent ones, so that they keep a quarter of the rate.
	priorityShift = 2
	// lastDistinctPriority is the priority from which on all priorities are treated alike.
	lastDistinctPriority = 8
)

// WaitOrder returns the place of a request among those that wait for a server, by its sampling
// value and its priority. The request with the greatest value is served first.
func WaitOrder(sample uint64, priority int) uint64 {
	position := math.MaxUint64 - sample
	return math.MaxUint64 - position>>(priorityShift*(lastDistinctPriority-min(max(priority, 0), lastDistinctPriority)))
}
