package fanout_test

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/pkg/exchange"
	"github.com/bramblemast/bramblemast/pkg/exchange/exchangetest"
	"github.com/bramblemast/bramblemast/pkg/fanout"
	"github.com/bramblemast/bramblemast/pkg/fleet"
	"github.com/bramblemast/bramblemast/pkg/outcome"
	"github.com/bramblemast/bramblemast/pkg/policy"
)

// countingBudget is a budget that allows a fixed number of extra sub-requests.
type countingBudget struct {
	// mutex guards the fields below, since some tests change them during a run.
	mutex                  sync.Mutex
	earned, spent, allowed int
	reserves               []float64
}

// allow changes the number of extra sub-requests; it may be called during a run.
func (c *countingBudget) allow(count int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.allowed = count
}

func (c *countingBudget) Earn(string, time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.earned++
}

func (c *countingBudget) TrySpend(_ string, reserve float64, _ time.Time) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.reserves = append(c.reserves, reserve)
	if c.spent >= c.allowed {
		return false
	}
	c.spent++
	return true
}

// world is a runner and a fleet over an in-memory network.
type world struct {
	network *exchangetest.Network
	fleet   *fleet.Fleet
	budget  *countingBudget
	runner  *fanout.Runner
	servers map[string]*exchangetest.Server
	// hasServer holds the services that have a server already.
	hasServer map[string]bool
}

func newWorld() *world {
	w := &world{
		network: exchangetest.NewNetwork(), budget: &countingBudget{allowed: 100}, servers: make(map[string]*exchangetest.Server),
		hasServer: make(map[string]bool),
	}
	w.fleet = fleet.New(fleet.Settings{
		Local: fleet.Place{Zone: "z"}, LeaveGrace: time.Second, Dialer: w.network, Random: rand.New(rand.NewPCG(1, 1)),
	})
	w.runner = &fanout.Runner{
		Fleet: w.fleet, Budget: w.budget, Dialect: &exchangetest.Dialect, Linger: 350 * time.Millisecond,
		IsUsable: func(answer *exchange.Response) bool { return answer.Status == http.StatusOK && answer.Evidence != "" },
	}
	return w
}

// add adds a server to a service. The first one of a service is in the local zone, the others in
// zone "far".
func (w *world) add(service, name string, answer exchangetest.Answer) {
	zone := "far"
	if !w.hasServer[service] {
		zone, w.hasServer[service] = "z", true
	}
	w.servers[name] = w.network.Add(name, func(exchangetest.Request) exchangetest.Answer { return answer })
	w.fleet.Apply(fleet.Server{ID: name, Service: service, Address: name, Zone: zone, Slots: 5}, time.Now())
}

func (w *world) run(plan fanout.Plan) (fanout.Result, time.Duration) {
	began := time.Now()
	result := w.runner.Run(context.Background(), plan, &exchange.Request{Method: "GET", Target: "/", ID: "r"})
	return result, time.Since(began)
}

func (w *world) arrivals(names ...string) int {
	total := 0
	for _, name := range names {
		total += len(w.servers[name].Requests())
	}
	return total
}

var hedge = func() policy.HedgePolicy {
	set, err := policy.Build(policy.Spec{Hedge: policy.HedgeSpec{Policy: policy.HedgeTypical, Factor: 2.5}})
	if err != nil {
		panic(err)
	}
	return set.Hedge
}()

// plan sends a request to the services and accepts half of them after 200 ms.
func plan(services ...string) fanout.Plan {
	now := time.Now()
	return fanout.Plan{
		Kind: "k", Services: services, Required: (len(services) + 1) / 2, Repeatable: true, MaxAttempts: 2,
		Target: now.Add(200 * time.Millisecond), Deadline: now.Add(time.Second), Assumed: 20 * time.Millisecond,
		MaxServerWait: 100 * time.Millisecond, Hedge: hedge, ExtraShare: 1,
	}
}

func quick(body string) exchangetest.Answer {
	answer := exchangetest.Whole(body)
	answer.Delay = 10 * time.Millisecond
	return answer
}

// inBubble runs a test in a bubble with virtual time.
func inBubble(t *testing.T, test func(g *WithT, w *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := newWorld()
		test(NewWithT(t), w)
		time.Sleep(time.Minute)
		w.fleet.Sweep(time.Now())
	})
}

