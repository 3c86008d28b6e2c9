package query_test

import (
	"context"
	"fmt"
	"slices"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/bramblemast/bramblemast/pkg/backend"
	"github.com/bramblemast/bramblemast/pkg/catalog"
	"github.com/bramblemast/bramblemast/pkg/keyspace"
	"github.com/bramblemast/bramblemast/pkg/policy"
	"github.com/bramblemast/bramblemast/pkg/query"
	"github.com/bramblemast/bramblemast/pkg/target"
	"github.com/bramblemast/bramblemast/pkg/template"
)

// event changes the cluster while queries run.
type event struct {
	At     time.Duration
	Kind   int
	Server int
	// CatalogDelay is how much later the catalog shows the change.
	CatalogDelay time.Duration
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

// cancelOffset keeps cancellations from coinciding with other timed events.
const cancelOffset = 37 * time.Microsecond

// caller is one request of a scenario.
type caller struct {
	At, Deadline, CancelAfter time.Duration
	Key, Query                string
	Limit                     int
	MinCoverage               float64
	NotRepeatable             bool
	Stream                    bool
}

// scenario holds all inputs of one run of the property.
type scenario struct {
	Seed             uint64
	Groups           int
	Replicas         int
	Overlaps         bool
	PermitsPerServer int
	Faults           faults
	Events           []event
	Callers          []caller
	Policies         policy.Spec
	ExtraShare       float64
	Burst            int
}

func drawScenario(t *rapid.T) scenario {
	percent := rapid.OneOf(rapid.Just(0), rapid.IntRange(0, 25))
	millis := func(maximum int) *rapid.Generator[time.Duration] {
		return rapid.Map(rapid.IntRange(0, maximum*10), func(tenths int) time.Duration { return time.Duration(tenths) * 100 * time.Microsecond })
	}
	return scenario{
		Seed:             rapid.Uint64Range(0, 1<<20).Draw(t, "seed"),
		Groups:           rapid.IntRange(1, 6).Draw(t, "groups"),
		Replicas:         rapid.IntRange(1, 3).Draw(t, "replicas"),
		Overlaps:         rapid.Bool().Draw(t, "overlaps"),
		PermitsPerServer: rapid.SampledFrom([]int{1, 2, 100}).Draw(t, "permits"),
		Faults: faults{
			Shed: percent.Draw(t, "shed"), Unreachable: percent.Draw(t, "unreachable"), Lost: percent.Draw(t, "lost"),
			Hang: percent.Draw(t, "hang"), Straggle: percent.Draw(t, "straggle"), WrongVersion: percent.Draw(t, "wrong version"),
			WrongRange: percent.Draw(t, "wrong range"), IgnoreCancel: rapid.SampledFrom([]int{0, 50, 100}).Draw(t, "ignore cancel"),
		},
		Events: rapid.SliceOfN(rapid.Custom(func(t *rapid.T) event {
			return event{
				At: millis(8).Draw(t, "at"), Kind: rapid.IntRange(0, eventKinds-1).Draw(t, "kind"),
				Server: rapid.IntRange(0, 30).Draw(t, "server"), CatalogDelay: millis(6).Draw(t, "shown"),
			}
		}), 0, 8).Draw(t, "events"),
		Callers: rapid.SliceOfN(rapid.Custom(func(t *rapid.T) caller {
			drawn := caller{
				At: millis(5).Draw(t, "at"), Deadline: millis(40).Draw(t, "deadline"),
				CancelAfter: rapid.OneOf(rapid.Just(time.Hour), millis(10)).Draw(t, "cancel") + cancelOffset,
				Key:         rapid.SampledFrom([]string{"", "", "group1/item1", "group5/item21"}).Draw(t, "key"),
				Query:       rapid.SampledFrom([]string{"", "group1", "group1/item1"}).Draw(t, "query"),
				Limit:       rapid.IntRange(0, 12).Draw(t, "limit"), MinCoverage: rapid.SampledFrom([]float64{0, 0.5, 1}).Draw(t, "minimum"),
				Stream: rapid.Bool().Draw(t, "stream"),
			}
			drawn.NotRepeatable = drawn.Key != "" && rapid.Bool().Draw(t, "not repeatable")
			return drawn
		}), 1, 4).Draw(t, "callers"),
		Policies: policy.Spec{
			Replica: policy.ReplicaSpec{Policy: rapid.SampledFrom([]string{"random", "least_in_flight", "two_choices"}).Draw(t, "replica")},
			Hedge: policy.HedgeSpec{Policy: rapid.SampledFrom([]string{"none", "fixed", "quantile"}).Draw(t, "hedge"),
				Delay: policy.Duration(rapid.SampledFrom([]time.Duration{500 * time.Microsecond, 3 * time.Millisecond}).Draw(t, "hedge delay"))},
			Stop: policy.StopSpec{Policy: rapid.SampledFrom([]string{"all", "all", "coverage", "first"}).Draw(t, "stop"),
				Coverage: 0.5, Grace: policy.Duration(time.Millisecond), Records: 3},
			Retry: policy.RetrySpec{Policy: rapid.SampledFrom([]string{"none", "immediate", "deadline_aware"}).Draw(t, "retry"), MaxAttempts: 4},
		},
		ExtraShare: rapid.SampledFrom([]float64{0, 0.1, 1}).Draw(t, "extra share"),
		Burst:      rapid.IntRange(0, 5).Draw(t, "burst"),
	}
}

// newCluster returns the cluster of a scenario. Its servers hold two versions at first.
func (s scenario) newCluster() *fakeCluster {
	cluster := newFakeCluster(s.Seed, s.Faults)
	cluster.permitsPerServer = s.PermitsPerServer
	for i, keys := range keyspace.Split(s.Groups) {
		cluster.addGroup(fmt.Sprintf("g%d", i), s.Replicas, []target.Version{1, 2}, keys)
		if s.Overlaps && i%2 == 0 {
			cluster.addGroup(fmt.Sprintf("o%d", i), 1, []target.Version{2}, keyspace.Range{Start: keys.Start / 2, End: keys.End - keys.Width()/3})
		}
	}
	cluster.updateCatalog()
	return cluster
}

// apply applies an event to the servers, and to the catalog after the event's delay.
func (c *fakeCluster) apply(change event) {
	index := change.Server % len(c.servers)
	c.changeServer(index, func(server *catalog.Server) {
		switch change.Kind {
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
				server.Indexes[i].Shards = repartition(server.Indexes[i].Shards, change)
			}
		}
	})
	if change.Kind == eventRetire {
		for i := range c.servers {
			c.changeServer(i, func(server *catalog.Server) {
				if len(server.Indexes) > 1 && server.Indexes[0].Version == target.Version(1+change.Server%2) {
					server.Indexes = server.Indexes[1:]
				}
			})
		}
	}
	time.Sleep(change.CatalogDelay)
	c.updateCatalog()
}

