package edge

import (
	"context"
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
	registerRetry        = 2 * time.Second
)

// registration keeps this node's entry in the store.
type registration struct {
	registry Registry
	node     directory.Node
	logger   hclog.Logger
}

// run registers and renews until ctx ends.
func (r *registration) run(ctx context.Context) error {
	var lease uint64
	for ctx.Err() == nil {
		next := renewInterval
		if err := r.step(ctx, &lease); err != nil {
			r.logger.Warn("registration failed", "error", err.Error())
			next = registerRetry
		} else if lease == 0 {
			next = 0
		}
		pause.For(ctx, next)
	}
	return nil
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
