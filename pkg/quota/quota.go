// Package quota enforces rate and burst limits of tenants across all nodes of a deployment.
//
// Requests never wait for a message. A node decides at once and reports afterwards to the tenant's
// coordinator, a node chosen by rendezvous hashing. The coordinator adds up the reports of all
// nodes and answers with a Verdict: the share of the tenant's requests to admit, which is 1 while
// the sum is within the limit. Each node admits that share of its requests, chosen by a hash of
// tenant, request ID and time. Because the share applies to requests and not to nodes, no part of
// the limit is unused at a node that receives no requests.
//
// While the first coordinator of a tenant does not answer, the next one by rank stands in for it. A
// node that reaches no coordinator is isolated and admits requests up to its entitlement: the rate
// that it admitted recently plus an equal part of the unused limit. The entitlements of all nodes
// add up to the limit.
//
// Meter (a node's state of one tenant) and Account (a coordinator's state of one tenant) decide
// from their state and the given time only; they are not safe for concurrent use. Limiter exchanges
// their reports and verdicts between nodes and is safe for concurrent use.
package quota

import (
	"time"

	"github.com/bramblemast/bramblemast/pkg/route"
)

// Bounds limits how far the requests of a tenant, over all nodes, may exceed its limit: any Window
// contains at most (rate x Window + burst) x (1 + Overshoot) + Slack requests. Overshoot is a
// ratio, Slack a number of requests.
type Bounds struct {
	Window    time.Duration
	Overshoot float64
	Slack     float64
}

// tolerance returns the number of requests by which a window may exceed rate x Window + burst.
func (b Bounds) tolerance(limit route.RateLimit) float64 {
	return (limit.PerSecond*b.Window.Seconds()+limit.Burst)*b.Overshoot + b.Slack
}

// isolatedAllowance returns the number of requests that each node may admit in a window in addition
// to its entitlement if all nodes are isolated: an equal part of the burst and the tolerance, less
// what one node may have admitted without a coordinator counting it, and less what the rate admits
// until nodes detect that they are isolated.
func (b Bounds) isolatedAllowance(limit route.RateLimit, nodes int) float64 {
	remaining := limit.Burst + b.tolerance(limit) - maxUnacknowledged(limit) - limit.PerSecond*contactInterval.Seconds()
	return max(0, remaining) / float64(max(1, nodes))
}

// maxUnacknowledged returns the maximum number of requests that a node admits before a coordinator
// has counted them.
func maxUnacknowledged(limit route.RateLimit) float64 {
	return 1 + unacknowledgedFraction*(limit.Burst+limit.PerSecond)
}

// Usage is what a node received and admitted of one tenant since its process started.
type Usage struct {
	// Incarnation identifies this run of the node's process.
	Incarnation uint64
	// Requests and Admitted count requests since the process started.
	Requests uint64
	Admitted int64
	// NewRequests and NewAdmitted are the part of those counts that no coordinator has acknowledged
	// and that the node did not admit by its own entitlement. In the first window after the process
	// started NewAdmitted equals Admitted, since coordinators may change and each one counts what
	// is new to it.
	NewRequests uint64
	NewAdmitted int64
	// RecentRate is the rate that the node admitted recently, EntitledRate the rate that it may
	// admit while it is isolated; both in requests a second.
	RecentRate   float64
	EntitledRate float64
	// Share is the share that the node received last and currently applies.
	Share float64
}

// Verdict tells every node how much of a tenant's requests it may admit.
type Verdict struct {
	// Share is the part of the requests to admit, 0 to 1.
	Share float64
	// ExtraRate is the rate, in requests a second, that each node may admit in addition to its
	// recent rate if it becomes isolated. It is valid only if IsFirst is set.
	ExtraRate float64
	// IsFirst is set in verdicts of the tenant's first coordinator, which sees the nodes of the
	// whole deployment.
	IsFirst bool
	// Wait is the time until the tenant's next request is expected to be within its limit.
	Wait time.Duration
}
