// Package fanout sends a request to one server of each of several services, hedges and retries
// within a budget, and decides when to stop waiting.
//
// Each call of Run is one event loop in the caller's goroutine. Its attempts run in their own
// goroutines, report to the loop and share no state with each other.
package fanout

import (
	"context"
	"time"

	"github.com/bramblemast/bramblemast/pkg/bytebudget"
	"github.com/bramblemast/bramblemast/pkg/exchange"
	"github.com/bramblemast/bramblemast/pkg/fleet"
	"github.com/bramblemast/bramblemast/pkg/loadshed"
	"github.com/bramblemast/bramblemast/pkg/outcome"
	"github.com/bramblemast/bramblemast/pkg/policy"
	"github.com/bramblemast/bramblemast/pkg/quarantine"
	"github.com/bramblemast/bramblemast/pkg/route"
)

// Plan describes how Run handles one request.
type Plan struct {
	// Kind is the kind of request, the key of the measured service times.
	Kind string
	// Services get one sub-request each at first; their order is that of Result.Parts.
	Services []string
	// Required is the minimum number of answered parts of a successful answer.
	Required int
	// Version is the version of the configuration that the request is served under.
	Version uint64
	// Regions returns the regions in which the request may be served now. It is called again for
	// each decision, since a change of the configuration also binds requests in flight. Nil means
	// no restriction.
	Regions func() route.Regions
	// Tenant is the name of the caller; empty where callers have no keys.
	Tenant string
	// Priority ranks the request; zero is the highest.
	Priority int
	// Repeatable says that the request may be executed more than once.
	Repeatable bool
	// MaxAttempts is the maximum number of servers that may execute the request, for each part.
	MaxAttempts int
	// Target is the time after which the answer loses most of its value; an answer that has the
	// required parts is returned at this time. Zero means no target.
	Target time.Time
	// Deadline is the time at which the request is abandoned.
	Deadline time.Time
	// Assumed is the typical service time of the kind until one has been measured.
	Assumed time.Duration
	// MaxServerWait is the maximum time that a part waits while none of its servers can take it.
	MaxServerWait time.Duration
	// Hedge decides when a further server is sent the request.
	Hedge policy.HedgePolicy
	// Stop may end the wait before the target, once the required parts have been answered.
	Stop policy.StopRule
	// ExtraShare is the share of the budget that the request may use for extra sub-requests, 0 to
	// 1.
	ExtraShare float64
	// TopRecords is the number of top records, over all parts, that a gathered answer can use.
	TopRecords int
	// Collect is set for a run on behalf of another node; nil for a client's request.
	Collect *Collect
}

// Collect makes a run report the answers of its parts to another node as they arrive. That node
// decides when the answer is final; this run ends when no part is missing, at the deadline, or with
// its context. It sends each part to one server, and to a further one only after a grant, since the
// other node may query servers itself when reports are overdue.
type Collect struct {
	// Report sends the answers since the last report, by the positions of their services, and the
	// positions that need a further server. A report without either says that the run is still in
	// progress. An error ends the run.
	Report func(answers map[int]*exchange.Response, wanted []int) error
	// Granted delivers the positions for which one further server may be used.
	Granted <-chan []int
	// SamplingValue is the request's sampling value at the other node; zero to derive it from the
	// request id.
	SamplingValue uint64
	// Skipped holds the positions of limited services that the request leaves to requests that need
	// them.
	Skipped []int
	// AdmittedShares holds, for each service, the share of requests like this one that the other
	// node estimated the service can take; nil means all.
	AdmittedShares []float64
	// ReportInterval is the time after which a report is due. Answers before the first report are
	// held until then, so that most runs send one message.
	ReportInterval time.Duration
}

// Budget limits the sub-requests beyond the first of each part.
type Budget interface {
	// Earn counts the first sub-request of a part.
	Earn(service string, now time.Time)
	// TrySpend takes one extra sub-request and reports whether the budget allows it. reserve is the
	// share of the budget, 0 to 1, that is left for more valuable sub-requests.
	TrySpend(service string, reserve float64, now time.Time) bool
}

// StopReason is the reason why Run ended.
type StopReason string

// The reasons.
const (
	StopComplete  StopReason = "complete"
	StopTarget    StopReason = "target"
	StopRule      StopReason = "stop_rule"
	StopDeadline  StopReason = "deadline"
	StopExhausted StopReason = "no_server_left"
	// StopOverloaded means that no server has started to execute any part, and that the servers are
	// overloaded.
	StopOverloaded StopReason = "not_offered"
	// StopUnservable means that for too many services none of the known servers may be used for the
	// request: they are in regions that it is not allowed in, or in zones that are being evacuated.
	StopUnservable StopReason = "unservable"
	// StopQuarantined means that servers crashed while they had the request, and that it is not
	// sent to further ones.
	StopQuarantined StopReason = "quarantined"
	StopCancelled   StopReason = "cancelled"
	// StopDraining means that the node stops as planned and could not finish the request.
	StopDraining StopReason = "draining"
)

