package admission_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bramblemast/bramblemast/pkg/admission"
	"github.com/bramblemast/bramblemast/pkg/budget"
	"github.com/bramblemast/bramblemast/pkg/limit"
	"github.com/bramblemast/bramblemast/pkg/outcome"
	"github.com/bramblemast/bramblemast/pkg/policy"
	"github.com/bramblemast/bramblemast/pkg/target"
	"github.com/bramblemast/bramblemast/pkg/template"
)

// The simulated service has groups of servers, of which a query asks one in
// each group. The sizes are those of the election results.
const (
	replicas    = 4
	slots       = 5
	backlog     = 10
	connections = 75
	serviceTime = 5 * time.Millisecond
	network     = time.Millisecond
	deadline    = 88 * time.Millisecond
	seed        = 11
	// capacity is in queries per second.
	capacity = replicas * slots * int(time.Second/serviceTime)
)

// stream is a part of the offered load.
type stream struct {
	tenant string
	class  policy.Class
	// load is the offered load in multiples of the capacity.
	load float64
}

// simulation is one run, in virtual time, of nodes with all limits in place:
// gate, server limits, replica choice, retries and the extra-load budget.
type simulation struct {
	nodes, groups int
	streams       []stream
	spec          policy.Spec
	// burst is a number of queries that all come at the start of the measured
	// time; returning callers retry once after the time that they were told.
	burst     int
	returning bool
}

const (
	warmUp  = 1500 * time.Millisecond
	measure = time.Second
)

// counts is what became of queries, and of their sub-requests.
type counts struct {
	offered, useful, partial, late, refused, returned int
	needed, sent, shed                                int
	// refusalTime and servedTime are sums; lastServed is since the start of the
	// measured time.
	refusalTime, servedTime, lastServed time.Duration
}

// tally adds up counts of many queries.
type tally struct {
	mutex sync.Mutex
	counts
}

func (t *tally) note(change func(*counts)) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	change(&t.counts)
}

// share returns a count in multiples of the capacity in the measured time.
func share(count int) float64 { return float64(count) / (float64(capacity) * measure.Seconds()) }

func (c counts) attempts() float64 { return float64(c.sent) / float64(max(1, c.needed)) }

func (c counts) meanRefusal() time.Duration { return c.refusalTime / time.Duration(max(1, c.refused)) }

func (c counts) meanServed() time.Duration { return c.servedTime / time.Duration(max(1, c.useful)) }

// String formats the counts as shares of the capacity.
func (c counts) String() string {
	return fmt.Sprintf("useful %.3f partial %.3f late %.3f refused %.3f returned %.3f; sent %.3f for each needed; refused after %v, served after %v",
		share(c.useful), share(c.partial), share(c.late), share(c.refused), share(c.returned), c.attempts(), c.meanRefusal(), c.meanServed())
}

// simServer serves with a number of slots and a bounded backlog.
type simServer struct {
	mutex   sync.Mutex
	random  *rand.Rand
	slots   chan struct{}
	present int
}

// serve runs one sub-request and reports false if it was shed.
func (s *simServer) serve() bool {
	s.mutex.Lock()
	if s.present >= slots+backlog {
		s.mutex.Unlock()
		return false
	}
	s.present++
	duration := time.Duration(float64(serviceTime) * (0.5 + 0.5*s.random.ExpFloat64()))
	s.mutex.Unlock()
	s.slots <- struct{}{}
	time.Sleep(duration)
	<-s.slots
	s.mutex.Lock()
	s.present--
	s.mutex.Unlock()
	return true
}

// node is one node of the query tier.
type node struct {
	sim      simulation
	servers  map[target.ServerID]*simServer
	groups   [][]target.ServerID
	gate     *admission.Gate
	limits   *limit.Servers
	budget   *budget.Budget
	policies policy.Set
	begin    time.Time

	// mutex guards random.
	mutex  sync.Mutex
	random *rand.Rand
}

// run returns the counts of each stream and of the burst.
func (sim simulation) run(t *testing.T) ([]counts, counts) {
	tallies := make([]tally, len(sim.streams)+1)
	synctest.Test(t, func(t *testing.T) { sim.runInBubble(tallies) })
	results := make([]counts, len(sim.streams))
	for index := range results {
		results[index] = tallies[index].counts
		t.Logf("nodes=%d groups=%d %+v: %v", sim.nodes, sim.groups, sim.streams[index], results[index])
	}
	return results, tallies[len(results)].counts
}

func (sim simulation) runInBubble(tallies []tally) {
	servers := make(map[target.ServerID]*simServer)
	groups := make([][]target.ServerID, sim.groups)
	for number := range sim.groups * replicas {
		group := number / replicas
		id := target.ServerID(fmt.Sprintf("10.0.%d.%d:9000", group, number%replicas))
		servers[id] = &simServer{random: rand.New(rand.NewPCG(seed, uint64(number))), slots: make(chan struct{}, slots)}
		groups[group] = append(groups[group], id)
	}
	begin := time.Now().Add(warmUp)
	var group sync.WaitGroup
	for number := range sim.nodes {
		one := sim.newNode(number, begin)
		one.servers, one.groups = servers, groups
		for id := range servers {
			one.limits.Configure(id, limit.Share{Slots: slots / float64(sim.nodes), Connections: connections / sim.nodes})
		}
		for index, source := range sim.streams {
			group.Go(func() { one.offer(source, &tallies[index]) })
		}
		group.Go(func() { one.offerBurst(&tallies[len(sim.streams)]) })
	}
	group.Wait()
}

