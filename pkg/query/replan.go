package query

import (
	"slices"

	"github.com/bramblemast/bramblemast/pkg/catalog"
	"github.com/bramblemast/bramblemast/pkg/keyspace"
	"github.com/bramblemast/bramblemast/pkg/outcome"
	"github.com/bramblemast/bramblemast/pkg/target"
)

// reroute sends a part to another server after its server refused it because the plan is out of
// date. There is evidence that the refusal came before anything ran, so the refused sub-request
// caused no load, and the new one is not charged to the budget.
func (p *pass) reroute(index int) {
	part := &p.parts[index]
	if part.attempts >= maxAttempts {
		part.status = partGivenUp
		return
	}
	if p.currentView() == p.view && p.hasUntried(part) {
		p.relaunch(index, p.rerouteKind(part), false)
		return
	}
	p.replan(index)
	p.considerRestart()
}

// rerouteKind returns Primary while nothing was sent for the part, and Retry after that.
func (p *pass) rerouteKind(part *partState) AttemptKind {
	if part.sent == 0 {
		return Primary
	}
	return Retry
}

func (p *pass) currentView() *catalog.View {
	view := p.execution.executor.options.Catalog.View(p.execution.request.Template.Service)
	if view == nil {
		return p.view
	}
	return view
}

func (p *pass) hasUntried(part *partState) bool {
	for i, server := range part.plan.candidates {
		if part.tried&(1<<i) == 0 && !p.isRefused(server.ID, part.plan.keys) {
			return true
		}
	}
	return false
}

// refusal records that a server does not serve a range at the pinned version.
type refusal struct {
	server target.ServerID
	// wholeVersion is true if the server serves no range of the version.
	wholeVersion bool
	// keys is the range that was requested.
	keys keyspace.Range
}

// recordRefusal records a refusal because the plan is out of date.
func (p *pass) recordRefusal(refused target.Target, err error) {
	p.refusals = append(p.refusals, refusal{
		server:       refused.Server,
		wholeVersion: outcome.ReasonOf(err) != outcome.ReasonRangeNotHeld,
		keys:         refused.Range,
	})
}

// isRefused reports whether the server is known not to serve the range. A server that does not hold
// a range may still hold a piece of it.
func (p *pass) isRefused(server target.ServerID, keys keyspace.Range) bool {
	return slices.ContainsFunc(p.refusals, func(refused refusal) bool {
		return refused.server == server && (refused.wholeVersion || keys.Covers(refused.keys))
	})
}

// replan divides the range of one uncovered part again, from the current view and at the same
// version. After a split the pieces come from the child shards; after a merge the part is a piece
// of the parent shard. A request with a key has one part and nothing covered yet. It continues with
// only the piece that contains the key, because a not-repeatable request must go to one server only.
func (p *pass) replan(index int) {
	p.view = p.currentView()
	old := p.parts[index]
	if old.status == partUnavailable {
		p.unavailableParts--
	}
	replanned := newLayout(p.view, p.pinned.version, old.plan.keys, p.isRefused)
	if replanned.reachableWidth == 0 {
		p.markUnavailable(index)
		return
	}
	if p.execution.request.Key != "" {
		replanned = replanned.narrow(keyspace.Position(p.execution.request.Key))
		p.pinned = replanned
	}
	p.parts[index].status = partReplaced
	for i := range replanned.parts {
		p.openPiece(&old, &replanned.parts[i])
	}
}

// openPiece adds a part for a piece of an older part and sends a sub-request for it. The new part
// inherits the attempts of the older one.
func (p *pass) openPiece(old *partState, plan *plannedPart) {
	p.parts = append(p.parts, partState{
		plan:     plan,
		tried:    carryOverTried(old, plan),
		attempts: old.attempts,
		sent:     old.sent,
		hedgeAt:  never,
		retryAt:  never,
	})
	index := len(p.parts) - 1
	if !p.launch(index, p.rerouteKind(old), false) {
		p.markUnavailable(index)
		return
	}
	p.scheduleHedge(index, p.hedgeTime())
}

// carryOverTried returns the tried bits for the new plan: those candidates that were tried for the
// old part.
func carryOverTried(old *partState, plan *plannedPart) uint64 {
	var tried uint64
	for i, server := range plan.candidates {
		at := slices.IndexFunc(old.plan.candidates, func(known *catalog.Server) bool { return known.ID == server.ID })
		if at >= 0 && old.tried&(1<<at) != 0 {
			tried |= 1 << i
		}
	}
	return tried
}

// markUnavailable marks a part for which no usable server is known at the pinned version.
func (p *pass) markUnavailable(index int) {
	p.parts[index].status = partUnavailable
	p.unavailableParts++
}

// considerRestart looks for a newer version to restart on if some part is unavailable at the pinned
// one. The newer version must be fully reachable or reach more positions than the pinned one.
func (p *pass) considerRestart() {
	if p.unavailableParts == 0 || !p.mayRestart() {
		return
	}
	reachable := p.reachableWidth()
	x := p.execution
	view := p.currentView()
	newest := x.executor.layouts.get(view).pin(x.request.Key)
	if newest == nil || newest.version <= p.pinned.version {
		return
	}
	if newest.reachableWidth == newest.requested.Width() || newest.reachableWidth > reachable {
		p.view = view
		p.restart = newest
	}
}

// reachableWidth counts the positions that are reachable at the pinned version. A part that was
// given up counts as reachable, because a restart must not bypass the retry policy.
func (p *pass) reachableWidth() uint32 {
	var width uint32
	for i := range p.parts {
		switch p.parts[i].status {
		case partOpen, partCovered, partGivenUp:
			width += p.parts[i].plan.keys.Width()
		}
	}
	return width
}

// mayRestart reports whether the request may restart: the maximum number of restarts is not reached,
// a not-repeatable request cannot have run yet, and enough time is left.
func (p *pass) mayRestart() bool {
	x := p.execution
	options := &x.executor.options
	switch {
	case x.restarts >= options.MaxRestarts:
		return false
	case x.request.Template.NotRepeatable && (x.mayHaveRun > 0 || p.outstanding > 0):
		return false
	case float64(p.remaining()) < options.RestartShare*float64(x.totalTime()):
		return false
	default:
		return p.remaining() > x.quantile(typicalQuantile)
	}
}

// retryUnavailable plans the unavailable parts again if the catalog has a new view.
func (p *pass) retryUnavailable() {
	if p.unavailableParts == 0 || p.currentView() == p.view {
		return
	}
	p.view = p.currentView()
	for i := range len(p.parts) {
		if p.parts[i].status == partUnavailable && p.parts[i].attempts < maxAttempts {
			p.replan(i)
		}
	}
	p.considerRestart()
}
