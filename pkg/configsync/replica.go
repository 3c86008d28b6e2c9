// Package configsync keeps the published templates in force at every node.
//
// Each node holds the highest version of each template, in memory only. A
// change spreads from the node through which it was published, or from the few
// watchers that each zone has at the store, along a tree over the zone's
// members that differs for each change, and once to each other zone. Random
// comparisons between nodes repair what the trees miss. A node that starts
// fetches all from peers and from the store before it is ready.
//
// The invariant of this package: the version of a template that is in force at
// a node never goes down, whatever the store or a peer says; see table.offer.
//
// docs/design/configuration.md explains the choices.
package configsync

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/bramblemast/bramblemast/pkg/template"
)

// Replica is one node's copy of all templates. It is safe for concurrent use.
type Replica struct {
	options  Options
	logger   hclog.Logger
	table    *table
	counters counters
	ready    atomic.Bool
	// local and remote queue the pushes within the zone and to other zones, so
	// that zones which are cut off don't hold up the node's own.
	localQueue  chan pushTask
	remoteQueue chan pushTask
	watches     *watchManager

	// mutex guards the fields below.
	mutex  sync.Mutex
	random *rand.Rand
	// storeError is the error of the last call to the store, or nil.
	storeError  error
	subscribers map[chan struct{}]struct{}
}

// New checks the options and makes a Replica. It registers its handlers at the
// transport, which must not serve yet.
func New(options Options) (*Replica, error) {
	options, err := options.withDefaults()
	if err != nil {
		return nil, err
	}
	created := &Replica{
		options:     options,
		logger:      options.Logger,
		table:       newTable(options.onReplace),
		localQueue:  make(chan pushTask, pushQueueCapacity),
		remoteQueue: make(chan pushTask, pushQueueCapacity),
		random:      rand.New(rand.NewPCG(options.Seed, nodeSeed(options.Self))),
		subscribers: map[chan struct{}]struct{}{},
	}
	created.watches = newWatchManager(created)
	created.handle()
	return created, nil
}

// nodeSeed tells nodes apart that were given the same seed.
func nodeSeed(self Peer) uint64 { return memberHash(0, self.ID) }

// Run keeps the replica up to date until ctx ends.
func (r *Replica) Run(ctx context.Context) error {
	var group sync.WaitGroup
	group.Go(func() { r.bootstrap(ctx) })
	group.Go(func() { r.exchangeLoop(ctx) })
	group.Go(func() { r.watches.run(ctx) })
	for range localSenders {
		group.Go(func() { r.sendLoop(ctx, r.localQueue) })
	}
	for range remoteSenders {
		group.Go(func() { r.sendLoop(ctx, r.remoteQueue) })
	}
	group.Wait()
	return nil
}

// Get returns the template in force, without a lock.
func (r *Replica) Get(key template.Key) (*template.Compiled, bool) {
	found, isKnown := r.table.inForce.Load(key)
	if !isKnown {
		return nil, false
	}
	return found.(*template.Compiled), true
}

// Held returns the document that this node holds, tombstones included.
func (r *Replica) Held(key template.Key) (template.Published, bool) { return r.table.get(key) }

// List returns every template in force.
func (r *Replica) List() []*template.Compiled {
	var all []*template.Compiled
	r.table.inForce.Range(func(_, compiled any) bool {
		all = append(all, compiled.(*template.Compiled))
		return true
	})
	sortCompiled(all)
	return all
}

// Ready reports whether the replica has fetched what peers and the store hold.
func (r *Replica) Ready() bool { return r.ready.Load() }

// Announce takes a change that was accepted through this node and passes it on
// at once. It does not block.
func (r *Replica) Announce(published template.Published) {
	r.applyAndSpread(published, SourceLocal)
}

// Subscribe returns a channel that gets a value after a template or the
// readiness changed; values that are not read are merged. Stop ends it.
func (r *Replica) Subscribe() (changes <-chan struct{}, stop func()) {
	subscriber := make(chan struct{}, 1)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.subscribers[subscriber] = struct{}{}
	return subscriber, func() {
		r.mutex.Lock()
		defer r.mutex.Unlock()
		delete(r.subscribers, subscriber)
	}
}

func (r *Replica) notify() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for subscriber := range r.subscribers {
		select {
		case subscriber <- struct{}{}:
		default:
		}
	}
}

// learn offers a document that came from outside the zone's tree to the table,
// and hands it to the tree if it is new. A node that is not ready fetches what
// the others have long had, and passes on only its own changes.
func (r *Replica) applyAndSpread(published template.Published, source Source) {
	result := r.apply(published, source)
	if result == resultNewer && (r.Ready() || source == SourceLocal) {
		r.handToRoot(published)
	}
}

// take offers a document to the table.
func (r *Replica) apply(published template.Published, source Source) offerResult {
	result := r.table.offer(published, source, time.Now())
	r.counters.addOffer(source, result)
	if result != resultNewer {
		return result
	}
	r.logger.Info("template changed", "template", published.Key(), "version", published.Version(),
		"source", source, "deleted", published.Template.Deleted)
	r.notify()
	return result
}

// pause waits for about duration, half of it more or less at random; false if
// ctx ended.
func (r *Replica) pause(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration/2 + r.randomDuration(duration))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// randomDuration returns a duration from 0 to below limit.
func (r *Replica) randomDuration(limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return time.Duration(r.random.Int64N(int64(limit)))
}
