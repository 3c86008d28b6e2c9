package fanout_test

import (
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/pkg/exchange/exchangetest"
	"github.com/bramblemast/bramblemast/pkg/fanout"
	"github.com/bramblemast/bramblemast/pkg/loadshed"
	"github.com/bramblemast/bramblemast/pkg/outcome"
	"github.com/bramblemast/bramblemast/pkg/route"
)

// selfOwner makes this node the owner of all services.
type selfOwner struct{}

func (selfOwner) Divide(services []string, _ route.Regions) []fanout.Group {
	group := fanout.Group{}
	for index := range services {
		group.Indexes = append(group.Indexes, index)
	}
	return []fanout.Group{group}
}

func (selfOwner) Ask(fanout.Question, func(fanout.Report)) fanout.Pending {
	panic("this node owns everything")
}

// withAdmissionControl gives the node an admission control without shares, and makes it the owner
// of all services.
func (w *world) withAdmissionControl() *fanout.AdmissionControl {
	w.runner.Owners = selfOwner{}
	w.runner.Admission = fanout.NewAdmissionControl(w.fleet)
	return w.runner.Admission
}

func sharesOf(admitted float64) loadshed.Shares {
	return loadshed.Shares{Ranks: []loadshed.RankShare{{Share: admitted}}}
}

// TestARequestThatIsNotAdmittedIsRefusedAtOnce checks that a request that is not admitted is
// refused without delay, with outcome NotRun and the limiting service, and reaches no server.
func TestARequestThatIsNotAdmittedIsRefusedAtOnce(t *testing.T) {
	inBubble(t, func(g *WithT, w *world) {
		w.add("a", "a1", quick("a"))
		w.add("b", "b1", quick("b"))
		control := w.withAdmissionControl()
		control.Admitter.Update(loadshed.Key{Service: "a"}, sharesOf(0), time.Now())
		planned := plan("a", "b")
		planned.Required = 2
		result, took := w.run(planned)
		g.Expect(took).To(BeZero())
		g.Expect(result.Reason).To(Equal(fanout.StopOverloaded))
		g.Expect(result.Outcome).To(Equal(outcome.NotRun))
		g.Expect(result.Admission.LimitingService).To(Equal("a"))
		g.Expect(w.arrivals("a1", "b1")).To(BeZero())
	})
}

// TestAScarceShardIsLeftToOthers guards against requests that use a limited shard without needing
// it. A request that has enough parts without the shard neither waits for its servers nor for its
// answer, and the requests that need it get it.
func TestAScarceShardIsLeftToOthers(t *testing.T) {
	inBubble(t, func(g *WithT, w *world) {
		slow := quick("a")
		slow.Delay = 100 * time.Millisecond
		w.add("a", "a1", slow)
		w.add("b", "b1", quick("b"))
		w.add("c", "c1", quick("c"))
		w.fleet.SetConnections(map[string]int{"a": 2})
		control := w.withAdmissionControl()
		var runs sync.WaitGroup
		for range 2 {
			runs.Go(func() {
				result, _ := w.run(plan("a"))
				g.Expect(result.AnsweredCount).To(Equal(1))
			})
			time.Sleep(time.Millisecond)
		}
		control.Admitter.Update(loadshed.Key{Service: "a"}, sharesOf(0), time.Now())
		result, took := w.run(plan("a", "b", "c"))
		g.Expect(result.Reason).To(Equal(fanout.StopComplete))
		g.Expect(result.AnsweredCount).To(Equal(2))
		g.Expect(took).To(BeNumerically("<", 20*time.Millisecond))
		runs.Wait()
		g.Expect(w.arrivals("a1")).To(Equal(2))
	})
}

// TestASkippedShardIsQueriedOnceAnotherFails checks that a skipped shard is queried after all when
// the request can no longer be answered without it.
func TestASkippedShardIsQueriedOnceAnotherFails(t *testing.T) {
	inBubble(t, func(g *WithT, w *world) {
		w.add("a", "a1", quick("a"))
		w.add("b", "b1", exchangetest.Answer{Status: 500, Cut: -1})
		w.add("c", "c1", quick("c"))
		control := w.withAdmissionControl()
		control.Admitter.Update(loadshed.Key{Service: "a"}, sharesOf(0), time.Now())
		planned := plan("a", "b", "c")
		planned.MaxAttempts = 1
		result, _ := w.run(planned)
		g.Expect(result.AnsweredCount).To(Equal(2))
		g.Expect(w.arrivals("a1")).To(Equal(1))
	})
}

// TestNobodyIsRefusedWithoutOverload checks that without overload all requests are admitted and the
// measured share stays 1.
func TestNobodyIsRefusedWithoutOverload(t *testing.T) {
	inBubble(t, func(g *WithT, w *world) {
		w.add("a", "a1", quick("a"))
		control := w.withAdmissionControl()
		for range 50 {
			result, _ := w.run(plan("a"))
			g.Expect(result.AnsweredCount).To(Equal(1))
		}
		g.Expect(control.Admitter.AdmitsAll()).To(BeTrue())
		shares, _ := control.Meters.CurrentShares(loadshed.Key{Service: "a"}, time.Now())
		g.Expect(shares.Of(loadshed.Class{})).To(Equal(1.0))
	})
}

// TestAScarceServiceIsNotHedgedSoon guards against hedges that take the capacity of other requests:
// where only a share of the requests is admitted, a second server is queried only after half of the
// time to the target.
func TestAScarceServiceIsNotHedgedSoon(t *testing.T) {
	hedgesAfter := func(g *WithT, w *world, service string, answeredAfter time.Duration) int {
		answer := quick(service)
		answer.Delay = answeredAfter
		w.add(service, service+"1", answer)
		w.add(service, service+"2", answer)
		planned := plan(service)
		planned.Target = time.Now().Add(400 * time.Millisecond)
		result, _ := w.run(planned)
		g.Expect(result.AnsweredCount).To(Equal(1))
		return result.Hedges
	}
	inBubble(t, func(g *WithT, w *world) {
		control := w.withAdmissionControl()
		g.Expect(hedgesAfter(g, w, "wide", 190*time.Millisecond)).To(Equal(1))
		for _, service := range []string{"short", "lost"} {
			control.Admitter.Update(loadshed.Key{Service: service}, sharesOf(0.9999), time.Now())
		}
		g.Expect(hedgesAfter(g, w, "short", 190*time.Millisecond)).To(BeZero())
		g.Expect(hedgesAfter(g, w, "lost", 300*time.Millisecond)).To(Equal(1))
	})
}
