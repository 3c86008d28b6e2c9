package query

import (
	"context"
	"math"
	"runtime"
	"time"

	"github.com/bramblemast/bramblemast/pkg/backend"
	"github.com/bramblemast/bramblemast/pkg/catalog"
	"github.com/bramblemast/bramblemast/pkg/keyspace"
	"github.com/bramblemast/bramblemast/pkg/outcome"
	"github.com/bramblemast/bramblemast/pkg/policy"
)

// never is a time later than every deadline.
const never = time.Duration(math.MaxInt64)

// typicalReplicas is the initial capacity of the scratch slices for the choice of a replica.
const typicalReplicas = 8

// partStatus is the state of one part of a pass.
type partStatus int

const (
	// partOpen means that the part is not covered yet but may still be.
	partOpen partStatus = iota
	partCovered
	// partUnavailable means that no usable server is known for the part.
	partUnavailable
	// partGivenUp means that no further sub-request is sent for the part.
	partGivenUp
	// partReplaced means that newer parts have taken over the range of this one.
	partReplaced
)

// partState is one part of a pass.
type partState struct {
	plan   *plannedPart
	status partStatus
	// running holds the unfinished attempts: an attempt and its hedges.
	running [1 + maxHedges]*attempt
	// tried has a bit set for each of the plan's candidates that was tried.
	tried uint64
	// attempts counts all attempts; sent leaves out those that ended before they were sent.
	attempts int
	sent     int
	// hedgeAt and retryAt are when a hedge or a retry is to be sent, as time since the start of the
	// execution.
	hedgeAt time.Duration
	retryAt time.Duration
}

// countRunning returns the number of unfinished attempts.
func (s *partState) countRunning() int {
	count := 0
	for _, running := range s.running {
		if running != nil {
			count++
		}
	}
	return count
}

// removeRunning removes an attempt from the running ones.
func (s *partState) removeRunning(finished *attempt) {
	for i := range s.running {
		if s.running[i] == finished {
			s.running[i] = nil
		}
	}
}

// addRunning adds an attempt to the running ones.
func (s *partState) addRunning(started *attempt) {
	for i := range s.running {
		if s.running[i] == nil {
			s.running[i] = started
			return
		}
	}
}

// pass is the execution of one request at one index version. All fields except the inbox are used by
// the goroutine of Execute only.
type pass struct {
	execution *execution
	inbox     inbox
	view      *catalog.View
	pinned    *layout
	parts     []partState
	// slab holds unused attempts for the fan-out, allocated at once.
	slab []attempt

	covered  keyspace.Set
	merged   topRecords
	matches  uint64
	scoreSum int64
	// outstanding counts the attempts that the event loop waits for.
	outstanding int
	// scheduled counts the parts with a scheduled retry.
	scheduled int
	// unavailableParts counts the parts with status partUnavailable.
	unavailableParts int
	// lostConnections counts the sub-requests whose connection was lost. trials counts the
	// sub-requests that were sent while lost connections made the request suspect; see holdBack.
	lostConnections int
	trials          int
	// refusals holds which servers refused which ranges because the plan was out of date.
	refusals []refusal
	// fatal is a failure that ends the request; restart is the layout to restart on.
	fatal   *outcome.Error
	restart *layout

	// now is the time since the start of the execution at the current event.
	now time.Duration
	// targetReachedAt is when the coverage reached the stop rule's target share.
	targetReachedAt time.Duration
	// nextDue is the time of the earliest hedge or retry; recheckAt is when the stop rule is to be
	// evaluated again.
	nextDue   time.Duration
	recheckAt time.Duration
	// timer wakes the event loop at timerDue, a time since the start of the execution.
	timer    *time.Timer
	timerDue time.Duration
	// cachedHedgeTime is what hedgeTime returned at hedgeTimeCachedAt.
	cachedHedgeTime   time.Duration
	hedgeTimeCachedAt time.Duration
	// partialPending is true if parts were covered since the last partial; partialSent is true once
	// this pass has sent a partial.
	partialPending bool
	nextPartialAt  time.Duration
	partialSent    bool

	// replicas and indices are scratch slices for the choice of a replica.
	replicas []policy.ReplicaState
	indices  []int
}

