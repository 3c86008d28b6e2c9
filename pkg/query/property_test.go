package query_test

import (
	"fmt"
	"reflect"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"github.com/bramblemast/bramblemast/pkg/backend"
	"github.com/bramblemast/bramblemast/pkg/keyspace"
	"github.com/bramblemast/bramblemast/pkg/outcome"
	"github.com/bramblemast/bramblemast/pkg/policy"
	"github.com/bramblemast/bramblemast/pkg/query"
	"github.com/bramblemast/bramblemast/pkg/target"
)

// TestExecuteKeepsItsPromises runs random scenarios in virtual time and compares what the callers
// received with what the servers executed and with the data that they hold.
func TestExecuteKeepsItsPromises(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		drawn := drawScenario(rt)
		var violations []string
		synctest.Test(t, func(*testing.T) { violations = drawn.run() })
		if len(violations) > 0 {
			rt.Fatalf("%d violations:\n%s", len(violations), violations)
		}
	})
}

// check returns the violations of one result.
func (s scenario) check(cluster *fakeCluster, got *result) []string {
	var violations []string
	report := func(format string, arguments ...any) {
		violations = append(violations, fmt.Sprintf(got.request.ID+": "+format+"\n", arguments...))
	}
	if got.ended.After(got.request.Deadline) || got.ended.Sub(got.started) > got.caller.CancelAfter {
		report("ended %s after the start", got.ended.Sub(got.started))
	}
	calls := cluster.callsOf(got.request.ID)
	executed := 0
	for _, sub := range calls {
		if sub.executed {
			executed++
		}
		if elapsed := sub.at.Sub(got.started); elapsed >= got.caller.Deadline-got.caller.Deadline/10 && elapsed >= got.caller.Deadline-query.DefaultAnswerMargin || elapsed >= got.caller.CancelAfter {
			report("a sub-request was sent after %s", elapsed)
		}
	}
	if got.caller.NotRepeatable && executed > 1 {
		report("not repeatable, executed %d times", executed)
	}
	if got.err != nil && outcome.Of(got.err) == outcome.NotRun && executed > 0 {
		report("claims not run, executed %d times: %v", executed, got.err)
	}
	load, restarts := got.load()
	if sent := load.Primary + load.Hedges + load.Retries; sent != len(calls) {
		report("%d sub-requests made, %+v counted", len(calls), load)
	}
	if got.caller.NotRepeatable && load.Hedges > 0 {
		report("not repeatable and hedged")
	}
	s.checkPartials(cluster, got, restarts, report)
	if got.answer == nil {
		return violations
	}
	answer := got.answer
	s.checkContent(cluster, got, answer.Version, answer.Coverage, answer.Records, report)
	covered := coveredRanges(answer.Coverage)
	want := cluster.data.Evaluate(answer.Version, got.caller.Query, covered, got.caller.Limit)
	if answer.Matches != want.Matches || answer.ScoreSum != want.ScoreSum {
		report("totals %d and %d, want %d and %d", answer.Matches, answer.ScoreSum, want.Matches, want.ScoreSum)
	}
	if answer.Coverage.Share() < got.caller.MinCoverage {
		report("coverage %v below the minimum", answer.Coverage.Share())
	}
	if healthy := s.Faults.none() && len(s.Events) == 0 && !s.Overlaps; healthy && s.Policies.Stop.Policy == policy.StopRuleAll && s.PermitsPerServer > 10 && got.caller.Deadline > 10*time.Millisecond && !answer.Coverage.Complete() {
		report("nothing went wrong, but the coverage is %+v", answer.Coverage)
	}
	if answer.Coverage.Complete() != (answer.StopReason == policy.StopAllParts) {
		report("complete %v but stopped for %s", answer.Coverage.Complete(), answer.StopReason)
	}
	if got.caller.Key != "" && !answer.Coverage.Requested.Contains(keyspace.Position(got.caller.Key)) {
		report("the requested range %s does not contain the key", answer.Coverage.Requested)
	}
	return violations
}

// load returns the extra load of a result and its number of restarts, which is -1 if unknown.
func (r *result) load() (query.ExtraLoad, int) {
	var failed *query.CoverageError
	switch {
	case r.answer != nil:
		return r.answer.ExtraLoad, r.answer.Restarts
	case errors.As(r.err, &failed):
		return failed.ExtraLoad, -1
	default:
		return query.ExtraLoad{}, 0
	}
}

