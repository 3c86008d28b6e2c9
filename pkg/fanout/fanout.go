// Package fanout asks one server of each of several services, hedges and
// retries within a budget, and decides when to stop waiting.
//
// One call of Run is one event loop in the caller's goroutine. Its attempts run
// in goroutines of their own, report to it and share nothing with each other.
package fanout

import (
	"context"
	"time"

	"github.com/bramblemast/bramblemast/pkg/exchange"
	"github.com/bramblemast/bramblemast/pkg/fleet"
	"github.com/bramblemast/bramblemast/pkg/loadshed"
	"github.com/bramblemast/bramblemast/pkg/outcome"
	"github.com/bramblemast/bramblemast/pkg/policy"
	"github.com/bramblemast/bramblemast/pkg/quarantine"
	"github.com/bramblemast/bramblemast/pkg/route"
)

// Plan is what Run is to do for one request.
type Plan struct {
	// Kind is the kind of request, by which typical times are kept.
	Kind string
	// Services are asked once each; their order is that of Result.Parts.
	Services []string
	// Required is how many parts make a successful answer.
	Required int
	// Version is that of the configuration by which the request is served.
	Version uint64
	// Regions returns the regions in which the request may be served now; a change of
	// the configuration binds also a request that is under way. Nil for no bound.
	Regions func() route.Regions
	// Tenant is the name of the caller; empty where callers have no keys.
	Tenant string
	// Priority ranks the request among others; zero is the highest.
	Priority int
	// Repeatable says that a request may run more than once.
	Repeatable bool
	// MaxAttempts is the largest number of servers that may run the request,
	// for each part.
	MaxAttempts int
	// Target is when the answer loses most of its value, as a moment; an
	// answer with the required parts is given then. Zero if there is none.
	Target time.Time
	// Deadline is when the request is given up.
	Deadline time.Time
	// Assumed is the typical time of the kind until one is measured.
	Assumed time.Duration
	// Patience is how long a part waits while no server can be asked.
	MaxServerWait time.Duration
	// Hedge decides when a second server is asked.
	Hedge policy.HedgePolicy
	// Stop may end the wait before the target, once the required parts are in.
	Stop policy.StopRule
	// ExtraShare bounds the extra sub-requests in relation to what the budget
	// allows, 0 to 1.
	ExtraShare float64
	// TopRecords is how many of the greatest records of all parts are of use to a
	// gathered answer.
	TopRecords int
	// Collect is set for a run on behalf of another node; nil for a client's request.
	Collect *Collect
}

// Collect makes a run tell another node of its parts as they come. That node
// decides when the answer is final: the run ends when nothing is missing any more,
// at the deadline, or with its context. It asks one server for each part, and a
// further one once that is granted, since that node may ask servers itself when it
// hears nothing.
type Collect struct {
	// Report takes the answers since the last report by the positions of their
	// services, and the positions of which a further server is wanted. Without either
	// it tells that the run is still under way. An error ends the run.
	Report func(answers map[int]*exchange.Response, wanted []int) error
	// Granted brings positions of which one further server may be asked.
	Granted <-chan []int
	// Lot is the request's lot at the other node; zero to draw one from its id.
	SamplingValue uint64
	// Spared are the positions of services that are left to requests that need them.
	Skipped []int
	// AdmittedShares are, for each service, the part of the requests like this one that the
	// other node took it to have room for; nil for all.
	AdmittedShares []float64
	// Within is the time after which a report is due; before it the answers are kept
	// back, so that most runs send one message.
	ReportInterval time.Duration
}

// Budget pays for sub-requests beyond the first of each part.
type Budget interface {
	// Earn counts the first sub-request of a part.
	Earn(service string, now time.Time)
	// TrySpend takes one extra sub-request; keep is the share of the budget, 0
	// to 1, that is left untouched for more valuable ones.
	TrySpend(service string, keep float64, now time.Time) bool
}

// StopReason says why Run ended.
type StopReason string

// The reasons.
const (
	StopComplete  StopReason = "complete"
	StopTarget    StopReason = "target"
	StopRule      StopReason = "stop_rule"
	StopDeadline  StopReason = "deadline"
	StopExhausted StopReason = "no_server_left"
	// StopOverloaded means that no server has begun to run any part, and that the
	// servers have more to do than they can.
	StopOverloaded StopReason = "not_offered"
	// StopUnservable means that the known servers of too many services may not be asked
	// for the request: they stand in regions to which it is not to go, or in zones that are
	// being evacuated.
	StopUnservable StopReason = "unservable"
	// StopQuarantined means that servers have ended while they had the request, and that it
	// is kept from others.
	StopQuarantined StopReason = "quarantined"
	StopCancelled   StopReason = "cancelled"
)

