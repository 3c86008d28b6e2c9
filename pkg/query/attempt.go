package query

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/bramblemast/bramblemast/pkg/backend"
	"github.com/bramblemast/bramblemast/pkg/limit"
	"github.com/bramblemast/bramblemast/pkg/outcome"
	"github.com/bramblemast/bramblemast/pkg/target"
)

// attemptState is the state of a sub-request. The attempt's goroutine moves it from waiting to sent.
// The event loop moves it from waiting to abandoned, or from sent to one of the states that record
// why the answer is no longer wanted.
type attemptState int32

const (
	// attemptWaiting means that nothing was sent yet.
	attemptWaiting attemptState = iota
	attemptSent
	// attemptAbandoned means that nothing was sent and nothing will be sent.
	attemptAbandoned
	// attemptOvertaken means that a later sub-request for the same part was answered first.
	attemptOvertaken
	// attemptStopped means that the query stopped before its deadline, or that an earlier
	// sub-request for the same part was answered first.
	attemptStopped
	// attemptExpired means that the query reached its deadline.
	attemptExpired
)

// attempt is one sub-request.
type attempt struct {
	pass    *pass
	kind    AttemptKind
	part    int
	request backend.Request
	// permit is nil until the goroutine has acquired one, if none was free at launch.
	permit Permit
	// paid is true if the attempt was charged to the extra-load budget.
	paid   bool
	ctx    context.Context
	cancel context.CancelFunc
	state  atomic.Int32

	// response and err are written by the goroutine before it delivers the attempt to the inbox.
	response *backend.Response
	err      error
	// detached is true once the event loop has stopped waiting for the attempt.
	detached bool
	// next links the finished attempts of an inbox.
	next *attempt
}

// run is the body of the attempt's goroutine: it sends the sub-request, waits until it ends and
// delivers the result to the inbox.
func (a *attempt) run() {
	a.response, a.err = a.send()
	a.cancel()
	if !a.pass.inbox.deliver(a) && a.err == nil {
		a.observer().LateResponse(a.request.Target.Service)
	}
}

func (a *attempt) send() (*backend.Response, error) {
	options := &a.pass.execution.executor.options
	server := a.request.Target.Server
	if a.permit == nil {
		permit, err := options.Limits.Acquire(a.ctx, server)
		if err != nil {
			return nil, err
		}
		a.permit = permit
	}
	if !a.move(attemptWaiting, attemptSent) {
		a.permit.Release(limit.Result{Cancelled: true})
		return nil, notRun(stepAnswer, outcome.ReasonCancelled, errOvertaken)
	}
	sentAt := time.Now()
	response, err := options.Client.Do(a.ctx, &a.request)
	now := time.Now()
	a.reportHints(response, err)
	err = a.check(response, err)
	a.report(now, now.Sub(sentAt), err)
	if err != nil {
		return nil, err
	}
	return response, nil
}

// check returns the failure of the sub-request, if any. An answer must have the pinned version and
// exactly the requested range.
func (a *attempt) check(response *backend.Response, err error) error {
	requested := &a.request.Target
	switch {
	case err != nil:
		return asOutcomeError(err, requested.Server)
	case response == nil:
		return unknown(stepCheck, requested.Server, outcome.ReasonInternal, errNoAnswer)
	case response.Version != requested.Version || response.Range != requested.Range:
		a.observer().CorruptResponse(requested.Service, requested.Server)
		return unknown(stepCheck, requested.Server, outcome.ReasonCorruptResponse, errMismatch)
	default:
		return nil
	}
}

// reportHints reports the server's hints to the catalog. A refusal because the server is draining
// counts as a hint too.
func (a *attempt) reportHints(response *backend.Response, err error) {
	source := a.pass.execution.executor.options.Catalog
	switch {
	case response != nil:
		source.ReportHints(a.request.Target.Server, response.Hints)
	case err != nil && outcome.ReasonOf(err) == outcome.ReasonDraining:
		source.ReportHints(a.request.Target.Server, backend.Hints{Draining: true, Load: -1})
	}
}

