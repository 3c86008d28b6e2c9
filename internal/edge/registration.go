package edge

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/bramblemast/bramblemast/internal/pause"
	"github.com/bramblemast/bramblemast/pkg/directory"
)

// Registry holds the entries of nodes in the store for as long as their leases are renewed.
type Registry interface {
	// Register writes the entry of a node and returns its lease. It fails if the store is in another
	// era than the entry's.
	Register(ctx context.Context, node directory.Node, lifetime time.Duration) (directory.Lease, error)
	// Renew renews a lease; it returns false if the lease has expired.
	Renew(ctx context.Context, lease directory.Lease) (bool, error)
}

// Timing of registrations.
const (
	// registrationLifetime is the duration of the lease, for which the entry of a lost node remains.
	// Until then the node keeps its part of shared bounds, which is safe.
	registrationLifetime = 90 * time.Second
	renewInterval        = 30 * time.Second
	registerTimeout      = 3 * time.Second
	// minRegisterRetry and maxRegisterRetry bound the wait after a failure. It doubles with
	// each failure, so that few calls are made in vain, and is random, so that not all nodes call at
	// once when the store answers again.
	minRegisterRetry = 2 * time.Second
	maxRegisterRetry = 8 * time.Second
	// adoptTimeout is how long a starting node waits to find the entry that it wrote before its
	// restart: renewing that entry costs a tenth of a call, writing a new one two calls.
	adoptTimeout = 1500 * time.Millisecond
	// restoreRegisterRate is the number of nodes per second that write their entries again after a
	// restore of the store, given the known number of nodes. Each makes two calls, of the few hundred
	// per second that the store accepts from all nodes. minRestoreSpread is the minimum time over
	// which the writes are spread.
	restoreRegisterRate = 100
	minRestoreSpread    = 500 * time.Millisecond
)

// registration keeps this node's entry in the store.
type registration struct {
	registry Registry
	node     directory.Node
	logger   hclog.Logger
	// store returns how much of the store is known, nodes the number of known nodes.
	store storeView
	nodes func() int
	// adoptable is the lease of the entry found in the store if that equals the one that this node
	// would write; nil if there is none.
	adoptable atomic.Pointer[directory.Lease]
	// eraChanged has an element when the store was restored from an older copy.
	eraChanged chan struct{}
	// hasStartedWriting says that this process has begun to write its entry, and wasListed that the
	// store contained the entry before that. In that case the entries of other nodes that were lost
	// together with this one are still in the store too.
	hasStartedWriting atomic.Bool
	wasListed         atomic.Bool
}

// storeView is what a node knows of the store; directory.Follower implements it.
type storeView interface {
	// FirstLoad returns a channel that is closed when the store has been read for the first time.
	FirstLoad() <-chan struct{}
	// Position returns the era and revision up to which the store is known.
	Position() directory.Position
	// SettlesIn returns for how long the store may still lack what a restore has lost; zero if nothing
	// is missing.
	SettlesIn() time.Duration
}

func newRegistration(registry Registry, node directory.Node, logger hclog.Logger, store storeView, nodes func() int) *registration {
	return &registration{registry: registry, node: node, logger: logger, store: store, nodes: nodes, eraChanged: make(chan struct{}, 1)}
}

// noteEntry handles an entry of a node in the store: it notes whether this node was listed before it
// wrote its entry, and whether it can adopt the lease.
func (r *registration) noteEntry(entry directory.Entry) {
	if entry.Node.Name == r.node.Name && !r.hasStartedWriting.Load() {
		// The address may differ: coordinators of tenant limits are chosen by name.
		r.wasListed.Store(true)
	}
	entryWithoutEra := *entry.Node
	entryWithoutEra.Era = 0
	if entryWithoutEra == r.node && entry.Lease != 0 {
		r.adoptable.Store(&directory.Lease{ID: entry.Lease, Era: entry.Node.Era})
	}
}

// notifyEraChange reports that the store was restored from an older copy: it may have lost the entry
// and granted its lease to another node.
func (r *registration) notifyEraChange() {
	select {
	case r.eraChanged <- struct{}{}:
	default:
	}
}

// run registers the node and renews its lease until ctx ends.
func (r *registration) run(ctx context.Context) error {
	r.awaitLoad(ctx)
	var lease directory.Lease
	if adoptable := r.adoptable.Load(); adoptable != nil {
		lease = *adoptable
	}
	failures := 0
	for ctx.Err() == nil {
		if r.isFromEarlierEra(lease) {
			lease = directory.Lease{}
		}
		if lease.ID == 0 {
			r.awaitSettled(ctx)
		}
		r.hasStartedWriting.Store(true)
		next := renewInterval
		if err := r.registerOrRenew(ctx, &lease); err != nil {
			r.logger.Warn("registration failed", "error", err.Error())
			next = registerRetry(failures)
			failures++
		} else if lease.ID == 0 {
			next = 0
		} else {
			failures = 0
		}
		r.await(ctx, next)
	}
	return nil
}

// isFromEarlierEra reports whether a lease was granted before the last restore of the store.
func (r *registration) isFromEarlierEra(lease directory.Lease) bool {
	return lease.ID != 0 && lease.Era < r.store.Position().Era
}

// await waits for a span, or until the store is restored from an older copy.
func (r *registration) await(ctx context.Context, span time.Duration) {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-r.eraChanged:
	}
}

// awaitSettled waits until everything that a restore lost has been written back, because an entry of
// the new era signals that to starting nodes. It then waits for a random time that grows with the
// number of nodes. It does not wait if nothing is missing.
func (r *registration) awaitSettled(ctx context.Context) {
	left := r.store.SettlesIn()
	if left <= 0 {
		return
	}
	for ; ctx.Err() == nil && left > 0; left = r.store.SettlesIn() {
		pause.For(ctx, left)
	}
	spread := time.Duration(r.nodes()) * time.Second / restoreRegisterRate
	pause.For(ctx, rand.N(max(spread, minRestoreSpread)))
}

// awaitLoad waits until the store has been read, at most for adoptTimeout.
func (r *registration) awaitLoad(ctx context.Context) {
	timer := time.NewTimer(adoptTimeout)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-r.store.FirstLoad():
	}
}

// registerRetry returns the wait after the given number of consecutive failures.
func registerRetry(failures int) time.Duration {
	span := pause.Doubled(minRegisterRetry, maxRegisterRetry, failures)
	return span/2 + rand.N(span/2)
}

// registerOrRenew registers the node, or renews the lease if there is one.
func (r *registration) registerOrRenew(ctx context.Context, lease *directory.Lease) error {
	callCtx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	if lease.ID == 0 {
		node := r.node
		// The entry names the era that this node knows. With a newer era, whose start the node has not
		// seen yet, it would signal to others that everything lost has been written back.
		node.Era = r.store.Position().Era
		granted, err := r.registry.Register(callCtx, node, registrationLifetime)
		if err == nil {
			*lease = granted
		}
		return err
	}
	kept, err := r.registry.Renew(callCtx, *lease)
	if err == nil && !kept {
		*lease = directory.Lease{}
	}
	return err
}
