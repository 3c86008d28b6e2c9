package loadshed_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/pkg/loadshed"
)

// queue models the servers of one service as one queue that does a fixed amount of work a
// second, with requests that ask for the same work.
type queue struct {
	meter    *loadshed.Meter
	random   *rand.Rand
	now      time.Time
	capacity float64
	// waiting are the moments at which the requests in the queue came.
	waiting []time.Time
	// done is the work that the servers have ready for the next request.
	done float64
	// shares are what the nodes know; they learn of a change a little later.
	shares   loadshed.Shares
	isStill  bool
	refused  int
	served   int
	inTime   int
	observed []float64
}

const (
	queueWork   = 20 * time.Millisecond
	queueTarget = 300 * time.Millisecond
	queueStep   = 2 * time.Millisecond
)

func newQueue(capacity float64) *queue {
	now := time.Unix(100, 0)
	return &queue{meter: loadshed.NewMeter(now), random: rand.New(rand.NewPCG(1, 2)), now: now, capacity: capacity}
}

// run offers requests at a rate for a time.
func (q *queue) run(rate float64, span time.Duration) {
	q.refused, q.served, q.inTime = 0, 0, 0
	for end := q.now.Add(span); q.now.Before(end); q.now = q.now.Add(queueStep) {
		if q.random.Float64() < rate*queueStep.Seconds() {
			q.offer()
		}
		q.work()
		if q.meter.NeedsEvaluation(q.now) {
			q.judge()
		}
	}
}

func (q *queue) offer() {
	share := q.shares.Of(urgent)
	if q.random.Float64() > share {
		q.refused++
		return
	}
	q.meter.RecordAdmitted(loadshed.AdmittedRequest{Class: urgent, Work: queueWork, Share: share})
	q.waiting = append(q.waiting, q.now)
}

func (q *queue) work() {
	if q.isStill {
		return
	}
	q.done += q.capacity * queueStep.Seconds()
	for q.done >= queueWork.Seconds() && len(q.waiting) > 0 {
		q.done -= queueWork.Seconds()
		next := q.next()
		if q.now.Sub(q.waiting[next]) < queueTarget {
			q.inTime++
		}
		q.waiting = slices.Delete(q.waiting, next, next+1)
		q.served++
		q.meter.RecordServed(queueWork)
	}
	q.done = min(q.done, 3*queueWork.Seconds())
}

// next returns the first request that is in time, and the first of all if none is.
func (q *queue) next() int {
	for index, came := range q.waiting {
		if q.now.Sub(came) < queueTarget {
			return index
		}
	}
	return 0
}

func (q *queue) judge() {
	inTime := 0
	for _, came := range q.waiting {
		if q.now.Sub(came) < queueTarget {
			inTime++
		}
	}
	q.meter.Evaluate(loadshed.Backlog{Waiting: inTime, Target: queueTarget}, q.now)
	shares, _ := q.meter.Shares()
	q.observed = append(q.observed, shares.Of(urgent))
	q.shares = shares
}

// TestAFlashCrowdIsHeldToWhatServersCanDo: at three times the capacity nearly all that is let
// in is served in time, servers stay busy, and the rest is refused.
func TestAFlashCrowdIsHeldToWhatServersCanDo(t *testing.T) {
	g := NewWithT(t)
	tested := newQueue(2)
	tested.run(50, 5*time.Second)
	g.Expect(tested.refused).To(BeZero(), "half of the capacity")
	tested.run(300, time.Second)
	tested.run(300, 5*time.Second)
	t.Logf("of 500: %d served, %d in time, %d refused", tested.served, tested.inTime, tested.refused)
	g.Expect(tested.inTime).To(BeNumerically(">=", 400), "0.8 of what servers can do")
	g.Expect(tested.refused).To(BeNumerically(">=", 800))
}

// TestRoomThatCameBackIsUsedWithinASecond.
func TestRoomThatCameBackIsUsedWithinASecond(t *testing.T) {
	g := NewWithT(t)
	tested := newQueue(0.5)
	tested.run(75, 5*time.Second)
	g.Expect(tested.refused).To(BeNumerically(">", 200))
	tested.capacity = 3
	tested.run(75, time.Second)
	tested.run(75, 5*time.Second)
	g.Expect(tested.refused).To(BeZero())
}

// TestABurstThatEndedRefusesNobody a second later.
func TestABurstThatEndedRefusesNobody(t *testing.T) {
	g := NewWithT(t)
	tested := newQueue(2)
	tested.run(300, 3*time.Second)
	tested.run(50, time.Second)
	tested.run(50, 5*time.Second)
	g.Expect(tested.refused).To(BeZero())
}

// TestNeverNothing: also servers that answer nothing any more are tried.
func TestNeverNothing(t *testing.T) {
	g := NewWithT(t)
	tested := newQueue(2)
	tested.run(80, 3*time.Second)
	tested.isStill = true
	tested.run(80, 10*time.Second)
	for _, share := range tested.observed {
		g.Expect(share).To(BeNumerically(">=", 0.04))
	}
}

func BenchmarkOffer(b *testing.B) {
	meter := loadshed.NewMeter(time.Unix(100, 0))
	b.ReportAllocs()
	for b.Loop() {
		meter.RecordAdmitted(loadshed.AdmittedRequest{Class: urgent, Work: queueWork, Share: 1})
	}
}

// TestServersThatWereAllGone are in use again within a second.
func TestServersThatWereAllGone(t *testing.T) {
	g := NewWithT(t)
	tested := newQueue(3)
	tested.run(75, 2*time.Second)
	tested.isStill = true
	tested.run(75, 5*time.Second)
	tested.isStill = false
	tested.run(75, time.Second)
	tested.run(75, 5*time.Second)
	g.Expect(tested.refused).To(BeZero())
}

// noQueues has nothing that waits.
type noQueues struct{}

func (noQueues) Backlog(loadshed.Key, time.Time) loadshed.Backlog { return loadshed.Backlog{} }

// BenchmarkMetersOffer counts the judgements too, one in ten requests at a hundred a second.
func BenchmarkMetersOffer(b *testing.B) {
	meters, now := loadshed.NewMeters(noQueues{}, loadshed.NewAdmitter()), time.Unix(100, 0)
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(10 * time.Millisecond)
		meters.RecordAdmitted(loadshed.Key{Service: "shard0"}, loadshed.AdmittedRequest{Class: urgent, Work: queueWork, Share: 1}, now)
	}
}

// crowd has more waiting than can be served.
type crowd struct{}

func (crowd) Backlog(loadshed.Key, time.Time) loadshed.Backlog {
	return loadshed.Backlog{Waiting: 50, Target: 200 * time.Millisecond}
}

// TestWhatANodeMeasuresOfItselfIsNotTold once it has not asked on behalf of others for a while.
func TestWhatANodeMeasuresOfItselfIsNotTold(t *testing.T) {
	g := NewWithT(t)
	meters, now, told := loadshed.NewMeters(crowd{}, loadshed.NewAdmitter()), time.Unix(100, 0), time.Time{}
	meters.SetPublisher(func([]loadshed.Measurement) { told = now })
	began := now
	for range 1000 {
		meters.RecordAdmitted(loadshed.Key{Service: "a"}, loadshed.AdmittedRequest{Class: urgent, Work: queueWork, Share: 1, ForPeers: now.Sub(began) < time.Second}, now)
		now = now.Add(10 * time.Millisecond)
	}
	g.Expect(told).To(BeTemporally("~", began.Add(2500*time.Millisecond), 300*time.Millisecond))
}
