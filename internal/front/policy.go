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

// targetReserve is the share of a route's target that is left for what the node does
// not see: the way of the request and of its answer, the opening of a new connection
// before, and its own time. It is bounded by leastTargetReserve and
// greatestTargetReserve.
const targetReserve = 0.1

// Waits that clients are told, and reserves of time.
const (
	// overloadedWait is told at the node's own bound: other nodes have room within
	// a second.
	overloadedWait = time.Second
	// unservableWait is told at least where no server may be asked for a request: a server
	// that returns is listed within one to two heartbeats of 1.2 s, and an evacuation or a
	// bound to regions lasts longer than that.
	unservableWait = time.Second
	// leastRefusal and greatestWait bound what clients are told: one that comes
	// back at once meets the same servers, and the shortest deadline of the users'
	// requests is 2 s.
	leastRefusal = 50 * time.Millisecond
	greatestWait = 2 * time.Second
	// leastRoomWait is the least time for which an overload is taken to last: times to come back
	// are spread over the second half of it. A service that has room again lets everybody in
	// within a second.
	leastRoomWait = time.Second
	// deadlineReserve is left for the final answer at the end of the time: the way
	// to the client and a wake-up of a node with a fifth of a core.
	deadlineReserve = 15 * time.Millisecond
	// assumedTargetShare is the typical time of a kind of request in relation
	// to its target, until it is measured: 20 ms of work and a round trip for a
	// target of 200 ms.
	assumedTargetShare = 0.15
	// defaultDeadline bounds requests that name no time on routes without one.
	defaultDeadline = 30 * time.Second
	// assumedTimeWithoutTarget is the same for a route without a target.
	assumedTimeWithoutTarget = 50 * time.Millisecond
	// assumedRequestsBefore is how many requests are taken to be before one at a server while
	// no server can be asked, so that nothing tells how long it would wait.
	assumedRequestsBefore = 4
	// leastTargetReserve is two round trips to a client 3 ms away, one of them for a new
	// connection, and 4 ms of a node with a fifth of a core: with some milliseconds less, requests
	// with a short target miss it by those. greatestTargetReserve is a tenth of 400 ms: the way to
	// the client takes no longer where targets are longer.
	leastTargetReserve    = 16 * time.Millisecond
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
		return assumedTimeWithoutTarget
	}
	return time.Duration(assumedTargetShare * float64(found.Target))
}
