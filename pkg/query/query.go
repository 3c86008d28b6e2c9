// Package query runs one request over many shards: it pins an index version,
// plans which replica to ask for each part of the key space, fans out, hedges
// and retries within the extra-load budget, decides when to stop, and merges.
//
// The invariants of this package:
//   - every record of an answer is drawn from one index version;
//   - a position of the key space is counted at most once, and Complete is
//     true only if every position is covered;
//   - a not-repeatable request is sent at most once, unless there is evidence
//     that the earlier attempt did not run.
package query

import (
	"time"

	"github.com/bramblemast/bramblemast/pkg/backend"
	"github.com/bramblemast/bramblemast/pkg/keyspace"
	"github.com/bramblemast/bramblemast/pkg/policy"
	"github.com/bramblemast/bramblemast/pkg/target"
	"github.com/bramblemast/bramblemast/pkg/template"
)

// Request is one admitted request of a caller.
type Request struct {
	ID       string
	Template *template.Template
	// Arm is the experiment arm that the request belongs to.
	Arm string
	// Policies are the policies of that arm.
	Policies policy.Set
	Query    string
	// Key, if set, narrows the request to the one part that holds the key. It
	// is always set for a not-repeatable request.
	Key string
	// Limit is the greatest number of records wanted.
	Limit int
	// Deadline is the moment at which the answer must be on its way.
	Deadline time.Time
	// Payload and IdempotencyKey are set for not-repeatable requests.
	Payload        []byte
	IdempotencyKey string
}

// Answer is the merged result of a request.
type Answer struct {
	// Version is the one index version that the answer was drawn from.
	Version target.Version
	// Records are the best rows by score, highest first, ties by key.
	Records []backend.Record
	// Matches and ScoreSum are totals over the covered part.
	Matches    uint64
	ScoreSum   int64
	Coverage   Coverage
	StopReason policy.StopReason
	ExtraLoad  ExtraLoad
	// Restarts is how often the query started anew on a newer version.
	Restarts int
	Elapsed  time.Duration
}

// Coverage states which part of the asked key space an answer covers.
type Coverage struct {
	// Requested is the range that the request covers: the whole key space, or
	// the one part that holds its key.
	Requested keyspace.Range
	// CoveredWidth counts the covered positions, each once.
	CoveredWidth uint32
	// Missing lists the uncovered ranges in ascending order.
	Missing []keyspace.Range
	// PartsCovered and PartsTotal count the parts of the pinned layout.
	PartsCovered int
	PartsTotal   int
}

// Complete reports whether every asked position is covered.
func (c Coverage) Complete() bool {
	return c.CoveredWidth == c.Requested.Width() && len(c.Missing) == 0
}

// Share returns the covered share of the asked range, 0 to 1.
func (c Coverage) Share() float64 {
	if c.Requested.Width() == 0 {
		return 0
	}
	return float64(c.CoveredWidth) / float64(c.Requested.Width())
}

// ExtraLoad counts the sub-requests that a request caused.
type ExtraLoad struct {
	// Primary counts the first sub-request for each part.
	Primary int
	Hedges  int
	Retries int
	// NotRun counts sub-requests, of those above, that back ends refused
	// before execution.
	NotRun int
	// Refused counts sub-requests that were refused for load: shed by a server,
	// or given no permit by this node's limits.
	Refused int
}

// Ratio returns the extra sub-requests for each primary one.
func (e ExtraLoad) Ratio() float64 {
	if e.Primary == 0 {
		return 0
	}
	return float64(e.Hedges+e.Retries) / float64(e.Primary)
}

// Partial is an early state of an answer, for callers that stream.
type Partial struct {
	// Restarted is true on the first partial after the query started anew on a
	// newer version: what earlier partials said is void.
	Restarted bool
	Version   target.Version
	Records   []backend.Record
	Coverage  Coverage
}

// PartialFunc receives early states of an answer, one at a time and in order.
// All partials and the final answer of one request carry the same version,
// except after a restart on a newer version, which Restarted announces. The
// function runs on the query's event loop and must return quickly; it owns the
// slices of the partial.
type PartialFunc func(partial Partial)
