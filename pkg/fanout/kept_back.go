package fanout

import (
	"context"
	"time"

	"github.com/bramblemast/bramblemast/pkg/exchange"
	"github.com/bramblemast/bramblemast/pkg/fleet"
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
// servers have ended while they had it, or may have. A trial is leave for one.
func (r *run) isKeptBack() bool {
	return r.trial == nil && (r.standing() != quarantine.Clear || r.isDoubted())
}

// doubtSpan is for how long a request is doubted after its first broken connection: most are
// answered by another shard within a few tenths of a second, and one whose other servers are all
// silent is to have its hedges after that.
const doubtSpan = 300 * time.Millisecond

// isDoubted reports whether a server broke its connection a moment ago, none has answered the
// request, and one still may. Its further sub-requests wait for that: an ordinary request is
// answered by another shard within milliseconds, and a deadly one ends one server of each shard
// rather than two. Without a broken connection it costs nothing.
func (r *run) isDoubted() bool {
	return r.broken > 0 && r.runner.Quarantine != nil && !r.served.Load() && r.isUnderWay() && time.Since(r.brokenAt) < doubtSpan
}

// isUnderWay reports whether the request is at a server or an owner whose answer could clear
// it.
func (r *run) isUnderWay() bool {
	for index := range r.parts {
		if each := &r.parts[index]; len(each.live) > 0 || each.question != nil {
			return true
		}
	}
	return false
}

// isStuck reports whether the request is kept back and nothing that could still clear it is
// under way.
func (r *run) isStuck() bool {
	return r.standing() > quarantine.Doubtful && r.isKeptBack() && !r.isClaiming && !r.isUnderWay()
}

// isQuarantined reports whether the request is kept back for good: it is stuck, and no trial
// is left. A run for another node leaves trials to that one.
func (r *run) isQuarantined() bool {
	hasTrial := r.standing() == quarantine.Suspect && !r.isRefusedTrial && r.plan.Collect == nil
	return r.isStuck() && !hasTrial
}

// claimTimeout bounds the claim of a trial: two round trips between regions, and a store that
// is slow for a moment.
const claimTimeout = 300 * time.Millisecond

// claimTrial asks for leave to send the request to one server if it is stuck; see takeTrial.
func (r *run) claimTrial() {
	if !r.isStuck() {
		return
	}
	r.isClaiming = true
	guard, fingerprint := r.runner.Quarantine, r.fingerprint()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
		defer cancel()
		claimed := guard.ClaimTrial(ctx, fingerprint)
		select {
		case r.claims <- claimed:
		case <-r.ended:
			claimed.GiveBack()
		}
	}()
}

// takeTrial takes leave for a trial, or that there is none. Parts that wait see it at their
// next look.
func (r *run) takeTrial(claimed *quarantine.Trial) {
	r.isClaiming = false
	r.trial, r.isRefusedTrial = claimed, claimed == nil
}

// useTrial moves leave for a trial to an attempt.
func (r *run) useTrial(by *attempt) { by.trial, r.trial = r.trial, nil }

// returnTrial takes leave back from an attempt that did not run.
func (r *run) returnTrial(from *attempt) {
	if from.trial != nil {
		r.trial, from.trial = from.trial, nil
	}
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

// noteBrokenConnection counts a connection that broke while its server had the request.
func (r *run) noteBrokenConnection(now time.Time) {
	if r.broken == 0 {
		r.brokenAt = now
	}
	r.broken++
}

// noteBroken tells the guard that a server broke its connection while it had the request,
// unless another one has answered it. It is called from the attempt's goroutine.
func (r *run) noteBroken(broken *attempt, now time.Time) {
	guard := r.runner.Quarantine
	if guard == nil || !broken.Broken || r.served.Load() {
		return
	}
	server := broken.lease.Server
	guard.NoteBroken(r.request.Fingerprint(r.runner.Dialect), server.Incarnation(), server.Address, now)
}

// noteServed tells the guard that a server has answered the request.
func (r *run) noteServed() {
	r.served.Store(true)
	if guard := r.runner.Quarantine; guard != nil {
		guard.NoteServed(r.fingerprint(), time.Now())
	}
}

// learnEnded takes the servers that an owner has seen end under the request.
func (r *run) learnEnded(servers []fleet.Incarnation, now time.Time) {
	if guard := r.runner.Quarantine; guard != nil && r.got == 0 {
		guard.LearnEnded(r.fingerprint(), servers, now)
	}
}

// endedServers returns the servers that are known to have ended under the request.
func (r *run) endedServers() []fleet.Incarnation {
	if r.standing() == quarantine.Clear {
		return nil
	}
	return r.runner.Quarantine.Servers(r.fingerprint())
}