func (sim simulation) newNode(number int, begin time.Time) *node {
	policies, err := policy.Build(sim.spec)
	if err != nil {
		panic(err)
	}
	return &node{
		sim: sim, policies: policies, begin: begin,
		gate:   admission.NewGate(admission.Options{}),
		limits: limit.NewServers(limit.Options{}),
		budget: budget.NewPool().For(template.Key{}, template.ControlArm, policies.ExtraLoad),
		random: rand.New(rand.NewPCG(seed, uint64(1000+number))),
	}
}

// offer sends the node's part of a stream, open loop, until the end.
func (n *node) offer(source stream, result *tally) {
	var group sync.WaitGroup
	interval := float64(time.Second) * float64(n.sim.nodes) / (float64(capacity) * source.load)
	for time.Now().Before(n.begin.Add(measure)) {
		n.mutex.Lock()
		pause := time.Duration(interval * n.random.ExpFloat64())
		n.mutex.Unlock()
		time.Sleep(pause)
		group.Go(func() { n.call(source, result) })
	}
	group.Wait()
}

func (n *node) offerBurst(result *tally) {
	time.Sleep(time.Until(n.begin))
	var group sync.WaitGroup
	for range n.sim.burst {
		group.Go(func() { n.call(n.sim.streams[0], result) })
	}
	group.Wait()
}

// call is one caller: it sends a query, and again if it was refused and returns.
// Each attempt has the whole deadline.
func (n *node) call(source stream, result *tally) {
	if time.Now().Before(n.begin) {
		result = &tally{}
	}
	result.note(func(c *counts) { c.offered++ })
	err := n.query(source, result)
	if err != nil && n.sim.returning {
		var refused *outcome.Error
		errors.As(err, &refused)
		time.Sleep(refused.RetryAfter)
		result.note(func(c *counts) { c.returned++ })
		_ = n.query(source, result)
	}
}

// query admits one query and asks one replica in each group.
func (n *node) query(source stream, result *tally) error {
	arrived := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	ticket, err := n.gate.Acquire(ctx, admission.Request{Tenant: source.tenant, Class: source.class, Policy: n.policies.Admission})
	if err != nil {
		result.note(func(c *counts) { c.refused++; c.refusalTime += time.Since(arrived) })
		return err
	}
	admitted := time.Now()
	n.budget.Earn(len(n.groups))
	parts := make([]part, len(n.groups))
	var group sync.WaitGroup
	for index, servers := range n.groups {
		group.Go(func() { parts[index] = n.askGroup(ctx, servers) })
	}
	group.Wait()
	sum := sumOf(parts)
	overloaded := admission.Overloaded(sum.sent, sum.shed+sum.refused, !sum.covered)
	ticket.Release(admission.Result{Latency: time.Since(admitted), Overloaded: overloaded})
	result.note(func(c *counts) { c.count(sum, len(parts), time.Since(arrived), time.Since(n.begin)) })
	return nil
}

func (c *counts) count(sum part, needed int, elapsed, sinceBegin time.Duration) {
	c.needed += needed
	c.sent += sum.sent
	c.shed += sum.shed
	switch {
	case !sum.covered:
		c.partial++
	case elapsed > deadline:
		c.late++
	default:
		c.useful++
		c.servedTime += elapsed
		c.lastServed = max(c.lastServed, sinceBegin)
	}
}

// part is what became of one part of a query, or of all its parts.
type part struct {
	covered             bool
	sent, shed, refused int
}

func sumOf(parts []part) part {
	sum := part{covered: true}
	for _, one := range parts {
		sum.covered = sum.covered && one.covered
		sum.sent += one.sent
		sum.shed += one.shed
		sum.refused += one.refused
	}
	return sum
}

// askGroup asks replicas one after the other until one answers, within the retry
// policy and the budget.
func (n *node) askGroup(ctx context.Context, servers []target.ServerID) part {
	var result part
	left := append([]target.ServerID(nil), servers...)
	for len(left) > 0 {
		index := n.choose(left)
		server := left[index]
		left = append(left[:index], left[index+1:]...)
		permit, err := n.limits.Acquire(ctx, server)
		if err != nil {
			result.refused++
			continue
		}
		result.sent++
		if n.send(server, permit) {
			result.covered, result.refused = true, 0
			return result
		}
		result.shed++
		if !n.mayRetry(ctx, result.sent) {
			break
		}
	}
	return result
}

func (n *node) mayRetry(ctx context.Context, attempts int) bool {
	until, _ := ctx.Deadline()
	decision := n.policies.Retry.Decide(policy.RetryState{
		Attempts: attempts, Outcome: outcome.NotRun, Reason: outcome.ReasonShed,
		Remaining: time.Until(until), TypicalLatency: serviceTime,
	})
	if !decision.Retry || !n.budget.TrySpend() {
		return false
	}
	time.Sleep(decision.Delay)
	return true
}

func (n *node) choose(servers []target.ServerID) int {
	states := make([]policy.ReplicaState, 0, len(servers))
	for _, server := range servers {
		observed := n.limits.Observe(server)
		states = append(states, policy.ReplicaState{
			Server: server, InFlight: observed.InFlight, Limit: observed.Limit,
			Latency: observed.Latency, FailureShare: observed.FailureShare, Weight: 1, ReportedLoad: -1,
		})
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.policies.Replica.Choose(states, n.random)
}

func (n *node) send(server target.ServerID, permit *limit.Permit) bool {
	sent := time.Now()
	time.Sleep(network)
	served := n.servers[server].serve()
	time.Sleep(network)
	permit.Release(limit.Result{Latency: time.Since(sent), Shed: !served})
	return served
}
