package quota_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/pkg/quota"
	"github.com/bramblemast/bramblemast/pkg/route"
)

var start = time.Unix(1_700_000_000, 0)

// meterWithShare returns a meter that has received the given share from the first coordinator.
func meterWithShare(limit route.RateLimit, share, extraRate float64) *quota.Meter {
	meter := quota.NewMeter("caller", limit, bounds, 67, false, start)
	meter.SetMode(quota.WithFirst, start)
	meter.ApplyVerdict(quota.Verdict{Share: share, ExtraRate: extraRate, IsFirst: true, Wait: 20 * time.Millisecond}, start)
	return meter
}

// TestARequestRepeatedAtOnceIsRefusedAgain guards against clients that gain by repeating a refused
// request at once, or whose repetitions count as demand. A request that is retried after the
// returned delay has a new chance.
func TestARequestRepeatedAtOnceIsRefusedAgain(t *testing.T) {
	g := NewWithT(t)
	meter := meterWithShare(route.RateLimit{PerSecond: 50, Burst: 50}, 0.2, 0)
	id, wait := "", time.Duration(0)
	for number := 0; id == ""; number++ {
		if decision := meter.Admit(fmt.Sprint(number), start); !decision.IsAdmitted {
			id, wait = fmt.Sprint(number), decision.RetryAfter
		}
	}
	before, _ := meter.Report(1, start)
	for repeated := time.Duration(0); repeated < wait; repeated += 10 * time.Millisecond {
		g.Expect(meter.Admit(id, start.Add(repeated)).IsAdmitted).To(BeFalse())
	}
	after, _ := meter.Report(1, start)
	g.Expect(after.Requests).To(Equal(before.Requests), "repeated requests must not count as demand")
	chances := 0
	for number := range 2000 {
		other := fmt.Sprint("other", number)
		if decision := meter.Admit(other, start); !decision.IsAdmitted && meter.Admit(other, start.Add(decision.RetryAfter)).IsAdmitted {
			chances++
		}
	}
	g.Expect(chances).To(BeNumerically(">", 0))
}

// TestAllNodesDecideAlikeAboutARequest guards against clients that gain by trying another node.
func TestAllNodesDecideAlikeAboutARequest(t *testing.T) {
	g := NewWithT(t)
	limit := route.RateLimit{PerSecond: 5000, Burst: 5000}
	one, other := meterWithShare(limit, 0.4, 0), meterWithShare(limit, 0.4, 0)
	admitted := 0
	for number := range 5000 {
		at := start.Add(time.Duration(number) * 100 * time.Microsecond)
		decision := one.Admit(fmt.Sprint(number), at)
		g.Expect(other.Admit(fmt.Sprint(number), at).IsAdmitted).To(Equal(decision.IsAdmitted))
		if decision.IsAdmitted {
			admitted++
		}
	}
	g.Expect(admitted).To(BeNumerically("~", 2000, 120))
}

// TestAnIsolatedNodeKeepsItsRecentRate guards against losing traffic within the limit when a node
// is cut off: in five seconds it admits its recent rate plus its part of the unused limit.
func TestAnIsolatedNodeKeepsItsRecentRate(t *testing.T) {
	g := NewWithT(t)
	meter := meterWithShare(route.RateLimit{PerSecond: 63, Burst: 63}, 1, 0.3)
	now := start
	request := func(span time.Duration, perSecond int) (admitted int) {
		for end := now.Add(span); now.Before(end); now = now.Add(time.Second / time.Duration(perSecond)) {
			if meter.Admit(fmt.Sprint(now.UnixNano()), now).IsAdmitted {
				admitted++
			}
			if usage, _ := meter.Report(1, now); usage.EntitledRate > 0 {
				meter.Acknowledge(usage, quota.Verdict{Share: 1, ExtraRate: 0.3, IsFirst: true}, now)
			}
		}
		return admitted
	}
	g.Expect(request(20*time.Second, 2)).To(Equal(40))
	meter.SetMode(quota.Isolated, now)
	admittedIsolated := 0
	for end := now.Add(5 * time.Second); now.Before(end); now = now.Add(50 * time.Millisecond) {
		if meter.Admit(fmt.Sprint(now.UnixNano()), now).IsAdmitted {
			admittedIsolated++
		}
	}
	g.Expect(admittedIsolated).To(BeNumerically("~", 5*2.3+1, 2))
}

// TestNodesThatStartTogetherAdmitTogetherNoMoreThanTheLimit guards against nodes that exceed the
// limit together before they have received any verdict.
func TestNodesThatStartTogetherAdmitTogetherNoMoreThanTheLimit(t *testing.T) {
	g := NewWithT(t)
	for _, limit := range tenants() {
		admitted := 0
		for range 67 {
			meter := quota.NewMeter("caller", limit, bounds, 67, false, start)
			for step := range 500 {
				if meter.Admit(fmt.Sprint(step), start.Add(time.Duration(step)*10*time.Millisecond)).IsAdmitted {
					admitted++
				}
			}
		}
		g.Expect(float64(admitted)).To(BeNumerically("<=", allowedInWindow(limit)))
	}
}

