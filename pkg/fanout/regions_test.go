package fanout_test

import (
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/pkg/exchange/exchangetest"
	"github.com/bramblemast/bramblemast/pkg/fanout"
	"github.com/bramblemast/bramblemast/pkg/fleet"
	"github.com/bramblemast/bramblemast/pkg/outcome"
	"github.com/bramblemast/bramblemast/pkg/route"
)

// inRegions puts zones "z" and "far" into a region each.
func (w *world) inRegions() {
	w.fleet = fleet.New(fleet.Settings{
		Local: fleet.Place{Zone: "z", Region: "here"}, LeaveGrace: time.Second, Dialer: w.network,
		Regions: map[string]string{"z": "here", "far": "there"}, Random: rand.New(rand.NewPCG(1, 1)),
	})
	w.runner.Fleet = w.fleet
}

// boundPlan returns a plan whose allowed regions may change while it runs.
func boundPlan(regions *atomic.Pointer[route.Regions], services ...string) fanout.Plan {
	bound := plan(services...)
	bound.Regions = func() route.Regions { return *regions.Load() }
	return bound
}

func only(names ...string) *atomic.Pointer[route.Regions] {
	bound := route.OnlyRegions(names)
	holder := &atomic.Pointer[route.Regions]{}
	holder.Store(&bound)
	return holder
}

// TestNoHedgeOrRetryLeavesTheRegions checks that a request whose only allowed server is silent is
// not hedged to a server in another region.
func TestNoHedgeOrRetryLeavesTheRegions(t *testing.T) {
	inBubble(t, func(g *WithT, w *world) {
		w.inRegions()
		w.add("a", "a-near", exchangetest.Answer{Hang: true})
		w.add("a", "a-far", quick("A"))
		result, _ := w.run(boundPlan(only("here"), "a"))
		g.Expect(result.AnsweredCount).To(BeZero())
		g.Expect(w.arrivals("a-near")).To(Equal(1))
		g.Expect(w.arrivals("a-far")).To(BeZero())
	})
}

// TestAChangeOfRegionsBindsARequestUnderWay checks that sub-requests sent after a change of the
// allowed regions follow the new ones.
func TestAChangeOfRegionsBindsARequestUnderWay(t *testing.T) {
	inBubble(t, func(g *WithT, w *world) {
		w.inRegions()
		w.add("a", "a-near", exchangetest.Answer{Hang: true})
		w.add("a", "a-far", quick("A"))
		regions := only("here", "there")
		time.AfterFunc(10*time.Millisecond, func() { regions.Store(only("here").Load()) })
		result, _ := w.run(boundPlan(regions, "a"))
		g.Expect(result.AnsweredCount).To(BeZero())
		g.Expect(w.arrivals("a-far")).To(BeZero())
	})
}

// TestARequestWithoutAllowedServersIsRefusedAtOnce checks that a request without enough servers in
// its regions is refused at once, with outcome NotRun.
func TestARequestWithoutAllowedServersIsRefusedAtOnce(t *testing.T) {
	inBubble(t, func(g *WithT, w *world) {
		w.inRegions()
		for _, service := range []string{"a", "b", "c"} {
			w.add(service, service+"-near", quick(service))
		}
		result, took := w.run(boundPlan(only("there"), "a", "b", "c"))
		g.Expect(result.Reason).To(Equal(fanout.StopUnservable))
		g.Expect(result.Outcome).To(Equal(outcome.NotRun))
		g.Expect(took).To(BeZero())
		g.Expect(w.arrivals("a-near", "b-near", "c-near")).To(BeZero())
		w.add("a", "a-far", quick("A"))
		w.add("b", "b-far", quick("B"))
		result, _ = w.run(boundPlan(only("there"), "a", "b", "c"))
		g.Expect(result.AnsweredCount).To(Equal(2), "enough shards have a server there")
		g.Expect(w.arrivals("a-near", "b-near", "c-near")).To(BeZero())
	})
}
