package admission_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/pkg/admission"
	"github.com/bramblemast/bramblemast/pkg/policy"
)

func reader(load float64) stream { return stream{"valgdata", policy.ClassInteractive, load} }

// TestAllLimitsTogether shows the aim of the project at twice the capacity and
// beyond: at least 90% of it goes into useful answers, for at most 1.1
// sub-requests for each that is needed, and refusals take a small part of the
// time of answers. With a plain bounded queue nearly every answer is late.
func TestAllLimitsTogether(t *testing.T) {
	g := NewWithT(t)
	for _, nodes := range []int{1, 3, 9} {
		below, _ := simulation{nodes: nodes, groups: 4, streams: []stream{reader(0.6)}}.run(t)
		g.Expect(below[0].useful).To(BeNumerically(">=", 0.99*float64(below[0].offered)))
		if nodes == 3 {
			g.Expect(below[0].partial + below[0].late + below[0].refused).To(BeZero())
		}
	}
	for _, sim := range []simulation{
		{nodes: 1, groups: 4, streams: []stream{reader(2)}},
		{nodes: 3, groups: 4, streams: []stream{reader(2)}},
		{nodes: 9, groups: 4, streams: []stream{reader(2)}},
		{nodes: 30, groups: 4, streams: []stream{reader(2)}},
		{nodes: 10, groups: 1, streams: []stream{reader(5)}},
	} {
		results, _ := sim.run(t)
		g.Expect(share(results[0].useful)).To(BeNumerically(">=", 0.9))
		g.Expect(share(results[0].partial+results[0].late)).To(BeNumerically("<=", 0.1), "admitted in vain")
		g.Expect(results[0].attempts()).To(BeNumerically("<=", 1.1))
		g.Expect(results[0].meanRefusal()).To(BeNumerically("<", results[0].meanServed()/10))
		g.Expect(results[0].meanServed()).To(BeNumerically("<", 3*deadline/4), "no queue stands that only adds latency")
	}
	plain := simulation{nodes: 1, groups: 1, streams: []stream{reader(2)}}
	plain.spec.Admission = policy.AdmissionSpec{Policy: policy.AdmissionBoundedQueue, MaxQueued: 1000}
	results, _ := plain.run(t)
	g.Expect(share(results[0].useful)).To(BeNumerically("<", 0.1))
}

// TestClassesUnderOverload shows that archive requests give way first.
func TestClassesUnderOverload(t *testing.T) {
	g := NewWithT(t)
	results, _ := simulation{nodes: 1, groups: 1, streams: []stream{
		{"valgdata", policy.ClassTicker, 0.3},
		{"valgdata", policy.ClassInteractive, 0.5},
		{"valgdata", policy.ClassArchive, 1.2},
	}}.run(t)
	ticker, interactive, archive := results[0], results[1], results[2]
	g.Expect(ticker.useful).To(BeNumerically(">=", 0.95*float64(ticker.offered)))
	g.Expect(interactive.useful).To(BeNumerically(">=", 0.95*float64(interactive.offered)))
	g.Expect(ticker.refused + interactive.refused).To(BeZero())
	g.Expect(share(archive.useful)).To(BeNumerically(">=", 0.15), "what is left of the capacity")
}

// TestNoClassStarves shows that the lower classes keep their least shares while
// tickers alone ask for more than there is.
func TestNoClassStarves(t *testing.T) {
	g := NewWithT(t)
	results, _ := simulation{nodes: 1, groups: 1, streams: []stream{
		{"valgdata", policy.ClassTicker, 1.5},
		{"valgdata", policy.ClassInteractive, 0.5},
		{"valgdata", policy.ClassArchive, 0.5},
	}}.run(t)
	g.Expect(share(results[0].useful)).To(BeNumerically(">=", 0.65))
	g.Expect(share(results[1].useful)).To(BeNumerically("~", 0.2, 0.03))
	g.Expect(share(results[2].useful)).To(BeNumerically("~", 0.05, 0.02))
}

// TestTenantsTakeTurns shows that a tenant that asks for less than its turn
// gets all of it, whatever another tenant asks for.
func TestTenantsTakeTurns(t *testing.T) {
	g := NewWithT(t)
	results, _ := simulation{nodes: 1, groups: 1, streams: []stream{
		{"valgdata", policy.ClassInteractive, 2},
		{"colours", policy.ClassInteractive, 0.4},
	}}.run(t)
	g.Expect(results[1].useful).To(BeNumerically(">=", 0.95*float64(results[1].offered)))
	g.Expect(share(results[0].useful)).To(BeNumerically(">=", 0.5))
}

// TestRetryAfterIsTruthful offers a burst that the gate cannot serve in time.
// Nearly every caller that retries when it was told to is then served, and
// the burst is worked off about as fast as the back ends can.
func TestRetryAfterIsTruthful(t *testing.T) {
	g := NewWithT(t)
	const burst, spareShare = 2000, 0.7
	sim := simulation{nodes: 1, groups: 1, streams: []stream{reader(1 - spareShare)}, burst: burst, returning: true}
	_, result := sim.run(t)
	t.Log(result.returned, "refused at first,", result.useful, "served, the last after", result.lastServed)
	g.Expect(result.returned).To(BeNumerically(">=", 0.7*burst))
	g.Expect(result.useful).To(BeNumerically(">=", 0.95*burst))
	idealSeconds := burst / (spareShare * float64(capacity))
	g.Expect(result.lastServed.Seconds()).To(BeNumerically("<=", 3*idealSeconds))
}

func TestOverloadedNeedsMoreThanAFewRefusals(t *testing.T) {
	g := NewWithT(t)
	g.Expect(admission.Overloaded(220, 5, false)).To(BeFalse())
	g.Expect(admission.Overloaded(220, 5, true)).To(BeTrue())
	g.Expect(admission.Overloaded(4, 1, false)).To(BeTrue())
	g.Expect(admission.Overloaded(4, 0, true)).To(BeFalse())
}
