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
	// Register writes a node's entry and returns its lease.
	Register(ctx context.Context, node directory.Node, lifetime time.Duration) (uint64, error)
	// Renew keeps a lease; it returns false if the lease is over.
	Renew(ctx context.Context, lease uint64) (bool, error)
}

// Times of registrations.
const (
	// registrationLifetime is how long the entry of a lost node stays. Until
	// then it still holds its part of shared bounds, which is safe.
	registrationLifetime = 90 * time.Second
	renewInterval        = 30 * time.Second
	registerTimeout      = 3 * time.Second
	// leastRegisterRetry and greatestRegisterRetry bound the wait after a failure, which
	// doubles each time and differs between nodes: a store that answers again is not met by
	// all of them at once, and each call in vain is one too many.
	leastRegisterRetry    = 2 * time.Second
	greatestRegisterRetry = 8 * time.Second
	// adoptPatience is how long a starting node waits for the entry that it wrote before
	// it was restarted: renewing that costs a tenth of a call, writing it anew two calls.
	adoptPatience = 1500 * time.Millisecond
)

// registration keeps this node's entry in the store.
type registration struct {
	registry Registry
	node     directory.Node
	logger   hclog.Logger
	// loaded is closed when the store has been read for the first time; nil for at once.
	loaded <-chan struct{}
	// written is the lease of the entry that was found in the store, if that is the one
	// that this node would write; zero if there is none.
	written atomic.Uint64
	// isWriting says that this process has begun to write the entry, and wasListed that the store held it before
	// that: others that were lost with this node are still listed then too.
	isWriting atomic.Bool
	wasListed atomic.Bool
}

// found takes an entry of a node as the store holds it.
func (r *registration) found(entry directory.Entry) {
	if entry.Node.Name == r.node.Name && !r.isWriting.Load() {
		// Also with another address: coordinators of limits are chosen by name.
		r.wasListed.Store(true)
	}
	if *entry.Node == r.node && entry.Lease != 0 {
		r.written.Store(entry.Lease)
	}
}

// run registers and renews until ctx ends.
func (r *registration) run(ctx context.Context) error {
	r.awaitLoad(ctx)
	r.isWriting.Store(true)
	lease, failures := r.written.Load(), 0
	for ctx.Err() == nil {
		next := renewInterval
		if err := r.step(ctx, &lease); err != nil {
			r.logger.Warn("registration failed", "error", err.Error())
			next = registerRetry(failures)
			failures++
		} else if lease == 0 {
			next = 0
		} else {
			failures = 0
		}
		pause.For(ctx, next)
	}
	return nil
}

// awaitLoad waits until the store has been read, for a while.
func (r *registration) awaitLoad(ctx context.Context) {
	if r.loaded == nil {
		return
	}
	timer := time.NewTimer(adoptPatience)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-r.loaded:
	}
}

// registerRetry returns the wait after so many failures in a row.
func registerRetry(failures int) time.Duration {
	span := pause.Doubled(leastRegisterRetry, greatestRegisterRetry, failures)
	return span/2 + rand.N(span/2)
}

// step registers, or renews if there is a lease already.
func (r *registration) step(ctx context.Context, lease *uint64) error {
	limited, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	if *lease == 0 {
		granted, err := r.registry.Register(limited, r.node, registrationLifetime)
		if err == nil {
			*lease = granted
		}
		return err
	}
	kept, err := r.registry.Renew(limited, *lease)
	if err == nil && !kept {
		*lease = 0
	}
	return err
}
