package query_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/bramblemast/bramblemast/internal/lab/dataset"
	"github.com/bramblemast/bramblemast/pkg/backend"
	"github.com/bramblemast/bramblemast/pkg/catalog"
	"github.com/bramblemast/bramblemast/pkg/keyspace"
	"github.com/bramblemast/bramblemast/pkg/limit"
	"github.com/bramblemast/bramblemast/pkg/outcome"
	"github.com/bramblemast/bramblemast/pkg/policy"
	"github.com/bramblemast/bramblemast/pkg/query"
	"github.com/bramblemast/bramblemast/pkg/target"
	"github.com/bramblemast/bramblemast/pkg/template"
)

const service target.Service = "valgsok"

// faults are the percentages of sub-requests that fail in each way.
type faults struct {
	Shed, Unreachable, Lost, Hang, Straggle, WrongVersion, WrongRange, IgnoreCancel int
}

// none reports whether no fault is injected. IgnoreCancel does not count, because answers that
// arrive after a cancellation are normal.
func (f faults) none() bool { return f == faults{IgnoreCancel: f.IgnoreCancel} }

// call is one sub-request that reached the client.
type call struct {
	request  backend.Request
	at       time.Time
	executed bool
	// ended, reason and result are set when the client returns.
	ended  bool
	reason outcome.Reason
	result outcome.Outcome
}

// fakeCluster is a service whose servers fail some sub-requests. It implements the client, the
// catalog and the limits of the executor under test.
type fakeCluster struct {
	data   *dataset.Dataset
	faults faults

	// mutex guards the fields below.
	mutex   sync.Mutex
	random  *rand.Rand
	servers []*catalog.Server // the actual state
	view    *catalog.View     // what the catalog shows; it lags behind the actual state
	calls   []*call
	// permits counts the permits in use at each server; permitsPerServer is its bound.
	permits          map[target.ServerID]int
	permitsPerServer int
	// scripts replaces the behaviour of single servers.
	scripts map[target.ServerID]script
	// reportedFailures holds the reasons of the failures that the executor reported for each server.
	reportedFailures map[target.ServerID][]outcome.Reason
}

// script handles every sub-request of one server.
type script func(ctx context.Context, request *backend.Request) (*backend.Response, error)

func newFakeCluster(seed uint64, injected faults) *fakeCluster {
	cluster := &fakeCluster{
		data:             dataset.New(service, seed, 300),
		faults:           injected,
		random:           rand.New(rand.NewPCG(seed, 1)),
		permits:          map[target.ServerID]int{},
		scripts:          map[target.ServerID]script{},
		reportedFailures: map[target.ServerID][]outcome.Reason{},
		permitsPerServer: 1 << 20,
	}
	return cluster
}

// addGroup adds a group of replicas that hold the ranges at the versions.
func (c *fakeCluster) addGroup(group string, replicas int, versions []target.Version, ranges ...keyspace.Range) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for range replicas {
		server := &catalog.Server{
			ID: target.ServerID(fmt.Sprintf("s%03d", len(c.servers))), Service: service, Group: group, Weight: 1,
		}
		for _, version := range versions {
			held := backend.Index{Version: version}
			for _, keys := range ranges {
				held.Shards = append(held.Shards, backend.Shard{Group: group, Range: keys})
			}
			server.Indexes = append(server.Indexes, held)
		}
		c.servers = append(c.servers, server)
	}
}

// setScript replaces the behaviour of a server while requests run.
func (c *fakeCluster) setScript(server target.ServerID, behaviour script) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.scripts[server] = behaviour
}

// updateCatalog makes the catalog show the actual servers.
func (c *fakeCluster) updateCatalog() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.view = &catalog.View{Service: service, Servers: slices.Clone(c.servers)}
}

// changeServer replaces a server by a changed copy. The catalog shows it after updateCatalog.
func (c *fakeCluster) changeServer(index int, edit func(*catalog.Server)) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	changed := *c.servers[index]
	changed.Indexes = slices.Clone(changed.Indexes)
	edit(&changed)
	c.servers[index] = &changed
}

func (c *fakeCluster) View(target.Service) *catalog.View {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.view
}

func (c *fakeCluster) ReportHints(target.ServerID, backend.Hints) {}

func (c *fakeCluster) ReportResult(server target.ServerID, err error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if err != nil {
		c.reportedFailures[server] = append(c.reportedFailures[server], outcome.ReasonOf(err))
	}
}

// Do runs one sub-request: the delay of the request, the execution, and the delay of the response.
func (c *fakeCluster) Do(ctx context.Context, request *backend.Request) (*backend.Response, error) {
	record := &call{request: *request, at: time.Now()}
	c.mutex.Lock()
	c.calls = append(c.calls, record)
	requestDelay, responseDelay := c.drawDelay(), c.drawDelay()
	roll := c.random.IntN(100)
	ignoreCancel := c.random.IntN(100) < c.faults.IgnoreCancel
	scripted := c.scripts[request.Target.Server]
	c.mutex.Unlock()
	if scripted != nil {
		return scripted(ctx, request)
	}
	response, err := c.serve(ctx, record, roll, ignoreCancel, requestDelay, responseDelay)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	record.ended, record.reason, record.result = true, outcome.ReasonOf(err), outcome.Of(err)
	return response, err
}

