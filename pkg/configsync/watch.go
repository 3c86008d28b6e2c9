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
	// dutyPeriod is the time between two looks at who watches what.
	dutyPeriod = time.Second
	// firstStoreBackoff and maxStoreBackoff bound the wait after a failed call.
	firstStoreBackoff = 250 * time.Millisecond
	maxStoreBackoff   = 5 * time.Second
	// watchBurst is the number of calls of a watch that may follow each other.
	watchBurst = 3
	// idleShares is the least time that an idle watch waits, in shares.
	idleShares = 3
	// maxWatchWait is the longest wait that the store's interface takes.
	maxWatchWait = 5 * time.Minute
	// maxRepairs bounds the documents that are repaired between two reads.
	maxRepairs = 16
)

// watchDuty runs the watches of the store that this node has by rank. Each
// prefix is watched by the first members of the zone in the order for that
// prefix. Watching is idempotent, so no lease is needed: while two nodes
// disagree on who is alive, or on the number of prefixes, one more or one fewer
// watches for a moment.
type watchDuty struct {
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
	// rank is this node's place among the zone's members for the prefix. Only
	// the first repairs the store.
	rank int
}

func newWatchDuty(replica *Replica) *watchDuty {
	return &watchDuty{replica: replica, prefixes: []string{stored.Root}, running: map[string]*runningWatch{}}
}

// run starts and ends watches as the zone's members come and go.
func (d *watchDuty) run(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	lastMembers := uint64(0)
	for {
		members := d.membersHash()
		if d.chooseDigits() || members != lastMembers {
			lastMembers = members
			d.assign(ctx, &group)
		}
		if !d.replica.pause(ctx, dutyPeriod) {
			return
		}
	}
}

// chooseDigits sets the number of prefixes by the size of all documents. It
// returns true if that changed. The nodes hold the same documents and so come
// to the same number.
func (d *watchDuty) chooseDigits() bool {
	const mostDigits, shardsOfDigit = 2, 16
	wanted, bytes := 0, d.replica.table.size()
	for wanted < mostDigits && bytes > d.replica.options.MaxBytesPerWatch {
		wanted++
		bytes /= shardsOfDigit
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if wanted == d.digits {
		return false
	}
	prefixes, err := stored.Prefixes(wanted)
	if err != nil {
		return false // not reached: wanted is in range
	}
	d.digits, d.prefixes = wanted, prefixes
	return true
}

// membersHash changes with the alive members of the zone.
func (d *watchDuty) membersHash() uint64 {
	sum := uint64(1)
	for _, known := range d.replica.zoneOrder(0) {
		sum += xxhash.Sum64String(string(known.ID))
	}
	return sum
}

// assign starts the watches that this node has by rank and ends the others.
func (d *watchDuty) assign(ctx context.Context, group *sync.WaitGroup) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	wanted := map[string]bool{}
	for _, prefix := range d.prefixes {
		rank := d.rank(prefix)
		if rank >= d.replica.options.WatchersPerZone {
			continue
		}
		wanted[prefix] = true
		if current := d.running[prefix]; current != nil {
			current.rank = rank
			continue
		}
		watchContext, cancel := context.WithCancel(ctx)
		d.running[prefix] = &runningWatch{cancel: cancel, rank: rank}
		group.Go(func() { d.replica.watchLoop(watchContext, prefix) })
	}
	for prefix, current := range d.running {
		if !wanted[prefix] {
			current.cancel()
			delete(d.running, prefix)
		}
	}
}

// count returns the number of prefixes.
func (d *watchDuty) count() int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return len(d.prefixes)
}

// rank returns this node's place among the zone's members for a prefix.
func (d *watchDuty) rank(prefix string) int {
	for place, candidate := range d.replica.zoneOrder(xxhash.Sum64String(prefix)) {
		if candidate.ID == d.replica.options.Self.ID {
			return place
		}
	}
	return 0 // not reached: the order holds this node
}

// isFirst reports whether this node is the zone's first for a prefix.
func (d *watchDuty) isFirst(prefix string) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	current := d.running[prefix]
	return current != nil && current.rank == 0
}

// watched returns the prefixes that this node watches.
func (d *watchDuty) watched() []string {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var prefixes []string
	for prefix := range d.running {
		prefixes = append(prefixes, prefix)
	}
	slices.Sort(prefixes)
	return prefixes
}

