package fanout

import (
	"context"
	"time"

	"github.com/bramblemast/bramblemast/pkg/outcome"
	"github.com/bramblemast/bramblemast/pkg/quarantine"
)

// shardTrial is leave for a trial with one part; nil if there is none.
type shardTrial struct {
	index int
	trial *quarantine.Trial
}

// isGathered reports whether the request has further services, here or at the node that asks.
func (r *run) isGathered() bool { return len(r.parts) > 1 || r.plan.Collect != nil }

// standingAt returns what is known of the request at the service of a part: the answers of others
// say nothing of that.
func (r *run) standingAt(part *part) quarantine.State {
	guard := r.runner.Quarantine
	if guard == nil || guard.IsIdle() || !r.isGathered() {
		return quarantine.Clear
	}
	return guard.StateAtService(r.fingerprint(), part.service)
}

// isKeptFromShard reports whether a part may be sent to no further server for now, and lets
// settleKept decide what becomes of it.
func (r *run) isKeptFromShard(part *part, now time.Time) bool {
	if r.standingAt(part) == quarantine.Clear || part.trial != nil && r.outlivesTrialAt(part, now) {
		return false
	}
	part.kept, r.hasKept = true, true
	return true
}

// outlivesTrialAt is outlivesTrial for what has ended at the service of a part.
func (r *run) outlivesTrialAt(part *part, now time.Time) bool {
	return r.outlivesTrial(part, r.runner.Quarantine.CrashedServers(r.fingerprint().At(part.service)), now)
}

// settleKept asks for trials with the parts that are kept back and asked nowhere, and closes those
// with which none may be made: the answer does without them.
func (r *run) settleKept(now time.Time) {
	if !r.hasKept {
		return
	}
	r.hasKept = false
	for index := range r.parts {
		part := &r.parts[index]
		switch {
		case !part.kept:
		case part.answer != nil || part.closed:
			part.kept = false
		case len(part.live) > 0 || part.question != nil || part.isClaiming:
			r.hasKept = true
		default:
			r.settlePart(index, now)
		}
	}
}

func (r *run) settlePart(index int, now time.Time) {
	part := &r.parts[index]
	standing := r.standingAt(part)
	switch {
	case standing == quarantine.Clear || part.trial != nil && r.outlivesTrialAt(part, now):
		part.kept = false
	case standing == quarantine.Doubtful:
		r.hasKept = true
	case part.trial != nil || part.isRefusedTrial || r.plan.Collect != nil || r.isShut(part, now):
		part.kept = false
		part.failure = &outcome.Error{Step: "let in", Peer: part.service, Outcome: part.outcome(), Reason: outcome.ReasonQuarantined}
		r.closePart(part)
	default:
		r.hasKept = true
		r.claimShardTrial(index)
	}
}

// claimShardTrial asks for leave to send the request to one server of a part; see takeShardTrial.
func (r *run) claimShardTrial(index int) {
	part := &r.parts[index]
	part.isClaiming = true
	guard, here := r.runner.Quarantine, r.fingerprint().At(part.service)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
		defer cancel()
		claimed := guard.ClaimTrial(ctx, here)
		select {
		case r.shardClaims <- shardTrial{index: index, trial: claimed}:
		case <-r.ended:
			claimed.Release()
		}
	}()
}

// takeShardTrial takes leave for a trial with a part, or that there is none. The part sees it at
// its next look.
func (r *run) takeShardTrial(claimed shardTrial) {
	part := &r.parts[claimed.index]
	part.isClaiming = false
	part.trial, part.isRefusedTrial = claimed.trial, claimed.trial == nil
}

// isShut reports whether the request is kept from the service of a part, and no trial may be made
// there for now.
func (r *run) isShut(part *part, now time.Time) bool {
	standing := r.standingAt(part)
	return standing == quarantine.Quarantined || standing == quarantine.Suspect && !r.outlivesTrialAt(part, now)
}

// lacksShutShards reports whether the request cannot be answered without the services at which it
// is shut out.
func (r *run) lacksShutShards() bool {
	shut := r.countParts(func(part *part) bool { return r.isShut(part, r.began) })
	return shut > 0 && len(r.parts)-shut < r.plan.Required
}

// isKeptAnywhere reports whether the request is kept back at one of its services.
func (r *run) isKeptAnywhere() bool {
	return r.countParts(func(part *part) bool { return r.standingAt(part) != quarantine.Clear }) > 0
}

// countParts counts the parts for which something holds that is known of the request there; none
// while nothing is known of any request.
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

// noteBrokenPart takes that a server of a part broke its connection. What was noted of the request
// before another service answered it holds for the part.
func (r *run) noteBrokenPart(part *part, broken *attempt, now time.Time) {
	part.broken = append(part.broken, broken)
	if part.served.Load() {
		r.noteServedAt(part, now)
	} else if r.served.Load() {
		r.noteBrokenAt(part, broken, now)
	}
}

// noteBrokenParts does so for all parts, once a server has answered the request.
func (r *run) noteBrokenParts(now time.Time) {
	for index := range r.parts {
		part := &r.parts[index]
		for _, each := range part.broken {
			if !part.served.Load() {
				r.noteBrokenAt(part, each, now)
			}
		}
	}
}

func (r *run) noteBrokenAt(part *part, broken *attempt, now time.Time) {
	if guard := r.runner.Quarantine; guard != nil && r.isGathered() {
		server := broken.lease.Server
		guard.RecordBrokenConnectionAtService(r.fingerprint(), part.service, server.Incarnation(), server.Address, now)
	}
}

// noteServedAt takes that the service of a part has answered the request, which is told once
// unless it has lost connections since.
func (r *run) noteServedAt(part *part, now time.Time) {
	if part.served.Swap(true) && len(part.broken) == 0 {
		return
	}
	if guard := r.runner.Quarantine; guard != nil && r.isGathered() {
		guard.RecordAnswerOfService(r.fingerprint(), part.service, len(part.broken) > 0, now)
	}
}

// noteWhole takes that all services have answered a request of this node.
func (r *run) noteWhole(now time.Time) {
	if guard := r.runner.Quarantine; guard != nil && r.got == len(r.parts) && len(r.parts) > 1 && r.plan.Collect == nil {
		guard.RecordCompleteAnswer(r.fingerprint(), now)
	}
}