func newPass(x *execution, view *catalog.View, pinned *layout) *pass {
	return &pass{
		execution:         x,
		inbox:             newInbox(),
		view:              view,
		pinned:            pinned,
		merged:            newTopRecords(x.request.Limit),
		targetReachedAt:   never,
		nextDue:           never,
		recheckAt:         never,
		hedgeTimeCachedAt: never,
		timerDue:          never,
		replicas:          make([]policy.ReplicaState, 0, typicalReplicas),
		indices:           make([]int, 0, typicalReplicas),
	}
}

// run fans out and waits until the pass ends.
func (p *pass) run() passResult {
	p.tick()
	p.fanOut()
	p.timer = time.AfterFunc(never, p.inbox.wake)
	defer p.timer.Stop()
	defer context.AfterFunc(p.execution.callerCtx, p.inbox.wake)()
	for {
		if result, done := p.decide(); done {
			result.awaitedServer = p.soleRunningServer()
			return result
		}
		p.sendPartial()
		p.wait()
		p.tick()
		p.processFinished()
		p.sendFurther()
	}
}

// sendFurther sends due hedges and retries and retries unavailable parts, unless the request is
// over.
func (p *pass) sendFurther() {
	if p.isOver() {
		return
	}
	p.sendDue()
	p.retryUnavailable()
}

// isOver reports whether the deadline has passed or the caller's context has ended. Sub-requests
// that fail because of that are not retried.
func (p *pass) isOver() bool {
	return p.remaining() <= 0 || p.execution.callerCtx.Err() != nil
}

// tick updates the current time of the pass.
func (p *pass) tick() { p.now = time.Since(p.execution.started) }

// totalTime returns the time from the start of the execution to its deadline.
func (x *execution) totalTime() time.Duration { return x.deadline.Sub(x.started) }

// remaining returns the time until the deadline.
func (p *pass) remaining() time.Duration { return p.execution.totalTime() - p.now }

// wait blocks until an attempt finishes, the caller's context ends, or the next timed action is due.
func (p *pass) wait() {
	due := min(p.execution.totalTime(), p.nextDue, p.recheckAt)
	if p.partialPending && p.execution.partial != nil {
		due = min(due, p.nextPartialAt)
	}
	if due != p.timerDue || due <= p.now {
		p.timer.Reset(max(due-p.now, 0))
		p.timerDue = due
	}
	<-p.inbox.ready
	// Answers tend to arrive in bursts. Yield once, so that answers that are about to be delivered
	// are processed in the same iteration.
	runtime.Gosched()
}

// decide reports whether the pass has ended, and with which result.
func (p *pass) decide() (passResult, bool) {
	x := p.execution
	switch {
	case x.callerCtx.Err() != nil && p.covered.Width() < p.pinned.requested.Width():
		return passResult{failure: p.cancellation()}, true
	case p.fatal != nil:
		return passResult{failure: p.fatal}, true
	case p.covered.Width() == p.pinned.requested.Width():
		return passResult{reason: policy.StopAllParts}, true
	case p.remaining() <= 0:
		return passResult{reason: policy.StopDeadline}, true
	case p.restart != nil:
		return passResult{restart: p.restart}, true
	case p.outstanding == 0 && p.scheduled == 0:
		return passResult{reason: policy.StopExhausted}, true
	case x.request.Template.NotRepeatable:
		return passResult{}, false
	}
	decision := x.request.Policies.Stop.Decide(p.progress())
	if decision.Stop {
		return passResult{reason: decision.Reason}, true
	}
	p.recheckAt = never
	if decision.Recheck > 0 {
		p.recheckAt = p.now + decision.Recheck
	}
	return passResult{}, false
}

