package fanout

import (
	"context"
	"time"

	"github.com/bramblemast/bramblemast/pkg/exchange"
	"github.com/bramblemast/bramblemast/pkg/fleet"
	"github.com/bramblemast/bramblemast/pkg/quarantine"
)

// fingerprint returns the fingerprint of the request. Only the event loop may call it.
func (r *run) fingerprint() exchange.Fingerprint {
	if r.cachedFingerprint == nil {
		made := r.request.Fingerprint(r.runner.Dialect)
		r.cachedFingerprint = &made
	}
	return *r.cachedFingerprint
}

// quarantineState returns the quarantine state of the request; one that a server has answered is
// clear.
func (r *run) quarantineState() quarantine.State {
	guard := r.runner.Quarantine
	if guard == nil || guard.IsIdle() || r.answered > 0 {
		return quarantine.Clear
	}
	return guard.State(r.fingerprint())
}

// isWithheld reports whether the request may not be sent to a further server for now, since servers
// crashed, or may have crashed, while they had it. A trial permits one server.
func (r *run) isWithheld() bool {
	return r.trial == nil && (r.quarantineState() != quarantine.Clear || r.isUnproven())
}

// unprovenHold is the maximum time that further sub-requests are held after the first broken
// connection. Most requests are answered by another shard within a few tenths of a second; a
// request whose other servers are all silent needs its hedges after that.
const unprovenHold = 300 * time.Millisecond

// isUnproven reports whether a server recently broke its connection, none has answered the request,
// and one still may. Further sub-requests wait for that: an ordinary request is answered by another
// shard within milliseconds, and a deadly one then crashes one server of each shard instead of two.
// Without a broken connection this costs nothing.
func (r *run) isUnproven() bool {
	return r.brokenConnections > 0 && r.runner.Quarantine != nil && !r.served.Load() && r.isInFlight() && time.Since(r.firstBrokenAt) < unprovenHold
}

// isInFlight reports whether the request is at a server or an owner whose answer could clear it.
func (r *run) isInFlight() bool {
	for index := range r.parts {
		if each := &r.parts[index]; len(each.inFlight) > 0 || each.question != nil {
			return true
		}
	}
	return false
}

// isStuck reports whether the request is withheld and nothing in progress could still clear it.
func (r *run) isStuck() bool {
	if r.quarantineState() <= quarantine.Doubtful || r.isClaiming || r.isInFlight() {
		return false
	}
	return r.trial == nil || !r.hasTrialPart()
}

// isQuarantined reports whether the request is withheld for good: it is stuck, and no trial may be
// made. A run for another node leaves trials to that node.
func (r *run) isQuarantined() bool {
	return r.isStuck() && !r.mayClaim()
}

// mayClaim reports whether to claim a trial.
func (r *run) mayClaim() bool {
	return r.quarantineState() == quarantine.Suspect && r.trial == nil && !r.isTrialRefused && r.plan.Collect == nil && r.hasTrialPart()
}

// hasTrialPart reports whether a trial may be made with one of the open parts.
func (r *run) hasTrialPart() bool {
	crashed, now := r.runner.Quarantine.CrashedServers(r.fingerprint()), time.Now()
	for index := range r.parts {
		if each := &r.parts[index]; each.answer == nil && !each.closed && r.canLoseServer(each, crashed, now) {
			return true
		}
	}
	return false
}

// protectLastServerAfter is the number of crashed servers of an unanswered gathered request from
// which on its trials do not use the last server of a shard. A request that only shared servers
// with a deadly one has rarely lost so many, and should be answered at once.
const protectLastServerAfter = 2 * quarantine.SuspectAfter

// canLoseServer reports whether the service of a part would still have a reachable server if a
// trial crashed one, or has not lost any: otherwise all requests would miss the part until the
// crashed servers are back. A request to a single service has no other choice.
func (r *run) canLoseServer(part *part, crashed []fleet.Incarnation, now time.Time) bool {
	if len(r.parts) == 1 || len(crashed) < protectLastServerAfter {
		return true
	}
	inReach, all := r.runner.Fleet.CountReachable(part.service, r.regions(), crashed, now)
	return inReach >= 2 || inReach == all
}

