package fanout

import (
	"time"

	"github.com/bramblemast/bramblemast/pkg/policy"
)

// decide reports whether the answer is final, and why.
func (r *run) decide(now time.Time) (StopReason, bool) {
	switch {
	case r.plan.Collect == nil && r.hasAllButSkipped():
		return StopComplete, true
	case r.answered == len(r.parts):
		return StopComplete, true
	case r.open == 0:
		return StopExhausted, true
	case !now.Before(r.plan.Deadline):
		return StopDeadline, true
	case r.isQuarantined():
		return StopQuarantined, true
	case r.isDraining && r.isUnstarted():
		return StopDraining, true
	case r.plan.Collect != nil:
		return "", false
	case !r.plan.Target.IsZero() && !now.Before(r.plan.Target) && r.answered >= r.plan.Required:
		return StopTarget, true
	case r.answered+r.open < r.plan.Required:
		return StopExhausted, true
	case r.isUnservedAtTarget(now):
		return StopOverloaded, true
	case r.answered >= r.plan.Required && r.stopRuleApplies(now):
		return StopRule, true
	case r.answered >= r.plan.Required && r.areMissingAbsent():
		return StopExhausted, true
	}
	return "", false
}

// stopRuleApplies reports whether the stop rule ends the wait now, and sets when it is evaluated
// next.
func (r *run) stopRuleApplies(now time.Time) bool {
	if r.plan.Stop == nil {
		return false
	}
	progress := policy.Progress{
		CoveredWidth: uint32(r.answered), TotalWidth: uint32(len(r.parts)), Outstanding: r.open,
		Elapsed: now.Sub(r.began), Remaining: r.plan.Deadline.Sub(now),
	}
	if progress.Share() >= r.plan.Stop.TargetShare() {
		if r.coveredAt.IsZero() {
			r.coveredAt = now
		}
		progress.SinceCoverage = now.Sub(r.coveredAt)
	}
	decision := r.plan.Stop.Decide(progress)
	r.recheckAt = time.Time{}
	if decision.Recheck > 0 {
		r.recheckAt = now.Add(decision.Recheck)
	}
	return decision.Stop
}

// areMissingAbsent reports whether the services of all missing parts have no server.
func (r *run) areMissingAbsent() bool {
	for index := range r.parts {
		each := &r.parts[index]
		if each.answer == nil && !each.closed && (!each.absent || each.question != nil) {
			return false
		}
	}
	return true
}

// isUnservedAtTarget reports whether the request has reached its target without a server while its
// services are limited: from now on requests that are still in time are queued before it, and its
// client can retry.
func (r *run) isUnservedAtTarget(now time.Time) bool {
	isLate := !r.plan.Target.IsZero() && !now.Before(r.plan.Target)
	return isLate && r.hasNoExecution() && r.isLimited(now)
}

// hasNoExecution reports whether no server has executed any part or may be executing it.
func (r *run) hasNoExecution() bool {
	for index := range r.parts {
		each := &r.parts[index]
		if each.hasRun || each.executions > 0 {
			return false
		}
	}
	return true
}

// nextEvent returns the time of the next decision.
func (r *run) nextEvent(now time.Time) time.Time {
	next := r.plan.Deadline
	if r.plan.Target.After(now) && r.hasNoExecution() {
		next = earlier(next, r.plan.Target)
	}
	if r.answered >= r.plan.Required && r.plan.Collect == nil {
		next = earlier(next, r.plan.Target)
	}
	next = earlier(next, r.recheckAt)
	next = earlier(next, r.reportAt)
	for _, each := range r.questions {
		next = earlier(next, each.silentAt)
	}
	for index := range r.parts {
		next = earlier(next, r.parts[index].hedgeAt)
	}
	return next
}

// earlier returns the earlier of two times; a zero candidate means none.
func earlier(known, candidate time.Time) time.Time {
	if candidate.IsZero() || known.Before(candidate) {
		return known
	}
	return candidate
}
