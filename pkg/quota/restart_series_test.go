package quota_test

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/pkg/quota"
	"github.com/bramblemast/bramblemast/pkg/rendezvous"
	"github.com/bramblemast/bramblemast/pkg/route"
)

// restartSeries is a scenario in which nodes are isolated while processes restart one after the
// other.
type restartSeries struct {
	name string
	// isolate cuts the nodes off.
	isolate func(d *deployment, tenant string)
	// restarted returns the nodes whose processes restart.
	restarted func(d *deployment, tenant string) []int
	// withinLimit is how long the tenant stays within its limit after the isolation.
	withinLimit time.Duration
}

// coordinatorsOf returns the nodes that coordinate a tenant for the whole deployment: the first one
// and its stand-in.
func (d *deployment) coordinatorsOf(tenant string) []int {
	var names []string
	for _, node := range d.nodes {
		names = append(names, node.name)
	}
	var found []int
	for _, name := range rendezvous.NewSet(rendezvous.Top("quota", names, 4)).Top(tenant, 2) {
		found = append(found, slices.Index(names, name))
	}
	return found
}

func allNodes(d *deployment, _ string) []int {
	var found []int
	for index := range d.nodes {
		found = append(found, index)
	}
	return found
}

func isolateCoordinators(d *deployment, tenant string) {
	for _, index := range d.coordinatorsOf(tenant) {
		isolateEach(index, index+1)(d)
	}
}

func isolateFirst(d *deployment, tenant string) {
	first := d.coordinatorsOf(tenant)[0]
	isolateEach(first, first+1)(d)
}

func isolateAll(d *deployment, _ string) { isolateEach(0, len(d.nodes))(d) }

func allRestartSeries() []restartSeries {
	return []restartSeries{
		{"all nodes alone, all start again", isolateAll, allNodes, 0},
		{"all nodes alone for long, all start again", isolateAll, allNodes, 20 * time.Second},
		{"coordinators alone, all start again", isolateCoordinators, allNodes, 0},
		{"coordinators alone, they start again", isolateCoordinators, (*deployment).coordinatorsOf, 0},
		{"first coordinator alone, the other one starts again", isolateFirst, func(d *deployment, tenant string) []int {
			return d.coordinatorsOf(tenant)[1:]
		}, 0},
		{"first coordinator alone, all start again", isolateFirst, allNodes, 0},
	}
}

// restartOneByOne restarts the processes of the given nodes one after the other during span, each
// of them once per roundTime.
func (d *deployment) restartOneByOne(nodes []int, roundTime, span time.Duration, traffic load) {
	for begin, next := time.Now(), 0; time.Since(begin) < span; next++ {
		index := nodes[next%len(nodes)]
		d.kill(index)
		d.start(index)
		d.nodes[index].limiter.SetNodes(d.list())
		d.run(roundTime/time.Duration(len(nodes)), traffic)
	}
}

// TestAProcessThatHasJustStartedAdmitsNothingOutOfTouch guards against restarted nodes that admit
// their part again, whether or not they have had contact. For a window they admit nothing while
// isolated, since an earlier process may have admitted all that the node may admit in it.
func TestAProcessThatHasJustStartedAdmitsNothingOutOfTouch(t *testing.T) {
	g := NewWithT(t)
	for _, hasHadContact := range []bool{false, true} {
		meter := quota.NewMeter("caller", route.RateLimit{PerSecond: 63, Burst: 63}, bounds, 6, hasHadContact, start)
		meter.SetProcessStart(start)
		for now := start; now.Before(start.Add(bounds.Window)); now = now.Add(20 * time.Millisecond) {
			decision := meter.Admit(now.String(), now)
			g.Expect(decision.IsAdmitted).To(BeFalse())
			g.Expect(decision.RetryAfter).To(And(BeNumerically(">", 0), BeNumerically("<=", time.Second)))
		}
		g.Expect(meter.Admit("later", start.Add(bounds.Window)).IsAdmitted).To(BeTrue())
	}
}

// TestAFirstCoordinatorThatNobodyHasHeardIsAlone guards against a restarted first coordinator that
// grants the limit to itself: it does not know yet that all other nodes are out of reach and report
// to another coordinator.
func TestAFirstCoordinatorThatNobodyHasHeardIsAlone(t *testing.T) {
	atOnce, later := "", ""
	simulate(t, 12, tenants(), func(d *deployment) {
		first := d.coordinatorOf("large")
		isolateEach(first, first+1)(d)
		d.kill(first)
		d.start(first)
		d.nodes[first].limiter.SetNodes(d.list())
		atOnce = d.nodes[first].limiter.Coordinator("large")
		d.network.Heal()
		time.Sleep(time.Second)
		later = d.nodes[first].limiter.Coordinator("large")
	})
	g := NewWithT(t)
	g.Expect(atOnce).To(BeEmpty())
	g.Expect(later).NotTo(BeEmpty())
}

// TestTheSumHoldsWhileProcessesOutOfTouchStartInSeries guards against exceeding the bound by
// restarts: a tenant sends many times its limit, and each process that starts does not know what
// the one before it admitted.
func TestTheSumHoldsWhileProcessesOutOfTouchStartInSeries(t *testing.T) {
	limits := map[string]route.RateLimit{"large": {PerSecond: 63, Burst: 63}, "small": {PerSecond: 10, Burst: 10}}
	for tenant, limit := range limits {
		for _, scenario := range allRestartSeries() {
			for _, roundTime := range []time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second} {
				t.Run(tenant+", "+scenario.name+", each in "+roundTime.String(), func(t *testing.T) {
					t.Parallel()
					highest, during := 0, 0
					simulate(t, 6, limits, func(d *deployment) {
						usual, overload := d.even(tenant, limit.PerSecond/1.6), d.even(tenant, 6*limit.PerSecond)
						d.run(3*time.Second, usual)
						nodes := scenario.restarted(d, tenant)
						if scenario.withinLimit == 0 {
							d.run(3*time.Second, overload)
						}
						scenario.isolate(d, tenant)
						d.run(scenario.withinLimit, usual)
						d.run(500*time.Millisecond, overload)
						begin := d.elapsed()
						d.restartOneByOne(nodes, roundTime, 12*time.Second, overload)
						highest, during = d.maxInWindow(tenant), d.admittedBetween(tenant, begin+2*time.Second, begin+12*time.Second)
					})
					t.Logf("at most %d in 5 s, allowed %.0f; %.2f of the limit meanwhile", highest, allowedInWindow(limit), float64(during)/(10*limit.PerSecond))
					NewWithT(t).Expect(float64(highest)).To(BeNumerically("<=", allowedInWindow(limit)))
				})
			}
		}
	}
}