// TestAStaleShareIsNotApplied guards against applying an old share: coordinators repeat a share
// below 1, so the repetitions were lost.
func TestAStaleShareIsNotApplied(t *testing.T) {
	g := NewWithT(t)
	meter := meterWithShare(route.RateLimit{PerSecond: 63, Burst: 63}, 0.9, 0.2)
	later, admitted := start.Add(2*time.Second), 0
	for number := range 100 {
		if meter.Admit(fmt.Sprint(number), later).IsAdmitted {
			admitted++
		}
	}
	g.Expect(admitted).To(BeNumerically("<=", 1))
}

// TestUnacknowledgedRequestsAreBounded guards against a node that keeps admitting all requests
// while its coordinator has just stopped answering: it may admit about a burst.
func TestUnacknowledgedRequestsAreBounded(t *testing.T) {
	g := NewWithT(t)
	meter := meterWithShare(route.RateLimit{PerSecond: 10, Burst: 10}, 1, 0)
	admitted := 0
	for number := range 1000 {
		if meter.Admit(fmt.Sprint(number), start.Add(time.Duration(number)*100*time.Microsecond)).IsAdmitted {
			admitted++
		}
	}
	g.Expect(admitted).To(BeNumerically("<=", 13))
}

// TestIsolatedNodesHaveDifferentRoundingOffsets guards against rounding errors of many nodes that
// add up: where each node may admit only a fraction of a request, as many nodes admit a whole one
// as the fractions add up to, also long after they were cut off.
func TestIsolatedNodesHaveDifferentRoundingOffsets(t *testing.T) {
	g := NewWithT(t)
	limit := route.RateLimit{PerSecond: 5, Burst: 5}
	for _, nodes := range []int{67, 300, 5400} {
		admitted := 0
		for node := range nodes {
			meter := quota.NewMeter("caller", limit, bounds, nodes, true, start)
			_, offset := math.Modf(float64(node) / math.Phi)
			meter.SetRoundingOffset(offset)
			later := start.Add(time.Hour)
			for step := range 250 {
				if meter.Admit(fmt.Sprint(node, step), later.Add(time.Duration(step)*20*time.Millisecond)).IsAdmitted {
					admitted++
				}
			}
		}
		g.Expect(float64(admitted)).To(And(BeNumerically("<=", allowedInWindow(limit)), BeNumerically(">=", limit.PerSecond*bounds.Window.Seconds())), fmt.Sprint(nodes))
	}
}

// TestANodeInDoubtAdmitsNoMoreThanAnIsolatedOne guards against a node that admits too much after a
// coordinator has stopped answering and before it is known whether others answer.
func TestANodeInDoubtAdmitsNoMoreThanAnIsolatedOne(t *testing.T) {
	g := NewWithT(t)
	request := func(isInDoubt bool) (admitted int) {
		meter := meterWithShare(route.RateLimit{PerSecond: 17, Burst: 17}, 1, 0.1)
		meter.SetInDoubt(isInDoubt)
		for number := range 100 {
			if meter.Admit(fmt.Sprint(number), start.Add(time.Duration(number)*time.Millisecond)).IsAdmitted {
				admitted++
			}
		}
		return admitted
	}
	g.Expect(request(false)).To(Equal(8))
	g.Expect(request(true)).To(BeNumerically("<=", 1))
}

// TestAReconnectedNodeRefusesNothingWithinTheLimit guards against counting requests that a node
// admitted by its entitlement as unacknowledged.
func TestAReconnectedNodeRefusesNothingWithinTheLimit(t *testing.T) {
	g := NewWithT(t)
	meter := quota.NewMeter("caller", route.RateLimit{PerSecond: 10, Burst: 10}, bounds, 2, true, start)
	now, admitted := start, 0
	for step := range 60 {
		now = now.Add(time.Second)
		if meter.Admit(fmt.Sprint(step), now).IsAdmitted {
			admitted++
		}
	}
	g.Expect(admitted).To(Equal(60))
	meter.SetMode(quota.WithFirst, now)
	g.Expect(meter.Admit("back", now).IsAdmitted).To(BeTrue())
}

// TestANewIsolatedMeterAdmitsOneRequest guards against a restarted node that admits its part again:
// what it admitted a moment ago, in the run before, is unknown. A node that has counted for a whole
// window may use what the window has left.
func TestANewIsolatedMeterAdmitsOneRequest(t *testing.T) {
	g := NewWithT(t)
	admittedIsolated := func(age time.Duration) (admitted int) {
		meter := quota.NewMeter("caller", route.RateLimit{PerSecond: 63, Burst: 63}, bounds, 6, true, start)
		meter.SetMode(quota.WithFirst, start)
		meter.ApplyVerdict(quota.Verdict{Share: 1, ExtraRate: 5, IsFirst: true}, start)
		now := start.Add(age)
		meter.SetMode(quota.Isolated, now)
		for number := range 100 {
			if meter.Admit(fmt.Sprint(number), now).IsAdmitted {
				admitted++
			}
		}
		return admitted
	}
	g.Expect(admittedIsolated(10 * time.Millisecond)).To(Equal(1))
	g.Expect(admittedIsolated(bounds.Window)).To(BeNumerically(">", 25))
}

