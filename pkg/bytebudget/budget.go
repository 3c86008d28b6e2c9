// Package bytebudget bounds the memory that the bodies of requests and answers take in a process, over
// all its connections.
//
// Each body has a Hold, which grows as its bytes arrive. While a hold waits for a client, which may be
// slow or may never go on, it can be evicted in favour of others; while the process works on it, it
// cannot. A part of the budget is left for small bodies, so that ordinary requests are served while
// large ones use up the rest.
//
// A Budget is safe for concurrent use. A Hold is used by one goroutine at a time; it is evicted from
// others. The zero value of both pointers, nil, stands for a budget without a limit.
package bytebudget

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// smallBytes is the size up to which a body may use the part of the budget that is left for
	// small ones.
	smallBytes = 16 << 10
	// smallDivisor divides the budget: that fraction is left for small bodies.
	smallDivisor = 8
	// minClientWait is how long a hold must have waited for its client before it can be evicted. A
	// client at a usual distance sends or reads a large body within that time.
	minClientWait = time.Second
)

// Errors of Hold.Grow and Hold.ReadAll.
var (
	// ErrExhausted means that the budget has no room and nothing can be evicted for it.
	ErrExhausted = errors.New("the memory for bodies is used up")
	// ErrEvicted means that the hold was evicted while it waited for its client.
	ErrEvicted = errors.New("evicted to make room for other bodies")
)

// Budget is the memory for bodies.
type Budget struct {
	limit int64

	mutex sync.Mutex
	// The fields below are guarded by mutex. used is the sum of the bytes of all holds.
	used int64
	// awaitingClients are the holds that wait for their clients.
	awaitingClients map[*Hold]struct{}
	// released is closed and replaced when bytes are released and someone waits for them.
	released    chan struct{}
	hasWaiters  bool
	evictions   uint64
	exhaustions uint64
}

// New returns a budget of the given number of bytes; nil for zero, which means no limit.
func New(limit int64) *Budget {
	if limit <= 0 {
		return nil
	}
	return &Budget{limit: limit, awaitingClients: make(map[*Hold]struct{}), released: make(chan struct{})}
}

// Stats describes a budget.
type Stats struct {
	// UsedBytes is the sum of all holds.
	UsedBytes int64
	// Evictions counts the holds that were evicted, Exhaustions the requests for bytes that were denied.
	Evictions, Exhaustions uint64
}

// Stats returns the current state of the budget.
func (b *Budget) Stats() Stats {
	if b == nil {
		return Stats{}
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return Stats{UsedBytes: b.used, Evictions: b.evictions, Exhaustions: b.exhaustions}
}

// Open returns an empty hold.
func (b *Budget) Open() *Hold {
	if b == nil {
		return nil
	}
	return &Hold{budget: b}
}

// EvictLongestWaiting evicts the hold that has waited longest for its client, and reports whether there
// was one that can be evicted.
func (b *Budget) EvictLongestWaiting(now time.Time) bool {
	if b == nil {
		return false
	}
	b.mutex.Lock()
	candidates := b.evictable(now, nil)
	var evicted []func()
	if len(candidates) > 0 {
		evicted = b.evict(candidates[:1])
	}
	b.mutex.Unlock()
	callAll(evicted)
	return len(evicted) > 0
}

// grow gives bytes to a hold, and returns what must be called to evict others for it.
func (b *Budget) grow(hold *Hold, bytes int64, now time.Time) ([]func(), error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if hold.isEvicted {
		return nil, ErrEvicted
	}
	var calls []func()
	if excess := b.excess(hold, bytes); excess > 0 {
		victims := b.victims(hold, excess, now)
		if victims == nil {
			return nil, ErrExhausted
		}
		calls = b.evict(victims)
	}
	b.used += bytes
	hold.bytes += bytes
	return calls, nil
}

// excess returns by how many bytes the budget would be exceeded if the hold grew. A hold is never denied
// what others do not use, so that a single body larger than the budget is served. The caller holds the
// mutex.
func (b *Budget) excess(hold *Hold, bytes int64) int64 {
	reserve := b.limit / smallDivisor
	if hold.bytes+bytes <= smallBytes {
		return b.used + bytes - b.limit
	}
	if b.used-hold.bytes <= reserve {
		return 0
	}
	return b.used + bytes - (b.limit - reserve)
}

// victims returns the holds to evict so that the given number of bytes becomes free; nil if that many
// cannot be freed. The caller holds the mutex.
func (b *Budget) victims(hold *Hold, bytes int64, now time.Time) []*Hold {
	candidates := b.evictable(now, hold)
	for index, each := range candidates {
		bytes -= each.bytes
		if bytes <= 0 {
			return candidates[:index+1]
		}
	}
	return nil
}

// evictable returns the holds that can be evicted, other than one, the one that has waited longest
// first. The caller holds the mutex.
func (b *Budget) evictable(now time.Time, except *Hold) []*Hold {
	var found []*Hold
	for each := range b.awaitingClients {
		if each != except && now.Sub(each.waitsSince) >= minClientWait {
			found = append(found, each)
		}
	}
	slices.SortFunc(found, func(one, other *Hold) int {
		return cmp.Compare(one.waitsSince.UnixNano(), other.waitsSince.UnixNano())
	})
	return found
}

// evict takes the bytes of holds away and returns what ends the wait for their clients. The caller holds
// the mutex and calls what is returned without it.
func (b *Budget) evict(victims []*Hold) []func() {
	calls := make([]func(), 0, len(victims))
	for _, each := range victims {
		b.evictions++
		b.release(each.bytes)
		each.bytes, each.isEvicted = 0, true
		delete(b.awaitingClients, each)
		calls = append(calls, each.endWait)
	}
	return calls
}

// release returns bytes to the budget. The caller holds the mutex.
func (b *Budget) release(bytes int64) {
	b.used -= bytes
	if b.hasWaiters && bytes > 0 {
		close(b.released)
		b.released, b.hasWaiters = make(chan struct{}), false
	}
}

// countExhaustion counts a request for bytes that is denied.
func (b *Budget) countExhaustion() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.exhaustions++
}

// awaitRelease returns a channel that is closed when bytes are released.
func (b *Budget) awaitRelease() <-chan struct{} {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.hasWaiters = true
	return b.released
}

func callAll(calls []func()) {
	for _, call := range calls {
		call()
	}
}