func coveredRanges(coverage query.Coverage) []keyspace.Range {
	var missing keyspace.Set
	for _, gap := range coverage.Missing {
		missing.Add(gap)
	}
	return missing.Missing(coverage.Requested)
}

// checkContent compares the records with the data set and checks that the coverage is consistent.
func (s scenario) checkContent(cluster *fakeCluster, got *result, version target.Version, coverage query.Coverage, records []backend.Record, report func(string, ...any)) {
	covered := coveredRanges(coverage)
	want := cluster.data.Evaluate(version, got.caller.Query, covered, got.caller.Limit)
	if len(records)+len(want.Records) > 0 && !reflect.DeepEqual(records, want.Records) {
		report("version %d, coverage %+v: records %v, want %v", version, coverage, records, want.Records)
	}
	var width uint32
	for _, keys := range covered {
		width += keys.Width()
	}
	if width != coverage.CoveredWidth {
		report("the covered width is %d, but the ranges that are not missing have width %d", coverage.CoveredWidth, width)
	}
	if coverage.Complete() != (coverage.PartsCovered == coverage.PartsTotal) {
		report("complete is %v with %d of %d parts", coverage.Complete(), coverage.PartsCovered, coverage.PartsTotal)
	}
}

// checkPartials checks that the partials are correct and that their coverage only grows, except at a
// restart.
func (s scenario) checkPartials(cluster *fakeCluster, got *result, restarts int, report func(string, ...any)) {
	var last query.Partial
	for i, partial := range got.partials {
		s.checkContent(cluster, got, partial.Version, partial.Coverage, partial.Records, report)
		if i > 0 && !partial.Restarted && (partial.Version != last.Version || partial.Coverage.CoveredWidth <= last.Coverage.CoveredWidth) {
			report("partial %+v after %+v", partial.Coverage, last.Coverage)
		}
		if partial.Restarted && (restarts == 0 || i > 0 && partial.Version <= last.Version) {
			report("a partial announces a restart from version %d to %d", last.Version, partial.Version)
		}
		last = partial
	}
	if len(got.partials) > 0 && got.answer != nil && restarts == 0 && got.answer.Version != last.Version {
		report("partials of version %d, answer of version %d", last.Version, got.answer.Version)
	}
}

// checkTotals checks the permits and the budget over all requests.
func (s scenario) checkTotals(cluster *fakeCluster, budget *fakeBudget, results []*result) []string {
	var violations []string
	for server, inUse := range cluster.permits {
		if inUse != 0 {
			violations = append(violations, fmt.Sprintf("%d permits of %s are still in use\n", inUse, server))
		}
	}
	extra, unpaid := 0, 0
	for _, got := range results {
		load, _ := got.load()
		extra += load.Hedges + load.Retries
		unpaid += unpaidRetries(cluster.callsOf(got.request.ID))
	}
	if extra > budget.spent+unpaid || budget.spent > extra {
		violations = append(violations, fmt.Sprintf("%d extra sub-requests, %d paid, at most %d unpaid allowed\n", extra, budget.spent, unpaid))
	}
	if float64(budget.spent) > budget.share*float64(budget.primary)+float64(budget.burst) {
		violations = append(violations, fmt.Sprintf("spent %d of the budget %+v\n", budget.spent, budget))
	}
	return violations
}

// unpaidRetries counts the sub-requests that are not charged to the budget because they may follow a
// refusal due to an outdated plan: those for a range that was refused in this way before, and those
// after a restart.
func unpaidRetries(calls []*call) int {
	unpaid := 0
	for i, sub := range calls {
		refused := slices.ContainsFunc(calls[:i], func(earlier *call) bool {
			if earlier.request.Target.Version < sub.request.Target.Version {
				return true
			}
			stale := earlier.reason == outcome.ReasonDraining || earlier.reason == outcome.ReasonVersionGone || earlier.reason == outcome.ReasonRangeNotHeld
			return stale && earlier.request.Target.Range.Covers(sub.request.Target.Range)
		})
		if refused {
			unpaid++
		}
	}
	return unpaid
}

// callsOf returns the sub-requests of one request.
func (c *fakeCluster) callsOf(id string) []*call {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var found []*call
	for _, sub := range c.calls {
		if sub.request.RequestID == id {
			found = append(found, sub)
		}
	}
	return found
}
