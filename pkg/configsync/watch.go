package configsync

import (
	"context"
	"sync"
	"time"

	"github.com/bramblemast/bramblemast/pkg/configstore"
	"github.com/bramblemast/bramblemast/pkg/target"
	"github.com/bramblemast/bramblemast/pkg/template"
	"github.com/bramblemast/bramblemast/pkg/template/stored"

	"github.com/cespare/xxhash/v2"
)

const (
	// dutyPeriod is the time between two looks at who watches what.
	dutyPeriod = time.Second
	// firstStoreBackoff and maxStoreBackoff bound the wait after a failed call.
	firstStoreBackoff = 250 * time.Millisecond
	maxStoreBackoff   = 5 * time.Second
	// maxRepairs bounds the documents that are repaired between two reads.
	maxRepairs = 16
)

// watchDuty runs the watches of the store that this node has by rank. Each
// prefix is watched by the first members of the zone in the order for that
// prefix. Watching is idempotent, so no lease is needed: while two nodes
// disagree on who is alive, one more or one fewer watches for a moment.
type watchDuty struct {
	replica  *Replica
	prefixes []string

	// mutex guards running, the watches by prefix.
	mutex   sync.Mutex
	running map[string]*runningWatch
}

// runningWatch is one watch of this node.
type runningWatch struct {
	cancel context.CancelFunc
	// rank is this node's place among the zone's members for the prefix. Only
	// the first repairs the store.
	rank int
}

func newWatchDuty(replica *Replica) *watchDuty {
	prefixes, _ := stored.Prefixes(replica.options.ShardDigits) // checked by withDefaults
	return &watchDuty{replica: replica, prefixes: prefixes, running: map[string]*runningWatch{}}
}

// run starts and ends watches as the zone's members come and go.
func (d *watchDuty) run(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	lastMembers := uint64(0)
	for {
		if members := d.membersHash(); members != lastMembers {
			lastMembers = members
			d.assign(ctx, &group)
		}
		if !d.replica.pause(ctx, dutyPeriod) {
			return
		}
	}
}

// membersHash changes with the alive members of the zone.
func (d *watchDuty) membersHash() uint64 {
	sum := uint64(1)
	for _, known := range d.replica.zoneOrder(0) {
		sum += xxhash.Sum64String(string(known.ID))
	}
	return sum
}

func (d *watchDuty) assign(ctx context.Context, group *sync.WaitGroup) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, prefix := range d.prefixes {
		rank := d.rank(prefix)
		current := d.running[prefix]
		switch {
		case rank < d.replica.options.WatchersPerZone && current == nil:
			watchContext, cancel := context.WithCancel(ctx)
			d.running[prefix] = &runningWatch{cancel: cancel, rank: rank}
			group.Go(func() { d.replica.watchLoop(watchContext, prefix) })
		case rank < d.replica.options.WatchersPerZone:
			current.rank = rank
		case current != nil:
			current.cancel()
			delete(d.running, prefix)
		}
	}
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
	for _, prefix := range d.prefixes {
		if d.running[prefix] != nil {
			prefixes = append(prefixes, prefix)
		}
	}
	return prefixes
}

// watchLoop watches one prefix until ctx ends. Between two calls passes at
// least this watch's share of the calls that all watches may make.
func (r *Replica) watchLoop(ctx context.Context, prefix string) {
	index, backoff := uint64(0), firstStoreBackoff
	for ctx.Err() == nil {
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
		behind := r.takeStoreState(prefix, entries, started, SourceStore)
		r.repair(ctx, prefix, behind)
		if !r.pause(ctx, r.storeInterval()) {
			return
		}
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
	return r.options.Store.Watch(ctx, prefix, index, r.options.WatchWait)
}

// storeInterval is the least time between two calls of one watch, so that the
// watches of all zones together keep to the allowed rate.
func (r *Replica) storeInterval() time.Duration {
	watches := r.zoneCount() * r.options.WatchersPerZone * len(r.watch.prefixes)
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

// takeStoreState learns what the store holds below a prefix. It returns the
// documents in which the store is behind this node.
func (r *Replica) takeStoreState(prefix string, entries []configstore.Entry, readStart time.Time, source Source) []template.Published {
	found := make(map[template.Key]template.Version, len(entries))
	for _, item := range entries {
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
	behind := r.table.compareWithStore(prefix, found, readStart)
	if len(behind) > 0 {
		r.counters.storeBehind.Add(uint64(len(behind)))
		r.logger.Error("the store is behind this node", "prefix", prefix, "templates", len(behind),
			"first", behind[0].Key(), "held", behind[0].Version(), "stored", found[behind[0].Key()])
	}
	return behind
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
