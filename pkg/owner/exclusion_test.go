package owner

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/pkg/directory"
)

// testLeeway is the time within which a probe must be answered.
const testLeeway = 20 * time.Millisecond

// clock is the time of a test.
type clock struct{ now time.Time }

func (c *clock) advance(span time.Duration) { c.now = c.now.Add(span) }

// ownerSimulation simulates the questions and probes that one node sends to an owner.
type ownerSimulation struct {
	clock
	exclusions exclusions
	node       directory.Node
	// probeLatency is how long the answer to a probe takes; isUnresponsive is set if there is none.
	probeLatency   time.Duration
	isUnresponsive bool
	probeCount     int
}

func newOwnerSimulation() *ownerSimulation {
	return &ownerSimulation{clock: clock{now: time.Unix(0, 0)}, exclusions: make(exclusions), node: directory.Node{Name: "owner"}}
}

// probe probes the node if a probe is due.
func (o *ownerSimulation) probe() {
	probes, _ := o.exclusions.takeDue(map[string]directory.Node{o.node.Name: o.node}, o.now)
	for range probes {
		o.probeCount++
		o.exclusions.recordProbe(o.node, !o.isUnresponsive, o.probeLatency, o.now)
	}
}

// serve simulates one request per interval for a time span, and excludes the node after each
// question that is answered too late. It returns how many requests asked the node.
func (o *ownerSimulation) serve(interval, span time.Duration, isInTime func() bool) int {
	questions := 0
	const step = 10 * time.Millisecond
	for passed := time.Duration(0); passed < span; passed += step {
		o.advance(step)
		o.probe()
		if passed%interval != 0 {
			continue
		}
		if !o.exclusions.admit(o.node.Name, o.now) {
			continue
		}
		questions++
		if isInTime() {
			o.exclusions.recordReport(o.node.Name, false, o.now)
		} else {
			o.exclusions.exclude(o.node, testLeeway, o.now, o.now)
		}
	}
	return questions
}

func never() bool  { return false }
func always() bool { return true }

// TestOwnerWithLateProbesCostsTwoRequests: 20 requests a second for a minute, with an owner on a
// slow link that answers questions and probes too late.
func TestOwnerWithLateProbesCostsTwoRequests(t *testing.T) {
	g := NewWithT(t)
	o := newOwnerSimulation()
	o.probeLatency = testLeeway + time.Millisecond
	g.Expect(o.serve(50*time.Millisecond, time.Minute, never)).To(Equal(2))
	g.Expect(o.probeCount).To(BeNumerically("~", 60, 5), "one probe a second")
	o.probeLatency = testLeeway
	g.Expect(o.serve(50*time.Millisecond, 2*time.Second, always)).To(BeNumerically(">=", 10), "back within a second, at first with one question at a time")
}

// TestOwnerLateOnlyWithQuestionsCostsFewRequests: 20 requests a second for two minutes, with an
// owner that answers probes at once but questions too late.
func TestOwnerLateOnlyWithQuestionsCostsFewRequests(t *testing.T) {
	g := NewWithT(t)
	o := newOwnerSimulation()
	o.probeLatency = time.Millisecond
	g.Expect(o.serve(50*time.Millisecond, 2*time.Minute, never)).To(BeNumerically("<=", 15))
	g.Expect(o.serve(50*time.Millisecond, 2*time.Minute, never)).To(BeNumerically("<=", 5), "the probe delay grows")
	g.Expect(o.serve(50*time.Millisecond, 2*time.Minute, always)).To(BeNumerically(">=", 1800), "the owner is still probed and returns")
}

// TestLowRequestRateStillBacksOff: two requests in five seconds for ten minutes, the rate that one
// of many nodes sees, with an owner that answers probes at once but questions too late.
func TestLowRequestRateStillBacksOff(t *testing.T) {
	g := NewWithT(t)
	o := newOwnerSimulation()
	o.probeLatency = time.Millisecond
	g.Expect(o.serve(2500*time.Millisecond, 10*time.Minute, never)).To(BeNumerically("<=", 30), "of 240 requests")
}

// TestOwnerReturnsSoonAfterOnePause: an owner is silent once, at 20 requests a second.
func TestOwnerReturnsSoonAfterOnePause(t *testing.T) {
	g := NewWithT(t)
	o := newOwnerSimulation()
	o.exclusions.exclude(o.node, testLeeway, o.now, o.now)
	g.Expect(o.serve(50*time.Millisecond, time.Second, always)).To(Equal(19))
	o.advance(lossMemoryFactor * initialProbeDelay)
	o.exclusions.exclude(o.node, testLeeway, o.now, o.now)
	g.Expect(o.serve(50*time.Millisecond, time.Second, always)).To(Equal(19), "the first loss has expired")
}