func TestEveryServiceIsAskedOnce(t *testing.T) {
	inBubble(t, func(g *WithT, w *world) {
		w.add("a", "a1", quick("a"))
		w.add("b", "b1", quick("b"))
		result, took := w.run(plan("a", "b"))
		g.Expect(result.Reason).To(Equal(fanout.StopComplete))
		g.Expect(string(result.Parts[0].Body) + string(result.Parts[1].Body)).To(Equal("ab"))
		g.Expect(took).To(BeNumerically("<", 50*time.Millisecond))
		g.Expect(w.budget.earned).To(Equal(2))
		g.Expect(w.budget.spent).To(BeZero())
	})
}

// TestASilentServerIsHedged checks that a second server is queried within the budget, and that the
// first answer counts.
func TestASilentServerIsHedged(t *testing.T) {
	inBubble(t, func(g *WithT, w *world) {
		w.add("a", "a1", exchangetest.Answer{Hang: true})
		w.add("a", "a2", quick("second"))
		result, took := w.run(plan("a"))
		g.Expect(string(result.Parts[0].Body)).To(Equal("second"))
		g.Expect(result.Hedges).To(Equal(1))
		g.Expect(took).To(BeNumerically("<", 150*time.Millisecond))
		g.Expect(w.budget.spent).To(Equal(1))
	})
}

// TestNoHedgeWithoutBudget checks that without budget the answer is returned at the target without
// the silent part.
func TestNoHedgeWithoutBudget(t *testing.T) {
	inBubble(t, func(g *WithT, w *world) {
		w.budget.allowed = 0
		w.add("a", "a1", exchangetest.Answer{Hang: true})
		w.add("a", "a2", quick("never"))
		w.add("b", "b1", quick("b"))
		result, took := w.run(plan("a", "b"))
		g.Expect(result.Reason).To(Equal(fanout.StopTarget))
		g.Expect(result.AnsweredCount).To(Equal(1))
		g.Expect(took).To(Equal(200 * time.Millisecond))
		g.Expect(w.arrivals("a2")).To(BeZero())
		g.Expect(result.Denied).To(BeNumerically(">", 0))
	})
}

// TestALateRequestHasTheWholeBudget guards against reserving a part of the budget from late
// requests: with half of it reserved, 130 requests got no answer. A late request gets its last part
// as soon as the budget allows it.
func TestALateRequestHasTheWholeBudget(t *testing.T) {
	inBubble(t, func(g *WithT, w *world) {
		w.budget.allowed = 0
		w.add("a", "a1", exchangetest.Answer{Hang: true})
		w.add("a", "a2", quick("never"))
		late := plan("a")
		result, took := w.run(late)
		g.Expect(result.Reason).To(Equal(fanout.StopDeadline))
		g.Expect(took).To(Equal(time.Second))
		g.Expect(w.budget.reserves[0]).To(BeZero())
		g.Expect(w.budget.reserves[len(w.budget.reserves)-1]).To(BeZero())
	})
}

// TestNoMoreServersRunARequestThanItsRouteAllows checks that failed attempts stop at MaxAttempts.
func TestNoMoreServersRunARequestThanItsRouteAllows(t *testing.T) {
	inBubble(t, func(g *WithT, w *world) {
		for _, name := range []string{"a1", "a2", "a3", "a4"} {
			w.add("a", name, exchangetest.Answer{Status: 500, Cut: -1, Header: map[string]string{"Mark": "m"}})
		}
		result, _ := w.run(plan("a"))
		g.Expect(result.AnsweredCount).To(BeZero())
		g.Expect(result.Refusals[0].Status).To(Equal(500))
		g.Expect(result.Outcome).To(Equal(outcome.Completed))
		g.Expect(w.arrivals("a1", "a2", "a3", "a4")).To(Equal(2))
	})
}

// TestANotRepeatableRequestIsSentAgainOnlyOnEvidence checks that a request that is not repeatable
// is sent to a second server only if the first one is known not to have executed it.
func TestANotRepeatableRequestIsSentAgainOnlyOnEvidence(t *testing.T) {
	inBubble(t, func(g *WithT, w *world) {
		w.add("cut", "cut1", exchangetest.Answer{Cut: 0})
		w.add("cut", "cut2", exchangetest.Answer{Cut: 0})
		w.add("refuse", "refuse1", exchangetest.Answer{Status: 503, Cut: -1, Header: map[string]string{"Refused": "1"}})
		w.add("refuse", "refuse2", quick("second"))
		w.add("hang", "hang1", exchangetest.Answer{Hang: true})
		w.add("hang", "hang2", exchangetest.Answer{Hang: true})
		once := func(service string) fanout.Result {
			single := plan(service)
			single.Repeatable = false
			result, _ := w.run(single)
			return result
		}
		result := once("cut")
		g.Expect(result.Outcome).To(Equal(outcome.Unknown))
		g.Expect(w.arrivals("cut1", "cut2")).To(Equal(1))
		result = once("refuse")
		g.Expect(string(result.Parts[0].Body)).To(Equal("second"))
		result = once("hang")
		g.Expect(result.Reason).To(Equal(fanout.StopDeadline))
		g.Expect(result.Outcome).To(Equal(outcome.Unknown))
		g.Expect(w.arrivals("hang1", "hang2")).To(Equal(1))
	})
}