// Result is what Run has got.
type Result struct {
	// Parts holds a sound answer for each service, or nil.
	Parts []*exchange.Response
	// Failures holds for each part without an answer the last error, or nil.
	Failures []error
	// Refusals holds for each part the last answer that is not a success but
	// was made by a server, or nil.
	Refusals      []*exchange.Response
	AnsweredCount int
	Reason        StopReason
	// Outcome is Completed if any server is known to have run the request,
	// NotRun if none has or will, and Unknown otherwise.
	Outcome outcome.Outcome
	Hedges  int
	Retries int
	Sent    int
	// Shed counts the parts without an answer that a server refused for want of
	// room, or for which no server was free.
	Shed int
	// Denied counts extra sub-requests that the budget did not pay for.
	Denied int
	// Broken counts the sub-requests whose server ended the connection before its answer.
	BrokenConnections int
	// Attempts are the sub-requests of the parts that were not answered by the
	// first server that was asked; at most maxAttemptRecords.
	Attempts []AttemptRecord
	// Asked counts the owners that were asked for parts, and Owners tells of those
	// that did not answer whole at first.
	OwnersAsked  int
	OwnerRecords []OwnerRecord
	// MayRun says of each part without an answer whether a server may have run it.
	MayRun []bool
	// CrashedServers are those that ended while they had the request, if it is kept from
	// others.
	CrashedServers []fleet.Incarnation
	// Admission is the decision by which the request was let in or not.
	Admission loadshed.Decision
	// ShedParts says of each part whether a server refused it for want of room, or none
	// was free.
	ShedParts []bool
}

// AttemptRecord is the story of one sub-request, for logs.
type AttemptRecord struct {
	Service string `json:"service"`
	Server  string `json:"server"`
	Zone    string `json:"zone"`
	// SentMillis is when it was sent, and TookMillis how long it took, until its
	// end or until the request got its final answer.
	SentMillis int64 `json:"sent_ms"`
	TookMillis int64 `json:"took_ms"`
	// Result is "answered", "status N", "pending", or the error.
	Result string `json:"result"`
}

// maxAttemptRecords bounds the sub-requests in a log line.
const maxAttemptRecords = 12

// Runner runs plans.
type Runner struct {
	Fleet   *fleet.Fleet
	Budget  Budget
	Dialect *exchange.Dialect
	// Sound reports whether an answer is a usable part.
	IsUsable func(answer *exchange.Response) bool
	// Linger is for how long an attempt that nobody waits for may go on, so
	// that its connection can be used again.
	Linger time.Duration
	// Owners are the nodes to ask for groups of parts; nil where this node asks all
	// servers itself.
	Owners Owners
	// Quarantine keeps requests from servers that end when they run them; nil for none.
	Quarantine *quarantine.Guard
	// Room is what is known of the room at services; nil to let everything in.
	Admission *AdmissionControl
}

// Room is what a node knows of the room at services.
type AdmissionControl struct {
	// Admitter holds the shares that this node received and measured, Meters measures the services
	// whose servers it asks, and Sampler assigns sampling values to its clients' requests.
	Admitter *loadshed.Admitter
	Meters   *loadshed.Meters
	Sampler  *loadshed.Sampler
}

// NewAdmissionControl returns what a node knows that has measured nothing and was told nothing.
func NewAdmissionControl(queues loadshed.Queues) *AdmissionControl {
	admitter := loadshed.NewAdmitter()
	return &AdmissionControl{Admitter: admitter, Meters: loadshed.NewMeters(queues, admitter), Sampler: &loadshed.Sampler{}}
}

// Sweep forgets what is old. It is called every second or so.
func (r *AdmissionControl) Sweep(now time.Time) {
	r.Admitter.Sweep(now)
	r.Meters.Sweep(now)
}

// Run asks the services of a plan. It returns as soon as the answer is final.
func (r *Runner) Run(ctx context.Context, plan Plan, request *exchange.Request) Result {
	run := newRun(r, plan, request)
	if reason := run.refusalReason(); reason != "" {
		return run.refusedResult(reason)
	}
	run.markSkipped()
	run.askOwners(time.Now())
	for index := range plan.Services {
		if run.parts[index].question == nil {
			run.launchFirst(index, time.Now())
		}
	}
	reason := run.loop(ctx)
	run.abandon(reason)
	return run.result(reason)
}
