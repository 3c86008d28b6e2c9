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

// NoteWhole takes that all services of a request have answered it: it ends no servers of any.
func (g *Guard) NoteWhole(request exchange.Fingerprint, now time.Time) {
	g.served.add(wholly(request), now)
}

// StandingAt returns what is known of a request at one of its services. One that all services
// have answered lately is clear, which the other nodes are told.
func (g *Guard) StandingAt(request exchange.Fingerprint, service string) Standing {
	if g.IsIdle() {
		return Clear
	}
	here := request.At(service)
	standing := g.Standing(here)
	if now := time.Now(); standing != Clear && g.served.has(wholly(request), now) {
		g.NoteServed(here, now)
		return Clear
	}
	return standing
}

// NoteBrokenAt is NoteBroken for a server of one of a request's services, where others have answered.
func (g *Guard) NoteBrokenAt(request exchange.Fingerprint, service string, server fleet.Incarnation, address string, now time.Time) {
	if !g.served.has(wholly(request), now) {
		g.NoteBroken(request.At(service), server, address, now)
	}
}

// NoteServedAt takes that a service has answered a request. It is remembered only if servers of it
// seem to have ended under the request: each request has an answer of each of its services.
func (g *Guard) NoteServedAt(request exchange.Fingerprint, service string, hasLost bool, now time.Time) {
	if !hasLost && g.IsIdle() {
		return
	}
	here := request.At(service)
	if hasLost || g.remembers(here) {
		g.NoteServed(here, now)
	}
}

func (g *Guard) remembers(fingerprint exchange.Fingerprint) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.records[fingerprint] != nil
}