// watchLoop watches one prefix until ctx ends, within its share of the calls
// that all watches may make. A few calls may follow each other at once, unless
// they fail: then the share passes between two of them.
func (r *Replica) watchLoop(ctx context.Context, prefix string) {
	index, backoff := uint64(0), firstStoreBackoff
	share := rate.NewLimiter(rate.Every(r.storeInterval()), watchBurst)
	for share.Wait(ctx) == nil {
		started := time.Now()
		entries, current, err := r.readStore(ctx, prefix, index)
		if ctx.Err() != nil {
			return
		}
		r.noteStoreCall(current, err)
		if err != nil {
			r.logger.Warn("watch failed", "prefix", prefix, "error", err, "backoff", backoff.String())
			if !r.pause(ctx, max(backoff, r.storeInterval())) {
				return
			}
			backoff = min(2*backoff, maxStoreBackoff)
			continue
		}
		if current < index {
			r.logger.Error("the store went back", "prefix", prefix, "from", index, "to", current)
		}
		index, backoff = current, firstStoreBackoff
		compared := r.takeStoreState(prefix, entries, started, SourceStore)
		if compared.isDoubtful {
			index = 0 // read again at once
		}
		r.repair(ctx, prefix, compared.behind)
		share.SetLimit(rate.Every(r.storeInterval()))
	}
}

// readStore reads a prefix at once if nothing is known of it, and otherwise
// waits for a change.
func (r *Replica) readStore(ctx context.Context, prefix string, index uint64) ([]configstore.Entry, uint64, error) {
	if index == 0 {
		ctx, cancel := context.WithTimeout(ctx, slowStorePatience)
		defer cancel()
		return r.options.Store.List(ctx, prefix)
	}
	return r.options.Store.Watch(ctx, prefix, index, r.watchWait())
}

// watchWait is how long the store may hold a watch: long enough that idle
// watches use a part of their share only.
func (r *Replica) watchWait() time.Duration {
	return max(r.options.WatchWait, min(idleShares*r.storeInterval(), maxWatchWait))
}

// storeInterval is the mean time between two calls of one watch at which the
// watches of all zones together make the calls that they may.
func (r *Replica) storeInterval() time.Duration {
	watches := r.zoneCount() * r.options.WatchersPerZone * r.watch.count()
	return seconds(float64(watches) / r.options.StoreCallsPerSecond)
}

func seconds(count float64) time.Duration { return time.Duration(count * float64(time.Second)) }

// zoneCount counts the zones that are known, this node's included.
func (r *Replica) zoneCount() int {
	zones := map[target.Zone]bool{r.options.Self.Zone: true}
	for _, known := range r.options.Peers() {
		zones[known.Zone] = true
	}
	return len(zones)
}

// takeStoreState learns what the store holds below a prefix, and compares the
// rest with it.
func (r *Replica) takeStoreState(prefix string, entries []configstore.Entry, readStart time.Time, source Source) storeComparison {
	found := make(map[template.Key]template.Version, len(entries))
	for _, item := range entries {
		r.counters.storeBytes.Add(uint64(len(item.Value)))
		key, err := stored.ParseKey(item.Key)
		if err != nil {
			r.refuse("store", err)
			continue
		}
		published, err := stored.DecodeCurrent(key, item.Value)
		if err != nil {
			r.refuse("store", err)
			continue
		}
		found[key] = published.Version()
		r.learn(published, source)
	}
	compared := r.table.compareWithStore(prefix, found, readStart)
	if behind := compared.behind; len(behind) > 0 {
		r.counters.storeBehind.Add(uint64(len(behind)))
		r.logger.Error("the store is behind this node", "prefix", prefix, "templates", len(behind),
			"first", behind[0].Key(), "held", behind[0].Version(), "stored", found[behind[0].Key()])
	}
	return compared
}

// repair writes documents back that the store has lost. The zone's first
// watcher does it; the compare-and-swap settles which zone's wins.
func (r *Replica) repair(ctx context.Context, prefix string, behind []template.Published) {
	if r.options.Repairer == nil || len(behind) == 0 || !r.watch.isFirst(prefix) {
		return
	}
	for _, held := range behind[:min(len(behind), maxRepairs)] {
		if !r.pause(ctx, r.storeInterval()) {
			return
		}
		repaired, err := r.options.Repairer.Repair(ctx, held)
		if err != nil {
			r.logger.Warn("repair failed", "template", held.Key(), "error", err)
			return
		}
		if repaired {
			r.counters.repaired.Add(1)
		}
	}
}
