package quarantine

import (
	"time"

	"github.com/bramblemast/bramblemast/pkg/exchange"
	"github.com/bramblemast/bramblemast/pkg/fleet"
)

// A gathered request may end the servers of one of its services only. What the others answer clears
// the request, but not what is known of it at that service: it is kept under a fingerprint of its
// own, which the store and other nodes take as that of any request.

// wholly returns the key under which a request is remembered that all its services have answered.
func wholly(request exchange.Fingerprint) exchange.Fingerprint {
	for index := range request {
		request[index] = ^request[index]
	}
	return request
}

// RecordCompleteAnswer takes that all services of a request have answered it: it ends no servers of any.
func (g *Guard) RecordCompleteAnswer(request exchange.Fingerprint, now time.Time) {
	g.served.add(wholly(request), now)
}

// StateAtService returns what is known of a request at one of its services. One that all services
// have answered lately is clear, which the other nodes are told.
func (g *Guard) StateAtService(request exchange.Fingerprint, service string) State {
	if g.IsIdle() {
		return Clear
	}
	here := request.At(service)
	standing := g.State(here)
	if now := time.Now(); standing != Clear && g.served.has(wholly(request), now) {
		g.RecordAnswer(here, now)
		return Clear
	}
	return standing
}

// maxHints bounds the requests of which one broken connection at a service is remembered: a crash
// leaves as many as its server had, and the next one of a request that is displaced counts as first.
const maxHints = 1024

// hint is the first connection of a request that broke at a service.
type hint struct {
	server  fleet.Incarnation
	address string
	at      time.Time
}

// RecordBrokenConnectionAtService is RecordBrokenConnection for a server of one of a request's services, where others have answered.
// A first one is told nobody: most requests that shared a server end without asking that service
// again, and looks at its servers take connections of those that are left.
func (g *Guard) RecordBrokenConnectionAtService(request exchange.Fingerprint, service string, server fleet.Incarnation, address string, now time.Time) {
	here := request.At(service)
	if g.served.has(wholly(request), now) || g.served.has(here, now) {
		return
	}
	first, isFurther := g.takeHint(here, hint{server: server, address: address, at: now})
	if !isFurther {
		return
	}
	if first.server != (fleet.Incarnation{}) {
		g.RecordBrokenConnection(here, first.server, first.address, now)
	}
	g.RecordBrokenConnection(here, server, address, now)
}

// takeHint remembers the first broken connection at a service, and returns it when there is a
// further one, or one of a request of which more is known.
func (g *Guard) takeHint(here exchange.Fingerprint, broken hint) (first hint, isFurther bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	defer g.countHints()
	first, isKnown := g.hints[here]
	switch {
	case g.records[here] != nil || isKnown && first.server != broken.server:
		delete(g.hints, here)
		return first, true
	case isKnown:
		return hint{}, false
	}
	for other := range g.hints {
		if len(g.hints) < maxHints {
			break
		}
		delete(g.hints, other)
	}
	g.hints[here] = broken
	return hint{}, false
}

// sweepHints forgets what is old. The mutex is held.
func (g *Guard) sweepHints(now time.Time) {
	for here, first := range g.hints {
		if now.Sub(first.at) > lifetime {
			delete(g.hints, here)
		}
	}
	g.countHints()
}

// countHints lets RecordAnswerOfService know whether there are hints. The mutex is held.
func (g *Guard) countHints() { g.hinted.Store(int64(len(g.hints))) }

// RecordAnswerOfService takes that a service has answered a request. It is remembered only if servers of it
// seem to have ended under the request: each request has an answer of each of its services.
func (g *Guard) RecordAnswerOfService(request exchange.Fingerprint, service string, hasLost bool, now time.Time) {
	if !hasLost && g.IsIdle() && g.hinted.Load() == 0 {
		return
	}
	here := request.At(service)
	if g.forgetHint(here) || hasLost {
		g.RecordAnswer(here, now)
	}
}

// forgetHint forgets the first broken connection at a service, and reports whether it or more was
// known.
func (g *Guard) forgetHint(here exchange.Fingerprint) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	_, isKnown := g.hints[here]
	delete(g.hints, here)
	g.countHints()
	return isKnown || g.records[here] != nil
}
