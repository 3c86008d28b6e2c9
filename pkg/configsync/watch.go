package configsync

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"

	"github.com/bramblemast/bramblemast/pkg/configstore"
	"github.com/bramblemast/bramblemast/pkg/target"
	"github.com/bramblemast/bramblemast/pkg/template"
	"github.com/bramblemast/bramblemast/pkg/template/stored"
)

const (
	// assignmentPeriod is the mean time between two checks of which prefixes this node watches.
	assignmentPeriod = time.Second
	// initialStoreBackoff and maxStoreBackoff bound the backoff after a failed call.
	initialStoreBackoff = 250 * time.Millisecond
	maxStoreBackoff     = 5 * time.Second
	// watchBurst is the number of calls that a watch may make without waiting.
	watchBurst = 3
	// idleWatchIntervals is the minimum wait of an idle watch, as a multiple of storeInterval, up to
	// maxWatchWait.
	idleWatchIntervals = 3
	// maxWatchWait is the longest wait that the store's interface accepts.
	maxWatchWait = 5 * time.Minute
	// maxRepairsPerRead bounds the documents that are repaired between two reads.
	maxRepairsPerRead = 16
)

// watchManager runs the watches of the store that are assigned to this node. Each prefix is watched
// by the first WatchersPerZone members of the zone in the order for that prefix. Watching is
// idempotent, so no lease is needed: while nodes disagree on which members are alive, or on the
// number of prefixes, a prefix briefly has one watcher too many or too few.
type watchManager struct {
	replica *Replica

	// mutex guards the fields below.
	mutex sync.Mutex
	// digits is the number of shard digits in a prefix.
	digits   int
	prefixes []string
	running  map[string]*runningWatch
}

// runningWatch is one watch of this node.
type runningWatch struct {
	cancel context.CancelFunc
	// rank is this node's position among the zone's members for the prefix. Only the first member,
	// of rank 0, repairs the store.
	rank int
}

func newWatchManager(replica *Replica) *watchManager {
	return &watchManager{replica: replica, prefixes: []string{stored.Root}, running: map[string]*runningWatch{}}
}

// run starts and ends watches as the zone's members and the number of prefixes change, until ctx
// ends.
func (m *watchManager) run(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	lastMembers := uint64(0)
	for {
		members := m.membersHash()
		if m.chooseDigits() || members != lastMembers {
			lastMembers = members
			m.assign(ctx, &group)
		}
		if !m.replica.pause(ctx, assignmentPeriod) {
			return
		}
	}
}

// chooseDigits sets the number of prefixes according to the size of all documents. It returns true
// if the number changed. Nodes that hold the same documents choose the same number.
func (m *watchManager) chooseDigits() bool {
	const maxDigits, prefixesPerDigit = 2, 16
	wanted, bytes := 0, m.replica.table.size()
	for wanted < maxDigits && bytes > m.replica.options.MaxBytesPerWatch {
		wanted++
		bytes /= prefixesPerDigit
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if wanted == m.digits {
		return false
	}
	prefixes, err := stored.Prefixes(wanted)
	if err != nil {
		return false // not reached: wanted is in range
	}
	m.digits, m.prefixes = wanted, prefixes
	return true
}

// membersHash returns a hash over the alive members of the zone, to detect changes.
func (m *watchManager) membersHash() uint64 {
	sum := uint64(1)
	for _, known := range m.replica.zoneOrder(0) {
		sum += xxhash.Sum64String(string(known.ID))
	}
	return sum
}

// assign starts the watches that are assigned to this node by rank and ends the others.
func (m *watchManager) assign(ctx context.Context, group *sync.WaitGroup) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	wanted := map[string]bool{}
	for _, prefix := range m.prefixes {
		rank := m.rank(prefix)
		if rank >= m.replica.options.WatchersPerZone {
			continue
		}
		wanted[prefix] = true
		if current := m.running[prefix]; current != nil {
			current.rank = rank
			continue
		}
		watchContext, cancel := context.WithCancel(ctx)
		m.running[prefix] = &runningWatch{cancel: cancel, rank: rank}
		group.Go(func() { m.replica.watchLoop(watchContext, prefix) })
	}
	for prefix, current := range m.running {
		if !wanted[prefix] {
			current.cancel()
			delete(m.running, prefix)
		}
	}
}

// prefixCount returns the number of prefixes.
func (m *watchManager) prefixCount() int {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return len(m.prefixes)
}

// rank returns this node's position among the zone's members for a prefix.
func (m *watchManager) rank(prefix string) int {
	for position, candidate := range m.replica.zoneOrder(xxhash.Sum64String(prefix)) {
		if candidate.ID == m.replica.options.Self.ID {
			return position
		}
	}
	return 0 // not reached: the order holds this node
}

// isFirst reports whether this node watches a prefix as the zone's first member for it.
func (m *watchManager) isFirst(prefix string) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	current := m.running[prefix]
	return current != nil && current.rank == 0
}

