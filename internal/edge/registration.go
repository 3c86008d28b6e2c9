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

// Registry keeps the nodes' entries for as long as they are renewed.
type Registry interface {
	// Register writes a node's entry and returns its lease. It is an error if the store is in another
	// era than the entry names.
	Register(ctx context.Context, node directory.Node, lifetime time.Duration) (directory.Lease, error)
	// Renew keeps a lease; it returns false if the lease is over.
	Renew(ctx context.Context, lease directory.Lease) (bool, error)
}

// Times of registrations.
const (
	// registrationLifetime is how long the entry of a lost node stays. Until
	// then it still holds its part of shared bounds, which is safe.
	registrationLifetime = 90 * time.Second
	renewInterval        = 30 * time.Second
	registerTimeout      = 3 * time.Second
	// minRegisterRetry and maxRegisterRetry bound the wait after a failure, which
	// doubles each time and differs between nodes: a store that answers again is not met by
	// all of them at once, and each call in vain is one too many.
	minRegisterRetry = 2 * time.Second
	maxRegisterRetry = 8 * time.Second
	// adoptTimeout is how long a starting node waits for the entry that it wrote before
	// it was restarted: renewing that costs a tenth of a call, writing it anew two calls.
	adoptTimeout = 1500 * time.Millisecond
	// restoreRegisterRate is at how many a second nodes write their entries anew after a restore of the
	// store, as far as their number is known: two calls each, of a few hundred a second that the
	// store takes of all nodes. minRestoreSpread bounds the span over which they are spread.
	restoreRegisterRate = 100
	minRestoreSpread    = 500 * time.Millisecond
)

// registration keeps this node's entry in the store.
type registration struct {
	registry Registry
	node     directory.Node
	logger   hclog.Logger
	// store tells how far the store is known, nodes how many nodes are.
	store storeView
	nodes func() int
	// written is the lease of the entry that was found in the store, if that is the one
	// that this node would write; nil if there is none.
	adoptable atomic.Pointer[directory.Lease]
	// eraChanged has an element when the store has come back from an older copy.
	eraChanged chan struct{}
	// hasStartedWriting says that this process has begun to write the entry, and wasListed that the store held it before
	// that: others that were lost with this node are still listed then too.
	hasStartedWriting atomic.Bool
	wasListed         atomic.Bool
}

// storeView is what a node knows of the store; directory.Follower implements it.
type storeView interface {
	// FirstLoad returns a channel that is closed when the store has been read for the first time.
	FirstLoad() <-chan struct{}
	// Position returns how far the store is known.
	Position() directory.Position
	// SettlesIn returns for how long the store may still lack what a restore has lost; zero if it does not.
	SettlesIn() time.Duration
}

func newRegistration(registry Registry, node directory.Node, logger hclog.Logger, store storeView, nodes func() int) *registration {
	return &registration{registry: registry, node: node, logger: logger, store: store, nodes: nodes, eraChanged: make(chan struct{}, 1)}
}

// found takes an entry of a node as the store holds it.
func (r *registration) noteEntry(entry directory.Entry) {
	if entry.Node.Name == r.node.Name && !r.hasStartedWriting.Load() {
		// Also with another address: coordinators of limits are chosen by name.
		r.wasListed.Store(true)
	}
	entryWithoutEra := *entry.Node
	entryWithoutEra.Era = 0
	if entryWithoutEra == r.node && entry.Lease != 0 {
		r.adoptable.Store(&directory.Lease{ID: entry.Lease, Era: entry.Node.Era})
	}
}

// notifyEraChange tells that the store has come back from an older copy: it may have lost the entry, and given
// its lease to another node.
func (r *registration) notifyEraChange() {
	select {
	case r.eraChanged <- struct{}{}:
	default:
	}
}

// run registers and renews until ctx ends.
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
		if err := r.step(ctx, &lease); err != nil {
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

// isFromEarlierEra reports whether a lease was granted before the store came back from an older copy.
func (r *registration) isFromEarlierEra(lease directory.Lease) bool {
	return lease.ID != 0 && lease.Era < r.store.Position().Era
}

// await waits for a span, or until the store has come back from an older copy.
func (r *registration) await(ctx context.Context, span time.Duration) {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-r.eraChanged:
	}
}

// awaitSettled waits until the store has back what a restore has lost, since an entry of the new era
// tells starting nodes so, and then as long as the number of nodes asks for. It does not wait if
// the store has settled.
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

// awaitLoad waits until the store has been read, for a while.
func (r *registration) awaitLoad(ctx context.Context) {
	timer := time.NewTimer(adoptTimeout)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-r.store.FirstLoad():
	}
}

// registerRetry returns the wait after so many failures in a row.
func registerRetry(failures int) time.Duration {
	span := pause.Doubled(minRegisterRetry, maxRegisterRetry, failures)
	return span/2 + rand.N(span/2)
}

// step registers, or renews if there is a lease already.
func (r *registration) step(ctx context.Context, lease *directory.Lease) error {
	callCtx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	if lease.ID == 0 {
		node := r.node
		// An entry of an era whose begin this node has not seen yet would tell others that it has settled.
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
