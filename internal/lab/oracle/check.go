package oracle

import (
	"fmt"
	"math"

	"github.com/bramblemast/bramblemast/api"
	"github.com/bramblemast/bramblemast/internal/lab/load"
	"github.com/bramblemast/bramblemast/pkg/keyspace"
	"github.com/bramblemast/bramblemast/pkg/outcome"
	"github.com/bramblemast/bramblemast/pkg/target"
)

// tolerance allows for the rounding of shares and ratios on the wire.
const tolerance = 1e-6

// check is the examination of one exchange.
type check struct {
	exchange    *load.Exchange
	expectation Expectation
	evaluations *evaluations
	found       []Violation
}

func (c *check) all() {
	c.stream()
	switch {
	case c.exchange.Answer != nil:
		c.answer(c.exchange.Answer)
	case c.exchange.Problem != nil:
		c.problem(c.exchange.Problem)
	}
}

// report adds a violation; answer may be nil.
func (c *check) report(kind Kind, answer *api.Answer, format string, arguments ...any) {
	violation := Violation{
		Kind:      kind,
		RequestID: c.exchange.RequestID,
		Template:  c.exchange.Request.Load.Name(),
		Cause:     fmt.Sprintf(format, arguments...),
	}
	if answer != nil {
		violation.Node = answer.Node
		violation.Snapshot = answer.Snapshot
	}
	c.found = append(c.found, violation)
}

// answer checks a final answer.
func (c *check) answer(answer *api.Answer) {
	c.identity(answer)
	if answer.Outcome != outcome.Completed {
		c.report(KindOutcome, answer, "an answer with the outcome %s", answer.Outcome)
	}
	if answer.Coverage.Share < c.expectation.MinimumCoverage-tolerance {
		c.report(KindBelowMinimum, answer, "coverage %g, minimum %g",
			answer.Coverage.Share, c.expectation.MinimumCoverage)
	}
	c.extraLoad(answer)
	covered, consistent := c.coverage(answer)
	if !consistent {
		return
	}
	if c.expectation.NotRepeatable {
		c.receipt(answer)
		return
	}
	c.totals(answer, covered)
	c.records(answer, covered)
}

func (c *check) identity(answer *api.Answer) {
	if answer.RequestID != c.exchange.RequestID {
		c.report(KindWrongRequest, answer, "answer names request %q", answer.RequestID)
	}
	entry := c.exchange.Request.Load
	if answer.Tenant != entry.Tenant || answer.Template != entry.Template {
		c.report(KindWrongRequest, answer, "answer names template %s/%s", answer.Tenant, answer.Template)
	}
}

func (c *check) problem(problem *api.Problem) {
	if problem.RequestID != "" && problem.RequestID != c.exchange.RequestID {
		c.report(KindWrongRequest, nil, "problem names request %q", problem.RequestID)
	}
	if problem.Outcome == outcome.Completed {
		c.report(KindOutcome, nil, "a problem (%s) with the outcome completed", problem.Reason)
	}
}

func (c *check) extraLoad(answer *api.Answer) {
	extra := answer.ExtraLoad
	if extra.Primary < 0 || extra.Hedges < 0 || extra.Retries < 0 {
		c.report(KindExtraLoad, answer, "negative count in %+v", extra)
	}
	ratio := 0.0
	if extra.Primary > 0 {
		ratio = float64(extra.Hedges+extra.Retries) / float64(extra.Primary)
	}
	if math.Abs(ratio-extra.Ratio) > tolerance {
		c.report(KindExtraLoad, answer, "ratio %g, want %g", extra.Ratio, ratio)
	}
	if c.expectation.NotRepeatable && extra.Hedges > 0 {
		c.report(KindHedgedOnce, answer, "%d hedges", extra.Hedges)
	}
}

// limit returns the greatest number of records that may come back.
func (c *check) limit() int {
	asked := c.exchange.Request.Body.Limit
	most := c.expectation.Limit
	if asked == 0 || (most > 0 && most < asked) {
		return most
	}
	return asked
}

// totals checks the totals over the covered part. They do not depend on limits.
func (c *check) totals(answer *api.Answer, covered []keyspace.Range) {
	right := c.evaluations.evaluate(c.expectation.Dataset, target.Version(answer.Snapshot),
		c.exchange.Request.Body.Query, covered, c.limit())
	if answer.Matches == right.Matches && answer.ScoreSum == right.ScoreSum {
		return
	}
	kind := KindWrongTotals
	if answer.Matches > right.Matches {
		kind = KindDoubleCount
	}
	c.report(kind, answer, "matches %d, want %d; score sum %d, want %d; covered %s",
		answer.Matches, right.Matches, answer.ScoreSum, right.ScoreSum, rangesText(covered))
}

// records checks each row of an answer or a partial one.
func (c *check) records(answer *api.Answer, covered []keyspace.Range) {
	if c.repeatedKey(answer) {
		return
	}
	right := c.evaluations.evaluate(c.expectation.Dataset, target.Version(answer.Snapshot),
		c.exchange.Request.Body.Query, covered, c.limit())
	for index, record := range answer.Records {
		if index >= len(right.Records) {
			c.report(KindWrongRecords, answer, "%d records, want %d", len(answer.Records), len(right.Records))
			return
		}
		wanted := right.Records[index]
		if record.Key != wanted.Key || record.Score != wanted.Score {
			c.wrongRecord(answer, index, record, wanted.Key, wanted.Score)
			return
		}
	}
	if len(answer.Records) < len(right.Records) {
		c.report(KindWrongRecords, answer, "%d records, want %d", len(answer.Records), len(right.Records))
	}
}

func (c *check) repeatedKey(answer *api.Answer) bool {
	seen := make(map[string]bool, len(answer.Records))
	for _, record := range answer.Records {
		if seen[record.Key] {
			c.report(KindDoubleCount, answer, "record %s comes twice", record.Key)
			return true
		}
		seen[record.Key] = true
	}
	return false
}

// nearVersions is how far around the stated version a wrong score is looked for.
const nearVersions = 8

// wrongRecord reports the first wrong row, and whether another version
// explains it.
func (c *check) wrongRecord(answer *api.Answer, index int, record api.Record, wantedKey string, wantedScore int64) {
	kind := KindWrongRecords
	explanation := "no near version has this score"
	stated := target.Version(answer.Snapshot)
	if c.expectation.Dataset.Score(record.Key, stated) == record.Score {
		explanation = "the score is right, so a record is missing or does not belong"
	} else if version, found := c.versionOf(record, stated); found {
		kind = KindMixedSnapshot
		explanation = fmt.Sprintf("the score is that of version %d", version)
	}
	c.report(kind, answer, "record %d is %s with %d, want %s with %d: %s",
		index, record.Key, record.Score, wantedKey, wantedScore, explanation)
}

func (c *check) versionOf(record api.Record, stated target.Version) (target.Version, bool) {
	first := target.Version(1)
	if stated > nearVersions {
		first = stated - nearVersions
	}
	for version := first; version <= stated+nearVersions; version++ {
		if c.expectation.Dataset.Score(record.Key, version) == record.Score {
			return version, true
		}
	}
	return 0, false
}
