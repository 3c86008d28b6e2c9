package loadshed_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/pkg/loadshed"
)

// queue models the servers of one service as one queue with a fixed capacity in work a second. All
// requests need the same work.
type queue struct {
	meter    *loadshed.Meter
	random   *rand.Rand
	now      time.Time
	capacity float64
	// arrivals are the arrival times of the requests in the queue.
	arrivals []time.Time
	// availableWork is the work that the servers can do at once for the next requests.
	availableWork float64
	// shares are the shares of the last evaluation, by which requests are admitted.
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

// run offers requests at a rate per second for a span of time.
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

// nextIndex returns the first request that can be answered in time, or the first of all if there is
// none.
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

// TestAFlashCrowdIsLimitedToTheCapacity: at three times the capacity, most of the capacity is used
// for requests that are served in time, and the excess is refused.
func TestAFlashCrowdIsLimitedToTheCapacity(t *testing.T) {
	g := NewWithT(t)
	tested := newQueue(2)
	tested.run(50, 5*time.Second)
	g.Expect(tested.refused).To(BeZero(), "refused at half of the capacity")
	tested.run(300, time.Second)
	tested.run(300, 5*time.Second)
	t.Logf("capacity 500 requests: %d served, %d in time, %d refused", tested.served, tested.inTime, tested.refused)
	g.Expect(tested.inTime).To(BeNumerically(">=", 400), "at least 0.8 of the capacity is served in time")
	g.Expect(tested.refused).To(BeNumerically(">=", 800))
}

// TestRestoredCapacityIsUsedWithinASecond: nothing is refused a second after the capacity has
// returned.
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

// TestABurstThatEndedRefusesNobody: nothing is refused a second after a burst has ended.
func TestABurstThatEndedRefusesNobody(t *testing.T) {
	g := NewWithT(t)
	tested := newQueue(2)
	tested.run(300, 3*time.Second)
	tested.run(50, time.Second)
	tested.run(50, 5*time.Second)
	g.Expect(tested.refused).To(BeZero())
}

// TestAMinimumIsAlwaysAdmitted: some requests are admitted even while servers answer nothing, so
// that their return is noticed.
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

func BenchmarkMeterRecordAdmitted(b *testing.B) {
	meter := loadshed.NewMeter(time.Unix(100, 0))
	b.ReportAllocs()
	for b.Loop() {
		meter.RecordAdmitted(loadshed.AdmittedRequest{Class: urgent, Work: queueWork, Share: 1})
	}
}

// TestServersThatReturnFromAnOutageAreUsedWithinASecond: nothing is refused a second after all
// servers have returned from an outage.
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

// emptyQueues has no waiting requests.
type emptyQueues struct{}

func (emptyQueues) Backlog(loadshed.Key, time.Time) loadshed.Backlog { return loadshed.Backlog{} }

// BenchmarkMetersRecordAdmitted includes the evaluations: one for ten requests, at a hundred
// requests a second.
func BenchmarkMetersRecordAdmitted(b *testing.B) {
	meters, now := loadshed.NewMeters(emptyQueues{}, loadshed.NewAdmitter()), time.Unix(100, 0)
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(10 * time.Millisecond)
		meters.RecordAdmitted(loadshed.Key{Service: "shard0"}, loadshed.AdmittedRequest{Class: urgent, Work: queueWork, Share: 1}, now)
	}
}

// longQueues has more waiting requests than can be served in time.
type longQueues struct{}

func (longQueues) Backlog(loadshed.Key, time.Time) loadshed.Backlog {
	return loadshed.Backlog{Waiting: 50, Target: 200 * time.Millisecond}
}

// TestWhatANodeMeasuresOfItselfIsNotTold: a node that no longer queries servers on behalf of other
// nodes stops publishing its measurements, since it sees only its own requests.
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
