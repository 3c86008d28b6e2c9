package query_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/bramblemast/bramblemast/pkg/backend"
	"github.com/bramblemast/bramblemast/pkg/budget"
	"github.com/bramblemast/bramblemast/pkg/catalog"
	"github.com/bramblemast/bramblemast/pkg/keyspace"
	"github.com/bramblemast/bramblemast/pkg/limit"
	"github.com/bramblemast/bramblemast/pkg/policy"
	"github.com/bramblemast/bramblemast/pkg/query"
	"github.com/bramblemast/bramblemast/pkg/target"
	"github.com/bramblemast/bramblemast/pkg/template"
)

// instantClient answers at once with prepared records.
type instantClient struct {
	records map[keyspace.Range][]backend.Record
}

func (c instantClient) Do(_ context.Context, request *backend.Request) (*backend.Response, error) {
	records := c.records[request.Target.Range]
	return &backend.Response{
		Version: request.Target.Version, Range: request.Target.Range,
		Records: records, Matches: uint64(len(records)), ScoreSum: 1,
	}, nil
}

// fixedCatalog always returns the same view.
type fixedCatalog struct{ view *catalog.View }

func (c fixedCatalog) View(target.Service) *catalog.View        { return c.view }
func (fixedCatalog) ReportHints(target.ServerID, backend.Hints) {}
func (fixedCatalog) ReportResult(target.ServerID, error)        {}

// newBenchmark returns an executor with the limits and budgets of a node, over the given number of
// parts with three replicas each, and a request for it.
func newBenchmark(b *testing.B, parts int) (*query.Executor, *query.Request) {
	limits := limit.NewServers(limit.Options{})
	view := &catalog.View{Service: service}
	client := instantClient{records: map[keyspace.Range][]backend.Record{}}
	random := rand.New(rand.NewPCG(1, 1))
	for i, keys := range keyspace.Split(parts) {
		for range 10 {
			record := backend.Record{Key: fmt.Sprintf("key%d", random.Uint32()), Score: random.Int64N(100_000)}
			client.records[keys] = append(client.records[keys], record)
		}
		for replica := range 3 {
			id := target.ServerID(fmt.Sprintf("10.0.%d.%d:80", i, replica))
			limits.Configure(id, limit.Share{Slots: 5, Connections: 75})
			view.Servers = append(view.Servers, &catalog.Server{
				ID: id, Service: service, Weight: 1, ReportedLoad: -1,
				Indexes: []backend.Index{{Version: 1, Shards: []backend.Shard{{Group: "g", Range: keys}}}},
			})
		}
	}
	policies, err := policy.Build(policy.Defaults())
	if err != nil {
		b.Fatal(err)
	}

	executor := query.New(query.Options{
		Client: client, Catalog: fixedCatalog{view}, Limits: query.ServerLimits(limits), Budgets: query.ExtraLoadBudgets(budget.NewPool()),
	})
	return executor, &query.Request{ID: "benchmark", Template: &template.Template{Tenant: "t", Name: "n", Service: service}, Policies: policies, Limit: 10}
}

// BenchmarkExecute measures the executor's own cost. Run it with -cpu 1, so that the time is
// processor time.
func BenchmarkExecute(b *testing.B) {
	for _, parts := range []int{4, 25, 220} {
		b.Run(fmt.Sprintf("parts=%d", parts), func(b *testing.B) {
			executor, template := newBenchmark(b, parts)
			b.ReportAllocs()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			for b.Loop() {
				request := *template
				request.Deadline = time.Now().Add(time.Second)
				answer, err := executor.Execute(context.Background(), &request, nil)
				if err != nil || !answer.Coverage.Complete() {
					b.Fatal(answer, err)
				}
			}
			runtime.ReadMemStats(&after)
			subRequests := float64(b.N * parts)
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/subRequests, "ns/subrequest")
			b.ReportMetric(float64(after.Mallocs-before.Mallocs)/subRequests, "allocs/subrequest")
			b.ReportMetric(float64(after.TotalAlloc-before.TotalAlloc)/subRequests, "B/subrequest")
		})
	}
}
