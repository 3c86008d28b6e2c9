package fleet_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/pkg/fleet"
)

// pausePeriod is how often the server near pauses in these tests.
const pausePeriod = 7 * time.Second

// letPause sends three requests to the server near, 300 ms and less before a moment at which
// all are answered.
func letPause(g *WithT, tested *fleet.Fleet, until time.Time) {
	var leases []*fleet.Lease
	for _, before := range []time.Duration{300, 285, 270} {
		lease, _ := tested.Acquire(choice, until.Add(-before*time.Millisecond))
		g.Expect(lease.Server.ID).To(Equal("near"))
		leases = append(leases, lease)
	}
	for _, lease := range leases {
		tested.Finish(lease, fleet.Answered, 0, until)
	}
}

// letPauseOften lets the server near pause three times, and returns when it is foreseen to
// have paused again. Before each pause it answers as usual.
func letPauseOften(g *WithT, tested *fleet.Fleet, now time.Time) time.Time {
	for range 3 {
		at := now.Add(-time.Second)
		for range 5 {
			g.Expect(ask(tested, &at, 20*time.Millisecond)).To(Equal("near"))
		}
		letPause(g, tested, now)
		now = now.Add(pausePeriod)
	}
	return now
}

// TestAServerIsPassedOverWhileItIsForeseenToPause, and asked again right after.
func TestAServerIsPassedOverWhileItIsForeseenToPause(t *testing.T) {
	g := NewWithT(t)
	tested := newRestarting(time.Unix(0, 0))
	until := letPauseOften(g, tested, time.Unix(10, 0))
	for _, each := range []struct {
		before time.Duration
		wanted string
	}{{time.Second, "near"}, {200 * time.Millisecond, "far"}, {100 * time.Millisecond, "far"}, {-30 * time.Millisecond, "near"}} {
		lease, _ := tested.Acquire(choice, until.Add(-each.before))
		g.Expect(lease.Server.ID).To(Equal(each.wanted), "%s before the end", each.before)
		tested.Cancel(lease)
	}
	g.Expect(tested.CountPredictedPauses(until)).To(Equal(1))
	g.Expect(tested.CountPredictedPauses(until.Add(time.Minute))).To(BeZero(), "not seen for long")
}

// TestTheLastServerIsAskedWhileItIsForeseenToPause: nothing waits for the end of a pause that is
// only foreseen.
func TestTheLastServerIsAskedWhileItIsForeseenToPause(t *testing.T) {
	g := NewWithT(t)
	tested := fleet.New(fleet.Settings{
		Local: fleet.Place{Zone: "near", Region: "here"}, LeaveGrace: leaveWithin,
		Regions: map[string]string{"near": "here"}, Random: rand.New(rand.NewPCG(1, 1)),
	})
	tested.Apply(started("near", 1000), time.Unix(0, 0))
	until := letPauseOften(g, tested, time.Unix(10, 0))
	for before := 290 * time.Millisecond; before > 0; before -= 50 * time.Millisecond {
		lease, _ := tested.Acquire(choice, until.Add(-before))
		g.Expect(lease).NotTo(BeNil(), "%s before the end", before)
		tested.Cancel(lease)
	}
}

// TestPausesOfAnEarlierStartAreForgotten: the next process has a clock of its own.
func TestPausesOfAnEarlierStartAreForgotten(t *testing.T) {
	g := NewWithT(t)
	tested := newRestarting(time.Unix(0, 0))
	until := letPauseOften(g, tested, time.Unix(10, 0))
	tested.Apply(started("near", 2000), until.Add(-time.Second))
	lease, _ := tested.Acquire(choice, until.Add(-200*time.Millisecond))
	g.Expect(lease.Server.Incarnation()).To(Equal(fleet.Incarnation{ID: "near", Start: 2000}))
}

// BenchmarkAcquire is the choice among the three servers of a shard.
func BenchmarkAcquire(b *testing.B) {
	g := NewWithT(b)
	tested := newRestarting(time.Unix(0, 0))
	now := letPauseOften(g, tested, time.Unix(10, 0))
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		lease, _ := tested.Acquire(choice, now)
		tested.Finish(lease, fleet.Answered, 0, now.Add(20*time.Millisecond))
	}
}
