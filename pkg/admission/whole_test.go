package admission_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/pkg/admission"
	"github.com/bramblemast/bramblemast/pkg/budget"
	"github.com/bramblemast/bramblemast/pkg/limit"
	"github.com/bramblemast/bramblemast/pkg/outcome"
	"github.com/bramblemast/bramblemast/pkg/policy"
	"github.com/bramblemast/bramblemast/pkg/target"
	"github.com/bramblemast/bramblemast/pkg/template"
)

// A service of the size of the election results: groups of servers, of which a
// query asks one in each group.
const (
	wholeReplicas    = 4
	wholeSlots       = 5
	wholeBacklog     = 10
	wholeConnections = 75
	wholeService     = 5 * time.Millisecond
	wholeNetwork     = time.Millisecond
)

// wholeSimulation is one run of nodes with all the limits in place: gate, server
// limits, replica choice, retries and the extra-load budget.
type wholeSimulation struct {
	nodes, groups int
	load          float64
	warmUp        time.Duration
	measure       time.Duration
}

// wholeResult counts queries as shares of the capacity, and sub-requests for
// each that was needed.
type wholeResult struct {
	mutex                       sync.Mutex
	useful, partial, late       int
	refused                     int
	sent, needed, shed, retries int
	refusalTime, servedTime     time.Duration
	capacity                    float64
}

// wholeNode is one node of the query tier.
type wholeNode struct {
	sim      wholeSimulation
	servers  map[target.ServerID]*backends
	groups   [][]target.ServerID
	gate     *admission.Gate
	limits   *limit.Servers
	budgets  *budget.Pool
	policies policy.Set
	result   *wholeResult
	begin    time.Time

	// mutex guards random.
	mutex  sync.Mutex
	random *rand.Rand
}

func (sim wholeSimulation) run(t *testing.T) *wholeResult {
	result := &wholeResult{}
	synctest.Test(t, func(t *testing.T) { sim.runInBubble(result) })
	refusal, served := result.meanTimes()
	t.Logf("nodes=%d groups=%d load=%.1f: useful %.3f partial %.3f late %.3f refused %.3f of capacity; sent %.3f shed %.3f for each needed; refused after %v, served after %v",
		sim.nodes, sim.groups, sim.load, result.share(result.useful), result.share(result.partial), result.share(result.late),
		result.share(result.refused), result.attempts(), float64(result.shed)/float64(result.needed),
		refusal, served)
	return result
}

func (sim wholeSimulation) runInBubble(result *wholeResult) {
	servers := make(map[target.ServerID]*backends)
	groups := make([][]target.ServerID, sim.groups)
	for group := range groups {
		for replica := range wholeReplicas {
			id := target.ServerID(fmt.Sprintf("10.0.%d.%d:9000", group, replica))
			servers[id] = newBackends(wholeSlots, wholeBacklog, wholeService, uint64(group*wholeReplicas+replica))
			groups[group] = append(groups[group], id)
		}
	}
	policies, err := policy.Build(policy.Spec{})
	if err != nil {
		panic(err)
	}
	perSecond := wholeReplicas * wholeSlots / wholeService.Seconds()
	result.capacity = perSecond * sim.measure.Seconds()
	begin := time.Now().Add(sim.warmUp)
	var group sync.WaitGroup
	for number := range sim.nodes {
		node := &wholeNode{
			sim: sim, servers: servers, groups: groups, policies: policies, result: result, begin: begin,
			gate: admission.NewGate(admission.Options{}), limits: limit.NewServers(limit.Options{}), budgets: budget.NewPool(),
			random: rand.New(rand.NewPCG(simulatedSeed, uint64(number))),
		}
		for id := range servers {
			node.limits.Configure(id, limit.Share{
				Slots: wholeSlots / float64(sim.nodes), Connections: wholeConnections / sim.nodes,
			})
		}
		group.Go(func() { node.run(sim.load * perSecond / float64(sim.nodes)) })
	}
	group.Wait()
}

func (n *wholeNode) run(perSecond float64) {
	var group sync.WaitGroup
	end := n.begin.Add(n.sim.measure)
	for time.Now().Before(end) {
		n.mutex.Lock()
		pause := time.Duration(n.random.ExpFloat64() / perSecond * float64(time.Second))
		n.mutex.Unlock()
		time.Sleep(pause)
		group.Go(n.query)
	}
	group.Wait()
}