// TestARefusalByAllServersIsNotRun checks the outcome of a request that all servers refused.
func TestARefusalByAllServersIsNotRun(t *testing.T) {
	inBubble(t, func(g *WithT, w *world) {
		for _, name := range []string{"a1", "a2"} {
			w.add("a", name, exchangetest.Answer{Status: 503, Cut: -1, Header: map[string]string{"Refused": "1"}})
		}
		single := plan("a")
		single.Repeatable = false
		result, _ := w.run(single)
		g.Expect(result.Outcome).To(Equal(outcome.NotRun))
	})
}

// TestARetryWaitsForTheBudget guards against giving a part up at once when the budget is exhausted:
// it waits up to MaxServerWait, since other requests add to the budget.
func TestARetryWaitsForTheBudget(t *testing.T) {
	inBubble(t, func(g *WithT, w *world) {
		w.budget.allowed = 0
		w.add("a", "a1", exchangetest.Answer{Status: 503, Cut: -1, Header: map[string]string{"Refused": "1"}})
		w.add("a", "a2", quick("second"))
		time.AfterFunc(60*time.Millisecond, func() { w.budget.allow(1) })
		result, took := w.run(plan("a"))
		g.Expect(result.AnsweredCount).To(Equal(1))
		g.Expect(result.Retries).To(Equal(1))
		g.Expect(took).To(BeNumerically(">=", 60*time.Millisecond))

		result, took = w.run(plan("a"))
		g.Expect(result.AnsweredCount).To(Equal(1), "the server that refused is avoided")
		g.Expect(took).To(BeNumerically("<", 60*time.Millisecond))
	})
	inBubble(t, func(g *WithT, w *world) {
		w.budget.allowed = 0
		w.add("a", "a1", exchangetest.Answer{Status: 503, Cut: -1, Header: map[string]string{"Refused": "1"}})
		w.add("a", "a2", quick("never"))
		result, took := w.run(plan("a"))
		g.Expect(result.AnsweredCount).To(BeZero())
		g.Expect(took).To(BeNumerically("~", 120*time.Millisecond, 30*time.Millisecond))
		g.Expect(result.Outcome).To(Equal(outcome.NotRun))
	})
}

// TestAServerThatCannotBeReachedCostsNoBudget checks that the retry after a failed connection is
// free, since the request never arrived.
func TestAServerThatCannotBeReachedCostsNoBudget(t *testing.T) {
	inBubble(t, func(g *WithT, w *world) {
		w.budget.allowed = 0
		w.fleet.Apply(fleet.Server{ID: "gone", Service: "a", Address: "nowhere", Zone: "z"}, time.Now())
		w.add("a", "a2", quick("second"))
		result, _ := w.run(plan("a"))
		g.Expect(string(result.Parts[0].Body)).To(Equal("second"))
	})
}

// TestAnAbsentShardHoldsNothingBack checks that a shard without servers does not delay an answer
// that is sufficient without it, and is waited for when it is needed.
func TestAnAbsentShardHoldsNothingBack(t *testing.T) {
	inBubble(t, func(g *WithT, w *world) {
		w.add("a", "a1", quick("a"))
		result, took := w.run(plan("a", "b"))
		g.Expect(result.Reason).To(Equal(fanout.StopExhausted))
		g.Expect(result.AnsweredCount).To(Equal(1))
		g.Expect(took).To(BeNumerically("<", 50*time.Millisecond))

		whole := plan("a", "b")
		whole.Required = 2
		time.AfterFunc(50*time.Millisecond, func() { w.add("b", "b1", quick("b")) })
		result, took = w.run(whole)
		g.Expect(result.AnsweredCount).To(Equal(2))
		g.Expect(took).To(BeNumerically("<", 120*time.Millisecond))

		lacking := plan("a", "c")
		lacking.Required = 2
		result, took = w.run(lacking)
		g.Expect(result.AnsweredCount).To(Equal(1))
		g.Expect(took).To(BeNumerically("<=", 130*time.Millisecond), "the part is abandoned after MaxServerWait")
	})
}

