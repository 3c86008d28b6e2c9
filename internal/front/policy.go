package front

import (
	"time"

	"github.com/bramblemast/bramblemast/pkg/policy"
	"github.com/bramblemast/bramblemast/pkg/route"
)

// Policy is the set of policies in force for one request.
type Policy struct {
	// Template, Revision and Arm identify the source of the policies.
	Template string
	Revision uint64
	Arm      string
	Hedge    policy.HedgePolicy
	Stop     policy.StopRule
	// MaxAttempts bounds the number of servers that run one request; the route's bound applies too.
	MaxAttempts int
	// ExtraShare bounds extra sub-requests as a share of the deployment's own bound, 0 to 1.
	ExtraShare float64
}

// Policies selects the policies for a request. It is safe for concurrent use.
type Policies interface {
	For(matched *route.Route, requestID string) Policy
}

// targetReserve is the share of a route's target that is reserved for what the node cannot measure:
// the transfer of the request and of its answer, the opening of a new connection before, and the
// node's own processing time. The reserve is bounded by minTargetReserve and maxTargetReserve.
const targetReserve = 0.1

// Retry-After times for clients, time reserves, and assumptions about what is not measured yet.
const (
	// nodeOverloadWait is the retry time when this node serves as many requests as it may: other
	// nodes have capacity within a second.
	nodeOverloadWait = time.Second
	// unservableWait is the minimum retry time when no server is eligible for a request: a server
	// that returns is listed within one to two heartbeats of 1.2 s, and an evacuation or a
	// restriction to regions lasts longer than that.
	unservableWait = time.Second
	// minRetryAfter and maxRetryAfter bound the retry times for clients: a client that retries
	// immediately meets the same servers, and the shortest deadline of users' requests is 2 s.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// minOverloadWait is the minimum assumed duration of an overload; retries are spread over its
	// second half. A service that has capacity again admits all requests within a second.
	minOverloadWait = time.Second
	// deadlineReserve is reserved before the deadline for the final answer: its transfer to the
	// client and a wake-up of a node with a fifth of a core.
	deadlineReserve = 15 * time.Millisecond
	// assumedTargetShare is the assumed typical time of a kind of request as a share of its target,
	// until it is measured: 20 ms of work and a round trip for a target of 200 ms.
	assumedTargetShare = 0.15
	// defaultDeadline bounds requests without a deadline on routes without a timeout.
	defaultDeadline = 30 * time.Second
	// assumedTimeWithoutTarget is the assumed typical time on a route without a target, until it is
	// measured.
	assumedTimeWithoutTarget = 50 * time.Millisecond
	// assumedQueueLength is the assumed number of requests queued ahead of one at a server while no
	// server is available to estimate its wait.
	assumedQueueLength = 4
	// minTargetReserve is two round trips to a client 3 ms away, one of them for a new connection,
	// and 4 ms of a node with a fifth of a core: with a reserve some milliseconds smaller, requests
	// with a short target miss it by as much. maxTargetReserve is a tenth of 400 ms: the transfer
	// to the client takes no longer where targets are longer.
	minTargetReserve = 16 * time.Millisecond
	maxTargetReserve = 40 * time.Millisecond
)

// deadline returns when the node stops trying to serve a request: after the client's timeout or the
// route's, whichever is shorter, less deadlineReserve.
func deadline(matched *route.Route, timeout time.Duration, startedAt time.Time) time.Time {
	if matched.Timeout > 0 {
		timeout = min(timeout, matched.Timeout)
	}
	return startedAt.Add(max(timeout-deadlineReserve, time.Millisecond))
}

// target returns when the node answers if it has the required parts; zero on a route without a
// target.
func target(matched *route.Route, startedAt time.Time) time.Time {
	if matched.Target <= 0 {
		return time.Time{}
	}
	reserve := time.Duration(targetReserve * float64(matched.Target))
	reserve = min(max(reserve, minTargetReserve), maxTargetReserve)
	return startedAt.Add(matched.Target - reserve)
}

// assumedTime returns the assumed typical time of a route's requests until it is measured.
func assumedTime(matched *route.Route) time.Duration {
	if matched.Target <= 0 {
		return assumedTimeWithoutTarget
	}
	return time.Duration(assumedTargetShare * float64(matched.Target))
}