// isTrialBarred reports whether the run holds a trial that may not be made with a part.
func (r *run) isTrialBarred(part *part, now time.Time) bool {
	return r.trial != nil && r.quarantineState() != quarantine.Clear &&
		!r.canLoseServer(part, r.runner.Quarantine.CrashedServers(r.fingerprint()), now)
}

// claimTimeout bounds the claim of a trial: two round trips between regions, and a briefly slow
// store.
const claimTimeout = 300 * time.Millisecond

// claimTrial claims a trial if the request is stuck; handleTrial receives the result.
func (r *run) claimTrial() {
	if !r.isStuck() || !r.mayClaim() {
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
			claimed.Release()
		}
	}()
}

// handleTrial stores a claimed trial, or that it was refused. Waiting parts see it at their next
// check.
func (r *run) handleTrial(claimed *quarantine.Trial) {
	r.isClaiming = false
	r.trial, r.isTrialRefused = claimed, claimed == nil
}

// useTrial moves the trial of the part or of the run to an attempt.
func (r *run) useTrial(by *attempt) {
	if part := &r.parts[by.part]; r.trial == nil && part.trial != nil {
		by.trial, part.trial, by.isForShard = part.trial, nil, true
		return
	}
	by.trial, r.trial = r.trial, nil
}

// returnTrial takes the trial back from an attempt that was not executed.
func (r *run) returnTrial(from *attempt) {
	switch {
	case from.trial == nil:
	case from.isForShard:
		r.parts[from.part].trial, from.trial = from.trial, nil
	default:
		r.trial, from.trial = from.trial, nil
	}
}

// withhold postpones the next attempt of a part while the request is withheld, and reports whether
// it did.
func (r *run) withhold(part *part, now time.Time) bool {
	if !r.isWithheld() && !r.isTrialBarred(part, now) && !r.isWithheldFromShard(part, now) {
		return false
	}
	r.withdraw(part)
	part.hedgeAt = now.Add(recheckInterval)
	return true
}

// countBrokenConnection counts a connection that broke while its server had the request.
func (r *run) countBrokenConnection(now time.Time) {
	if r.brokenConnections == 0 {
		r.firstBrokenAt = now
	}
	r.brokenConnections++
}

// recordBroken tells the guard that a server broke its connection while it had the request. If
// another server has answered the request, this concerns only the service of the part. It is called
// from the attempt's goroutine.
func (r *run) recordBroken(broken *attempt, now time.Time) {
	guard := r.runner.Quarantine
	if guard == nil || !broken.Broken {
		return
	}
	server := broken.lease.Server
	if part := &r.parts[broken.part]; r.served.Load() {
		if r.isGathered() && !part.served.Load() {
			guard.RecordBrokenConnectionAtService(r.request.Fingerprint(r.runner.Dialect), part.service, server.Incarnation(), server.Address, now)
		}
		return
	}
	guard.RecordBrokenConnection(r.request.Fingerprint(r.runner.Dialect), server.Incarnation(), server.Address, now)
}

// recordAnswer tells the guard, once, that a server has answered the request. Broken connections of
// the part that answered first do not count: recordAnswerAt is called before.
func (r *run) recordAnswer() {
	if r.served.Swap(true) {
		return
	}
	if guard := r.runner.Quarantine; guard != nil {
		guard.RecordAnswer(r.fingerprint(), time.Now())
	}
	r.recordBrokenOfParts(time.Now())
}

// recordCrashes tells the guard of the servers that an owner has seen crash under the request.
func (r *run) recordCrashes(servers []fleet.Incarnation, now time.Time) {
	if guard := r.runner.Quarantine; guard != nil && r.answered == 0 {
		guard.RecordCrashes(r.fingerprint(), servers, now)
	}
}

// crashedServers returns the servers that are known to have crashed under the request.
func (r *run) crashedServers() []fleet.Incarnation {
	if r.quarantineState() == quarantine.Clear {
		return nil
	}
	return r.runner.Quarantine.CrashedServers(r.fingerprint())
}