// report releases the permit and reports the end of the sub-request to the catalog, the latency
// tracker and the observer. The time spent waiting for an answer that a hedge overtook counts as a
// latency: if only received answers were counted, the slow ones would be missing, the quantiles
// would fall, and with them the delay before a hedge.
func (a *attempt) report(now time.Time, latency time.Duration, err error) {
	options := &a.pass.execution.executor.options
	server := a.request.Target.Server
	endState := a.finalState(err)
	failure := a.serverFailure(endState, latency, err)
	a.permit.Release(limitResult(endState, latency, failure))
	if endState == attemptSent || failure != nil {
		options.Catalog.ReportResult(server, failure)
	}
	if cutShort := endState != attemptSent && failure != nil; err == nil || cutShort {
		options.Latency.Observe(a.request.Target.Service, latency, now)
	}
	options.Observer.SubRequestFinished(a.request.Target, a.kind, latency, err)
}

// finalState returns attemptSent if the server's own answer or failure ended the sub-request.
// Otherwise it returns the state that records why this node ended it.
func (a *attempt) finalState(err error) attemptState {
	state := attemptState(a.state.Load())
	if err == nil {
		return attemptSent
	}
	if state != attemptSent {
		return state
	}
	switch a.ctx.Err() {
	case nil:
		return attemptSent
	case context.DeadlineExceeded:
		return attemptExpired
	default:
		return attemptStopped
	}
}

// serverFailure returns the failure that the catalog should record for the server, or nil. A server
// that was overtaken by a hedge, or that had not answered for unusually long when the query's
// deadline came, failed to answer: a frozen server cannot be detected in any other way. A
// sub-request that this node ended for its own reasons is no evidence about the server.
func (a *attempt) serverFailure(endState attemptState, latency time.Duration, err error) error {
	server := a.request.Target.Server
	switch endState {
	case attemptSent:
		return err
	case attemptOvertaken:
		return unknown(stepAnswer, server, outcome.ReasonDeadline, errOvertaken)
	case attemptExpired:
		if stallLatency := a.pass.execution.quantile(stallQuantile); stallLatency > 0 && latency > stallLatency {
			return unknown(stepAnswer, server, outcome.ReasonDeadline, err)
		}
	}
	return nil
}

// stallQuantile is the latency quantile above which a sub-request that was ended by the query's
// deadline counts as a failure of the server.
const stallQuantile = 0.99

// limitResult returns the result that the server's limit learns from when the permit is released.
func limitResult(endState attemptState, latency time.Duration, failure error) limit.Result {
	result := limit.Result{Latency: latency}
	switch {
	case endState == attemptOvertaken || endState == attemptStopped:
		result.Cancelled = true
	case failure == nil:
		result.Cancelled = endState != attemptSent
	case isShed(failure):
		result.Shed = true
	case isStalePlan(failure):
		result.Cancelled = true
	default:
		result.Failed = true
	}
	return result
}

func isShed(err error) bool {
	reason := outcome.ReasonOf(err)
	return reason == outcome.ReasonShed || reason == outcome.ReasonOverloaded
}

// discard marks the answer as no longer wanted and cancels the sub-request. It returns true if
// nothing was sent and nothing will be sent.
func (a *attempt) discard(state attemptState) bool {
	a.detached = true
	unsent := a.move(attemptWaiting, attemptAbandoned)
	if !unsent {
		a.move(attemptSent, state)
	}
	a.cancel()
	return unsent
}

// endStateOf returns the state in which another attempt for the same part ends after this one was
// answered.
func (a *attempt) endStateOf(other *attempt) attemptState {
	if a.request.Attempt > other.request.Attempt {
		return attemptOvertaken
	}
	return attemptStopped
}

// wasSent reports whether the sub-request may have reached its server.
func (a *attempt) wasSent() bool {
	state := attemptState(a.state.Load())
	return state != attemptWaiting && state != attemptAbandoned
}

func (a *attempt) move(from, to attemptState) bool {
	return a.state.CompareAndSwap(int32(from), int32(to))
}

func (a *attempt) observer() Observer { return a.pass.execution.executor.options.Observer }

// isStalePlan reports whether a server refused, before it ran anything, because the plan is out of
// date: the server is draining, or it no longer serves the version or the range.
func isStalePlan(err error) bool {
	if outcome.Of(err) != outcome.NotRun {
		return false
	}
	switch outcome.ReasonOf(err) {
	case outcome.ReasonDraining, outcome.ReasonVersionGone, outcome.ReasonRangeNotHeld:
		return true
	default:
		return false
	}
}

// newTarget returns the target of a sub-request for the part at the server.
func newTarget(service target.Service, part *plannedPart, server target.ServerID, version target.Version) target.Target {
	return target.Target{Service: service, Group: part.group, Range: part.keys, Server: server, Version: version}
}
