package quarantine

import (
	"time"

	"github.com/bramblemast/bramblemast/pkg/exchange"
	"github.com/bramblemast/bramblemast/pkg/fleet"
)

// A request that gathers answers from several services may crash the servers of only one of them.
// Answers of the other services clear the request, but not its record at that service. That record
// is kept under a fingerprint of its own, which the store and other nodes treat as that of any other
// request.

// completeAnswerKey returns the key under which a request is remembered that all its services have
// answered.
func completeAnswerKey(request exchange.Fingerprint) exchange.Fingerprint {
	for index := range request {
		request[index] = ^request[index]
	}
	return request
}

// RecordCompleteAnswer records that all services of a request have answered it, which shows that
// the request does not crash servers of any of them.
func (g *Guard) RecordCompleteAnswer(request exchange.Fingerprint, now time.Time) {
	g.answers.add(completeAnswerKey(request), now)
}

// StateAtService returns the state of a request at one of its services. A request that all its
// services have answered recently is clear, and the other nodes are notified of that.
func (g *Guard) StateAtService(request exchange.Fingerprint, service string) State {
	if g.IsIdle() {
		return Clear
	}
	fingerprint := request.At(service)
	state := g.State(fingerprint)
	if now := time.Now(); state != Clear && g.answers.has(completeAnswerKey(request), now) {
		g.RecordAnswer(fingerprint, now)
		return Clear
	}
	return state
}

// maxHints bounds the hints. A crash leaves one for each request that the server was processing. If
// a hint is displaced, the next broken connection of its request counts as the first one.
const maxHints = 1024

// hint is the first connection of a request that broke at a service.
type hint struct {
	server  fleet.Incarnation
	address string
	at      time.Time
}

// RecordBrokenConnectionAtService is RecordBrokenConnection for a server of one of a request's
// services, where other services have answered. The first broken connection is only remembered as a
// hint: most requests that shared a server end without asking that service again, and probes take
// up connections of the remaining servers.
func (g *Guard) RecordBrokenConnectionAtService(request exchange.Fingerprint, service string, server fleet.Incarnation, address string, now time.Time) {
	fingerprint := request.At(service)
	if g.answers.has(completeAnswerKey(request), now) || g.answers.has(fingerprint, now) {
		return
	}
	first, mustRecord := g.matchHint(fingerprint, hint{server: server, address: address, at: now})
	if !mustRecord {
		return
	}
	if first.server != (fleet.Incarnation{}) {
		g.RecordBrokenConnection(fingerprint, first.server, first.address, now)
	}
	g.RecordBrokenConnection(fingerprint, server, address, now)
}

// matchHint remembers the first broken connection at a service as a hint. If the connection of
// another server broke before, or the request has a record at the service already, it removes the
// hint instead, and returns it with mustRecord set.
func (g *Guard) matchHint(fingerprint exchange.Fingerprint, broken hint) (first hint, mustRecord bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	defer g.updateHintCount()
	first, isKnown := g.hints[fingerprint]
	switch {
	case g.records[fingerprint] != nil || isKnown && first.server != broken.server:
		delete(g.hints, fingerprint)
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
	g.hints[fingerprint] = broken
	return hint{}, false
}

// sweepHints removes old hints. The mutex is held.
func (g *Guard) sweepHints(now time.Time) {
	for fingerprint, first := range g.hints {
		if now.Sub(first.at) > lifetime {
			delete(g.hints, fingerprint)
		}
	}
	g.updateHintCount()
}

// updateHintCount lets RecordAnswerOfService know whether there are hints. The mutex is held.
func (g *Guard) updateHintCount() { g.hintCount.Store(int64(len(g.hints))) }

// RecordAnswerOfService records that a service has answered a request. The answer is remembered
// only if servers of the service may have crashed under the request, since every request has an
// answer of each of its services.
func (g *Guard) RecordAnswerOfService(request exchange.Fingerprint, service string, hasBrokenConnections bool, now time.Time) {
	if !hasBrokenConnections && g.IsIdle() && g.hintCount.Load() == 0 {
		return
	}
	fingerprint := request.At(service)
	if g.forgetHint(fingerprint) || hasBrokenConnections {
		g.RecordAnswer(fingerprint, now)
	}
}

// forgetHint removes the hint of a request at a service, and reports whether there was one, or a
// record.
func (g *Guard) forgetHint(fingerprint exchange.Fingerprint) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	_, isKnown := g.hints[fingerprint]
	delete(g.hints, fingerprint)
	g.updateHintCount()
	return isKnown || g.records[fingerprint] != nil
}
