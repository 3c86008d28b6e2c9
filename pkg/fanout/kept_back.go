package fanout

import (
	"time"

	"github.com/bramblemast/bramblemast/pkg/exchange"
	"github.com/bramblemast/bramblemast/pkg/quarantine"
)

// fingerprint returns the fingerprint of the request. Only the event loop calls it.
func (r *run) fingerprint() exchange.Fingerprint {
	if r.fingerprinted == nil {
		made := r.request.Fingerprint(r.runner.Dialect)
		r.fingerprinted = &made
	}
	return *r.fingerprinted
}

// standing returns what is known of the request; one that a server has answered is clear.
func (r *run) standing() quarantine.Standing {
	guard := r.runner.Quarantine
	if guard == nil || guard.IsIdle() || r.got > 0 {
		return quarantine.Clear
	}
	return guard.Standing(r.fingerprint())
}

// isKeptBack reports whether the request may be sent to no further server for now, since
// servers have ended while they had it. A trial goes to one server.
func (r *run) isKeptBack() bool {
	return r.standing() != quarantine.Clear && !(r.plan.IsTrial && r.nothingSent())
}

// nothingSent reports whether no server has the request or may have run it.
func (r *run) nothingSent() bool {
	for index := range r.parts {
		if each := &r.parts[index]; len(each.live) > 0 || each.executions > 0 || each.ran {
			return false
		}
	}
	return true
}

// isQuarantined reports whether the request is kept back for good: nothing that could still
// clear it is under way.
func (r *run) isQuarantined() bool {
	if r.standing() <= quarantine.Doubtful || !r.isKeptBack() {
		return false
	}
	for index := range r.parts {
		if each := &r.parts[index]; len(each.live) > 0 || each.question != nil {
			return false
		}
	}
	return true
}

// keepBack puts off what is to be done for a part while the request is kept back.
func (r *run) keepBack(part *part, now time.Time) bool {
	if !r.isKeptBack() {
		return false
	}
	r.withdraw(part)
	part.hedgeAt = now.Add(recheck)
	return true
}

// noteBroken tells the guard that a server broke its connection while it had the request,
// unless another one has answered it. It is called from the attempt's goroutine.
func (r *run) noteBroken(broken *attempt, now time.Time) {
	guard := r.runner.Quarantine
	if guard == nil || !broken.Broken || r.served.Load() {
		return
	}
	server := broken.lease.Server
	guard.NoteBroken(r.request.Fingerprint(r.runner.Dialect), server.ID, server.Address, now)
}

// noteServed tells the guard that a server has answered the request.
func (r *run) noteServed() {
	r.served.Store(true)
	if guard := r.runner.Quarantine; guard != nil && !guard.IsIdle() {
		guard.NoteServed(r.fingerprint())
	}
}

// learnEnded takes the servers that an owner has seen end under the request.
func (r *run) learnEnded(servers []string, now time.Time) {
	if guard := r.runner.Quarantine; guard != nil && r.got == 0 {
		guard.LearnEnded(r.fingerprint(), servers, now)
	}
}

// endedServers returns the servers that are known to have ended under the request.
func (r *run) endedServers() []string {
	if r.standing() == quarantine.Clear {
		return nil
	}
	return r.runner.Quarantine.Servers(r.fingerprint())
}
