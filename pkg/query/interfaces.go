package query

import (
	"context"
	"time"

	"github.com/bramblemast/bramblemast/pkg/limit"
	"github.com/bramblemast/bramblemast/pkg/policy"
	"github.com/bramblemast/bramblemast/pkg/target"
	"github.com/bramblemast/bramblemast/pkg/template"
)

// Limits bounds the concurrent sub-requests of this node at each server. It is safe for concurrent
// use.
type Limits interface {
	// TryAcquire returns a permit if one is free for the server now.
	TryAcquire(server target.ServerID) (Permit, bool)
	// Acquire waits for a permit, for a bounded time. Its error is an *outcome.Error with outcome
	// NotRun.
	Acquire(ctx context.Context, server target.ServerID) (Permit, error)
	// Observe returns the load state of a server, for the choice of a replica.
	Observe(server target.ServerID) limit.Observation
}

// Permit allows one sub-request. Release must be called exactly once.
type Permit interface {
	Release(result limit.Result)
}

// Budgets holds an extra-load budget for each template and experiment arm. It is safe for concurrent
// use.
type Budgets interface {
	For(key template.Key, arm string, spec policy.ExtraLoadSpec) Budget
}

// Budget pays for hedges and retries. It is filled by a share of the primary sub-requests.
type Budget interface {
	// Earn adds the share that this many primary sub-requests earn.
	Earn(primary int)
	// TrySpend takes one extra sub-request from the budget. It returns false if none is left.
	TrySpend() bool
	// Refund returns one extra sub-request that was spent but not sent.
	Refund()
}

// Latency keeps recent latency distributions of services.
type Latency interface {
	Observe(service target.Service, latency time.Duration, now time.Time)
	// Quantile returns zero while there are too few samples.
	Quantile(service target.Service, quantile float64) time.Duration
}

// AttemptKind says why a sub-request was sent.
type AttemptKind int

// The kinds of sub-requests.
const (
	// Primary is the first sub-request for a part.
	Primary AttemptKind = iota
	// Hedge is sent while an earlier sub-request for the same part is still running.
	Hedge
	// Retry is sent after an earlier sub-request for the same part ended without an answer.
	Retry
)

// String returns the name used in logs and metrics.
func (k AttemptKind) String() string { return [...]string{"primary", "hedge", "retry"}[k] }

// Observer receives events for metrics. Implementations must be safe for concurrent use and return
// quickly.
type Observer interface {
	// SubRequestFinished is called for each sub-request that was sent; err is nil or an
	// *outcome.Error.
	SubRequestFinished(destination target.Target, kind AttemptKind, latency time.Duration, err error)
	// LateResponse is called for an answer that was dropped, because it arrived after its query had
	// stopped or after its part was covered.
	LateResponse(service target.Service)
	// CorruptResponse is called for an answer that was not merged, because its version or range is
	// not the requested one or its range is already covered.
	CorruptResponse(service target.Service, server target.ServerID)
	// Restarted is called when a query restarts on a newer version.
	Restarted(service target.Service, from, to target.Version)
}
