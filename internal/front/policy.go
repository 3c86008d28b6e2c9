package front

import (
	"time"

	"github.com/bramblemast/bramblemast/pkg/policy"
	"github.com/bramblemast/bramblemast/pkg/route"
)

// Policy is what is in force for one request.
type Policy struct {
	// Template and Arm name where the policies come from.
	Template string
	Revision uint64
	Arm      string
	Hedge    policy.HedgePolicy
	Stop     policy.StopRule
	// Admission decides which requests run, wait or are refused.
	Admission policy.AdmissionPolicy
	// MaxAttempts bounds the servers that run one request, beside the route.
	MaxAttempts int
	// ExtraShare bounds extra sub-requests in relation to the deployment's own
	// bound, 0 to 1.
	ExtraShare float64
}

// Policies decides which policies serve a request.
type Policies interface {
	For(found *route.Route, requestID string) Policy
}

// targetReserve is the share of a route's target that is left for the way back
// to the client.
const targetReserve = 0.1

// Waits that clients are told, and reserves of time.
const (
	overloadedWait = time.Second
	leastRefusal   = 50 * time.Millisecond
	greatestWait   = 2 * time.Second
	// deadlineReserve is left for the final answer at the end of the time.
	deadlineReserve = 15 * time.Millisecond
	// assumedTargetShare is the typical time of a kind of request in relation
	// to its target, until it is measured.
	assumedTargetShare = 0.15
	// defaultDeadline bounds requests that name no time on routes without one.
	defaultDeadline = 30 * time.Second
	// least and greatest reserve of the target.
	leastTargetReserve    = 8 * time.Millisecond
	greatestTargetReserve = 40 * time.Millisecond
)

// deadline returns when a request is given up.
func deadline(found *route.Route, span time.Duration, began time.Time) time.Time {
	if found.Timeout > 0 {
		span = min(span, found.Timeout)
	}
	return began.Add(max(span-deadlineReserve, time.Millisecond))
}

// target returns when an answer with the required parts is given.
func target(found *route.Route, began time.Time) time.Time {
	if found.Target <= 0 {
		return time.Time{}
	}
	reserve := time.Duration(targetReserve * float64(found.Target))
	reserve = min(max(reserve, leastTargetReserve), greatestTargetReserve)
	return began.Add(found.Target - reserve)
}

// assumedTime returns the typical time of a route until it is measured.
func assumedTime(found *route.Route) time.Duration {
	if found.Target <= 0 {
		return 50 * time.Millisecond
	}
	return time.Duration(assumedTargetShare * float64(found.Target))
}

// patience returns how long a request waits while all servers are busy. A
// request of one service is then refused, so that the client can come back in
// time; a gathered one has parts at work and waits longer.
func patience(found *route.Route) time.Duration {
	if found.Gathered() {
		return found.Target * 4 / 5
	}
	return found.Target / 5
}
