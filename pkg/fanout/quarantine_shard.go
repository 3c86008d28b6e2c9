package fanout

import (
	"context"
	"time"

	"github.com/bramblemast/bramblemast/pkg/outcome"
	"github.com/bramblemast/bramblemast/pkg/quarantine"
)

// shardTrial is the result of claiming a trial for one part; trial is nil if it was refused.
type shardTrial struct {
	index int
	trial *quarantine.Trial
}

// isGathered reports whether the request goes to more than one service, here or at the asking node.
func (r *run) isGathered() bool { return len(r.parts) > 1 || r.plan.Collect != nil }

// stateAtService returns the quarantine state of the request at the service of a part. The answers
// of other services do not clear it.
func (r *run) stateAtService(part *part) quarantine.State {
	guard := r.runner.Quarantine
	if guard == nil || guard.IsIdle() || !r.isGathered() {
		return quarantine.Clear
	}
	return guard.StateAtService(r.fingerprint(), part.service)
}

// isWithheldFromShard reports whether a part may not be sent to a further server for now, and marks
// it for settleWithheld.
func (r *run) isWithheldFromShard(part *part, now time.Time) bool {
	if r.stateAtService(part) == quarantine.Clear || part.trial != nil && r.canLoseServerAt(part, now) {
		return false
	}
	part.withheld, r.hasWithheld = true, true
	return true
}

// canLoseServerAt is canLoseServer for the servers that crashed at the service of a part.
func (r *run) canLoseServerAt(part *part, now time.Time) bool {
	return r.canLoseServer(part, r.runner.Quarantine.CrashedServers(r.fingerprint().At(part.service)), now)
}

// settleWithheld claims trials for the withheld parts without an attempt in progress, and closes
// those for which no trial may be made: the answer does without them.
func (r *run) settleWithheld(now time.Time) {
	if !r.hasWithheld {
		return
	}
	r.hasWithheld = false
	for index := range r.parts {
		part := &r.parts[index]
		switch {
		case !part.withheld:
		case part.answer != nil || part.closed:
			part.withheld = false
		case len(part.inFlight) > 0 || part.question != nil || part.isClaiming:
			r.hasWithheld = true
		default:
			r.settleWithheldPart(index, now)
		}
	}
}

// settleWithheldPart does for one withheld part, without an attempt in progress, what
// settleWithheld describes.
func (r *run) settleWithheldPart(index int, now time.Time) {
	part := &r.parts[index]
	state := r.stateAtService(part)
	switch {
	case state == quarantine.Clear || part.trial != nil && r.canLoseServerAt(part, now):
		part.withheld = false
	case state == quarantine.Doubtful:
		r.hasWithheld = true
	case part.trial != nil || part.isTrialRefused || r.plan.Collect != nil || r.isBarred(part, now):
		part.withheld = false
		part.failure = &outcome.Error{Step: "let in", Peer: part.service, Outcome: part.outcome(), Reason: outcome.ReasonQuarantined}
		r.closePart(part)
	default:
		r.hasWithheld = true
		r.claimShardTrial(index)
	}
}

// claimShardTrial claims a trial for one part; handleShardTrial receives the result.
func (r *run) claimShardTrial(index int) {
	part := &r.parts[index]
	part.isClaiming = true
	guard, serviceFingerprint := r.runner.Quarantine, r.fingerprint().At(part.service)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
		defer cancel()
		claimed := guard.ClaimTrial(ctx, serviceFingerprint)
		select {
		case r.shardClaims <- shardTrial{index: index, trial: claimed}:
		case <-r.ended:
			claimed.Release()
		}
	}()
}

// handleShardTrial stores a claimed trial for a part, or that it was refused. The part sees it at
// its next check.
func (r *run) handleShardTrial(claimed shardTrial) {
	part := &r.parts[claimed.index]
	part.isClaiming = false
	part.trial, part.isTrialRefused = claimed.trial, claimed.trial == nil
}

// isBarred reports whether the request is withheld from the service of a part and no trial may be
// made there for now.
func (r *run) isBarred(part *part, now time.Time) bool {
	state := r.stateAtService(part)
	return state == quarantine.Quarantined || state == quarantine.Suspect && !r.canLoseServerAt(part, now)
}

// needsBarredShards reports whether the request cannot be answered without the services from which
// it is barred.
func (r *run) needsBarredShards() bool {
	barred := r.countParts(func(part *part) bool { return r.isBarred(part, r.began) })
	return barred > 0 && len(r.parts)-barred < r.plan.Required
}

// isWithheldAnywhere reports whether the request is withheld from one of its services.
func (r *run) isWithheldAnywhere() bool {
	return r.countParts(func(part *part) bool { return r.stateAtService(part) != quarantine.Clear }) > 0
}

// countParts counts the parts for which holds returns true. It returns 0 without calling holds
// while the guard has no records, and for requests to a single service.
func (r *run) countParts(holds func(*part) bool) int {
	count, guard := 0, r.runner.Quarantine
	if guard == nil || guard.IsIdle() || !r.isGathered() {
		return 0
	}
	for index := range r.parts {
		if holds(&r.parts[index]) {
			count++
		}
	}
	return count
}

// recordBrokenOfPart handles a broken connection to a server of a part. Broken connections from
// before another service answered the request count for the part as well.
func (r *run) recordBrokenOfPart(part *part, broken *attempt, now time.Time) {
	part.brokenAttempts = append(part.brokenAttempts, broken)
	if part.served.Load() {
		r.recordAnswerAt(part, now)
	} else if r.served.Load() {
		r.recordBrokenAt(part, broken, now)
	}
}

// recordBrokenOfParts records the broken connections of all unanswered parts at their services,
// once a server has answered the request.
func (r *run) recordBrokenOfParts(now time.Time) {
	for index := range r.parts {
		part := &r.parts[index]
		for _, each := range part.brokenAttempts {
			if !part.served.Load() {
				r.recordBrokenAt(part, each, now)
			}
		}
	}
}

func (r *run) recordBrokenAt(part *part, broken *attempt, now time.Time) {
	if guard := r.runner.Quarantine; guard != nil && r.isGathered() {
		server := broken.lease.Server
		guard.RecordBrokenConnectionAtService(r.fingerprint(), part.service, server.Incarnation(), server.Address, now)
	}
}

// recordAnswerAt tells the guard that the service of a part has answered the request: once, and
// again for each answer if the part has had broken connections.
func (r *run) recordAnswerAt(part *part, now time.Time) {
	if part.served.Swap(true) && len(part.brokenAttempts) == 0 {
		return
	}
	if guard := r.runner.Quarantine; guard != nil && r.isGathered() {
		guard.RecordAnswerOfService(r.fingerprint(), part.service, len(part.brokenAttempts) > 0, now)
	}
}

// recordCompleteAnswer tells the guard that all services have answered a request of this node.
func (r *run) recordCompleteAnswer(now time.Time) {
	if guard := r.runner.Quarantine; guard != nil && r.answered == len(r.parts) && len(r.parts) > 1 && r.plan.Collect == nil {
		guard.RecordCompleteAnswer(r.fingerprint(), now)
	}
}