// Result is the outcome of Run. Release must be called when its answers are no longer needed.
type Result struct {
	// Parts holds a usable answer for each service, or nil.
	Parts []*exchange.Response
	// Failures holds the last error of each part without an answer, or nil.
	Failures []error
	// Refusals holds for each part the last answer of a server that was not a success, or nil.
	Refusals      []*exchange.Response
	AnsweredCount int
	Reason        StopReason
	// Outcome is Completed if a server is known to have executed the request, NotRun if none has or
	// will, and Unknown otherwise.
	Outcome outcome.Outcome
	Hedges  int
	Retries int
	Sent    int
	// Shed counts the parts without an answer that a server refused for lack of capacity, or for
	// which no server was free.
	Shed int
	// Denied counts the extra sub-requests that the budget did not allow.
	Denied int
	// BrokenConnections counts the sub-requests whose server closed the connection before its
	// answer.
	BrokenConnections int
	// Attempts records the sub-requests of the parts that were not answered by the first server; at
	// most maxAttemptRecords.
	Attempts []AttemptRecord
	// OwnersAsked counts the questions to owners. OwnerRecords describes those without a complete
	// answer in time.
	OwnersAsked  int
	OwnerRecords []OwnerRecord
	// MayRun reports for each part whether a server may have executed it.
	MayRun []bool
	// CrashedServers are the servers that crashed while they had the request, if the request is
	// withheld from others.
	CrashedServers []fleet.Incarnation
	// Admission is the admission decision about the request.
	Admission loadshed.Decision
	// ShedParts reports for each part whether a server refused it for lack of capacity, or none was
	// free.
	ShedParts []bool
}

// AttemptRecord describes one sub-request in logs.
type AttemptRecord struct {
	Service string `json:"service"`
	Server  string `json:"server"`
	Zone    string `json:"zone"`
	// SentMillis is the time from the start of the request until the sub-request was sent.
	// TookMillis is its duration, until it ended or the request got its final answer.
	SentMillis int64 `json:"sent_ms"`
	TookMillis int64 `json:"took_ms"`
	// Result is "answered", "status N", "pending", or the error.
	Result string `json:"result"`
}

// maxAttemptRecords is the maximum number of sub-requests in a log line.
const maxAttemptRecords = 12

// Runner runs plans. It is safe for concurrent use.
type Runner struct {
	Fleet   *fleet.Fleet
	Budget  Budget
	Dialect *exchange.Dialect
	// IsUsable reports whether an answer can be used as a part.
	IsUsable func(answer *exchange.Response) bool
	// Linger is how long an attempt whose answer is no longer needed may continue, so that its
	// connection can be reused.
	Linger time.Duration
	// Owners are the nodes that query groups of services for this one; nil if this node queries all
	// servers itself.
	Owners Owners
	// Quarantine withholds requests that crash servers; nil for none.
	Quarantine *quarantine.Guard
	// Admission decides which requests are admitted; nil to admit everything.
	Admission *AdmissionControl
	// Drain ends requests when the node stops; nil if it never does.
	Drain *Drain
	// Memory bounds the memory of servers' answers; nil for no bound.
	Memory *bytebudget.Budget
}

// AdmissionControl is what a node knows about the load on services and the share of requests that
// they can take.
type AdmissionControl struct {
	// Admitter holds the shares that this node received and measured, Meters measures the services
	// whose servers it queries, and Sampler assigns sampling values to its clients' requests.
	Admitter *loadshed.Admitter
	Meters   *loadshed.Meters
	Sampler  *loadshed.Sampler
}

// NewAdmissionControl returns the admission control of a node that has neither measured nor
// received any shares.
func NewAdmissionControl(queues loadshed.Queues) *AdmissionControl {
	admitter := loadshed.NewAdmitter()
	return &AdmissionControl{Admitter: admitter, Meters: loadshed.NewMeters(queues, admitter), Sampler: &loadshed.Sampler{}}
}

// Sweep removes expired entries. It is called about once a second.
func (r *AdmissionControl) Sweep(now time.Time) {
	r.Admitter.Sweep(now)
	r.Meters.Sweep(now)
}

// Run sends the request to the services of the plan and returns as soon as the answer is final. If
// the context ends, it returns StopCancelled.
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
