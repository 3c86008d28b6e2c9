package fanout_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/pkg/exchange"
	"github.com/bramblemast/bramblemast/pkg/exchange/exchangetest"
	"github.com/bramblemast/bramblemast/pkg/fanout"
	"github.com/bramblemast/bramblemast/pkg/fleet"
	"github.com/bramblemast/bramblemast/pkg/outcome"
	"github.com/bramblemast/bramblemast/pkg/quarantine"
)

// emptyLedger stores nothing and grants every trial.
type emptyLedger struct{}

func (emptyLedger) AddNotes(context.Context, []quarantine.Note) error                        { return nil }
func (emptyLedger) ClaimNote(context.Context, quarantine.Note) (bool, error)                 { return true, nil }
func (emptyLedger) RemoveNotes(context.Context, []quarantine.Note) error                     { return nil }
func (emptyLedger) StateChanged(exchange.Fingerprint, quarantine.State, []fleet.Incarnation) {}
func (emptyLedger) LedgerFailed(string, error)                                               {}

const deadlyTarget = "/deadly"

// newDeadlyWorld has the services with the given replicas, which crash when they execute a deadly
// request.
func newDeadlyWorld(services []string, replicas []string) *world {
	w := newWorld()
	guard := quarantine.New(quarantine.Options{
		Ledger: emptyLedger{}, LedgerUnavailable: func() bool { return false }, Dialer: w.network, Events: emptyLedger{},
	})
	w.runner.Quarantine = guard
	for _, service := range services {
		for _, replica := range replicas {
			w.addDeadly(service, service+replica)
		}
	}
	return w
}

// addDeadly adds a server that crashes when it executes a deadly request.
func (w *world) addDeadly(service, name string) {
	w.add(service, name, exchangetest.Answer{})
	w.servers[name].Respond = func(request exchangetest.Request) exchangetest.Answer {
		answer := exchangetest.Whole("x")
		answer.Delay = 10 * time.Millisecond
		if request.RequestURI == deadlyTarget {
			w.network.Remove(name)
			answer.Cut = 0
		}
		return answer
	}
}

// send runs a request to a target.
func (w *world) send(plan fanout.Plan, target string) fanout.Result {
	return w.runner.Run(context.Background(), plan, &exchange.Request{Method: "GET", Target: target, ID: "r"})
}

// countRequests counts the requests for a target at all servers.
func (w *world) countRequests(target string) int {
	count := 0
	for _, each := range w.servers {
		for _, request := range each.Requests() {
			if request.RequestURI == target {
				count++
			}
		}
	}
	return count
}

// crashOnNextRequest makes servers crash at the next request that they execute, whatever it is.
func (w *world) crashOnNextRequest(names ...string) {
	for _, name := range names {
		w.servers[name].Respond = func(exchangetest.Request) exchangetest.Answer {
			w.network.Remove(name)
			return exchangetest.Answer{}
		}
	}
}

// markSuspect makes requests for a target suspect.
func (w *world) markSuspect(target string) {
	request := exchange.Request{Method: "GET", Target: target}
	w.runner.Quarantine.RecordCrashes(request.Fingerprint(&exchangetest.Dialect), []fleet.Incarnation{{ID: "x"}, {ID: "y"}, {ID: "z"}}, time.Now())
}

func (w *world) quarantineState(target string) quarantine.State {
	request := exchange.Request{Method: "GET", Target: target}
	return w.runner.Quarantine.State(request.Fingerprint(&exchangetest.Dialect))
}

func (w *world) close() {
	time.Sleep(time.Minute)
	w.fleet.Sweep(time.Now())
}

var fourShards, threeReplicas = []string{"a", "b", "c", "d"}, []string{"1", "2", "3"}

// crashFirstAsked makes the first of some servers that gets a request crash; the others answer.
func (w *world) crashFirstAsked(names ...string) {
	var hasCrashed atomic.Bool
	for _, name := range names {
		w.servers[name].Respond = func(exchangetest.Request) exchangetest.Answer {
			if hasCrashed.CompareAndSwap(false, true) {
				w.network.Remove(name)
				return exchangetest.Answer{}
			}
			return quick("x")
		}
	}
}

