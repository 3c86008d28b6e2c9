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

// attemptState is the state of a sub-request. Its goroutine moves it from
// waiting to sent; the event loop moves it from waiting to abandoned, or from
// sent to one of the states that tell why the answer is no longer wanted.
type attemptState int32

const (
	// waiting means that nothing was sent yet.
	waiting attemptState = iota
	sent
	// abandoned means that nothing was and nothing will be sent.
	abandoned
	// outlasted means that a replica that was asked later answered first.
	outlasted
	// stopped means that the query stopped before its deadline, or that a
	// replica that was asked earlier answered first.
	stopped
	// expired means that the query reached its deadline.
	expired
)

// attempt is one sub-request.
type attempt struct {
	pass    *pass
	kind    AttemptKind
	part    int
	request backend.Request
	// permit is nil if the goroutine has to wait for one.
	permit Permit
	// paid is true if the attempt was paid from the extra-load budget.
	paid   bool
	ctx    context.Context
	cancel context.CancelFunc
	state  atomic.Int32

	// response and err are written by the goroutine before delivery.
	response *backend.Response
	err      error
	// detached is true once the event loop no longer counts on the attempt.
	detached bool
	// next links the attempts of an inbox.
	next *attempt
}

// run sends the sub-request, waits for its end and delivers the result. It is
// the body of the attempt's goroutine.
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
	if !a.move(waiting, sent) {
		a.permit.Release(limit.Result{Cancelled: true})
		return nil, notRun(stepAnswer, outcome.ReasonCancelled, errOutlasted)
	}
	began := time.Now()
	response, err := options.Client.Do(a.ctx, &a.request)
	now := time.Now()
	a.reportHints(response, err)
	err = a.check(response, err)
	a.report(now, now.Sub(began), err)
	if err != nil {
		return nil, err
	}
	return response, nil
}

// check returns the failure of the sub-request, if any. An answer must be of
// the pinned version and of exactly the range that was asked.
func (a *attempt) check(response *backend.Response, err error) error {
	asked := &a.request.Target
	switch {
	case err != nil:
		return typed(err, asked.Server)
	case response == nil:
		return unknown(stepCheck, asked.Server, outcome.ReasonInternal, errNoAnswer)
	case response.Version != asked.Version || response.Range != asked.Range:
		a.observer().CorruptResponse(asked.Service, asked.Server)
		return unknown(stepCheck, asked.Server, outcome.ReasonCorruptResponse, errMismatch)
	default:
		return nil
	}
}

// reportHints passes on what the server said of itself.
func (a *attempt) reportHints(response *backend.Response, err error) {
	source := a.pass.execution.executor.options.Catalog
	switch {
	case response != nil:
		source.ReportHints(a.request.Target.Server, response.Hints)
	case err != nil && outcome.ReasonOf(err) == outcome.ReasonDraining:
		source.ReportHints(a.request.Target.Server, backend.Hints{Draining: true, Load: -1})
	}
}

// report releases the permit and tells the catalog, the latency tracker and
// the observer how the sub-request ended. The wait for an answer that a hedge
// outran counts as a latency: if only the answers that came were counted, the
// slow ones would be missing, the quantiles would fall, and with them the wait
// before a hedge.
func (a *attempt) report(now time.Time, latency time.Duration, err error) {
	options := &a.pass.execution.executor.options
	server := a.request.Target.Server
	ended := a.endedBecause(err)
	verdict := a.verdict(ended, latency, err)
	a.permit.Release(resultOf(ended, latency, verdict))
	if ended == sent || verdict != nil {
		options.Catalog.ReportResult(server, verdict)
	}
	if cutShort := ended != sent && verdict != nil; err == nil || cutShort {
		options.Latency.Observe(a.request.Target.Service, latency, now)
	}
	options.Observer.SubRequestFinished(a.request.Target, a.kind, latency, err)
}

// endedBecause returns sent if the server's own answer or failure ended the
// sub-request, and otherwise why this node ended it.
func (a *attempt) endedBecause(err error) attemptState {
	state := attemptState(a.state.Load())
	if err == nil {
		return sent
	}
	if state != sent {
		return state
	}
	switch a.ctx.Err() {
	case nil:
		return sent
	case context.DeadlineExceeded:
		return expired
	default:
		return stopped
	}
}

// verdict returns the failure that the sub-request says about its server. A
// server that lost to a hedge, or that let a long wait run into the query's
// deadline, failed to answer: a frozen server shows in no other way. A
// sub-request that this node ended for its own reasons says nothing.
func (a *attempt) verdict(ended attemptState, latency time.Duration, err error) error {
	server := a.request.Target.Server
	switch ended {
	case sent:
		return err
	case outlasted:
		return unknown(stepAnswer, server, outcome.ReasonDeadline, errOutlasted)
	case expired:
		if typical := a.pass.execution.quantile(stallQuantile); typical > 0 && latency > typical {
			return unknown(stepAnswer, server, outcome.ReasonDeadline, err)
		}
	}
	return nil
}

// stallQuantile is the latency quantile above which a sub-request that the
// query's deadline ended counts as a failure of the server.
const stallQuantile = 0.99

// resultOf returns what the end of a sub-request says about the server's room.
func resultOf(ended attemptState, latency time.Duration, verdict error) limit.Result {
	result := limit.Result{Latency: latency}
	switch {
	case ended == outlasted || ended == stopped:
		result.Cancelled = true
	case verdict == nil:
		result.Cancelled = ended != sent
	case isShed(verdict):
		result.Shed = true
	case isStalePlan(verdict):
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

// end says that the answer is no longer wanted and cancels the sub-request. It
// reports whether nothing was and nothing will be sent.
func (a *attempt) end(cause attemptState) bool {
	a.detached = true
	unsent := a.move(waiting, abandoned)
	if !unsent {
		a.move(sent, cause)
	}
	a.cancel()
	return unsent
}

// outran returns the state of another attempt for the same part, after this
// one gave the answer.
func (a *attempt) outran(other *attempt) attemptState {
	if a.request.Attempt > other.request.Attempt {
		return outlasted
	}
	return stopped
}

// wasSent reports whether the sub-request may have reached its server.
func (a *attempt) wasSent() bool {
	state := attemptState(a.state.Load())
	return state != waiting && state != abandoned
}

func (a *attempt) move(from, to attemptState) bool {
	return a.state.CompareAndSwap(int32(from), int32(to))
}

func (a *attempt) observer() Observer { return a.pass.execution.executor.options.Observer }

// isStalePlan reports whether a server refused, before it ran anything,
// because the plan no longer fits: it leaves, or it no longer serves the
// version or the range.
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

// newTarget names what an attempt is sent to.
func newTarget(service target.Service, part *plannedPart, server target.ServerID, version target.Version) target.Target {
	return target.Target{Service: service, Group: part.group, Range: part.keys, Server: server, Version: version}
}
