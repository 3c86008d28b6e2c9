package admission

import (
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func controllerFor(start int) (*controller, time.Time) {
	now := time.Unix(0, 0)
	options := Options{StartLimit: start, Tolerance: 1000, LeastLimit: func() int { return 5 }}.withDefaults()
	created := newController(&options, now)
	return &created, now
}

// TestTheFirstOverloadBringsTheLimitToTheLoad, however high it was before.
func TestTheFirstOverloadBringsTheLimitToTheLoad(t *testing.T) {
	g := NewWithT(t)
	tested, now := controllerFor(2000)
	tested.record(kind{}, Result{Latency: time.Millisecond}, 30, false, now)
	g.Expect(tested.places()).To(Equal(2000))
	tested.record(kind{}, Result{Overloaded: true}, 30, false, now)
	g.Expect(tested.places()).To(BeNumerically("<=", 30))
	lowered := tested.places()
	tested.record(kind{}, Result{Overloaded: true}, 2, false, now)
	g.Expect(tested.places()).To(BeNumerically(">=", lowered-1), "later signs lower it step by step")
}

// TestLateRequestsCountAfterAnOverloadOnly: slow servers make requests late at
// any load.
func TestLateRequestsCountAfterAnOverloadOnly(t *testing.T) {
	g := NewWithT(t)
	tested, now := controllerFor(20)
	lateRequests := func(count int, limited bool) {
		for range count {
			tested.record(kind{}, Result{Late: true, Latency: time.Second}, 20, limited, now)
		}
	}
	lateRequests(50, false)
	g.Expect(tested.places()).To(Equal(20), "before any overload")
	tested.record(kind{}, Result{Overloaded: true}, 20, true, now)
	before := tested.limit
	lateRequests(4, false)
	g.Expect(tested.limit).To(BeNumerically(">=", before), "while nothing is held back")
	lateRequests(4, true)
	g.Expect(tested.limit).To(BeNumerically("~", before-4*lateDecrease, 0.01), "while the limit holds requests back")
	lateRequests(200, true)
	g.Expect(tested.places()).To(Equal(5), "never below the least limit")
	for range 50 {
		tested.record(kind{}, Result{Latency: time.Millisecond}, 20, true, now)
	}
	before = tested.limit
	lateRequests(1, true)
	g.Expect(tested.limit).To(BeNumerically(">=", before), "a single late one among many in time")
}

// TestAnInfiniteToleranceIgnoresLatency, also after requests that ended at once:
// the first overload still brings the limit to the load. (valgsok trouble-1
// --seed 406752304372)
func TestAnInfiniteToleranceIgnoresLatency(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	options := Options{StartLimit: 2000, Tolerance: math.Inf(1)}.withDefaults()
	tested := newController(&options, now)
	for range 20 {
		tested.record(kind{}, Result{Latency: 20 * time.Microsecond}, 5, false, now)
	}
	for range 200 {
		tested.record(kind{}, Result{Latency: 120 * time.Millisecond}, 5, false, now)
	}
	g.Expect(tested.places()).To(Equal(2000))
	tested.record(kind{}, Result{Overloaded: true}, 5, false, now)
	g.Expect(tested.places()).To(BeNumerically("<=", 5))
}