// watched returns the prefixes that this node watches, sorted.
func (m *watchManager) watched() []string {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	var prefixes []string
	for prefix := range m.running {
		prefixes = append(prefixes, prefix)
	}
	slices.Sort(prefixes)
	return prefixes
}

// watchLoop watches one prefix until ctx ends, within its share of StoreCallsPerSecond. Up to
// watchBurst successful calls may follow each other without a wait; after a failed call it waits for
// the backoff or storeInterval, whichever is longer.
func (r *Replica) watchLoop(ctx context.Context, prefix string) {
	index, backoff := uint64(0), initialStoreBackoff
	limiter := rate.NewLimiter(rate.Every(r.storeInterval()), watchBurst)
	for limiter.Wait(ctx) == nil {
		started := time.Now()
		entries, newIndex, err := r.readStore(ctx, prefix, index)
		if ctx.Err() != nil {
			return
		}
		r.recordStoreCall(newIndex, err)
		if err != nil {
			r.logger.Warn("watch failed", "prefix", prefix, "error", err, "backoff", backoff.String())
			if !r.pause(ctx, max(backoff, r.storeInterval())) {
				return
			}
			backoff = min(2*backoff, maxStoreBackoff)
			continue
		}
		if newIndex < index {
			r.logger.Error("the store went back", "prefix", prefix, "from", index, "to", newIndex)
		}
		index, backoff = newIndex, initialStoreBackoff
		comparison := r.applyStoreState(prefix, entries, started, SourceStore)
		if comparison.isInconclusive {
			index = 0 // read again at once
		}
		r.repair(ctx, prefix, comparison.behind)
		limiter.SetLimit(rate.Every(r.storeInterval()))
	}
}

// readStore reads a prefix at once if index is 0, and otherwise waits for a change after index.
func (r *Replica) readStore(ctx context.Context, prefix string, index uint64) ([]configstore.Entry, uint64, error) {
	if index == 0 {
		ctx, cancel := context.WithTimeout(ctx, storeReadTimeout)
		defer cancel()
		return r.options.Store.List(ctx, prefix)
	}
	return r.options.Store.Watch(ctx, prefix, index, r.watchWait())
}

// watchWait returns how long the store may hold a watch: long enough that idle watches use only part
// of their share of calls.
func (r *Replica) watchWait() time.Duration {
	return max(r.options.WatchWait, min(idleWatchIntervals*r.storeInterval(), maxWatchWait))
}

// storeInterval returns the mean time between two calls of one watch at which the watches of all
// zones together make StoreCallsPerSecond calls.
func (r *Replica) storeInterval() time.Duration {
	total := r.zoneCount() * r.options.WatchersPerZone * r.watches.prefixCount()
	return seconds(float64(total) / r.options.StoreCallsPerSecond)
}

func seconds(count float64) time.Duration { return time.Duration(count * float64(time.Second)) }

// zoneCount returns the number of known zones, including this node's.
func (r *Replica) zoneCount() int {
	zones := map[target.Zone]bool{r.options.Self.Zone: true}
	for _, known := range r.options.Peers() {
		zones[known.Zone] = true
	}
	return len(zones)
}

// applyStoreState applies the documents that the store holds below a prefix, and compares the
// documents held here with them.
func (r *Replica) applyStoreState(prefix string, entries []configstore.Entry, readStart time.Time, source Source) storeComparison {
	found := make(map[template.Key]template.Version, len(entries))
	for _, item := range entries {
		r.counters.storeBytes.Add(uint64(len(item.Value)))
		key, err := stored.ParseKey(item.Key)
		if err != nil {
			r.rejectMalformed("store", err)
			continue
		}
		published, err := stored.DecodeCurrent(key, item.Value)
		if err != nil {
			r.rejectMalformed("store", err)
			continue
		}
		found[key] = published.Version()
		r.applyAndSpread(published, source)
	}
	comparison := r.table.compareWithStore(prefix, found, readStart)
	if behind := comparison.behind; len(behind) > 0 {
		r.counters.storeBehind.Add(uint64(len(behind)))
		r.logger.Error("the store is behind this node", "prefix", prefix, "templates", len(behind),
			"first", behind[0].Key(), "held", behind[0].Version(), "stored", found[behind[0].Key()])
	}
	return comparison
}

// repair writes back documents that the store has lost or holds in an older version, at most
// maxRepairsPerRead. Only the zone's first watcher of the prefix does so; if several zones try,
// compare-and-swap decides which write succeeds.
func (r *Replica) repair(ctx context.Context, prefix string, behind []template.Published) {
	if r.options.Repairer == nil || len(behind) == 0 || !r.watches.isFirst(prefix) {
		return
	}
	for _, held := range behind[:min(len(behind), maxRepairsPerRead)] {
		if !r.pause(ctx, r.storeInterval()) {
			return
		}
		repaired, err := r.options.Repairer.Repair(ctx, held)
		if err != nil {
			r.logger.Warn("store repair failed", "template", held.Key(), "error", err)
			return
		}
		if repaired {
			r.counters.repaired.Add(1)
		}
	}
}