// TestAnIsolatedNodeSpendsNoBurstThatOthersMayHaveSpent guards against spending a burst twice: the
// tenant was at its limit a moment ago, and a coordinator that has just taken over does not know of
// it.
func TestAnIsolatedNodeSpendsNoBurstThatOthersMayHaveSpent(t *testing.T) {
	g := NewWithT(t)
	limit := route.RateLimit{PerSecond: 10, Burst: 10}
	// admittedIsolated returns what one of six nodes admits in a window while isolated. Isolation
	// starts when it receives a share of 1 again, the given span after the tenant was at its
	// limit.
	admittedIsolated := func(span time.Duration) (admitted int) {
		meter := quota.NewMeter("caller", limit, bounds, 6, true, start)
		meter.SetMode(quota.WithFirst, start)
		meter.ApplyVerdict(quota.Verdict{Share: 0.25, ExtraRate: 0, IsFirst: true}, start.Add(time.Minute))
		now := start.Add(time.Minute + span)
		meter.ApplyVerdict(quota.Verdict{Share: 1, ExtraRate: limit.PerSecond / 6, IsFirst: true}, now)
		meter.SetMode(quota.Isolated, now)
		for range 250 {
			if meter.Admit(now.String(), now).IsAdmitted {
				admitted++
			}
			now = now.Add(20 * time.Millisecond)
		}
		return admitted
	}
	g.Expect(admittedIsolated(time.Second)).To(BeNumerically("<=", 9), "must admit no more than its entitlement for a window")
	g.Expect(admittedIsolated(10 * time.Second)).To(BeNumerically(">", 9))
}

// TestAReportAnsweredOutOfTouchLeavesNothingOwed guards against counters that underflow when a node
// becomes isolated while its report is in progress and the answer still arrives.
func TestAReportAnsweredOutOfTouchLeavesNothingOwed(t *testing.T) {
	g := NewWithT(t)
	meter := meterWithShare(route.RateLimit{PerSecond: 63, Burst: 63}, 0.5, 0.3)
	for number := range 20 {
		meter.Admit(fmt.Sprint(number), start)
	}
	usage, _ := meter.Report(1, start)
	g.Expect(usage.NewRequests).To(BeEquivalentTo(20))
	meter.SetMode(quota.Isolated, start)
	meter.Acknowledge(usage, quota.Verdict{Share: 1}, start)
	after, isNew := meter.Report(1, start)
	g.Expect(isNew).To(BeFalse())
	g.Expect(after.NewRequests).To(BeZero())
	g.Expect(after.NewAdmitted).To(BeZero())
}

// TestANodeThatReturnsAwaitsAShareThatHolds guards against many isolated nodes that reconnect at
// the same time and admit by outdated shares: what each received before says nothing about the
// current demand.
func TestANodeThatReturnsAwaitsAShareThatHolds(t *testing.T) {
	limit := route.RateLimit{PerSecond: 17, Burst: 17}
	admittedAt := func(meter *quota.Meter, name string, now time.Time) int {
		admitted := 0
		for number := range 20 {
			if meter.Admit(fmt.Sprint(name, number), now).IsAdmitted {
				admitted++
			}
		}
		return admitted
	}
	for name, meter := range map[string]*quota.Meter{
		"with an earlier verdict": meterWithShare(limit, 1, 0),
		"without any verdict":     quota.NewMeter("caller", limit, bounds, 67, true, start),
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			meter.SetMode(quota.Isolated, start)
			late := start.Add(10 * time.Second)
			admittedIsolated := admittedAt(meter, "alone", late)
			g.Expect(admittedIsolated).To(BeNumerically("<=", 2))
			meter.SetMode(quota.WithStandIn, late)
			g.Expect(admittedAt(meter, "returned", late)).To(BeZero(), "its entitlement is used up and it has no share yet")
			meter.ApplyVerdict(quota.Verdict{Share: 1}, late)
			g.Expect(admittedAt(meter, "stand-in", late)).To(BeZero(), "a stand-in has not received reports of all reconnected nodes")
			withoutVerdict := *meter
			g.Expect(admittedAt(&withoutVerdict, "later", late.Add(3*time.Second))).To(BeNumerically(">", 2), "the wait for a share must end without a verdict")
			meter.ApplyVerdict(quota.Verdict{Share: 1, IsFirst: true}, late)
			g.Expect(admittedAt(meter, "first", late)).To(BeNumerically(">", 2))
		})
	}
}
