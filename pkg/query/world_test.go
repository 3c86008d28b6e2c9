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

// faults are the shares, in percent, of sub-requests that go wrong in each way.
type faults struct {
	Shed, Unreachable, Lost, Hang, Straggle, WrongVersion, WrongRange, IgnoreCancel int
}

// none reports whether nothing goes wrong. Late answers after a cancellation
// are part of normal work.
func (f faults) none() bool { return f == faults{IgnoreCancel: f.IgnoreCancel} }

// call is one sub-request that reached the client.
type call struct {
	request  backend.Request
	at       time.Time
	executed bool
	// ended, reason and result are set when the client returned.
	ended  bool
	reason outcome.Reason
	result outcome.Outcome
}

// world is a service of servers with an injected fault for some sub-requests.
// It is the client, the catalog and the limits of the executor under test.
type world struct {
	data   *dataset.Dataset
	faults faults

	// mutex guards the fields below.
	mutex   sync.Mutex
	random  *rand.Rand
	servers []*catalog.Server // the truth
	view    *catalog.View     // what the catalog shows, later than the truth
	calls   []*call
	// permits counts the permits that are out, for each server.
	permits   map[target.ServerID]int
	perServer int
	// scripts replace the behaviour of single servers.
	scripts map[target.ServerID]script
	// reported holds what the executor told the catalog of each server.
	reported map[target.ServerID][]outcome.Reason
}

// script answers every sub-request of one server.
type script func(ctx context.Context, request *backend.Request) (*backend.Response, error)

func newWorld(seed uint64, injected faults) *world {
	w := &world{
		data:      dataset.New(service, seed, 300),
		faults:    injected,
		random:    rand.New(rand.NewPCG(seed, 1)),
		permits:   map[target.ServerID]int{},
		scripts:   map[target.ServerID]script{},
		reported:  map[target.ServerID][]outcome.Reason{},
		perServer: 1 << 20,
	}
	return w
}

// addGroup adds replicas that hold the ranges at the versions.
func (w *world) addGroup(group string, replicas int, versions []target.Version, ranges ...keyspace.Range) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for range replicas {
		server := &catalog.Server{
			ID: target.ServerID(fmt.Sprintf("s%03d", len(w.servers))), Service: service, Group: group, Weight: 1,
		}
		for _, version := range versions {
			held := backend.Index{Version: version}
			for _, keys := range ranges {
				held.Shards = append(held.Shards, backend.Shard{Group: group, Range: keys})
			}
			server.Indexes = append(server.Indexes, held)
		}
		w.servers = append(w.servers, server)
	}
}

// setScript replaces the behaviour of a server while requests run.
func (w *world) setScript(server target.ServerID, behaviour script) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.scripts[server] = behaviour
}

// refresh shows the truth in the catalog.
func (w *world) refresh() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.view = &catalog.View{Service: service, Servers: slices.Clone(w.servers)}
}

// change replaces a server of the truth by a changed copy.
func (w *world) change(index int, edit func(*catalog.Server)) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	changed := *w.servers[index]
	changed.Indexes = slices.Clone(changed.Indexes)
	edit(&changed)
	w.servers[index] = &changed
}

func (w *world) View(target.Service) *catalog.View {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.view
}

func (w *world) ReportHints(target.ServerID, backend.Hints) {}

func (w *world) ReportResult(server target.ServerID, err error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if err != nil {
		w.reported[server] = append(w.reported[server], outcome.ReasonOf(err))
	}
}

// Do runs one sub-request: a way there, the work, a way back.
func (w *world) Do(ctx context.Context, request *backend.Request) (*backend.Response, error) {
	record := &call{request: *request, at: time.Now()}
	w.mutex.Lock()
	w.calls = append(w.calls, record)
	there, back := w.delay(), w.delay()
	fate := w.random.IntN(100)
	ignoreCancel := w.random.IntN(100) < w.faults.IgnoreCancel
	scripted := w.scripts[request.Target.Server]
	w.mutex.Unlock()
	if scripted != nil {
		return scripted(ctx, request)
	}
	response, err := w.serve(ctx, record, fate, ignoreCancel, there, back)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	record.ended, record.reason, record.result = true, outcome.ReasonOf(err), outcome.Of(err)
	return response, err
}