// TestAPartThatLostItsServerWaitsForAnAnswerOfAnother checks that a part whose server crashed is
// retried as soon as another server has answered, which shows that the request crashes no servers.
func TestAPartThatLostItsServerWaitsForAnAnswerOfAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newDeadlyWorld(fourShards, threeReplicas)
		defer w.close()
		w.crashFirstAsked("a1", "a2", "a3")
		began := time.Now()
		result := w.send(plan(fourShards...), "/ordinary")
		g.Expect(result.AnsweredCount).To(Equal(4))
		g.Expect(result.BrokenConnections).To(Equal(1))
		g.Expect(time.Since(began)).To(BeNumerically("~", 32*time.Millisecond, 10*time.Millisecond), "10 ms, a recheck interval, 10 ms")
	})
}

// TestAPartThatLostItsServerWaitsBriefly checks that a part whose server crashed is retried after a
// short wait where the other servers are all silent.
func TestAPartThatLostItsServerWaitsBriefly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newDeadlyWorld([]string{"a", "b"}, threeReplicas)
		defer w.close()
		w.crashFirstAsked("a1", "a2", "a3")
		for _, name := range []string{"b1", "b2", "b3"} {
			w.servers[name].Respond = func(exchangetest.Request) exchangetest.Answer {
				answer := quick("x")
				answer.Delay = 10 * time.Second
				return answer
			}
		}
		began := time.Now()
		result := w.send(plan("a", "b"), "/ordinary")
		g.Expect(result.AnsweredCount).To(Equal(1))
		g.Expect(time.Since(began)).To(BeNumerically("<", 500*time.Millisecond))
	})
}

// TestADeadlyRequestEndsOneServerOfEachShard guards against a deadly request that crashes all
// servers: it crashes one of each shard and one in each of two trials. The run ends once nothing
// can clear the request, and the next run is refused with outcome NotRun.
func TestADeadlyRequestEndsOneServerOfEachShard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newDeadlyWorld(fourShards, threeReplicas)
		defer w.close()
		began := time.Now()
		deadly := plan(fourShards...)
		deadly.MaxAttempts = len(threeReplicas)
		result := w.send(deadly, deadlyTarget)
		g.Expect(result.Reason).To(Equal(fanout.StopQuarantined))
		g.Expect(result.Outcome).To(Equal(outcome.Unknown))
		g.Expect(time.Since(began)).To(BeNumerically("<", 100*time.Millisecond))
		crashed := w.countRequests(deadlyTarget)
		g.Expect(crashed).To(Equal(6), "one server of each shard, and two trials")
		result = w.send(plan(fourShards...), deadlyTarget)
		g.Expect(result.Reason).To(Equal(fanout.StopQuarantined))
		g.Expect(result.Outcome).To(Equal(outcome.NotRun))
		g.Expect(w.countRequests(deadlyTarget)).To(Equal(crashed))
	})
}

// TestARequestThatSharedCrashedServersIsRetriedAtOnce checks that a request that lost parts with
// the servers that another request crashed is answered and does not become suspect.
func TestARequestThatSharedCrashedServersIsRetriedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newDeadlyWorld(fourShards, threeReplicas)
		defer w.close()
		w.crashOnNextRequest("a1", "b1", "c1")
		wanted := plan(fourShards...)
		wanted.Required = len(fourShards)
		began := time.Now()
		result := w.send(wanted, "/shared")
		g.Expect(result.AnsweredCount).To(Equal(len(fourShards)))
		g.Expect(time.Since(began)).To(BeNumerically("<", 60*time.Millisecond))
		g.Expect(w.runner.Quarantine.IsIdle()).To(BeTrue())
	})
}

// TestATrialAsksOneServerFirst checks that a trial sends a suspect request to one server, and to
// the others once that one has answered. A deadly request crashes one server in each of its two
// trials.
func TestATrialAsksOneServerFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newDeadlyWorld(fourShards, threeReplicas)
		defer w.close()
		for _, target := range []string{deadlyTarget, "/shared"} {
			w.markSuspect(target)
		}
		result := w.send(plan(fourShards...), deadlyTarget)
		g.Expect(result.Reason).To(Equal(fanout.StopQuarantined))
		g.Expect(w.countRequests(deadlyTarget)).To(Equal(2))
		tried := plan(fourShards...)
		tried.Required = len(fourShards)
		result = w.send(tried, "/shared")
		g.Expect(result.AnsweredCount).To(Equal(len(fourShards)))
		g.Expect(w.quarantineState("/shared")).To(Equal(quarantine.Clear))
	})
}

