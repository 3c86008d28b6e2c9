package fleet_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/pkg/fleet"
)

// pausePeriod is the period at which the near server pauses in these tests.
const pausePeriod = 7 * time.Second

// simulatePause sends three requests to the near server, 300 ms and less before until, and has all
// of them answered at until.
func simulatePause(g *WithT, tested *fleet.Fleet, until time.Time) {
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

// simulatePauses lets the near server pause three times, with normal answers before each pause, and
// returns the predicted end of the next pause.
func simulatePauses(g *WithT, tested *fleet.Fleet, now time.Time) time.Time {
	for range 3 {
		at := now.Add(-time.Second)
		for range 5 {
			g.Expect(sendRequest(tested, &at, 20*time.Millisecond)).To(Equal("near"))
		}
		simulatePause(g, tested, now)
		now = now.Add(pausePeriod)
	}
	return now
}

// TestAServerIsAvoidedDuringAPredictedPause: no requests are sent to a server during a predicted
// pause, and it is used again right after.
func TestAServerIsAvoidedDuringAPredictedPause(t *testing.T) {
	g := NewWithT(t)
	tested := newFleetWithStarts(time.Unix(0, 0))
	until := simulatePauses(g, tested, time.Unix(10, 0))
	for _, each := range []struct {
		before time.Duration
		wanted string
	}{{time.Second, "near"}, {200 * time.Millisecond, "far"}, {100 * time.Millisecond, "far"}, {-30 * time.Millisecond, "near"}} {
		lease, _ := tested.Acquire(choice, until.Add(-each.before))
		g.Expect(lease.Server.ID).To(Equal(each.wanted), "%s before the end of the predicted pause", each.before)
		tested.Cancel(lease)
	}
	g.Expect(tested.CountPredictedPauses(until)).To(Equal(1))
	g.Expect(tested.CountPredictedPauses(until.Add(time.Minute))).To(BeZero(), "no pause seen for a minute")
}

// TestTheOnlyServerIsUsedDuringAPredictedPause: if there is no other server, requests do not wait
// for the end of a pause that is only predicted.
func TestTheOnlyServerIsUsedDuringAPredictedPause(t *testing.T) {
	g := NewWithT(t)
	tested := fleet.New(fleet.Settings{
		Local: fleet.Place{Zone: "near", Region: "here"}, LeaveGrace: leaveGrace,
		Regions: map[string]string{"near": "here"}, Random: rand.New(rand.NewPCG(1, 1)),
	})
	tested.Apply(startedServer("near", 1000), time.Unix(0, 0))
	until := simulatePauses(g, tested, time.Unix(10, 0))
	for before := 290 * time.Millisecond; before > 0; before -= 50 * time.Millisecond {
		lease, _ := tested.Acquire(choice, until.Add(-before))
		g.Expect(lease).NotTo(BeNil(), "%s before the end of the predicted pause", before)
		tested.Cancel(lease)
	}
}

// TestPausesOfAnEarlierIncarnationAreForgotten: pauses of an earlier process are not predicted for
// the next one, which has its own rhythm.
func TestPausesOfAnEarlierIncarnationAreForgotten(t *testing.T) {
	g := NewWithT(t)
	tested := newFleetWithStarts(time.Unix(0, 0))
	until := simulatePauses(g, tested, time.Unix(10, 0))
	tested.Apply(startedServer("near", 2000), until.Add(-time.Second))
	lease, _ := tested.Acquire(choice, until.Add(-200*time.Millisecond))
	g.Expect(lease.Server.Incarnation()).To(Equal(fleet.Incarnation{ID: "near", Start: 2000}))
}

// BenchmarkAcquire measures the choice among the servers of a shard.
func BenchmarkAcquire(b *testing.B) {
	g := NewWithT(b)
	tested := newFleetWithStarts(time.Unix(0, 0))
	now := simulatePauses(g, tested, time.Unix(10, 0))
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		lease, _ := tested.Acquire(choice, now)
		tested.Finish(lease, fleet.Answered, 0, now.Add(20*time.Millisecond))
	}
}
