package query

import (
	"context"
	"time"

	"github.com/bramblemast/bramblemast/pkg/budget"
	"github.com/bramblemast/bramblemast/pkg/limit"
	"github.com/bramblemast/bramblemast/pkg/policy"
	"github.com/bramblemast/bramblemast/pkg/target"
	"github.com/bramblemast/bramblemast/pkg/template"
)

// ServerLimits adapts the node's server limits to Limits.
func ServerLimits(servers *limit.Servers) Limits { return serverLimits{servers: servers} }

type serverLimits struct{ servers *limit.Servers }

func (l serverLimits) TryAcquire(server target.ServerID) (Permit, bool) {
	permit, ok := l.servers.TryAcquire(server)
	if !ok {
		return nil, false
	}
	return permit, true
}

func (l serverLimits) Acquire(ctx context.Context, server target.ServerID) (Permit, error) {
	permit, err := l.servers.Acquire(ctx, server)
	if err != nil {
		return nil, err
	}
	return permit, nil
}

func (l serverLimits) Observe(server target.ServerID) limit.Observation {
	return l.servers.Observe(server)
}

// ExtraLoadBudgets adapts the node's budget pool to Budgets.
func ExtraLoadBudgets(pool *budget.Pool) Budgets { return extraLoadBudgets{pool: pool} }

type extraLoadBudgets struct{ pool *budget.Pool }

func (b extraLoadBudgets) For(key template.Key, arm string, spec policy.ExtraLoadSpec) Budget {
	return b.pool.For(key, arm, spec)
}

// NopObserver is an Observer that does nothing. Embed it in an Observer that handles only some of
// the events.
type NopObserver struct{}

// SubRequestFinished implements Observer.
func (NopObserver) SubRequestFinished(target.Target, AttemptKind, time.Duration, error) {}

// LateResponse implements Observer.
func (NopObserver) LateResponse(target.Service) {}

// CorruptResponse implements Observer.
func (NopObserver) CorruptResponse(target.Service, target.ServerID) {}

// Restarted implements Observer.
func (NopObserver) Restarted(target.Service, target.Version, target.Version) {}

// unlimited is the default Limits of an executor: every permit is granted at once.
type unlimited struct{}

func (unlimited) TryAcquire(target.ServerID) (Permit, bool)                { return unlimited{}, true }
func (unlimited) Acquire(context.Context, target.ServerID) (Permit, error) { return unlimited{}, nil }
func (unlimited) Observe(target.ServerID) limit.Observation                { return limit.Observation{Limit: 1} }
func (unlimited) Release(limit.Result)                                     {}

// noExtraLoad is the default Budgets of an executor: it pays for no hedge and no retry.
type noExtraLoad struct{}

func (noExtraLoad) For(template.Key, string, policy.ExtraLoadSpec) Budget { return noExtraLoad{} }
func (noExtraLoad) Earn(int)                                              {}
func (noExtraLoad) TrySpend() bool                                        { return false }
func (noExtraLoad) Refund()                                               {}
