// Package policy defines the decisions of the query tier that operators can
// select by name in a template: which replica to send to, when to send a hedge, when to stop
// waiting, whether to admit a request, and whether to retry.
//
// A policy is a pure function of an observed state: it starts no goroutine,
// reads no clock and keeps no state between calls, so the same code runs in a
// node, in a simulation and under a fuzzer. Policies are safe for concurrent
// use. The registries in this package build a policy from its specification;
// see Set.
package policy

import (
	"math/rand/v2"
	"time"

	"github.com/bramblemast/bramblemast/pkg/outcome"
	"github.com/bramblemast/bramblemast/pkg/target"
)

// ReplicaState is what a node knows about one replica when it chooses.
type ReplicaState struct {
	Server target.ServerID
	// ZoneDistance is 0 in the node's own zone, 1 in its region, 2 elsewhere.
	ZoneDistance int
	// InFlight is the number of sub-requests that this node has in flight to the server.
	InFlight int
	// Limit is the number of sub-requests that this node may currently have in flight to the
	// server; at least 1.
	Limit int
	// Latency is the moving average of the latency of the server's answers to this node; zero
	// before the first answer.
	Latency time.Duration
	// FailureShare is the recent share of failed or shed sub-requests, 0 to 1.
	FailureShare float64
	// Weight is the share of normal traffic that the server should get, above
	// 0 and at most 1; below 1 while it warms up after a start.
	Weight float64
	// ReportedLoad is the share of slots in use that the server last reported; negative if unknown.
	// It lags and may mislead.
	ReportedLoad float64
}

// ReplicaChooser picks the replica that a sub-request is sent to.
type ReplicaChooser interface {
	// Choose returns an index into candidates, or -1 if candidates is empty.
	Choose(candidates []ReplicaState, random *rand.Rand) int
}

// HedgeObservation is what is known when a sub-request has just been sent.
type HedgeObservation struct {
	// Quantile returns a quantile (0 to 1) of the recent latency of the
	// service's sub-requests; zero while too few have been observed.
	Quantile func(quantile float64) time.Duration
	// Remaining is the time until the query's deadline.
	Remaining time.Duration
	// Useful is the time until an answer loses most of its value; zero if it keeps its
	// value until the deadline.
	UsefulRemaining time.Duration
	// Typical is the mean service time of the server, and Network is the additional time within
	// which its answers usually arrive; zero if unknown.
	Typical time.Duration
	Network time.Duration
	// Alternative is the expected time of the server that a hedge would go to, including network
	// time and a new connection if one is needed; zero if unknown.
	Alternative time.Duration
}

// HedgePolicy decides how long to wait for a sub-request before sending a hedge for the same part to
// a second replica.
type HedgePolicy interface {
	// Delay returns the time to wait, and false if no hedge should be sent.
	Delay(observed HedgeObservation) (time.Duration, bool)
}

// StopReason says why a query stopped waiting.
type StopReason string

// The reasons to stop waiting.
const (
	StopAllParts     StopReason = "all_parts"
	StopCoverage     StopReason = "coverage_reached"
	StopFirstResults StopReason = "first_results"
	StopDeadline     StopReason = "deadline"
	// StopExhausted means that no replica is left to send the missing parts to.
	StopExhausted StopReason = "no_replica_left"
)

// Progress is the state of a query while it waits for sub-responses.
type Progress struct {
	// CoveredWidth and TotalWidth count key-space positions.
	CoveredWidth uint32
	TotalWidth   uint32
	// Records is the number of merged records so far.
	Records int
	// Outstanding is the number of sub-requests that are still running.
	Outstanding int
	Elapsed     time.Duration
	// Remaining is the time until the query's deadline; zero or less after it.
	Remaining time.Duration
	// SinceCoverage is the time since the covered share first reached the
	// rule's target share; zero before that. See StopRule.TargetShare.
	SinceCoverage time.Duration
}

// Share returns the covered share of the key space, 0 to 1.
func (p Progress) Share() float64 {
	if p.TotalWidth == 0 {
		return 0
	}
	return float64(p.CoveredWidth) / float64(p.TotalWidth)
}

// StopDecision is the result of a StopRule.
type StopDecision struct {
	Stop   bool
	Reason StopReason
	// Recheck is the time after which to call Decide again if no event happens first; zero means
	// only on the next event.
	Recheck time.Duration
}

// StopRule decides when a query stops waiting. The executor itself stops at the deadline and when
// every part is covered, whatever the rule decides.
type StopRule interface {
	Decide(progress Progress) StopDecision
	// TargetShare returns the coverage from which Progress.SinceCoverage is measured.
	TargetShare() float64
}

// Class is the traffic class of a request. It determines the admission priority.
type Class string

// The classes, from the one that is shed last to the one that is shed first.
const (
	ClassTicker      Class = "ticker"
	ClassInteractive Class = "interactive"
	ClassArchive     Class = "archive"
)

// AdmissionState is the state of one admission gate when a request arrives.
type AdmissionState struct {
	Class Class
	// InFlight counts admitted requests, Queued the waiting ones.
	InFlight int
	Queued   int
	// QueuedAhead counts the waiting requests that would be served before this one.
	QueuedAhead int
	// QueuedSameClass counts the waiting requests of the same tenant and class that arrived before
	// this one.
	QueuedSameClass int
	// BacklogAge is how long requests of the class have been waiting without a
	// lasting pause. A burst passes soon; overload does not.
	BacklogAge time.Duration
	// Limit is the number of requests that the gate currently runs concurrently.
	Limit int
	// DrainRate is the measured rate of finished requests per second; zero if
	// unknown.
	DrainRate float64
	// Remaining is the time until the request's deadline.
	Remaining time.Duration
	// TypicalService is the average time that an admitted request of the same
	// tenant and class takes; zero if unknown.
	TypicalService time.Duration
	// SlowService is the time below which about nine in ten of those requests finish; zero if
	// unknown.
	SlowService time.Duration
}

// Verdict is the result of an AdmissionPolicy.
type Verdict int

// The verdicts.
const (
	Admit Verdict = iota
	Queue
	Refuse
)

// AdmissionDecision is a verdict and, for a refusal, the time after which to retry.
type AdmissionDecision struct {
	Verdict    Verdict
	RetryAfter time.Duration
}

// AdmissionPolicy decides whether a request runs, waits or is refused.
type AdmissionPolicy interface {
	Decide(state AdmissionState) AdmissionDecision
}

// RetryState is the state of one part of a query after a failed sub-request.
type RetryState struct {
	// Attempts is the number of sub-requests sent for the part, hedges included.
	Attempts int
	Outcome  outcome.Outcome
	Reason   outcome.Reason
	// Remaining is the time until the query's deadline.
	Remaining time.Duration
	// TypicalLatency is the median latency of the service's sub-requests;
	// zero if unknown.
	TypicalLatency time.Duration
}

// RetryDecision states whether to retry at another replica, and after which delay. The retry is
// still subject to the extra-load budget.
type RetryDecision struct {
	Retry bool
	Delay time.Duration
}

// RetryPolicy decides about retries of repeatable sub-requests. The executor alone enforces the rule
// that a not-repeatable request is sent again only after evidence that it did not run.
type RetryPolicy interface {
	Decide(state RetryState) RetryDecision
}
