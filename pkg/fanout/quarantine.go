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
	if r.cachedFingerprint == nil {
		made := r.request.Fingerprint(r.runner.Dialect)
		r.cachedFingerprint = &made
	}
	return *r.cachedFingerprint
}

// standing returns what is known of the request; one that a server has answered is clear.
func (r *run) quarantineState() quarantine.State {
	guard := r.runner.Quarantine
	if guard == nil || guard.IsIdle() || r.answered > 0 {
		return quarantine.Clear
	}
	return guard.State(r.fingerprint())
}

// isWithheld reports whether the request may be sent to no further server for now, since
// servers have ended while they had it, or may have. A trial is leave for one.
func (r *run) isWithheld() bool {
	return r.trial == nil && (r.quarantineState() != quarantine.Clear || r.isUnproven())
}

// unprovenHold is for how long a request is doubted after its first broken connection: most are
// answered by another shard within a few tenths of a second, and one whose other servers are all
// silent is to have its hedges after that.
const unprovenHold = 300 * time.Millisecond

// isUnproven reports whether a server broke its connection a moment ago, none has answered the
// request, and one still may. Its further sub-requests wait for that: an ordinary request is
// answered by another shard within milliseconds, and a deadly one ends one server of each shard
// rather than two. Without a broken connection it costs nothing.
func (r *run) isUnproven() bool {
	return r.brokenConnections > 0 && r.runner.Quarantine != nil && !r.served.Load() && r.isInFlight() && time.Since(r.firstBrokenAt) < unprovenHold
}

// isInFlight reports whether the request is at a server or an owner whose answer could clear
// it.
func (r *run) isInFlight() bool {
	for index := range r.parts {
		if each := &r.parts[index]; len(each.inFlight) > 0 || each.question != nil {
			return true
		}
	}
	return false
}

// isStuck reports whether the request is kept back and nothing that could still clear it is
// under way.
func (r *run) isStuck() bool {
	if r.quarantineState() <= quarantine.Doubtful || r.isClaiming || r.isInFlight() {
		return false
	}
	return r.trial == nil || !r.hasTrialPart()
}

// isQuarantined reports whether the request is kept back for good: it is stuck, and no trial
// may be made. A run for another node leaves trials to that one.
func (r *run) isQuarantined() bool {
	return r.isStuck() && !r.mayClaim()
}

// mayClaim reports whether leave for a trial is to be asked for.
func (r *run) mayClaim() bool {
	return r.quarantineState() == quarantine.Suspect && r.trial == nil && !r.isTrialRefused && r.plan.Collect == nil && r.hasTrialPart()
}

// hasTrialPart reports whether a trial may be made with an open part.
func (r *run) hasTrialPart() bool {
	crashed, now := r.runner.Quarantine.CrashedServers(r.fingerprint()), time.Now()
	for index := range r.parts {
		if each := &r.parts[index]; each.answer == nil && !each.closed && r.canLoseServer(each, crashed, now) {
			return true
		}
	}
	return false
}

// protectLastServerAfter is how many servers have ended under a gathered request, with no answer, when its
// trials spare the last server of a shard. One that shared servers with another one has hardly
// lost so many, and is to be answered at once.
const protectLastServerAfter = 2 * quarantine.SuspectAfter

// canLoseServer reports whether the service of a part has a further server in reach beside the
// one that a trial may end, or never had one: without it all requests would miss the part until
// the servers that ended are back. A request of one service has no other choice.
func (r *run) canLoseServer(part *part, crashed []fleet.Incarnation, now time.Time) bool {
	if len(r.parts) == 1 || len(crashed) < protectLastServerAfter {
		return true
	}
	inReach, all := r.runner.Fleet.CountReachable(part.service, r.regions(), crashed, now)
	return inReach >= 2 || inReach == all
}

// isTrialBarred reports whether there is leave for a trial that is not to be made with a part.
func (r *run) isTrialBarred(part *part, now time.Time) bool {
	return r.trial != nil && r.quarantineState() != quarantine.Clear &&
		!r.canLoseServer(part, r.runner.Quarantine.CrashedServers(r.fingerprint()), now)
}

// claimTimeout bounds the claim of a trial: two round trips between regions, and a store that
// is slow for a moment.
const claimTimeout = 300 * time.Millisecond

// claimTrial asks for leave to send the request to one server if it is stuck; see handleTrial.
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

// handleTrial takes leave for a trial, or that there is none. Parts that wait see it at their
// next look.
func (r *run) handleTrial(claimed *quarantine.Trial) {
	r.isClaiming = false
	r.trial, r.isTrialRefused = claimed, claimed == nil
}

// useTrial moves leave for a trial to an attempt.
func (r *run) useTrial(by *attempt) {
	if part := &r.parts[by.part]; r.trial == nil && part.trial != nil {
		by.trial, part.trial, by.isForShard = part.trial, nil, true
		return
	}
	by.trial, r.trial = r.trial, nil
}

// returnTrial takes leave back from an attempt that did not run.
func (r *run) returnTrial(from *attempt) {
	switch {
	case from.trial == nil:
	case from.isForShard:
		r.parts[from.part].trial, from.trial = from.trial, nil
	default:
		r.trial, from.trial = from.trial, nil
	}
}

// withhold puts off what is to be done for a part while the request is kept back.
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

// recordBroken tells the guard that a server broke its connection while it had the request,
// unless another one has answered it: then that holds for its service alone. It is called from the
// attempt's goroutine.
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

// recordAnswer tells the guard that a server has answered the request, once. What the part that
// answered first has lost does not count: recordAnswerAt comes before.
func (r *run) recordAnswer() {
	if r.served.Swap(true) {
		return
	}
	if guard := r.runner.Quarantine; guard != nil {
		guard.RecordAnswer(r.fingerprint(), time.Now())
	}
	r.recordBrokenOfParts(time.Now())
}

// recordCrashes takes the servers that an owner has seen end under the request.
func (r *run) recordCrashes(servers []fleet.Incarnation, now time.Time) {
	if guard := r.runner.Quarantine; guard != nil && r.answered == 0 {
		guard.RecordCrashes(r.fingerprint(), servers, now)
	}
}

// crashedServers returns the servers that are known to have ended under the request.
func (r *run) crashedServers() []fleet.Incarnation {
	if r.quarantineState() == quarantine.Clear {
		return nil
	}
	return r.runner.Quarantine.CrashedServers(r.fingerprint())
}