func (w *world) serve(ctx context.Context, record *call, fate int, ignoreCancel bool, there, back time.Duration) (*backend.Response, error) {
	server := record.request.Target.Server
	failure := func(result outcome.Outcome, reason outcome.Reason) error {
		return &outcome.Error{Step: "fake", Peer: string(server), Outcome: result, Reason: reason}
	}
	chosen := func(percent int) bool {
		fate -= percent
		return fate < 0 && fate >= -percent
	}
	if chosen(w.faults.Unreachable) {
		return nil, failure(outcome.NotRun, outcome.ReasonUnreachable)
	}
	cancelled := !sleep(ctx, there) && !ignoreCancel
	if reason := w.refusal(record); reason != "" && !cancelled {
		return nil, failure(outcome.NotRun, reason)
	}
	if chosen(w.faults.Shed) && !cancelled {
		return nil, failure(outcome.NotRun, outcome.ReasonShed)
	}
	w.mutex.Lock()
	record.executed = true
	w.mutex.Unlock()
	if chosen(w.faults.Hang) {
		<-ctx.Done()
		return nil, failure(outcome.Unknown, outcome.ReasonDeadline)
	}
	if chosen(w.faults.Straggle) {
		back *= 20
	}
	if cancelled || !sleep(ctx, back) && !ignoreCancel {
		return nil, failure(outcome.Unknown, outcome.ReasonCancelled)
	}
	asked := record.request.Target
	switch {
	case chosen(w.faults.Lost):
		return nil, failure(outcome.Unknown, outcome.ReasonConnectionLost)
	case chosen(w.faults.WrongVersion):
		asked.Version++
	case chosen(w.faults.WrongRange):
		asked.Range.Start = asked.Range.Start / 2
		asked.Range.End = max(asked.Range.End-1, asked.Range.Start+1)
	}
	return w.answer(&record.request, asked), nil
}

func (w *world) answer(request *backend.Request, answered target.Target) *backend.Response {
	result := w.data.Evaluate(answered.Version, request.Query, []keyspace.Range{answered.Range}, request.Limit)
	return &backend.Response{
		Version: answered.Version, Range: answered.Range,
		Records: result.Records, Matches: result.Matches, ScoreSum: result.ScoreSum,
	}
}

// refusal returns why the server would not run a sub-request now.
func (w *world) refusal(record *call) outcome.Reason {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	asked := record.request.Target
	at := slices.IndexFunc(w.servers, func(server *catalog.Server) bool { return server.ID == asked.Server })
	server := w.servers[at]
	if server.State == catalog.Leaving {
		return outcome.ReasonDraining
	}
	for _, held := range server.Indexes {
		if held.Version != asked.Version {
			continue
		}
		for _, part := range held.Shards {
			if part.Range.Covers(asked.Range) {
				return ""
			}
		}
		return outcome.ReasonRangeNotHeld
	}
	return outcome.ReasonVersionGone
}

// delay draws the time of one way. The mutex is held.
func (w *world) delay() time.Duration {
	return time.Duration(100+w.random.IntN(2000)) * time.Microsecond
}

// sleep waits and reports whether ctx was still alive at the end.
func sleep(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		<-timer.C // a late answer arrives in its own time
		return false
	}
}

func (w *world) TryAcquire(server target.ServerID) (query.Permit, bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.permits[server] >= w.perServer {
		return nil, false
	}
	w.permits[server]++
	return &permit{world: w, server: server}, true
}

func (w *world) Acquire(ctx context.Context, server target.ServerID) (query.Permit, error) {
	for range 3 {
		if granted, ok := w.TryAcquire(server); ok {
			return granted, nil
		}
		if !sleep(ctx, time.Millisecond) {
			break
		}
	}
	return nil, &outcome.Error{Step: "acquire", Outcome: outcome.NotRun, Reason: outcome.ReasonOverloaded, RetryAfter: time.Second}
}

func (w *world) Observe(server target.ServerID) limit.Observation {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return limit.Observation{InFlight: w.permits[server], Limit: w.perServer}
}

type permit struct {
	world    *world
	server   target.ServerID
	released bool
}

func (p *permit) Release(limit.Result) {
	p.world.mutex.Lock()
	defer p.world.mutex.Unlock()
	if p.released {
		panic("a permit was released twice")
	}
	p.released = true
	p.world.permits[p.server]--
}

// ledger is a budget that counts what was paid.
type ledger struct {
	mutex                 sync.Mutex
	share                 float64
	burst, primary, spent int
}

func (l *ledger) For(template.Key, string, policy.ExtraLoadSpec) query.Budget { return l }

func (l *ledger) Earn(primary int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.primary += primary
}

func (l *ledger) TrySpend() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if float64(l.spent+1) > l.share*float64(l.primary)+float64(l.burst) {
		return false
	}
	l.spent++
	return true
}

func (l *ledger) Refund() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.spent--
}
