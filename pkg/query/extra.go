package query

import (
	"time"

	"github.com/bramblemast/bramblemast/pkg/outcome"
	"github.com/bramblemast/bramblemast/pkg/policy"
)

// maxHedges is the maximum number of hedges that run for one part at a time. A single hedge is not
// enough: a query over many parts often has a part whose hedge is slow too.
const maxHedges = 2

// maxAttempts is the maximum number of sub-requests for one part, whatever the policies allow.
const maxAttempts = 16

// typicalQuantile is the latency quantile taken as the typical latency.
const typicalQuantile = 0.5

// hedgeTime returns when to hedge a sub-request that is sent now, as time since the start of the
// execution. The hedge policy is evaluated once for each clock reading.
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

// scheduleHedge sets when the part is hedged. A part with fewer than two replicas is never hedged.
func (p *pass) scheduleHedge(index int, at time.Duration) {
	part := &p.parts[index]
	if len(part.plan.candidates) < 2 {
		return
	}
	part.hedgeAt = at
	p.nextDue = min(p.nextDue, at)
}

// scheduleRetry schedules a retry of the part after the delay.
func (p *pass) scheduleRetry(index int, delay time.Duration) {
	part := &p.parts[index]
	part.retryAt = p.now + max(delay, 0)
	p.scheduled++
	p.nextDue = min(p.nextDue, part.retryAt)
}

// sendDue sends the hedges and retries whose time has come.
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

// hedge sends a part whose answer is slow to a further replica, if the budget allows it and a permit
// is free. While the part may be hedged further, it schedules the next check, whether or not a hedge
// was sent. A suspect request is not hedged.
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

// minHedgeInterval is the minimum time between two hedges for a part.
const minHedgeInterval = time.Millisecond

func (p *pass) nextHedgeTime() time.Duration {
	return max(p.hedgeTime(), p.now+minHedgeInterval)
}

// retry sends the retry that was scheduled for a part. If nothing was sent for the part so far, the
// sub-request is not extra load and needs no budget.
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

// relaunch sends a further sub-request for a part, or marks the part as unavailable if no server is
// left.
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

// handleFailure decides what to do after a sub-request that failed: end the request, reroute the
// part, schedule a retry, or give the part up.
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