// query admits one query and asks one replica in each group.
func (n *wholeNode) query() {
	arrived := time.Now()
	deadline := arrived.Add(simulatedDeadline)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	measured := !arrived.Before(n.begin)
	ticket, err := n.gate.Acquire(ctx, admission.Request{Tenant: "valgdata", Policy: n.policies.Admission, Deadline: deadline})
	if err != nil {
		n.result.note(measured, func(r *wholeResult) { r.refused++; r.refusalTime += time.Since(arrived) })
		return
	}
	admitted := time.Now()
	extra := n.budgets.For(template.Key{Tenant: "valgdata", Name: "results"}, template.ControlArm, n.policies.ExtraLoad)
	extra.Earn(len(n.groups))
	parts := make([]partResult, len(n.groups))
	var group sync.WaitGroup
	for index, replicas := range n.groups {
		group.Go(func() { parts[index] = n.askPart(ctx, deadline, replicas, extra) })
	}
	group.Wait()
	n.finish(ticket, parts, arrived, admitted, deadline, measured)
}

// partResult is what became of one part of a query.
type partResult struct {
	covered                      bool
	sent, shed, refused, retries int
}

func (n *wholeNode) finish(ticket *admission.Ticket, parts []partResult, arrived, admitted, deadline time.Time, measured bool) {
	var sum partResult
	sum.covered = true
	for _, part := range parts {
		sum.covered = sum.covered && part.covered
		sum.sent += part.sent
		sum.shed += part.shed
		sum.refused += part.refused
		sum.retries += part.retries
	}
	overloaded := admission.Overloaded(sum.sent, sum.shed+sum.refused, !sum.covered)
	ticket.Release(admission.Result{Latency: time.Since(admitted), Overloaded: overloaded})
	n.result.note(measured, func(r *wholeResult) {
		r.needed += len(parts)
		r.sent += sum.sent
		r.shed += sum.shed
		r.retries += sum.retries
		switch {
		case !sum.covered:
			r.partial++
		case time.Now().After(deadline):
			r.late++
		default:
			r.useful++
			r.servedTime += time.Since(arrived)
		}
	})
}

// askPart asks replicas one after the other until one answers, within the retry
// policy and the budget.
func (n *wholeNode) askPart(ctx context.Context, deadline time.Time, replicas []target.ServerID, extra *budget.Budget) partResult {
	var part partResult
	left := append([]target.ServerID(nil), replicas...)
	for len(left) > 0 {
		index := n.choose(left)
		server := left[index]
		left = append(left[:index], left[index+1:]...)
		permit, err := n.limits.Acquire(ctx, server)
		if err != nil {
			part.refused++
			continue
		}
		part.sent++
		if n.send(server, permit) {
			part.covered = true
			part.refused = 0
			return part
		}
		part.shed++
		state := policy.RetryState{Attempts: part.sent, Outcome: outcome.NotRun, Reason: outcome.ReasonShed, Remaining: time.Until(deadline), TypicalLatency: wholeService}
		decision := n.policies.Retry.Decide(state)
		if !decision.Retry || !extra.TrySpend() {
			return part
		}
		part.retries++
		time.Sleep(decision.Delay)
	}
	return part
}

func (n *wholeNode) choose(replicas []target.ServerID) int {
	states := make([]policy.ReplicaState, 0, len(replicas))
	for _, server := range replicas {
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

func (n *wholeNode) send(server target.ServerID, permit *limit.Permit) bool {
	sent := time.Now()
	time.Sleep(wholeNetwork)
	served := n.servers[server].serve()
	time.Sleep(wholeNetwork)
	permit.Release(limit.Result{Latency: time.Since(sent), Shed: !served})
	return served
}

func (r *wholeResult) note(measured bool, change func(*wholeResult)) {
	if !measured {
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	change(r)
}

func (r *wholeResult) share(count int) float64 { return float64(count) / r.capacity }

// meanTimes returns the mean times until a refusal and until a useful answer.
func (r *wholeResult) meanTimes() (refusal, served time.Duration) {
	refusal = r.refusalTime / time.Duration(max(1, r.refused))
	served = r.servedTime / time.Duration(max(1, r.useful))
	return refusal, served
}

func (r *wholeResult) attempts() float64 { return float64(r.sent) / float64(r.needed) }

// TestAllLimitsTogether shows the aim of the project at twice the capacity: at
// least 90% of it goes into useful answers, for at most 1.1 sub-requests for
// each that is needed, and refusals take a small part of the time of answers.
func TestAllLimitsTogether(t *testing.T) {
	g := NewWithT(t)
	base := wholeSimulation{groups: 4, warmUp: 1500 * time.Millisecond, measure: time.Second}
	below := base
	below.nodes, below.load = 3, 0.6
	result := below.run(t)
	g.Expect(result.partial + result.late + result.refused).To(BeZero())
	for _, nodes := range []int{1, 3, 9, 30} {
		above := base
		above.nodes, above.load = nodes, 2
		result := above.run(t)
		g.Expect(result.share(result.useful)).To(BeNumerically(">=", 0.9))
		g.Expect(result.attempts()).To(BeNumerically("<=", 1.1))
		refusal, served := result.meanTimes()
		g.Expect(refusal).To(BeNumerically("<", served/10))
		g.Expect(served).To(BeNumerically("<", 3*simulatedDeadline/4), "no queue stands that only adds latency")
	}
}