// loseTwice makes the node late, return, and be late with a question asked after its return.
func (o *ownerSimulation) loseTwice() {
	o.exclusions.exclude(o.node, testLeeway, o.now, o.now)
	o.exclusions.recordReport(o.node.Name, true, o.now)
	o.advance(time.Millisecond)
	o.exclusions.exclude(o.node, testLeeway, o.now, o.now)
}

// TestProbationAdmitsOneQuestionAtATime: 40 requests arrive at once when a repeatedly late owner
// has just returned.
func TestProbationAdmitsOneQuestionAtATime(t *testing.T) {
	g := NewWithT(t)
	o := newOwnerSimulation()
	o.loseTwice()
	o.advance(2 * initialProbeDelay)
	o.probe()
	admitted := func() int {
		count := 0
		for range 40 {
			if o.exclusions.admit(o.node.Name, o.now) {
				count++
			}
		}
		return count
	}
	g.Expect(admitted()).To(Equal(1))
	o.advance(probationInterval)
	g.Expect(admitted()).To(Equal(1), "a missing answer does not block further questions forever")
	o.exclusions.recordReport(o.node.Name, false, o.now)
	g.Expect(admitted()).To(Equal(40))
}

// TestLateReportDoesNotReadmitRepeatedlyLateOwner: a report of a repeatedly late owner shows that
// it runs, not that it answers in time. An owner that was late once, or refused a question, returns
// with any report.
func TestLateReportDoesNotReadmitRepeatedlyLateOwner(t *testing.T) {
	for name, expected := range map[string]struct {
		lose         func(o *ownerSimulation)
		isReadmitted bool
	}{
		"late again": {(*ownerSimulation).loseTwice, false},
		"late once":  {func(o *ownerSimulation) { o.exclusions.exclude(o.node, testLeeway, o.now, o.now) }, true},
		"refused":    {func(o *ownerSimulation) { o.exclusions.exclude(o.node, 0, o.now, o.now) }, true},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			o := newOwnerSimulation()
			expected.lose(o)
			g.Expect(o.exclusions.exclude(o.node, 0, o.now, o.now)).To(BeFalse(), "it is excluded already")
			_, isReadmitted := o.exclusions.recordReport(o.node.Name, true, o.now)
			g.Expect(isReadmitted).To(Equal(expected.isReadmitted))
		})
	}
}

// TestQuestionsOfOneStallCountAsOneLoss: 40 questions asked before the first loss find the owner
// late one after the other, and its late reports readmit it in between. If each counted as a new
// loss, the owner would count as repeatedly late.
func TestQuestionsOfOneStallCountAsOneLoss(t *testing.T) {
	g := NewWithT(t)
	o := newOwnerSimulation()
	askedAt := o.now
	for range 40 {
		o.advance(time.Millisecond)
		o.exclusions.exclude(o.node, testLeeway, askedAt, o.now)
		_, isReadmitted := o.exclusions.recordReport(o.node.Name, true, o.now)
		g.Expect(isReadmitted).To(BeTrue())
	}
}

// TestLostNodeIsProbedEachSecond: a node that was lost but never late returns however long its probe
// takes, and one that restarted at another address is asked at once.
func TestLostNodeIsProbedEachSecond(t *testing.T) {
	g := NewWithT(t)
	o := newOwnerSimulation()
	o.isUnresponsive = true
	for range 5 {
		o.exclusions.exclude(o.node, 0, o.now, o.now)
		g.Expect(o.serve(50*time.Millisecond, time.Minute, always)).To(BeZero())
		o.isUnresponsive = false
		o.probeLatency = probeTimeout
		g.Expect(o.serve(50*time.Millisecond, maxProbeInterval, always)).To(BeNumerically(">", 0))
		o.isUnresponsive = true
	}
	o.exclusions.exclude(o.node, testLeeway, o.now, o.now)
	o.exclusions.takeDue(map[string]directory.Node{"owner": {Name: "owner", PeerAddress: "another"}}, o.now)
	g.Expect(o.exclusions.admit("owner", o.now)).To(BeTrue())
}

// TestAReplacedNodeIsAskedAtOnce: a node that replaces an excluded one at another address is asked
// at once. A node that is listed again unchanged stays excluded.
func TestAReplacedNodeIsAskedAtOnce(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	roster := NewRoster(directory.Node{Name: "local", Zone: "zone"}, nil, nil)
	lost := directory.Node{Name: "owner", Zone: "zone", PeerAddress: "one"}
	roster.SetNodes([]directory.Node{lost})
	g.Expect(roster.exclude(lost, testLeeway, now, now)).To(BeTrue())
	roster.SetNodes([]directory.Node{lost})
	g.Expect(roster.exclusions.admit(lost.Name, now)).To(BeFalse())
	replaced := lost
	replaced.PeerAddress = "another"
	roster.SetNodes([]directory.Node{replaced})
	g.Expect(roster.exclusions.admit(lost.Name, now)).To(BeTrue())
}
