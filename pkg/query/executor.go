package query

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/pkg/backend"
	"github.com/bramblemast/bramblemast/pkg/catalog"
	"github.com/bramblemast/bramblemast/pkg/latency"
	"github.com/bramblemast/bramblemast/pkg/outcome"
	"github.com/bramblemast/bramblemast/pkg/policy"
)

// Defaults of Options.
const (
	DefaultAnswerMargin    = time.Millisecond
	DefaultPartialInterval = 5 * time.Millisecond
	DefaultMaxRestarts     = 1
	DefaultRestartShare    = 0.4
)

// marginDivisor limits the answer margin to this fraction of the remaining time, so that the margin
// does not use up a short deadline.
const marginDivisor = 10

// Options configures an Executor.
type Options struct {
	// Client and Catalog are required.
	Client  backend.Client
	Catalog catalog.Source
	// Limits bounds the concurrent sub-requests at each server; nil means no bound.
	Limits Limits
	// Budgets pays for hedges and retries; nil means that neither is sent.
	Budgets Budgets
	// Latency keeps latency distributions; nil means a new latency.Tracker.
	Latency Latency
	// Observer receives events; it may be nil.
	Observer Observer
	// Seed makes the random choices reproducible.
	Seed uint64
	// AnswerMargin is how long before its deadline a query stops, so that the answer is sent in
	// time; zero means the default.
	AnswerMargin time.Duration
	// PartialInterval is the minimum time between two partials; zero means the default.
	PartialInterval time.Duration
	// MaxRestarts is how often a query may restart on a newer version; zero means the default,
	// a negative value means never.
	MaxRestarts int
	// RestartShare is the share of the query's total time, 0 to 1, that must remain for a restart;
	// zero means the default.
	RestartShare float64
}

// Executor runs queries. It is safe for concurrent use.
type Executor struct {
	options Options
	layouts layoutCache
	// queries counts the queries; the number selects the random stream of a query.
	queries atomic.Uint64
	// attempts numbers the sub-requests of all requests. Callers choose request IDs, so two requests
	// may share one; a late answer to the first must not match a sub-request of the second.
	attempts atomic.Uint32
}

// New returns an executor.
func New(options Options) *Executor {
	if options.Limits == nil {
		options.Limits = unlimited{}
	}
	if options.Budgets == nil {
		options.Budgets = noExtraLoad{}
	}
	if options.Latency == nil {
		options.Latency = latency.NewTracker()
	}
	if options.Observer == nil {
		options.Observer = NopObserver{}
	}
	if options.AnswerMargin == 0 {
		options.AnswerMargin = DefaultAnswerMargin
	}
	if options.PartialInterval == 0 {
		options.PartialInterval = DefaultPartialInterval
	}
	if options.MaxRestarts == 0 {
		options.MaxRestarts = DefaultMaxRestarts
	}
	if options.RestartShare == 0 {
		options.RestartShare = DefaultRestartShare
	}
	return &Executor{options: options}
}

// Execute runs one request and returns its answer shortly before request.Deadline at the latest;
// see Options.AnswerMargin. It does not wait for sub-requests that it cancels. Cancelling ctx ends
// it at once. The partial function may be nil.
//
// The error is an *outcome.Error for a request that was not fanned out, and otherwise a
// *CoverageError, which wraps one. Its outcome is NotRun only if there is evidence that no back end
// ran any part of the request.
func (e *Executor) Execute(ctx context.Context, request *Request, partial PartialFunc) (*Answer, error) {
	if err := validate(request); err != nil {
		return nil, err
	}
	view := e.options.Catalog.View(request.Template.Service)
	if view == nil {
		return nil, notRun("find service", outcome.ReasonNoReplica, errors.Errorf("service %q is unknown", request.Template.Service))
	}
	pinned := e.layouts.get(view).pin(request.Key)
	if pinned == nil {
		return nil, notRun("choose index version", outcome.ReasonNoReplica, errors.Errorf("service %q has no usable server", request.Template.Service))
	}
	x := e.begin(ctx, request, partial)
	defer x.cancel()
	if err := x.workCtx.Err(); err != nil {
		return nil, notRun("start", asOutcomeError(err, "").Reason, err)
	}
	for {
		p := newPass(x, view, pinned)
		result := p.run()
		p.close(result)
		if result.restart == nil {
			return p.finish(result)
		}
		x.restarts++
		e.options.Observer.Restarted(request.Template.Service, pinned.version, result.restart.version)
		view, pinned = p.view, result.restart
	}
}

