// Package quota holds tenants to limits of rate and burst that all nodes keep together.
//
// No request waits for a message. A node admits at once and reports afterwards to the tenant's
// coordinator, a node chosen by rendezvous hashing. The coordinator sums up the reports of all
// nodes and answers with a Verdict: the share of the tenant's requests to admit, which is 1 while
// the sum is within the limit. Each node admits that share of the requests, chosen by a hash of
// tenant, request id and time, so that no part of the limit lies unused at a node that gets no
// requests. While the first coordinator of a tenant does not answer, the next by rank stands in
// for it. A node that reaches none of them admits by itself at its entitlement, the rate that it
// admitted lately and an equal part of what nobody used; the entitlements of all nodes together
// are the limit.
//
// Meter (a node's view of one tenant) and Account (a coordinator's) decide as pure functions
// of their state and a moment; they are not safe for concurrent use. Limiter exchanges their
// reports and verdicts between nodes and is safe for concurrent use.
package quota

import (
	"time"

	"github.com/bramblemast/bramblemast/pkg/route"
)

// Bounds is how far the requests of a tenant, over all nodes, may go beyond its limit: in any
// Window they are at most (rate x Window + burst) x (1 + Overshoot) + Slack. Overshoot is a ratio,
// Slack a number of requests.
type Bounds struct {
	Window    time.Duration
	Overshoot float64
	Slack     float64
}

// room returns the number of requests by which a window may exceed rate x Window + burst.
func (b Bounds) tolerance(limit route.RateLimit) float64 {
	return (limit.PerSecond*b.Window.Seconds()+limit.Burst)*b.Overshoot + b.Slack
}

// isolatedAllowance returns the number of requests that each of some nodes, all alone, may admit in a
// window beside its entitlement: its equal part of the burst and the room, less what one node
// may have admitted that no coordinator has counted, and the rate until nodes know that they are
// cut off.
func (b Bounds) isolatedAllowance(limit route.RateLimit, nodes int) float64 {
	remaining := limit.Burst + b.tolerance(limit) - maxUnacknowledged(limit) - limit.PerSecond*contactInterval.Seconds()
	return max(0, remaining) / float64(max(1, nodes))
}

// maxUnacknowledged returns the number of requests that a node admits at most before a
// coordinator has counted them.
func maxUnacknowledged(limit route.RateLimit) float64 {
	return 1 + unacknowledgedFraction*(limit.Burst+limit.PerSecond)
}

// Use is what a node has had of one tenant since its process started.
type Usage struct {
	// Start names this run of the node's process.
	Incarnation uint64
	// Asked and Admitted count since then.
	Requests uint64
	Admitted int64
	// NewRequests and NewAdmitted are the part of them that no coordinator has acknowledged and
	// that the node did not admit by its own entitlement. In the first window after its process started
	// NewAdmitted is all of Admitted: each coordinator counts what is new to it.
	NewRequests uint64
	NewAdmitted int64
	// Recent is the rate that the node admitted lately, Entitled the one that it may admit
	// while it is out of touch; in requests a second.
	RecentRate   float64
	EntitledRate float64
	// Share is the share that the node was told last, by which it admits now.
	Share float64
}

// Verdict is how much of a tenant's requests every node may admit.
type Verdict struct {
	// Share is the part of the requests that are admitted, 0 to 1.
	Share float64
	// Spare is the rate that each node may admit beside its recent one if it loses touch;
	// it counts only if IsFirst is set.
	ExtraRate float64
	// IsFirst says that the verdict is of the tenant's first coordinator, which sees the
	// nodes of the whole deployment.
	IsFirst bool
	// Wait is when the tenant's next request is expected to be within its limit.
	Wait time.Duration
}
