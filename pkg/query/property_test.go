package query_test

import (
	"context"
	"fmt"
	"reflect"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"github.com/bramblemast/bramblemast/pkg/backend"
	"github.com/bramblemast/bramblemast/pkg/catalog"
	"github.com/bramblemast/bramblemast/pkg/keyspace"
	"github.com/bramblemast/bramblemast/pkg/outcome"
	"github.com/bramblemast/bramblemast/pkg/policy"
	"github.com/bramblemast/bramblemast/pkg/query"
	"github.com/bramblemast/bramblemast/pkg/target"
	"github.com/bramblemast/bramblemast/pkg/template"
)

// event changes the world while queries run.
type event struct {
	At     time.Duration
	Kind   int
	Server int
	// Shown is how much later the catalog shows the change.
	Shown time.Duration
}

// The kinds of events.
const (
	eventDrain = iota
	eventRetire
	eventPublish
	eventSplit
	eventMerge
	eventEject
	eventKinds
)

// caller is one request of a scenario.
type caller struct {
	At, Deadline, CancelAfter time.Duration
	Key, Query                string
	Limit                     int
	Minimum                   float64
	NotRepeatable             bool
	Stream                    bool
}

// scenario is everything that a run of the property depends on.
type scenario struct {
	Seed       uint64
	Groups     int
	Replicas   int
	Overlaps   bool
	PerServer  int
	Faults     faults
	Events     []event
	Callers    []caller
	Policies   policy.Spec
	ExtraShare float64
	Burst      int
}

func drawScenario(t *rapid.T) scenario {
	percent := rapid.OneOf(rapid.Just(0), rapid.IntRange(0, 25))
	millis := func(most int) *rapid.Generator[time.Duration] {
		return rapid.Map(rapid.IntRange(0, most*10), func(tenths int) time.Duration { return time.Duration(tenths) * 100 * time.Microsecond })
	}
	return scenario{
		Seed:      rapid.Uint64Range(0, 1<<20).Draw(t, "seed"),
		Groups:    rapid.IntRange(1, 6).Draw(t, "groups"),
		Replicas:  rapid.IntRange(1, 3).Draw(t, "replicas"),
		Overlaps:  rapid.Bool().Draw(t, "overlaps"),
		PerServer: rapid.SampledFrom([]int{1, 2, 100}).Draw(t, "permits"),
		Faults: faults{
			Shed: percent.Draw(t, "shed"), Unreachable: percent.Draw(t, "unreachable"), Lost: percent.Draw(t, "lost"),
			Hang: percent.Draw(t, "hang"), Straggle: percent.Draw(t, "straggle"), WrongVersion: percent.Draw(t, "wrong version"),
			WrongRange: percent.Draw(t, "wrong range"), IgnoreCancel: rapid.SampledFrom([]int{0, 50, 100}).Draw(t, "ignore cancel"),
		},
		Events: rapid.SliceOfN(rapid.Custom(func(t *rapid.T) event {
			return event{
				At: millis(8).Draw(t, "at"), Kind: rapid.IntRange(0, eventKinds-1).Draw(t, "kind"),
				Server: rapid.IntRange(0, 30).Draw(t, "server"), Shown: millis(6).Draw(t, "shown"),
			}
		}), 0, 8).Draw(t, "events"),
		Callers: rapid.SliceOfN(rapid.Custom(func(t *rapid.T) caller {
			made := caller{
				At: millis(5).Draw(t, "at"), Deadline: millis(40).Draw(t, "deadline"),
				CancelAfter: rapid.OneOf(rapid.Just(time.Hour), millis(10)).Draw(t, "cancel"),
				Key:         rapid.SampledFrom([]string{"", "", "group1/item1", "group5/item21"}).Draw(t, "key"),
				Query:       rapid.SampledFrom([]string{"", "group1", "group1/item1"}).Draw(t, "query"),
				Limit:       rapid.IntRange(0, 12).Draw(t, "limit"), Minimum: rapid.SampledFrom([]float64{0, 0.5, 1}).Draw(t, "minimum"),
				Stream: rapid.Bool().Draw(t, "stream"),
			}
			made.NotRepeatable = made.Key != "" && rapid.Bool().Draw(t, "not repeatable")
			return made
		}), 1, 4).Draw(t, "callers"),
		Policies: policy.Spec{
			Replica: policy.ReplicaSpec{Policy: rapid.SampledFrom([]string{"random", "least_in_flight", "two_choices"}).Draw(t, "replica")},
			Hedge: policy.HedgeSpec{Policy: rapid.SampledFrom([]string{"none", "fixed", "quantile"}).Draw(t, "hedge"),
				Delay: policy.Duration(3 * time.Millisecond)},
			Stop: policy.StopSpec{Policy: rapid.SampledFrom([]string{"all", "all", "coverage", "first"}).Draw(t, "stop"),
				Coverage: 0.5, Grace: policy.Duration(time.Millisecond), Records: 3},
			Retry: policy.RetrySpec{Policy: rapid.SampledFrom([]string{"none", "immediate", "deadline_aware"}).Draw(t, "retry"), MaxAttempts: 4},
		},
		ExtraShare: rapid.SampledFrom([]float64{0, 0.1, 1}).Draw(t, "extra share"),
		Burst:      rapid.IntRange(0, 5).Draw(t, "burst"),
	}
}