// TestATrialSparesTheLastServerOfAShard guards against trials that crash the last server of a
// shard. With two servers a shard, the first sub-requests of a deadly request leave one, and two
// trials would leave two shards without any. The trials are made once servers are back, at shards
// that have two.
func TestATrialSparesTheLastServerOfAShard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		shards := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
		w := newDeadlyWorld(shards, []string{"1", "2"})
		defer w.close()
		began := time.Now()
		result := w.send(plan(shards...), deadlyTarget)
		g.Expect(result.Reason).To(Equal(fanout.StopQuarantined))
		g.Expect(time.Since(began)).To(BeNumerically("<", 100*time.Millisecond), "the run does not wait for parts without a trial")
		g.Expect(w.countRequests(deadlyTarget)).To(Equal(len(shards)))
		g.Expect(w.quarantineState(deadlyTarget)).To(Equal(quarantine.Suspect))
		needed := plan(shards...)
		needed.Required = len(shards)
		g.Expect(w.send(needed, "/ordinary").AnsweredCount).To(Equal(len(shards)), "each shard has a server")
		result = w.send(plan(shards...), deadlyTarget)
		g.Expect(result.Outcome).To(Equal(outcome.NotRun))

		w.addDeadly("b", "b3")
		w.send(plan(shards...), deadlyTarget)
		g.Expect(w.countRequests(deadlyTarget)).To(Equal(len(shards)+1), "tried once, with shard b")
		needed = plan(shards...)
		needed.Required = len(shards)
		g.Expect(w.send(needed, "/other").AnsweredCount).To(Equal(len(shards)))
	})
}

// TestARequestThatLostAllItsServersIsTriedAgainWithinItsTime checks that a request that lost all
// its parts with the servers that a deadly one crashed is answered by others in the same run.
func TestARequestThatLostAllItsServersIsTriedAgainWithinItsTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newDeadlyWorld(fourShards, threeReplicas)
		defer w.close()
		w.crashOnNextRequest("a1", "b1", "c1", "d1")
		wanted := plan(fourShards...)
		wanted.Required = len(fourShards)
		began := time.Now()
		result := w.send(wanted, "/shared")
		g.Expect(result.AnsweredCount).To(Equal(len(fourShards)))
		g.Expect(time.Since(began)).To(BeNumerically("<", 100*time.Millisecond))
		g.Expect(w.quarantineState("/shared")).To(Equal(quarantine.Clear))
	})
}

// TestARequestThatWaitsForAServerNeedsATrial checks that a request that becomes suspect while it
// waits for a server is sent only with a trial.
func TestARequestThatWaitsForAServerNeedsATrial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newDeadlyWorld(nil, nil)
		defer w.close()
		time.AfterFunc(100*time.Millisecond, func() { w.markSuspect("/waits") })
		time.AfterFunc(200*time.Millisecond, func() { w.add("late", "late1", exchangetest.Whole("x")) })
		waiting := plan("late")
		waiting.MaxServerWait = time.Second
		w.fleet.Apply(fleet.Server{ID: "gone", Service: "late", Address: "gone", Zone: "z"}, time.Now())
		result := w.send(waiting, "/waits")
		g.Expect(result.AnsweredCount).To(Equal(1))
		g.Expect(w.quarantineState("/waits")).To(Equal(quarantine.Clear))

		w.markSuspect("/refused")
		request := exchange.Request{Method: "GET", Target: "/refused"}
		for range 2 {
			g.Expect(w.runner.Quarantine.ClaimTrial(context.Background(), request.Fingerprint(&exchangetest.Dialect))).NotTo(BeNil())
		}
		result = w.send(plan("late"), "/refused")
		g.Expect(result.Reason).To(Equal(fanout.StopQuarantined))
		g.Expect(result.Outcome).To(Equal(outcome.NotRun))
	})
}
