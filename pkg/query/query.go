// Package query runs one request over many shards: it pins an index version, divides the key space
// into parts with candidate replicas, fans out, hedges and retries within the extra-load budget,
// decides when to stop, and merges the answers.
//
// The invariants of this package:
//   - all records of an answer come from one index version;
//   - a position of the key space is counted at most once, and Complete is true only if every
//     position is covered;
//   - a not-repeatable request is sent at most once, unless there is evidence that the earlier
//     attempt did not run.
package query

import (
	"time"

	"github.com/bramblemast/bramblemast/pkg/backend"
	"github.com/bramblemast/bramblemast/pkg/keyspace"
	"github.com/bramblemast/bramblemast/pkg/policy"
	"github.com/bramblemast/bramblemast/pkg/target"
	"github.com/bramblemast/bramblemast/pkg/template"
)

// Request is one request of a caller, after admission.
type Request struct {
	ID       string
	Template *template.Template
	// Arm is the experiment arm that the request belongs to.
	Arm string
	// Policies are the policies of that arm.
	Policies policy.Set
	Query    string
	// Key, if set, narrows the request to the one part that contains the key. It must be set for a
	// not-repeatable request.
	Key string
	// Limit is the maximum number of records wanted; zero or less means all.
	Limit int
	// Deadline is when the answer must be on its way to the caller.
	Deadline time.Time
	// Payload and IdempotencyKey are set for not-repeatable requests.
	Payload        []byte
	IdempotencyKey string
}

// Answer is the merged result of a request.
type Answer struct {
	// Version is the one index version that all parts of the answer come from.
	Version target.Version
	// Records are the records with the highest scores, highest first, ties by key.
	Records []backend.Record
	// Matches and ScoreSum are totals over the covered ranges.
	Matches    uint64
	ScoreSum   int64
	Coverage   Coverage
	StopReason policy.StopReason
	ExtraLoad  ExtraLoad
	// Restarts is how often the query restarted on a newer version.
	Restarts int
	Elapsed  time.Duration
}

// Coverage is how much of the requested range an answer covers.
type Coverage struct {
	// Requested is the range of the request: the whole key space, or the one part that contains
	// the request's key. The stored answers of claims carry it under its older name, Asked, and
	// nodes of several builds read them.
	Requested keyspace.Range `json:"Asked"`
	// CoveredWidth counts the covered positions, each once.
	CoveredWidth uint32
	// Missing lists the uncovered ranges in ascending order.
	Missing []keyspace.Range
	// PartsCovered and PartsTotal count the covered parts and all parts of the pinned layout.
	PartsCovered int
	PartsTotal   int
}

// Complete reports whether every requested position is covered.
func (c Coverage) Complete() bool {
	return c.CoveredWidth == c.Requested.Width() && len(c.Missing) == 0
}

// Share returns the covered share of the requested range, 0 to 1.
func (c Coverage) Share() float64 {
	if c.Requested.Width() == 0 {
		return 0
	}
	return float64(c.CoveredWidth) / float64(c.Requested.Width())
}

// ExtraLoad counts the sub-requests that a request caused.
type ExtraLoad struct {
	// Primary counts the first sub-requests for the parts. After a restart on a newer version
	// these count as retries.
	Primary int
	Hedges  int
	Retries int
	// NotRun counts those of the sub-requests above that back ends refused before execution.
	NotRun int
	// Refused counts the sub-requests that were refused because of load: shed by a server, or
	// denied a permit by this node's limits.
	Refused int
}

// Ratio returns the number of extra sub-requests per primary sub-request.
func (e ExtraLoad) Ratio() float64 {
	if e.Primary == 0 {
		return 0
	}
	return float64(e.Hedges+e.Retries) / float64(e.Primary)
}

// Partial is an intermediate state of an answer, for callers that stream.
type Partial struct {
	// Restarted is true on the first partial after the query restarted on a newer version. It
	// invalidates all earlier partials.
	Restarted bool
	Version   target.Version
	Records   []backend.Record
	Coverage  Coverage
}

// PartialFunc receives the partials of an answer, one at a time and in order. All partials and the
// final answer of one request have the same version, unless the query restarts on a newer version;
// Partial.Restarted marks the first partial after that. The function runs on the query's event loop
// and must return quickly. It owns the slices of the partial.
type PartialFunc func(partial Partial)