func (c *fakeCluster) serve(ctx context.Context, record *call, roll int, ignoreCancel bool, requestDelay, responseDelay time.Duration) (*backend.Response, error) {
	server := record.request.Target.Server
	failure := func(result outcome.Outcome, reason outcome.Reason) error {
		return &outcome.Error{Step: "fake", Peer: string(server), Outcome: result, Reason: reason}
	}
	// chosen reports whether the roll falls into the next percent values, so that a sub-request gets
	// at most one of the faults.
	chosen := func(percent int) bool {
		roll -= percent
		return roll < 0 && roll >= -percent
	}
	if chosen(c.faults.Unreachable) {
		return nil, failure(outcome.NotRun, outcome.ReasonUnreachable)
	}
	cancelled := !sleep(ctx, requestDelay) && !ignoreCancel
	if reason := c.refusalReason(record); reason != "" && !cancelled {
		return nil, failure(outcome.NotRun, reason)
	}
	if chosen(c.faults.Shed) && !cancelled {
		return nil, failure(outcome.NotRun, outcome.ReasonShed)
	}
	c.mutex.Lock()
	record.executed = true
	c.mutex.Unlock()
	if chosen(c.faults.Hang) {
		<-ctx.Done()
		return nil, failure(outcome.Unknown, outcome.ReasonDeadline)
	}
	if chosen(c.faults.Straggle) {
		responseDelay *= 20
	}
	if cancelled || !sleep(ctx, responseDelay) && !ignoreCancel {
		return nil, failure(outcome.Unknown, outcome.ReasonCancelled)
	}
	answered := record.request.Target
	switch {
	case chosen(c.faults.Lost):
		return nil, failure(outcome.Unknown, outcome.ReasonConnectionLost)
	case chosen(c.faults.WrongVersion):
		answered.Version++
	case chosen(c.faults.WrongRange):
		answered.Range.Start = answered.Range.Start / 2
		answered.Range.End = max(answered.Range.End-1, answered.Range.Start+1)
	}
	return c.evaluate(&record.request, answered), nil
}

func (c *fakeCluster) evaluate(request *backend.Request, answered target.Target) *backend.Response {
	result := c.data.Evaluate(answered.Version, request.Query, []keyspace.Range{answered.Range}, request.Limit)
	return &backend.Response{
		Version: answered.Version, Range: answered.Range,
		Records: result.Records, Matches: result.Matches, ScoreSum: result.ScoreSum,
	}
}

// refusalReason returns why the server refuses to run the sub-request now, or "".
func (c *fakeCluster) refusalReason(record *call) outcome.Reason {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	requested := record.request.Target
	at := slices.IndexFunc(c.servers, func(server *catalog.Server) bool { return server.ID == requested.Server })
	server := c.servers[at]
	if server.State == catalog.Leaving {
		return outcome.ReasonDraining
	}
	for _, held := range server.Indexes {
		if held.Version != requested.Version {
			continue
		}
		for _, part := range held.Shards {
			if part.Range.Covers(requested.Range) {
				return ""
			}
		}
		return outcome.ReasonRangeNotHeld
	}
	return outcome.ReasonVersionGone
}

// drawDelay draws the delay of a request or a response. The caller must hold the mutex.
func (c *fakeCluster) drawDelay() time.Duration {
	return time.Duration(100+c.random.IntN(2000)) * time.Microsecond
}

// sleep waits for the given time, even if ctx ends earlier, and reports whether ctx was alive
// throughout.
func sleep(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		<-timer.C // a late answer takes as long as any other
		return false
	}
}

func (c *fakeCluster) TryAcquire(server target.ServerID) (query.Permit, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.permits[server] >= c.permitsPerServer {
		return nil, false
	}
	c.permits[server]++
	return &permit{cluster: c, server: server}, true
}

func (c *fakeCluster) Acquire(ctx context.Context, server target.ServerID) (query.Permit, error) {
	for range 3 {
		if granted, ok := c.TryAcquire(server); ok {
			return granted, nil
		}
		if !sleep(ctx, time.Millisecond) {
			break
		}
	}
	return nil, &outcome.Error{Step: "acquire", Outcome: outcome.NotRun, Reason: outcome.ReasonOverloaded, RetryAfter: time.Second}
}

func (c *fakeCluster) Observe(server target.ServerID) limit.Observation {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return limit.Observation{InFlight: c.permits[server], Limit: c.permitsPerServer}
}

type permit struct {
	cluster  *fakeCluster
	server   target.ServerID
	released bool
}

func (p *permit) Release(limit.Result) {
	p.cluster.mutex.Lock()
	defer p.cluster.mutex.Unlock()
	if p.released {
		panic("a permit was released twice")
	}
	p.released = true
	p.cluster.permits[p.server]--
}

// fakeBudget is a budget that counts what was spent.
type fakeBudget struct {
	mutex                 sync.Mutex
	share                 float64
	burst, primary, spent int
}

func (b *fakeBudget) For(template.Key, string, policy.ExtraLoadSpec) query.Budget { return b }

func (b *fakeBudget) Earn(primary int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.primary += primary
}

func (b *fakeBudget) TrySpend() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if float64(b.spent+1) > b.share*float64(b.primary)+float64(b.burst) {
		return false
	}
	b.spent++
	return true
}

func (b *fakeBudget) Refund() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.spent--
}