// build makes the world of a scenario. Two versions are served at first.
func (s scenario) build() *world {
	w := newWorld(s.Seed, s.Faults)
	w.perServer = s.PerServer
	for i, keys := range keyspace.Split(s.Groups) {
		w.addGroup(fmt.Sprintf("g%d", i), s.Replicas, []target.Version{1, 2}, keys)
		if s.Overlaps && i%2 == 0 {
			w.addGroup(fmt.Sprintf("o%d", i), 1, []target.Version{2}, keyspace.Range{Start: keys.Start / 2, End: keys.End - keys.Width()/3})
		}
	}
	w.refresh()
	return w
}

// apply carries out an event.
func (w *world) apply(happened event) {
	index := happened.Server % len(w.servers)
	w.change(index, func(server *catalog.Server) {
		switch happened.Kind {
		case eventDrain:
			server.State = catalog.Leaving
		case eventEject:
			server.State = max(server.State, catalog.Ejected)
		case eventPublish:
			newest := slices.Clone(server.Indexes)
			if len(newest) > 0 {
				next := newest[len(newest)-1]
				next.Version++
				server.Indexes = append(newest, next)
			}
		case eventSplit, eventMerge:
			for i := range server.Indexes {
				server.Indexes[i].Shards = repartition(server.Indexes[i].Shards, happened)
			}
		}
	})
	if happened.Kind == eventRetire {
		for i := range w.servers {
			w.change(i, func(server *catalog.Server) {
				if len(server.Indexes) > 1 && server.Indexes[0].Version == target.Version(1+happened.Server%2) {
					server.Indexes = server.Indexes[1:]
				}
			})
		}
	}
	time.Sleep(happened.Shown)
	w.refresh()
}

// repartition returns a half of the first shard, or one twice as wide.
func repartition(shards []backend.Shard, happened event) []backend.Shard {
	changed := slices.Clone(shards)
	keys := changed[0].Range
	middle := keys.Start + keys.Width()/2
	switch {
	case happened.Kind == eventMerge:
		changed[0].Range = keyspace.Range{Start: keys.Start, End: min(keys.End+keys.Width(), keyspace.Size)}
	case happened.Server%3 == 0:
		changed[0].Range.End = max(middle, keys.Start+1)
	case happened.Server%3 == 1:
		changed[0].Range.Start = middle
	default:
		changed[0].Range.End = max(middle, keys.Start+1)
		changed = append(changed, backend.Shard{Group: changed[0].Group, Range: keyspace.Range{Start: changed[0].Range.End, End: max(keys.End, changed[0].Range.End+1)}})
	}
	return slices.DeleteFunc(changed, func(part backend.Shard) bool { return !part.Range.Valid() })
}

