// Package oracle checks every answer that the lab gets against the right one:
// the records and totals of one snapshot over exactly the covered positions,
// the coverage arithmetic, the identity of the request, and, from the execution
// logs of the back ends, that nothing ran more often than it may.
//
// An Oracle is safe for concurrent use.
package oracle

import (
	"fmt"
	"sync"

	"github.com/bramblemast/bramblemast/internal/lab/dataset"
	"github.com/bramblemast/bramblemast/internal/lab/load"
	"github.com/bramblemast/bramblemast/pkg/template"
)

// maxKept bounds the violations that are kept; all are counted.
const maxKept = 200

// Kind is what a violation breaks.
type Kind string

// The kinds of violation.
const (
	// KindWrongRequest is an answer that belongs to another request.
	KindWrongRequest Kind = "wrong_request"
	// KindMixedSnapshot is a record of another index version than stated.
	KindMixedSnapshot Kind = "mixed_snapshot"
	// KindDoubleCount is a record or a position that is counted twice.
	KindDoubleCount Kind = "double_count"
	// KindWrongRecords is a record that is wrong, missing or out of order.
	KindWrongRecords Kind = "wrong_records"
	// KindWrongTotals is a total that does not belong to the covered part.
	KindWrongTotals Kind = "wrong_totals"
	// KindFalseComplete is a claim of completeness with a part missing.
	KindFalseComplete Kind = "false_complete"
	// KindCoverage is a coverage whose figures contradict each other.
	KindCoverage Kind = "coverage_arithmetic"
	// KindBelowMinimum is an answer below the template's minimum coverage.
	KindBelowMinimum Kind = "below_minimum_coverage"
	// KindExtraLoad is an extra load whose figures contradict each other.
	KindExtraLoad Kind = "extra_load_arithmetic"
	// KindHedgedOnce is a hedge of a not-repeatable request.
	KindHedgedOnce Kind = "hedged_not_repeatable"
	// KindOutcome is an outcome that contradicts the kind of message.
	KindOutcome Kind = "wrong_outcome"
	// KindRanTwice is a not-repeatable request that ran more than once.
	KindRanTwice Kind = "ran_more_than_once"
	// KindRanAnyway is a request that ran although its caller was told not.
	KindRanAnyway Kind = "ran_though_not_run"
	// KindNeverRan is a completed not-repeatable request without an execution.
	KindNeverRan Kind = "completed_without_execution"
)

// Violation is one broken promise.
type Violation struct {
	Kind      Kind   `json:"kind"`
	RequestID string `json:"request_id"`
	Template  string `json:"template"`
	// Node is the node that answered, Snapshot the version that it stated.
	Node     string `json:"node,omitempty"`
	Snapshot uint64 `json:"snapshot,omitempty"`
	// Cause says what was wanted, what came, and what explains it.
	Cause string `json:"cause"`
}

// String formats the violation for logs.
func (v Violation) String() string {
	return fmt.Sprintf("%s: request %s of %s at node %s: %s", v.Kind, v.RequestID, v.Template, v.Node, v.Cause)
}

// Expectation is what the oracle knows of one template.
type Expectation struct {
	Dataset *dataset.Dataset
	// Limit is the template's greatest number of records; no bound if zero.
	Limit           int
	MinimumCoverage float64
	NotRepeatable   bool
}

// Findings is what an Oracle checked and found.
type Findings struct {
	// Answers, Partials and Problems count what was checked.
	Answers  int64 `json:"answers"`
	Partials int64 `json:"partials"`
	Problems int64 `json:"problems"`
	// Unchecked counts answers of templates without an Expectation.
	Unchecked int64 `json:"unchecked"`
	// Count is the number of all violations; Violations holds the first ones.
	Count      int64          `json:"count"`
	Kinds      map[Kind]int64 `json:"kinds,omitempty"`
	Violations []Violation    `json:"violations,omitempty"`
}

// Oracle checks exchanges. It implements load.Observer.
type Oracle struct {
	expectations map[template.Key]Expectation
	evaluations  evaluations
	history      history

	// mutex guards findings.
	mutex    sync.Mutex
	findings Findings
}

// New makes an oracle for the given templates.
func New(expectations map[template.Key]Expectation) *Oracle {
	return &Oracle{
		expectations: expectations,
		evaluations:  evaluations{results: make(map[evaluationKey]dataset.Result)},
		history:      history{keys: make(map[string]*keyHistory), requests: make(map[string]requestRecord)},
		findings:     Findings{Kinds: make(map[Kind]int64)},
	}
}

// Observe implements load.Observer.
func (o *Oracle) Observe(exchange *load.Exchange) {
	o.history.add(exchange)
	check := &check{exchange: exchange, evaluations: &o.evaluations}
	expectation, known := o.expectations[keyOf(exchange)]
	if known {
		check.expectation = expectation
		check.all()
	}
	o.count(exchange, known)
	o.add(check.found)
}

func keyOf(exchange *load.Exchange) template.Key {
	return template.Key{Tenant: exchange.Request.Load.Tenant, Name: exchange.Request.Load.Template}
}

func (o *Oracle) count(exchange *load.Exchange, known bool) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	switch {
	case !known:
		o.findings.Unchecked++
	case exchange.Answer != nil:
		o.findings.Answers++
	case exchange.Problem != nil:
		o.findings.Problems++
	}
	if known {
		o.findings.Partials += int64(len(exchange.Events))
	}
}

func (o *Oracle) add(found []Violation) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	for _, violation := range found {
		o.findings.Count++
		o.findings.Kinds[violation.Kind]++
		if len(o.findings.Violations) < maxKept {
			o.findings.Violations = append(o.findings.Violations, violation)
		}
	}
}

// Findings returns a copy of what was found so far.
func (o *Oracle) Findings() Findings {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	findings := o.findings
	findings.Kinds = make(map[Kind]int64, len(o.findings.Kinds))
	for kind, count := range o.findings.Kinds {
		findings.Kinds[kind] = count
	}
	findings.Violations = append([]Violation(nil), o.findings.Violations...)
	return findings
}
