package query

import (
	"context"
	"time"

	"github.com/bramblemast/bramblemast/pkg/limit"
	"github.com/bramblemast/bramblemast/pkg/policy"
	"github.com/bramblemast/bramblemast/pkg/target"
	"github.com/bramblemast/bramblemast/pkg/template"
)

// Limits bounds the sub-requests that this node has at each server. It is safe
// for concurrent use.
type Limits interface {
	// TryAcquire returns a permit if the server has room for one now.
	TryAcquire(server target.ServerID) (Permit, bool)
	// Acquire waits for a permit, for a bounded time. Its error is an
	// *outcome.Error with outcome NotRun.
	Acquire(ctx context.Context, server target.ServerID) (Permit, error)
	// Observe returns the state of a server for the choice of a replica.
	Observe(server target.ServerID) limit.Observation
}

// Permit allows one sub-request. Release is called exactly once.
type Permit interface {
	Release(result limit.Result)
}

// Budgets holds the extra-load budget of each template and arm. It is safe for
// concurrent use.
type Budgets interface {
	For(key template.Key, arm string, spec policy.ExtraLoadSpec) Budget
}

// Budget pays for hedges and retries out of a share of primary traffic.
type Budget interface {
	// Earn adds the share that primary sub-requests earn.
	Earn(primary int)
	// TrySpend takes one extra sub-request, if the budget has it.
	TrySpend() bool
	// Refund gives one back that was spent and not sent.
	Refund()
}

// Latency keeps recent latency distributions of services.
type Latency interface {
	Observe(service target.Service, latency time.Duration, now time.Time)
	// Quantile is zero while too few samples were seen.
	Quantile(service target.Service, quantile float64) time.Duration
}

// AttemptKind says why a sub-request was sent.
type AttemptKind int

// The kinds of sub-requests.
const (
	// Primary is the first sub-request for a part.
	Primary AttemptKind = iota
	// Hedge is sent while an earlier one for the same part still runs.
	Hedge
	// Retry is sent after an earlier one ended without an answer.
	Retry
)

// String returns the name used in logs and metrics.
func (k AttemptKind) String() string { return [...]string{"primary", "hedge", "retry"}[k] }

// Observer is told of events for metrics. It is safe for concurrent use and
// returns quickly.
type Observer interface {
	// SubRequestFinished is called for each sub-request that was sent; err is
	// nil or an *outcome.Error.
	SubRequestFinished(server target.Target, kind AttemptKind, latency time.Duration, err error)
	// LateResponse is called for an answer that came after its query had
	// stopped or after its part was covered; it was dropped.
	LateResponse(service target.Service)
	// CorruptResponse is called for an answer of another version or range than
	// asked; it was not merged.
	CorruptResponse(service target.Service, server target.ServerID)
	// Restarted is called when a query starts anew on a newer version.
	Restarted(service target.Service, from, to target.Version)
}
