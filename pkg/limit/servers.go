// Package limit bounds the sub-requests that this node has in flight at each
// back-end server.
//
// Many nodes share a server without seeing each other, so a node knows only its
// share of the slots and the answers to its own sub-requests. The limit of a server
// starts below that share, rises while answers are good and the limit is in
// full use, and falls when the server sheds, fails or slows down (additive increase,
// multiplicative decrease). It never exceeds the node's share of connections.
//
// A limit may be fractional: whole slots are counted, and the fractional slot is
// paced by a token bucket, so that a limit of 0.07 lets one sub-request at a time
// run for 7% of the time. See docs/design/limits.md.
//
// All methods are safe for concurrent use. Acquiring and releasing a free
// permit allocates nothing.
package limit

import (
	"context"
	"hash/maphash"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bramblemast/bramblemast/pkg/target"
)

// shardCount is the number of maps that servers are spread over. Adding a server
// copies only one of them.
const shardCount = 64

// Servers limits the sub-requests to every server of a node.
type Servers struct {
	options Options
	seed    maphash.Seed
	shards  [shardCount]shard
	// waiters holds *waiter values for reuse.
	waiters sync.Pool
}

// shard holds some of the servers. Readers load the current map without a lock; a
// map is never modified, only replaced by a copy.
type shard struct {
	current atomic.Pointer[map[target.ServerID]*server]
	// mutex is held while current is replaced.
	mutex sync.Mutex
}

// NewServers returns a limiter without servers.
func NewServers(options Options) *Servers {
	servers := &Servers{options: options.withDefaults(), seed: maphash.MakeSeed()}
	servers.waiters.New = func() any { return newWaiter() }
	for i := range servers.shards {
		servers.shards[i].current.Store(&map[target.ServerID]*server{})
	}
	return servers
}

// Configure sets the node's share of a server, initially or after the number of
// nodes that share it has changed.
func (s *Servers) Configure(id target.ServerID, share Share) {
	s.obtain(id, share).configure(share, time.Now())
}

// Forget drops the state of a removed server. Waiting callers are refused with
// reason draining; outstanding permits may still be released. If the server comes
// back, it starts with fresh state that does not count the outstanding permits.
func (s *Servers) Forget(id target.ServerID) {
	home := s.shardOf(id)
	home.mutex.Lock()
	defer home.mutex.Unlock()
	if found := (*home.current.Load())[id]; found != nil {
		home.remove(id)
		found.close()
	}
}

// dropIdle drops the state of a server that was never configured and that
// nobody uses, for example one that a query used after Forget.
func (s *Servers) dropIdle(idle *server) {
	home := s.shardOf(idle.id)
	home.mutex.Lock()
	defer home.mutex.Unlock()
	if (*home.current.Load())[idle.id] == idle && idle.closeIfUnused() {
		home.remove(idle.id)
	}
}

// remove takes a server out of the map; the caller holds the mutex.
func (h *shard) remove(id target.ServerID) {
	next := maps.Clone(*h.current.Load())
	delete(next, id)
	h.current.Store(&next)
}

// TryAcquire takes a permit if one is available now and no caller is waiting. The
// permit must be released. A server that was not configured gets a small default
// share, and its state is dropped when its last permit is released.
func (s *Servers) TryAcquire(id target.ServerID) (*Permit, bool) {
	return s.lookup(id).tryAcquire()
}

// Acquire takes a permit, waiting briefly in order of arrival if necessary.
// The permit must be released.
//
// The wait is bounded by Options and by ctx. A caller that would wait too long
// is refused at once, and a waiting caller is refused as soon as the limit falls
// too low for it. The error is an *outcome.Error with outcome NotRun: reason
// overloaded with RetryAfter set, or cancelled or deadline if ctx ended, or draining
// if the server was forgotten.
func (s *Servers) Acquire(ctx context.Context, id target.ServerID) (*Permit, error) {
	server := s.lookup(id)
	permit, taken := server.tryAcquire()
	if taken {
		return permit, nil
	}
	return s.wait(ctx, server)
}

// Observe returns the state of a server. An unknown server is reported as unused,
// with limit 1.
func (s *Servers) Observe(id target.ServerID) Observation {
	found := (*s.shardOf(id).current.Load())[id]
	if found == nil {
		return Observation{Limit: 1}
	}
	return found.observe()
}

// Len returns the number of servers that have state.
func (s *Servers) Len() int {
	count := 0
	for i := range s.shards {
		count += len(*s.shards[i].current.Load())
	}
	return count
}

func (s *Servers) shardOf(id target.ServerID) *shard {
	return &s.shards[maphash.String(s.seed, string(id))%shardCount]
}

func (s *Servers) lookup(id target.ServerID) *server {
	found := (*s.shardOf(id).current.Load())[id]
	if found == nil {
		found = s.obtain(id, unknownShare)
	}
	return found
}

// obtain returns the state of a server and creates it with the given share if it
// does not exist.
func (s *Servers) obtain(id target.ServerID, share Share) *server {
	home := s.shardOf(id)
	if found := (*home.current.Load())[id]; found != nil {
		return found
	}
	home.mutex.Lock()
	defer home.mutex.Unlock()
	old := *home.current.Load()
	if found := old[id]; found != nil {
		return found
	}
	next := maps.Clone(old)
	created := newServer(id, s, share)
	next[id] = created
	home.current.Store(&next)
	return created
}
