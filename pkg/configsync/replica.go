// Package configsync replicates the published templates to every node.
//
// Each node holds the highest version of each template, in memory only. A change spreads from the
// node through which it was published, or from the few nodes of each zone that watch the store.
// Within a zone it follows a tree over the members that differs for each change, and it is sent once
// to each other zone. Periodic comparisons between random nodes (anti-entropy) deliver what the
// trees miss. A node that starts fetches all templates from peers and from the store before it is
// ready.
//
// The invariant of this package: the version of a template that a node holds never decreases while
// its process runs, whatever the store or a peer sends; see table.offer.
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
	// localQueue and remoteQueue hold the pushes within the zone and to other zones. They are
	// separate so that pushes to unreachable zones don't delay those within the node's own zone.
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

// New creates a Replica and registers its handlers at the transport, which must not serve yet. It
// returns an error if a required option is missing.
func New(options Options) (*Replica, error) {
	options, err := options.withDefaults()
	if err != nil {
		return nil, err
	}
	created := &Replica{
		options:     options,
		logger:      options.Logger,
		table:       newTable(options.onAccept),
		localQueue:  make(chan pushTask, pushQueueCapacity),
		remoteQueue: make(chan pushTask, pushQueueCapacity),
		random:      rand.New(rand.NewPCG(options.Seed, nodeSeed(options.Self))),
		subscribers: map[chan struct{}]struct{}{},
	}
	created.watches = newWatchManager(created)
	created.handle()
	return created, nil
}

// nodeSeed gives nodes with the same Options.Seed different random numbers.
func nodeSeed(self Peer) uint64 { return memberHash(0, self.ID) }

// Run keeps the replica up to date until ctx ends. It always returns nil.
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

// Get returns the template in force without taking a lock. It returns false if there is none.
func (r *Replica) Get(key template.Key) (*template.Compiled, bool) {
	found, isKnown := r.table.inForce.Load(key)
	if !isKnown {
		return nil, false
	}
	return found.(*template.Compiled), true
}

// Held returns the document that this node holds for a key, which may be a tombstone. It returns
// false if there is none.
func (r *Replica) Held(key template.Key) (template.Published, bool) { return r.table.get(key) }

// List returns every template in force, sorted by key.
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

// Announce applies a change that was published through this node and passes it on at once. It does
// not wait for other nodes.
func (r *Replica) Announce(published template.Published) {
	r.applyAndSpread(published, SourceLocal)
}

// Subscribe returns a channel that receives a value after a template or the readiness of the replica
// has changed. Notifications that have not been read are merged into one. Stop ends the
// subscription; it does not close the channel.
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

// applyAndSpread offers a document that came from outside the zone's tree to the table, and hands it
// to the root of the tree if it is new. A node that is not ready passes on only changes published
// through it, since the documents that it fetches are already known to the others.
func (r *Replica) applyAndSpread(published template.Published, source Source) {
	result := r.apply(published, source)
	if result == resultNewer && (r.Ready() || source == SourceLocal) {
		r.handToRoot(published)
	}
}

// apply offers a document to the table, counts the result, and logs and notifies subscribers if the
// document is new.
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

// pause waits for a random time between half and one and a half times duration. It returns false if
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

// randomDuration returns a random duration in [0, limit), or 0 if limit is not positive.
func (r *Replica) randomDuration(limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return time.Duration(r.random.Int64N(int64(limit)))
}