// repartition returns the shards with the first one changed: made twice as wide by a merge; by a
// split, reduced to one of its halves or replaced by both.
func repartition(shards []backend.Shard, change event) []backend.Shard {
	changed := slices.Clone(shards)
	keys := changed[0].Range
	middle := keys.Start + keys.Width()/2
	switch {
	case change.Kind == eventMerge:
		changed[0].Range = keyspace.Range{Start: keys.Start, End: min(keys.End+keys.Width(), keyspace.Size)}
	case change.Server%3 == 0:
		changed[0].Range.End = max(middle, keys.Start+1)
	case change.Server%3 == 1:
		changed[0].Range.Start = middle
	default:
		changed[0].Range.End = max(middle, keys.Start+1)
		changed = append(changed, backend.Shard{Group: changed[0].Group, Range: keyspace.Range{Start: changed[0].Range.End, End: max(keys.End, changed[0].Range.End+1)}})
	}
	return slices.DeleteFunc(changed, func(part backend.Shard) bool { return !part.Range.Valid() })
}

// result is what one caller received.
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
	cluster, budget := s.newCluster(), &fakeBudget{share: s.ExtraShare, burst: s.Burst}
	policies, err := policy.Build(s.Policies)
	if err != nil {
		return []string{err.Error()}
	}
	executor := query.New(query.Options{Client: cluster, Catalog: cluster, Limits: cluster, Budgets: budget, Seed: s.Seed})
	for _, planned := range s.Events {
		go func() {
			time.Sleep(planned.At)
			cluster.apply(planned)
		}()
	}
	results := make([]*result, len(s.Callers))
	for i, planned := range s.Callers {
		results[i] = &result{caller: planned}
		go results[i].execute(executor, policies, fmt.Sprintf("q%d", i))
	}
	time.Sleep(time.Minute)
	synctest.Wait()
	var violations []string
	for _, got := range results {
		violations = append(violations, s.check(cluster, got)...)
	}
	return append(violations, s.checkTotals(cluster, budget, results)...)
}

func (r *result) execute(executor *query.Executor, policies policy.Set, id string) {
	time.Sleep(r.caller.At)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	time.AfterFunc(r.caller.CancelAfter, cancel)
	r.started = time.Now()
	r.request = &query.Request{
		ID: id, Policies: policies, Query: r.caller.Query, Key: r.caller.Key, Limit: r.caller.Limit,
		Template: &template.Template{Service: service, MinimumCoverage: r.caller.MinCoverage, NotRepeatable: r.caller.NotRepeatable},
		Deadline: r.started.Add(r.caller.Deadline),
	}
	var partial query.PartialFunc
	if r.caller.Stream {
		partial = func(received query.Partial) { r.partials = append(r.partials, received) }
	}
	r.answer, r.err = executor.Execute(ctx, r.request, partial)
	r.ended = time.Now()
}