// result is what one caller got.
type result struct {
	caller   caller
	request  *query.Request
	answer   *query.Answer
	err      error
	started  time.Time
	ended    time.Time
	partials []query.Partial
}

// run runs a scenario and returns every violation found.
func (s scenario) run() []string {
	w, account := s.build(), &ledger{share: s.ExtraShare, burst: s.Burst}
	policies, err := policy.Build(s.Policies)
	if err != nil {
		return []string{err.Error()}
	}
	executor := query.New(query.Options{Client: w, Catalog: w, Limits: w, Budgets: account, Seed: s.Seed})
	for _, planned := range s.Events {
		go func() {
			time.Sleep(planned.At)
			w.apply(planned)
		}()
	}
	results := make([]*result, len(s.Callers))
	for i, planned := range s.Callers {
		results[i] = &result{caller: planned}
		go results[i].ask(executor, policies, fmt.Sprintf("q%d", i))
	}
	time.Sleep(time.Minute)
	synctest.Wait()
	var found []string
	for _, got := range results {
		found = append(found, s.check(w, got)...)
	}
	return append(found, s.checkTotals(w, account, results)...)
}

func (r *result) ask(executor *query.Executor, policies policy.Set, id string) {
	time.Sleep(r.caller.At)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	time.AfterFunc(r.caller.CancelAfter, cancel)
	r.started = time.Now()
	r.request = &query.Request{
		ID: id, Policies: policies, Query: r.caller.Query, Key: r.caller.Key, Limit: r.caller.Limit,
		Template: &template.Template{Service: service, MinimumCoverage: r.caller.Minimum, NotRepeatable: r.caller.NotRepeatable},
		Deadline: r.started.Add(r.caller.Deadline),
	}
	var partial query.PartialFunc
	if r.caller.Stream {
		partial = func(early query.Partial) { r.partials = append(r.partials, early) }
	}
	r.answer, r.err = executor.Execute(ctx, r.request, partial)
	r.ended = time.Now()
}

func TestExecuteKeepsItsPromises(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		drawn := drawScenario(rt)
		var found []string
		synctest.Test(t, func(*testing.T) { found = drawn.run() })
		if len(found) > 0 {
			rt.Fatalf("%d violations:\n%s", len(found), found)
		}
	})
}