// TestBusyServersAreWaitedFor guards against giving a part up while all its servers are busy.
func TestBusyServersAreWaitedFor(t *testing.T) {
	inBubble(t, func(g *WithT, w *world) {
		w.add("a", "a1", quick("a"))
		w.fleet.SetConnections(map[string]int{"a": 1})
		taken := 0
		for {
			lease, _ := w.fleet.Acquire(fleet.Choice{Service: "a", Kind: "k"}, time.Now())
			if lease == nil {
				break
			}
			taken++
			time.AfterFunc(60*time.Millisecond, func() { w.fleet.Finish(lease, fleet.Answered, 0, time.Now()) })
		}
		g.Expect(taken).To(BeNumerically(">", 0))
		result, took := w.run(plan("a"))
		g.Expect(result.AnsweredCount).To(Equal(1))
		g.Expect(took).To(BeNumerically(">=", 60*time.Millisecond))
	})
}

// TestAClientThatLeavesEndsTheWorkAtOnce checks that a cancelled run ends at once and leaves the
// server's slot free. An answered run lets its other attempts finish instead, so that their
// connections can be reused.
func TestAClientThatLeavesEndsTheWorkAtOnce(t *testing.T) {
	inBubble(t, func(g *WithT, w *world) {
		w.add("a", "a1", exchangetest.Answer{Hang: true})
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(20*time.Millisecond, cancel)
		began := time.Now()
		result := w.runner.Run(ctx, plan("a"), &exchange.Request{Method: "GET", Target: "/", ID: "r"})
		g.Expect(result.Reason).To(Equal(fanout.StopCancelled))
		g.Expect(time.Since(began)).To(Equal(20 * time.Millisecond))
		synctest.Wait()
		lease, _ := w.fleet.Acquire(fleet.Choice{Service: "a", Kind: "k"}, time.Now())
		g.Expect(lease).NotTo(BeNil())
		w.fleet.Cancel(lease)
	})
}

// TestAStopRuleEndsTheWaitEarly checks that a stop rule ends the wait once the required parts have
// been answered.
func TestAStopRuleEndsTheWaitEarly(t *testing.T) {
	inBubble(t, func(g *WithT, w *world) {
		w.add("a", "a1", quick("a"))
		w.add("b", "b1", exchangetest.Answer{Hang: true})
		set, err := policy.Build(policy.Spec{
			Stop: policy.StopSpec{Policy: policy.StopRuleCoverage, Coverage: 0.5, Grace: policy.Duration(30 * time.Millisecond)},
		})
		g.Expect(err).NotTo(HaveOccurred())
		early := plan("a", "b")
		early.Stop = set.Stop
		result, took := w.run(early)
		g.Expect(result.Reason).To(Equal(fanout.StopRule))
		g.Expect(took).To(Equal(40 * time.Millisecond))
	})
}

// TestAPartThatServersRefuseAsksThemAgain guards against giving a part up when full servers refuse
// it: 40 requests were given up after 100 to 300 ms of their 3 s. The part waits and queries the
// same servers again, as far as the budget allows, until the request's time is over.
func TestAPartThatServersRefuseAsksThemAgain(t *testing.T) {
	inBubble(t, func(g *WithT, w *world) {
		const refusals = 5
		var mutex sync.Mutex
		calls := 0
		w.servers["a1"] = w.network.Add("a1", func(exchangetest.Request) exchangetest.Answer {
			mutex.Lock()
			defer mutex.Unlock()
			calls++
			if calls <= refusals {
				return exchangetest.Answer{Status: http.StatusServiceUnavailable, Cut: -1, Header: map[string]string{"Refused": "1"}}
			}
			return quick("at last")
		})
		w.fleet.Apply(fleet.Server{ID: "a1", Service: "a", Address: "a1", Zone: "z", Slots: 5}, time.Now())
		patient := plan("a")
		patient.Deadline = time.Now().Add(3 * time.Second)
		patient.MaxServerWait = 3 * time.Second
		result, _ := w.run(patient)
		g.Expect(result.Reason).To(Equal(fanout.StopComplete))
		g.Expect(string(result.Parts[0].Body)).To(Equal("at last"))
		g.Expect(w.budget.spent).To(Equal(refusals), "each retry takes one extra sub-request from the budget")
	})
}
