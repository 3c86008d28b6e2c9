package query

import (
	"time"

	"github.com/bramblemast/bramblemast/pkg/outcome"
	"github.com/bramblemast/bramblemast/pkg/policy"
)

// maxHedges bounds the hedges that run for one part at a time. With one only,
// a wide query often meets a part whose hedge is slow as well.
const maxHedges = 2

// maxAttempts bounds the sub-requests for one part, whatever the policies say.
const maxAttempts = 16

// typicalQuantile is the latency quantile that stands for a typical answer.
const typicalQuantile = 0.5

// hedgeTime returns when a sub-request that is sent now is due for a hedge.
func (p *pass) hedgeTime() time.Duration {
	if p.hedgeTimeCachedAt != p.now {
		p.hedgeTimeCachedAt = p.now
		p.cachedHedgeTime = p.computeHedgeTime()
	}
	return p.cachedHedgeTime
}

func (p *pass) computeHedgeTime() time.Duration {
	x := p.execution
	if x.request.Template.NotRepeatable {
		return never
	}
	observed := policy.HedgeObservation{Quantile: x.quantile, Remaining: p.remaining()}
	delay, wanted := x.request.Policies.Hedge.Delay(observed)
	if !wanted || delay >= p.remaining() {
		return never
	}
	return p.now + max(delay, 0)
}

// scheduleHedge sets when the part is due for a hedge, if it has another
// replica at all.
func (p *pass) scheduleHedge(index int, at time.Duration) {
	part := &p.parts[index]
	if len(part.plan.candidates) < 2 {
		return
	}
	part.hedgeAt = at
	p.nextDue = min(p.nextDue, at)
}

// scheduleRetry sets when the part is tried again.
func (p *pass) scheduleRetry(index int, delay time.Duration) {
	part := &p.parts[index]
	part.retryAt = p.now + max(delay, 0)
	p.scheduled++
	p.nextDue = min(p.nextDue, part.retryAt)
}

// sendDue sends the hedges and retries that are due.
func (p *pass) sendDue() {
	if p.now < p.nextDue {
		return
	}
	p.nextDue = never
	for i := range p.parts {
		part := &p.parts[i]
		if part.status != partOpen {
			continue
		}
		if part.retryAt <= p.now {
			p.retry(i)
		}
		if part.hedgeAt <= p.now {
			p.hedge(i)
		}
		p.nextDue = min(p.nextDue, part.hedgeAt, part.retryAt)
	}
}

// hedge asks a further replica for a part whose answer is slow, if the budget
// and a permit allow it, and looks again after as long a wait.
func (p *pass) hedge(index int) {
	part := &p.parts[index]
	part.hedgeAt = never
	running := part.countRunning()
	if running == 0 || running > maxHedges || part.attempts >= maxAttempts || !p.hasUntried(part) {
		return
	}
	part.hedgeAt = p.nextHedgeTime()
	if p.isSuspect() {
		return
	}
	budget := p.execution.budget
	if budget.TrySpend() && !p.launch(index, Hedge, true) {
		budget.Refund()
	}
}

// minimumHedgeWait is the least time between two hedges for a part.
const minimumHedgeWait = time.Millisecond

func (p *pass) nextHedgeTime() time.Duration {
	return max(p.hedgeTime(), p.now+minimumHedgeWait)
}

// retry sends the sub-request that was scheduled for a part. A part of which
// nothing was sent so far is not extra load and needs no budget.
func (p *pass) retry(index int) {
	part := &p.parts[index]
	part.retryAt = never
	p.scheduled--
	if p.holdBack(index) {
		return
	}
	if part.sent == 0 {
		p.relaunch(index, Primary, false)
		return
	}
	if !p.execution.budget.TrySpend() {
		part.status = partGivenUp
		return
	}
	p.relaunch(index, Retry, true)
}

// relaunch sends a further sub-request for a part, or gives the part up.
func (p *pass) relaunch(index int, kind AttemptKind, paid bool) {
	if p.launch(index, kind, paid) {
		p.scheduleHedge(index, p.hedgeTime())
		return
	}
	if paid {
		p.execution.budget.Refund()
	}
	p.markUnavailable(index)
	p.considerRestart()
}

// failed decides what follows on a sub-request that gave no answer.
func (p *pass) handleFailure(finished *attempt) {
	x := p.execution
	x.recordFailure(finished.err)
	p.countLostConnection(finished.err)
	p.countUnanswered(finished)
	part := &p.parts[finished.part]
	knownOutcome := outcome.Of(finished.err)
	if !finished.wasSent() {
		knownOutcome = outcome.NotRun
	}
	if x.request.Template.NotRepeatable && knownOutcome != outcome.NotRun {
		p.fatal = asOutcomeError(finished.err, finished.request.Target.Server)
		return
	}
	if p.isOver() {
		return
	}
	if isStalePlan(finished.err) {
		p.recordRefusal(finished.request.Target, finished.err)
		if part.countRunning() == 0 {
			p.reroute(finished.part)
		}
		return
	}
	if part.countRunning() > 0 {
		return
	}
	decision := x.request.Policies.Retry.Decide(policy.RetryState{
		Attempts:       part.attempts,
		Outcome:        knownOutcome,
		Reason:         outcome.ReasonOf(finished.err),
		Remaining:      p.remaining(),
		TypicalLatency: x.quantile(typicalQuantile),
	})
	if !decision.Retry || part.attempts >= maxAttempts {
		part.status = partGivenUp
		return
	}
	p.scheduleRetry(finished.part, decision.Delay)
}