func (p *pass) progress() policy.Progress {
	progress := policy.Progress{
		CoveredWidth: p.covered.Width(),
		TotalWidth:   p.pinned.requested.Width(),
		Records:      p.merged.received,
		Outstanding:  p.outstanding,
		Elapsed:      p.now,
		Remaining:    p.remaining(),
	}
	if p.targetReachedAt == never && progress.Share() >= p.execution.request.Policies.Stop.TargetShare() {
		p.targetReachedAt = p.now
	}
	if p.targetReachedAt != never {
		progress.SinceCoverage = p.now - p.targetReachedAt
	}
	return progress
}

// processFinished processes all attempts that have finished.
func (p *pass) processFinished() {
	for finished := p.inbox.take(); finished != nil; finished = finished.next {
		p.processAttempt(finished)
	}
}

// processAttempt processes one finished attempt: it merges the answer or handles the failure.
func (p *pass) processAttempt(finished *attempt) {
	if finished.detached {
		p.reportLate(finished)
		return
	}
	p.outstanding--
	part := &p.parts[finished.part]
	part.removeRunning(finished)
	if finished.err == nil && !p.covered.Add(finished.response.Range) {
		finished.observer().CorruptResponse(finished.request.Target.Service, finished.request.Target.Server)
		finished.err = unknown(stepCheck, finished.request.Target.Server, outcome.ReasonCorruptResponse, errAlreadyCovered)
	}
	if finished.err != nil {
		p.handleFailure(finished)
		return
	}
	p.execution.mayHaveRun++
	p.merge(finished.response)
	part.status = partCovered
	for _, running := range part.running {
		if running != nil {
			p.discardRunning(running, finished.endStateOf(running))
		}
	}
}

// merge adds an answer whose range was just covered.
func (p *pass) merge(response *backend.Response) {
	p.merged.add(response.Records)
	p.matches += response.Matches
	p.scoreSum += response.ScoreSum
	p.partialPending = true
}

// discardRunning discards an attempt whose answer is no longer wanted.
func (p *pass) discardRunning(running *attempt, state attemptState) {
	p.outstanding--
	p.parts[running.part].removeRunning(running)
	if running.discard(state) {
		p.uncountUnsent(running)
	} else {
		p.execution.mayHaveRun++
	}
}

// uncountUnsent removes an attempt that was never sent from the counts, and refunds it if it was
// paid.
func (p *pass) uncountUnsent(unsent *attempt) {
	p.execution.countAttempts(unsent.kind, -1)
	p.parts[unsent.part].sent--
	if unsent.paid {
		p.execution.budget.Refund()
	}
}

// reportLate reports an answer that is no longer wanted to the observer.
func (p *pass) reportLate(finished *attempt) {
	if finished.err == nil {
		finished.observer().LateResponse(finished.request.Target.Service)
	}
}

// close discards the attempts that are still running. Answers that arrive from now on are dropped
// by their own goroutines.
func (p *pass) close(result passResult) {
	state := attemptStopped
	if result.reason == policy.StopDeadline {
		state = attemptExpired
	}
	for finished := p.inbox.close(); finished != nil; finished = finished.next {
		p.reportLate(finished)
		if finished.detached {
			continue
		}
		p.outstanding--
		p.parts[finished.part].removeRunning(finished)
		p.countUnanswered(finished)
	}
	for i := range p.parts {
		for _, running := range p.parts[i].running {
			if running != nil {
				p.discardRunning(running, state)
			}
		}
	}
}

// countUnanswered counts an attempt that ended without an answer to merge.
func (p *pass) countUnanswered(finished *attempt) {
	switch outcome.ReasonOf(finished.err) {
	case outcome.ReasonShed, outcome.ReasonOverloaded:
		p.execution.extraLoad.Refused++
	}
	switch {
	case !finished.wasSent():
		p.uncountUnsent(finished)
	case outcome.Of(finished.err) == outcome.NotRun:
		p.execution.extraLoad.NotRun++
	default:
		p.execution.mayHaveRun++
	}
}
