package query

import (
	"slices"

	"github.com/bramblemast/bramblemast/pkg/catalog"
	"github.com/bramblemast/bramblemast/pkg/keyspace"
	"github.com/bramblemast/bramblemast/pkg/outcome"
	"github.com/bramblemast/bramblemast/pkg/target"
)

// reroute sends a part elsewhere after its server refused, on evidence before
// it ran anything, because the plan no longer fits. The refused sub-request
// caused no load, so the new one is not paid from the budget.
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

// rerouteKind is Primary while nothing was sent for the part.
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

// refusal is what a server said that it does not serve.
type refusal struct {
	server target.ServerID
	// everything is true if the server serves nothing of the version.
	wholeVersion bool
	// keys is the range that was asked.
	keys keyspace.Range
}

// refuse remembers a refusal because the plan no longer fits.
func (p *pass) recordRefusal(refused target.Target, err error) {
	p.refusals = append(p.refusals, refusal{
		server:       refused.Server,
		wholeVersion: outcome.ReasonOf(err) != outcome.ReasonRangeNotHeld,
		keys:         refused.Range,
	})
}

// isRefused reports whether the server said that it does not serve the range.
// One that does not hold a range may still hold a piece of it.
func (p *pass) isRefused(server target.ServerID, keys keyspace.Range) bool {
	return slices.ContainsFunc(p.refusals, func(refused refusal) bool {
		return refused.server == server && (refused.wholeVersion || keys.Covers(refused.keys))
	})
}

// replan divides the range of one uncovered part anew, from the current view
// and at the same version: after a split its pieces come from the children,
// after a merge it is a piece of the parent. A request with a key has one part
// and nothing covered yet: it goes on with only the piece that holds the key,
// since one that is not repeatable must go to one server only.
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

// openPiece adds a part that stands for a piece of an older one.
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

// carryOverTried returns the bits of the new plan's candidates that were tried for
// the old part.
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

// strand marks a part that no known server holds at the pinned version.
func (p *pass) markUnavailable(index int) {
	p.parts[index].status = partUnavailable
	p.unavailableParts++
}

// considerRestart looks for a newer version to restart on, if some part is out
// of reach at the pinned one.
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

// reachable counts the positions that servers hold at the pinned version. A
// part that was given up counts: a restart is no way round the retry policy.
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

// mayRestart reports whether the request may start anew: nothing that may run
// only once has run, and enough time is left.
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

// revisit tries the stranded parts again if the catalog has news.
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
