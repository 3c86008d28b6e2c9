package limit

import "time"

// Defaults of Options.
const (
	defaultStartShare  = 0.5
	defaultMaxWait     = 20 * time.Millisecond
	defaultMaxWaiters  = 32
	defaultTolerance   = 2.0
	defaultSlack       = time.Millisecond
	defaultSlots       = 1.0
	defaultConnections = 4
)

// Options configures Servers. The zero value selects defaults suitable for
// production.
type Options struct {
	// StartShare is the initial limit of a new server, as a fraction of the node's
	// share of slots; 0.5 if zero. Good answers raise the limit from there.
	StartShare float64
	// MaxWait bounds the wait in Acquire; 20 ms if zero.
	MaxWait time.Duration
	// MaxWaiters bounds the number of callers waiting for one server; 32 if zero.
	MaxWaiters int
	// Tolerance is the multiple of the low-load latency above which the limit is
	// lowered; 2 if it is 1 or less.
	Tolerance float64
	// Slack is added to the tolerated latency, for servers whose answers take
	// hardly longer than the timers' resolution; 1 ms if zero.
	Slack time.Duration
}

func (o Options) withDefaults() Options {
	if o.StartShare <= 0 {
		o.StartShare = defaultStartShare
	}
	if o.MaxWait <= 0 {
		o.MaxWait = defaultMaxWait
	}
	if o.MaxWaiters <= 0 {
		o.MaxWaiters = defaultMaxWaiters
	}
	if o.Tolerance <= 1 {
		o.Tolerance = defaultTolerance
	}
	if o.Slack <= 0 {
		o.Slack = defaultSlack
	}
	return o
}

// Share is the part of a server that this node may use, given how many nodes
// share the server.
type Share struct {
	// Slots is the node's share of the server's slots. It sets the initial limit
	// and the size of its changes and is not a bound: a node cannot see whether the
	// others use their shares. It may be below 1.
	Slots float64
	// Connections is the maximum number of connections, and so of sub-requests in
	// flight, from this node to the server. It is never exceeded; values below 1
	// count as 1.
	Connections int
}

// unknownShare is used for a server that was not configured.
var unknownShare = Share{Slots: defaultSlots, Connections: defaultConnections}

// Result is how a sub-request ended.
type Result struct {
	// Latency is the time from sending to receiving the complete answer.
	Latency time.Duration
	// Shed means that the server refused the sub-request because of load.
	Shed bool
	// Failed means any other failure attributed to the server, including a time-out.
	Failed bool
	// Cancelled means that the node abandoned the sub-request before it ended; the
	// result then says nothing about the server.
	Cancelled bool
}

// Observation is the state of one server's limiter at one moment.
type Observation struct {
	// InFlight counts sub-requests in flight and waiting callers.
	InFlight int
	// Limit is the number of sub-requests that may be in flight now; at least 1.
	Limit int
	// Latency is the moving average over good answers; zero before the first.
	Latency time.Duration
	// FailureShare is the recent share of failed or shed sub-requests, 0 to 1.
	// It decays with time, so that a server that failed is tried again.
	FailureShare float64
	// Saturated means that a sub-request would have to wait now.
	Saturated bool
}
