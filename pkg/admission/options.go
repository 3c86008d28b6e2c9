package admission

import (
	"time"

	"github.com/bramblemast/bramblemast/pkg/policy"
)

// Defaults of Options.
const (
	defaultStartLimit = 8
	defaultMaxLimit   = 4096
	defaultMaxQueued  = 4096
	defaultTolerance  = 2.0
	defaultSlack      = 2 * time.Millisecond
)

// Options configures a Gate. The zero value is good for production.
type Options struct {
	// StartLimit is the number of requests that run at once at first; 8 if zero.
	StartLimit int
	// MaxLimit bounds the limit, and so the memory of running requests; 4096 if
	// zero.
	MaxLimit int
	// LeastLimit returns below what the limit does not fall, so that slow servers
	// are not starved of requests that they could serve side by side; 1 if nil.
	// It is called under the gate's lock.
	LeastLimit func() int
	// MaxQueued bounds the waiting requests of all tenants; 4096 if zero.
	MaxQueued int
	// Tolerance is how many times as long as at low load requests may take
	// before the limit is lowered; 2 if zero, infinite for never.
	Tolerance float64
	// Slack is added to the tolerated latency; 2 ms if zero.
	Slack time.Duration
}

func (o Options) withDefaults() Options {
	if o.MaxLimit <= 0 {
		o.MaxLimit = defaultMaxLimit
	}
	if o.StartLimit <= 0 {
		o.StartLimit = min(defaultStartLimit, o.MaxLimit)
	}
	if o.MaxQueued <= 0 {
		o.MaxQueued = defaultMaxQueued
	}
	if o.LeastLimit == nil {
		o.LeastLimit = func() int { return 1 }
	}
	if o.Tolerance <= 1 {
		o.Tolerance = defaultTolerance
	}
	if o.Slack <= 0 {
		o.Slack = defaultSlack
	}
	return o
}

// Request is what a Gate needs to know of a request.
type Request struct {
	Tenant string
	// Class orders the waiting requests; an unknown one counts as interactive.
	Class policy.Class
	// Policy decides about the request; the default policy if nil.
	Policy policy.AdmissionPolicy
	// Deadline is when the answer must be on its way; the deadline of the
	// context, if any, if it is zero.
	Deadline time.Time
}

// Result is how an admitted request ended.
type Result struct {
	// Latency is the time from admission to the answer.
	Latency time.Duration
	// Overloaded means that the back ends could not keep up with the request's
	// sub-requests; see Overloaded.
	Overloaded bool
	// Late means that the answer was not whole by its target. It lowers the limit
	// only after an overloaded request, or while many are late: at other times
	// slow servers are the likelier cause.
	Late bool
	// Cancelled means that the caller gave the request up. It says nothing
	// about the load.
	Cancelled bool
}

// overloadedShare is the share of refused sub-requests above which a request
// counts as overloaded.
const overloadedShare = 0.05

// Overloaded is the rule for Result.Overloaded: more than one sub-request in
// twenty was shed by its server or refused for want of a permit, or a part of
// the answer is missing for that reason. A request to many servers nearly
// always meets one that is busy, which alone is no sign of overload.
func Overloaded(sent, refused int, partMissing bool) bool {
	return partMissing && refused > 0 || float64(refused) > overloadedShare*float64(sent+refused)
}

// Observation is the state of a Gate at one moment.
type Observation struct {
	InFlight int
	Queued   int
	// QueuedByClass counts the waiting requests of each class.
	QueuedByClass map[policy.Class]int
	Limit         int
	// DrainRate is the measured rate, per second, at which requests finish
	// while all places are taken; zero if unknown.
	DrainRate float64
	// TypicalService is the average time of a request of all classes; zero if
	// unknown.
	TypicalService time.Duration
}
