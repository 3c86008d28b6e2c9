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
	arrivals []time.Time
	// done is the work that the servers have ready for the next request.
	availableWork float64
	// shares are what the nodes know; they learn of a change a little later.
	shares         loadshed.Shares
	isStopped      bool
	refused        int
	served         int
	inTime         int
	observedShares []float64
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
		q.serve()
		if q.meter.NeedsEvaluation(q.now) {
			q.evaluate()
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
	q.arrivals = append(q.arrivals, q.now)
}

func (q *queue) serve() {
	if q.isStopped {
		return
	}
	q.availableWork += q.capacity * queueStep.Seconds()
	for q.availableWork >= queueWork.Seconds() && len(q.arrivals) > 0 {
		q.availableWork -= queueWork.Seconds()
		next := q.nextIndex()
		if q.now.Sub(q.arrivals[next]) < queueTarget {
			q.inTime++
		}
		q.arrivals = slices.Delete(q.arrivals, next, next+1)
		q.served++
		q.meter.RecordServed(queueWork)
	}
	q.availableWork = min(q.availableWork, 3*queueWork.Seconds())
}

// next returns the first request that is in time, and the first of all if none is.
func (q *queue) nextIndex() int {
	for index, arrivedAt := range q.arrivals {
		if q.now.Sub(arrivedAt) < queueTarget {
			return index
		}
	}
	return 0
}

func (q *queue) evaluate() {
	inTime := 0
	for _, arrivedAt := range q.arrivals {
		if q.now.Sub(arrivedAt) < queueTarget {
			inTime++
		}
	}
	q.meter.Evaluate(loadshed.Backlog{Waiting: inTime, Target: queueTarget}, q.now)
	shares, _ := q.meter.Shares()
	q.observedShares = append(q.observedShares, shares.Of(urgent))
	q.shares = shares
}

// TestAFlashCrowdIsLimitedToTheCapacity: at three times the capacity nearly all that is let
// in is served in time, servers stay busy, and the rest is refused.
func TestAFlashCrowdIsLimitedToTheCapacity(t *testing.T) {
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

// TestRestoredCapacityIsUsedWithinASecond.
func TestRestoredCapacityIsUsedWithinASecond(t *testing.T) {
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

// TestAMinimumIsAlwaysAdmitted: also servers that answer nothing any more are tried.
func TestAMinimumIsAlwaysAdmitted(t *testing.T) {
	g := NewWithT(t)
	tested := newQueue(2)
	tested.run(80, 3*time.Second)
	tested.isStopped = true
	tested.run(80, 10*time.Second)
	for _, share := range tested.observedShares {
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

// TestServersThatReturnFromAnOutageAreUsedWithinASecond are in use again within a second.
func TestServersThatReturnFromAnOutageAreUsedWithinASecond(t *testing.T) {
	g := NewWithT(t)
	tested := newQueue(3)
	tested.run(75, 2*time.Second)
	tested.isStopped = true
	tested.run(75, 5*time.Second)
	tested.isStopped = false
	tested.run(75, time.Second)
	tested.run(75, 5*time.Second)
	g.Expect(tested.refused).To(BeZero())
}

// emptyQueues has nothing that waits.
type emptyQueues struct{}

func (emptyQueues) Backlog(loadshed.Key, time.Time) loadshed.Backlog { return loadshed.Backlog{} }

// BenchmarkMetersOffer counts the judgements too, one in ten requests at a hundred a second.
func BenchmarkMetersOffer(b *testing.B) {
	meters, now := loadshed.NewMeters(emptyQueues{}, loadshed.NewAdmitter()), time.Unix(100, 0)
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(10 * time.Millisecond)
		meters.RecordAdmitted(loadshed.Key{Service: "shard0"}, loadshed.AdmittedRequest{Class: urgent, Work: queueWork, Share: 1}, now)
	}
}

// crowd has more waiting than can be served.
type longQueues struct{}

func (longQueues) Backlog(loadshed.Key, time.Time) loadshed.Backlog {
	return loadshed.Backlog{Waiting: 50, Target: 200 * time.Millisecond}
}

// TestWhatANodeMeasuresOfItselfIsNotTold once it has not asked on behalf of others for a while.
func TestWhatANodeMeasuresOfItselfIsNotTold(t *testing.T) {
	g := NewWithT(t)
	meters, now, publishedAt := loadshed.NewMeters(longQueues{}, loadshed.NewAdmitter()), time.Unix(100, 0), time.Time{}
	meters.SetPublisher(func([]loadshed.Measurement) { publishedAt = now })
	startedAt := now
	for range 1000 {
		meters.RecordAdmitted(loadshed.Key{Service: "a"}, loadshed.AdmittedRequest{Class: urgent, Work: queueWork, Share: 1, ForPeers: now.Sub(startedAt) < time.Second}, now)
		now = now.Add(10 * time.Millisecond)
	}
	g.Expect(publishedAt).To(BeTemporally("~", startedAt.Add(2500*time.Millisecond), 300*time.Millisecond))
}
