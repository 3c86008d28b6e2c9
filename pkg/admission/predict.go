package admission

import (
	"context"
	"time"

	"github.com/bramblemast/bramblemast/pkg/outcome"
	"github.com/bramblemast/bramblemast/pkg/policy"
)

// mostRetryAfter bounds what callers are told.
const mostRetryAfter = 30 * time.Second

// returningShare is the part of the drain that callers who retry are told
// to share; the rest is left to new requests.
const returningShare = 0.7

// measure brings the drain meters up to now.
func (g *Gate) measure(now time.Time) {
	g.meter.advance(g.queued > 0 || g.inFlight >= g.controller.places(), now)
	for index := range g.queues {
		g.queues[index].meter.advance(g.queues[index].count > 0, now)
	}
}

// drainRate is the measured rate of finished requests while all places are
// taken. Before there was such a time it is what the places and the typical
// service come to.
func (g *Gate) drainRate() float64 {
	if rate := g.meter.rate(); rate > 0 {
		return rate
	}
	typical := g.controller.latencies.all.Average()
	if typical <= 0 {
		return 0
	}
	return float64(g.controller.places()) / typical.Seconds()
}

// state describes the gate to the policy of a request that has so many of the
// same tenant and class before it.
//
// Two predictions are made, and the longer wait is told: from all requests that
// are served first and the drain of the gate, and from those of the class and
// the rate at which the class was served of late. The second one knows of the
// higher classes that go on arriving.
func (g *Gate) state(request *Request, class rank, alike int, now time.Time) policy.AdmissionState {
	latency := g.controller.latencies.of(kind{request.Tenant, class})
	state := policy.AdmissionState{
		Class:           classes[class],
		InFlight:        g.inFlight,
		Queued:          g.queued,
		QueuedSameClass: alike,
		BacklogAge:      g.queues[class].meter.standing,
		Limit:           g.controller.places(),
		DrainRate:       g.drainRate(),
		Remaining:       remainingOf(request, now),
		TypicalService:  latency.Average(),
		SlowService:     latency.ApproximateP90(),
	}
	sameClass := g.queues[class].aheadOf(request.Tenant, alike)
	state.QueuedAhead = sameClass
	for higher := range class {
		state.QueuedAhead += g.queues[higher].count
	}
	classRate := g.queues[class].meter.rate()
	if classRate > 0 && float64(sameClass+1)*state.DrainRate > float64(state.QueuedAhead+1)*classRate {
		state.QueuedAhead, state.DrainRate = sameClass, classRate
	}
	return state
}

// overloaded is the refusal of a request, with when to retry: after those
// that wait and those that were refused just before and will retry too.
func (g *Gate) overloaded(state policy.AdmissionState, decision policy.AdmissionDecision, now time.Time) *outcome.Error {
	backlog := g.refused.add(now)
	retryAfter := max(decision.RetryAfter, policy.RetryAfter(state))
	if rate := g.drainRate(); rate > 0 {
		retryAfter += time.Duration(min(backlog/(returningShare*rate), mostRetryAfter.Seconds()) * float64(time.Second))
	}
	return refusal(outcome.ReasonOverloaded, min(retryAfter, mostRetryAfter))
}

func refusal(reason outcome.Reason, retryAfter time.Duration) *outcome.Error {
	return &outcome.Error{
		Step:       "admit request",
		Outcome:    outcome.NotRun,
		Reason:     reason,
		RetryAfter: retryAfter,
	}
}

// ended is the refusal of a request whose context has ended.
func ended(ctx context.Context) *outcome.Error {
	reason := outcome.ReasonCancelled
	if ctx.Err() == context.DeadlineExceeded {
		reason = outcome.ReasonDeadline
	}
	refused := refusal(reason, 0)
	refused.Cause = context.Cause(ctx)
	return refused
}
