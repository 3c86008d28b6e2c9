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

// marginDivisor bounds the answer margin to a share of a short deadline.
const marginDivisor = 10

// Options are the parts that an Executor works with.
type Options struct {
	// Client and Catalog are required.
	Client  backend.Client
	Catalog catalog.Source
	// Limits bounds the sub-requests at each server; nil for no bound.
	Limits Limits
	// Budgets pays for hedges and retries; nil for none of either.
	Budgets Budgets
	// Latency keeps latency distributions; nil for a new latency.Tracker.
	Latency Latency
	// Observer is told of events; it may be nil.
	Observer Observer
	// Seed makes the random choices reproducible.
	Seed uint64
	// AnswerMargin is how long before its deadline a query stops, so that the
	// answer is on its way in time; zero for the default.
	AnswerMargin time.Duration
	// PartialInterval is the least time between two partials; zero for the
	// default.
	PartialInterval time.Duration
	// MaxRestarts bounds how often a query starts anew on a newer version;
	// zero for the default, negative for never.
	MaxRestarts int
	// RestartShare is the share of the query's time, 0 to 1, that must be left
	// for a restart; zero for the default.
	RestartShare float64
}

// Executor runs queries. It is safe for concurrent use.
type Executor struct {
	options Options
	layouts layoutCache
	// queries numbers the queries, for their random streams.
	queries atomic.Uint64
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

// Execute runs one request and returns its answer, at the latest shortly
// before request.Deadline. It does not wait for sub-requests that it cancels.
// Cancelling ctx ends it at once.
//
// The error is an *outcome.Error for a request that was not fanned out, and
// otherwise a *CoverageError, which wraps one. Its outcome is NotRun only if
// no back end ran any part of the request, on evidence.
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

// validate rejects a request that the executor cannot run.
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

// execution is the state of one request over all its passes. Only the
// goroutine of Execute writes it.
type execution struct {
	executor *Executor
	request  *Request
	partial  PartialFunc
	// caller is the caller's context; work is that of the sub-requests.
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
	// attempts numbers the sub-requests of the request.
	attempts uint32
	// mayHaveRun counts the sub-requests that ran or that may have run.
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

// stopTime returns the moment at which a query stops to wait.
func (e *Executor) stopTime(ctx context.Context, deadline time.Time, now time.Time) time.Time {
	if earlier, bounded := ctx.Deadline(); bounded && earlier.Before(deadline) {
		deadline = earlier
	}
	margin := min(e.options.AnswerMargin, deadline.Sub(now)/marginDivisor)
	return deadline.Add(-max(margin, 0))
}

// quantile is the latency quantile of the request's service.
func (x *execution) quantile(quantile float64) time.Duration {
	return x.executor.options.Latency.Quantile(x.request.Template.Service, quantile)
}

// count adds to the sub-requests of a kind. The first sub-requests of a pass
// after a restart are extra load.
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

// recordFailure remembers the latest failure and the longest wait asked for.
func (x *execution) recordFailure(err error) {
	x.lastFailure = err
	var failure *outcome.Error
	if errors.As(err, &failure) {
		x.retryAfter = max(x.retryAfter, failure.RetryAfter)
	}
}

// ending says how a pass ended: with a stop reason, with a failure that ends
// the request, or with the plan of a restart.
type passResult struct {
	reason  policy.StopReason
	failure *outcome.Error
	restart *layout
	// awaited is the one server whose answer was waited for, if there was one.
	awaitedServer string
}