// validate returns an error for a request that the executor cannot run.
func validate(request *Request) error {
	policies := request.Policies
	switch {
	case policies.Replica == nil || policies.Hedge == nil || policies.Stop == nil || policies.Retry == nil:
		return notRun("check request", outcome.ReasonInvalid, errors.New("a policy is not set"))
	case request.Template.NotRepeatable && request.Key == "":
		return notRun("check request", outcome.ReasonInvalid, errors.New("a not-repeatable request needs a key"))
	default:
		return nil
	}
}

// execution is the state of one request over all its passes. Only the goroutine of Execute writes
// to it.
type execution struct {
	executor *Executor
	request  *Request
	partial  PartialFunc
	// callerCtx is the caller's context; workCtx is the parent context of the sub-requests.
	callerCtx context.Context
	workCtx   context.Context
	cancel    context.CancelFunc
	started   time.Time
	deadline  time.Time
	budget    Budget
	generator rand.PCG
	random    *rand.Rand
	extraLoad ExtraLoad
	restarts  int
	// mayHaveRun counts the sub-requests that ran or may have run.
	mayHaveRun  int
	lastFailure error
	retryAfter  time.Duration
}

func (e *Executor) begin(ctx context.Context, request *Request, partial PartialFunc) *execution {
	now := time.Now()
	x := &execution{
		executor:  e,
		request:   request,
		partial:   partial,
		callerCtx: ctx,
		started:   now,
		deadline:  e.stopTime(ctx, request.Deadline, now),
		budget:    e.options.Budgets.For(request.Template.Key(), request.Arm, request.Policies.ExtraLoad),
	}
	x.generator.Seed(e.options.Seed, e.queries.Add(1))
	x.random = rand.New(&x.generator)
	x.workCtx, x.cancel = context.WithDeadline(ctx, x.deadline)
	return x
}

// stopTime returns when a query stops waiting for answers: the answer margin before the earlier one
// of its deadline and the deadline of ctx.
func (e *Executor) stopTime(ctx context.Context, deadline time.Time, now time.Time) time.Time {
	if earlier, bounded := ctx.Deadline(); bounded && earlier.Before(deadline) {
		deadline = earlier
	}
	margin := min(e.options.AnswerMargin, deadline.Sub(now)/marginDivisor)
	return deadline.Add(-max(margin, 0))
}

// quantile returns a latency quantile of the request's service.
func (x *execution) quantile(quantile float64) time.Duration {
	return x.executor.options.Latency.Quantile(x.request.Template.Service, quantile)
}

// countAttempts adds change to the number of sub-requests of a kind. After a restart the primary
// sub-requests of the new pass are extra load and count as retries.
func (x *execution) countAttempts(kind AttemptKind, change int) {
	switch {
	case kind == Hedge:
		x.extraLoad.Hedges += change
	case kind == Retry || x.restarts > 0:
		x.extraLoad.Retries += change
	default:
		x.extraLoad.Primary += change
	}
}

// recordFailure keeps the latest failure and the longest requested delay before a retry.
func (x *execution) recordFailure(err error) {
	x.lastFailure = err
	var failure *outcome.Error
	if errors.As(err, &failure) {
		x.retryAfter = max(x.retryAfter, failure.RetryAfter)
	}
}

// passResult is how a pass ended: with a stop reason, with a failure that ends the request, or with
// the layout to restart on.
type passResult struct {
	reason  policy.StopReason
	failure *outcome.Error
	restart *layout
	// awaitedServer is the server whose answer was still awaited; see soleRunningServer.
	awaitedServer string
}
