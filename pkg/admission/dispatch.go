package admission

import (
	"container/list"
	"time"

	"github.com/bramblemast/bramblemast/pkg/policy"
)

// dispatch gives free places to waiting requests.
func (g *Gate) dispatch(now time.Time) {
	for g.queued > 0 && g.inFlight < g.controller.places() {
		if !g.serveNext(now) {
			break
		}
	}
	g.measure(now)
}

// serveNext serves or refuses one waiting request, and reports false if no
// request may run now.
func (g *Gate) serveNext(now time.Time) bool {
	if due, found := g.dueClass(); found {
		g.serve(g.queues[due].head(), true, now)
		return true
	}
	for class := range g.queues {
		waiting := g.queues[class].head()
		if waiting != nil && g.serve(waiting, false, now) {
			return true
		}
	}
	return false
}

// dueClass returns the class that was passed over too often, if any.
func (g *Gate) dueClass() (rank, bool) {
	for class := rankArchive; class > rankTicker; class-- {
		queue := &g.queues[class]
		if queue.count > 0 && queue.passedOver >= passOverBounds[class] {
			return class, true
		}
	}
	return 0, false
}

// serve admits or refuses the head of its class by what its policy says, and
// reports false if it has to wait on. A class that is due does not wait on.
func (g *Gate) serve(waiting *entry, due bool, now time.Time) bool {
	state := g.state(&waiting.request, waiting.rank, 0, now)
	state.QueuedAhead = 0
	decision := waiting.request.Policy.Decide(state)
	switch {
	case decision.Verdict == policy.Refuse || state.Remaining <= 0:
		g.refuse(waiting, state, decision, now)
		return true
	case decision.Verdict == policy.Queue && !due:
		return false
	default:
		g.grant(waiting, now)
		return true
	}
}

func (g *Gate) grant(waiting *entry, now time.Time) {
	queue := &g.queues[waiting.rank]
	g.measure(now)
	queue.meter.leave()
	queue.endTurn(waiting)
	g.queued--
	waiting.answer <- entryAnswer{ticket: g.admit(kind{waiting.request.Tenant, waiting.rank}, now)}
}

func (g *Gate) refuse(waiting *entry, state policy.AdmissionState, decision policy.AdmissionDecision, now time.Time) {
	g.leave(waiting)
	waiting.answer <- entryAnswer{refusal: g.overloaded(state, decision, now)}
}

// makeRoom reports whether the queue has a place for a request of a class whose
// tenant has so many waiting already. If the queue is full, the last request of
// the lowest class is refused for one of a higher class, and within a class
// that of the tenant with the most waiting requests.
func (g *Gate) makeRoom(class rank, alike int, now time.Time) bool {
	if g.queued < g.options.MaxQueued {
		return true
	}
	for lowest := rankArchive; lowest >= class; lowest-- {
		longest := g.queues[lowest].longest()
		if longest == nil {
			continue
		}
		if lowest == class && longest.entries.Len() <= alike+1 {
			return false
		}
		g.evictLast(longest, now)
		return true
	}
	return false
}

func (g *Gate) evictLast(longest *tenantQueue, now time.Time) {
	last := longest.entries.Back().Value.(*entry)
	state := g.state(&last.request, last.rank, longest.entries.Len()-1, now)
	g.refuse(last, state, policy.AdmissionDecision{}, now)
}

// armSweeper sees to it that predictions are renewed while somebody waits.
func (g *Gate) armSweeper() {
	if g.sweeping || g.queued == 0 {
		return
	}
	g.sweeping = true
	if g.sweeper == nil {
		g.sweeper = time.AfterFunc(sweepInterval, g.sweep)
		return
	}
	g.sweeper.Reset(sweepInterval)
}

// sweep refuses the waiting requests that cannot be served in time any more.
func (g *Gate) sweep() {
	now := time.Now()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.sweeping = false
	g.measure(now)
	for class := range g.queues {
		// The slice changes when a tenant's last request leaves.
		tenants := append([]*tenantQueue(nil), g.queues[class].tenants...)
		for _, tenant := range tenants {
			g.sweepTenant(tenant.entries, now)
		}
	}
	g.dispatch(now)
	g.armSweeper()
}

func (g *Gate) sweepTenant(entries *list.List, now time.Time) {
	alike := 0
	for element := entries.Front(); element != nil; {
		waiting := element.Value.(*entry)
		element = element.Next()
		state := g.state(&waiting.request, waiting.rank, alike, now)
		decision := waiting.request.Policy.Decide(state)
		if decision.Verdict == policy.Refuse || state.Remaining <= 0 {
			g.refuse(waiting, state, decision, now)
			continue
		}
		alike++
	}
}