// check returns the violations of one result.
func (s scenario) check(w *world, got *result) []string {
	var found []string
	report := func(format string, arguments ...any) {
		found = append(found, fmt.Sprintf(got.request.ID+": "+format+"\n", arguments...))
	}
	if got.ended.After(got.request.Deadline) || got.ended.Sub(got.started) > got.caller.CancelAfter {
		report("ended %s after the start", got.ended.Sub(got.started))
	}
	calls := w.callsOf(got.request.ID)
	executed := 0
	for _, made := range calls {
		if made.executed {
			executed++
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
	s.checkPartials(w, got, restarts, report)
	if got.answer == nil {
		return found
	}
	answer := got.answer
	s.checkContent(w, got, answer.Version, answer.Coverage, answer.Records, report)
	covered := coveredRanges(answer.Coverage)
	want := w.data.Evaluate(answer.Version, got.caller.Query, covered, got.caller.Limit)
	if answer.Matches != want.Matches || answer.ScoreSum != want.ScoreSum {
		report("totals %d and %d, want %d and %d", answer.Matches, answer.ScoreSum, want.Matches, want.ScoreSum)
	}
	if answer.Coverage.Share() < got.caller.Minimum {
		report("coverage %v below the minimum", answer.Coverage.Share())
	}
	if healthy := s.Faults.none() && len(s.Events) == 0 && !s.Overlaps; healthy && s.Policies.Stop.Policy == policy.StopRuleAll && s.PerServer > 10 && got.caller.Deadline > 10*time.Millisecond && !answer.Coverage.Complete() {
		report("nothing went wrong, but the coverage is %+v", answer.Coverage)
	}
	if answer.Coverage.Complete() != (answer.StopReason == policy.StopAllParts) {
		report("complete %v but stopped for %s", answer.Coverage.Complete(), answer.StopReason)
	}
	if got.caller.Key != "" && !answer.Coverage.Asked.Contains(keyspace.Position(got.caller.Key)) {
		report("asked %s does not hold the key", answer.Coverage.Asked)
	}
	return found
}

// load returns the extra load of a result and whether it is known.
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
	return missing.Missing(coverage.Asked)
}

// checkContent compares records and coverage with the oracle.
func (s scenario) checkContent(w *world, got *result, version target.Version, coverage query.Coverage, records []backend.Record, report func(string, ...any)) {
	covered := coveredRanges(coverage)
	want := w.data.Evaluate(version, got.caller.Query, covered, got.caller.Limit)
	if len(records)+len(want.Records) > 0 && !reflect.DeepEqual(records, want.Records) {
		report("version %d, coverage %+v: records %v, want %v", version, coverage, records, want.Records)
	}
	var width uint32
	for _, keys := range covered {
		width += keys.Width()
	}
	if width != coverage.CoveredWidth {
		report("covered width %d, but %d is not missing", coverage.CoveredWidth, width)
	}
	if coverage.Complete() != (coverage.PartsCovered == coverage.PartsTotal) {
		report("complete is %v with %d of %d parts", coverage.Complete(), coverage.PartsCovered, coverage.PartsTotal)
	}
}

// checkPartials checks that early states are true and only grow.
func (s scenario) checkPartials(w *world, got *result, restarts int, report func(string, ...any)) {
	var last query.Partial
	for i, early := range got.partials {
		s.checkContent(w, got, early.Version, early.Coverage, early.Records, report)
		if i > 0 && !early.Restarted && (early.Version != last.Version || early.Coverage.CoveredWidth <= last.Coverage.CoveredWidth) {
			report("partial %+v after %+v", early.Coverage, last.Coverage)
		}
		if early.Restarted && (restarts == 0 || i > 0 && early.Version <= last.Version) {
			report("a partial announces a restart from version %d to %d", last.Version, early.Version)
		}
		last = early
	}
	if len(got.partials) > 0 && got.answer != nil && restarts == 0 && got.answer.Version != last.Version {
		report("partials of version %d, answer of version %d", last.Version, got.answer.Version)
	}
}

// checkTotals checks what holds for all requests together.
func (s scenario) checkTotals(w *world, account *ledger, results []*result) []string {
	var found []string
	for server, out := range w.permits {
		if out != 0 {
			found = append(found, fmt.Sprintf("%d permits of %s are still out\n", out, server))
		}
	}
	extra, free := 0, 0
	for _, got := range results {
		load, _ := got.load()
		extra += load.Hedges + load.Retries
		free += freeRetries(w.callsOf(got.request.ID))
	}
	if extra > account.spent+free || account.spent > extra {
		found = append(found, fmt.Sprintf("%d extra sub-requests, %d paid, at most %d free\n", extra, account.spent, free))
	}
	if float64(account.spent) > account.share*float64(account.primary)+float64(account.burst) {
		found = append(found, fmt.Sprintf("spent %d of the budget %+v\n", account.spent, account))
	}
	return found
}

// freeRetries counts the sub-requests that may have followed on a refusal
// because the plan no longer fitted, and so are not paid: those for a range
// that was refused so before, and those of a restart.
func freeRetries(calls []*call) int {
	free := 0
	for i, made := range calls {
		refused := slices.ContainsFunc(calls[:i], func(earlier *call) bool {
			if earlier.request.Target.Version < made.request.Target.Version {
				return true
			}
			stale := earlier.reason == outcome.ReasonDraining || earlier.reason == outcome.ReasonVersionGone || earlier.reason == outcome.ReasonRangeNotHeld
			return stale && earlier.request.Target.Range.Covers(made.request.Target.Range)
		})
		if refused {
			free++
		}
	}
	return free
}

// callsOf returns the sub-requests of one request.
func (w *world) callsOf(id string) []*call {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	var found []*call
	for _, made := range w.calls {
		if made.request.RequestID == id {
			found = append(found, made)
		}
	}
	return found
}
