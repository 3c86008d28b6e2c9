package query

import (
	"context"
	"slices"
	"time"

	"github.com/bramblemast/bramblemast/pkg/backend"
	"github.com/bramblemast/bramblemast/pkg/catalog"
	"github.com/bramblemast/bramblemast/pkg/policy"
	"github.com/bramblemast/bramblemast/pkg/target"
)

// fanOut sends the first sub-request for each part of the pinned layout.
func (p *pass) fanOut() {
	p.parts = make([]partState, 0, len(p.pinned.parts))
	p.slab = make([]attempt, len(p.pinned.parts))
	hedgeAt := p.hedgeTime()
	primaries := 0
	for i := range p.pinned.parts {
		if p.openPart(&p.pinned.parts[i], hedgeAt) {
			primaries++
		}
	}
	if p.execution.restarts == 0 {
		p.execution.budget.Earn(primaries)
	}
	p.considerRestart()
}

// openPart adds a part and sends its first sub-request. It returns false if there is no server to
// send it to.
func (p *pass) openPart(plan *plannedPart, hedgeAt time.Duration) bool {
	p.parts = append(p.parts, partState{plan: plan, hedgeAt: never, retryAt: never})
	index := len(p.parts) - 1
	if !p.launch(index, Primary, false) {
		p.markUnavailable(index)
		return false
	}
	p.scheduleHedge(index, hedgeAt)
	return true
}

// launch starts a sub-request for a part. It returns false if there is no server to send it to or,
// for a hedge, no server with a free permit.
func (p *pass) launch(index int, kind AttemptKind, paid bool) bool {
	part := &p.parts[index]
	candidate, permit := p.choose(part, kind)
	if candidate < 0 {
		return false
	}
	part.tried |= 1 << candidate
	part.attempts++
	part.sent++
	x := p.execution
	x.countAttempts(kind, 1)
	started := p.newAttempt()
	started.pass = p
	started.kind = kind
	started.part = index
	started.permit = permit
	started.paid = paid
	started.ctx, started.cancel = context.WithCancel(x.workCtx)
	started.request = p.subRequest(part.plan, part.plan.candidates[candidate].ID)
	part.addRunning(started)
	p.outstanding++
	go started.run()
	return true
}

// newAttempt returns an unused attempt, from the slab while it lasts.
func (p *pass) newAttempt() *attempt {
	if len(p.slab) == 0 {
		return &attempt{}
	}
	unused := &p.slab[0]
	p.slab = p.slab[1:]
	return unused
}

func (p *pass) subRequest(plan *plannedPart, server target.ServerID) backend.Request {
	x := p.execution
	return backend.Request{
		Target:         newTarget(x.request.Template.Service, plan, server, p.pinned.version),
		RequestID:      x.request.ID,
		Attempt:        x.executor.attempts.Add(1),
		Tenant:         x.request.Template.Tenant,
		Query:          x.request.Query,
		Limit:          x.request.Limit,
		Payload:        x.request.Payload,
		IdempotencyKey: x.request.IdempotencyKey,
	}
}

// choose returns the index of a candidate of the part, with a permit if one is free. If no permit is
// free, it returns the first choice without a permit, and the attempt waits for one; a hedge does
// not wait. The index is negative if there is no candidate.
func (p *pass) choose(part *partState, kind AttemptKind) (int, Permit) {
	p.collectCandidates(part, kind)
	x := p.execution
	limits := x.executor.options.Limits
	firstChoice := -1
	for len(p.indices) > 0 {
		chosen := x.request.Policies.Replica.Choose(p.replicas, x.random)
		if chosen < 0 || chosen >= len(p.indices) {
			chosen = 0
		}
		candidate := p.indices[chosen]
		permit, free := limits.TryAcquire(part.plan.candidates[candidate].ID)
		if free {
			return candidate, permit
		}
		if firstChoice < 0 {
			firstChoice = candidate
		}
		p.indices = slices.Delete(p.indices, chosen, chosen+1)
		p.replicas = slices.Delete(p.replicas, chosen, chosen+1)
	}
	if kind == Hedge {
		return -1, nil
	}
	return firstChoice, nil
}

// collectCandidates lists the candidates to choose from: active replicas that were not tried yet;
// if there are none, ejected replicas that were not tried yet; if there are none, and not for a
// hedge, the replicas that were tried before.
func (p *pass) collectCandidates(part *partState, kind AttemptKind) {
	p.indices, p.replicas = p.indices[:0], p.replicas[:0]
	candidates := part.plan.candidates
	active := part.plan.active
	p.collectCandidatesFrom(part, 0, active, false)
	if len(p.indices) == 0 {
		p.collectCandidatesFrom(part, active, len(candidates), false)
	}
	if len(p.indices) == 0 && kind != Hedge {
		p.collectCandidatesFrom(part, 0, len(candidates), true)
	}
}

func (p *pass) collectCandidatesFrom(part *partState, from, to int, tried bool) {
	for i := from; i < to; i++ {
		if part.tried&(1<<i) != 0 != tried {
			continue
		}
		server := part.plan.candidates[i]
		if p.isRefused(server.ID, part.plan.keys) {
			continue
		}
		p.indices = append(p.indices, i)
		p.replicas = append(p.replicas, p.replicaState(server))
	}
}

func (p *pass) replicaState(server *catalog.Server) policy.ReplicaState {
	observed := p.execution.executor.options.Limits.Observe(server.ID)
	return policy.ReplicaState{
		Server:       server.ID,
		ZoneDistance: server.ZoneDistance,
		InFlight:     observed.InFlight,
		Limit:        max(observed.Limit, 1),
		Latency:      observed.Latency,
		FailureShare: observed.FailureShare,
		Weight:       server.Weight,
		ReportedLoad: server.ReportedLoad,
	}
}
