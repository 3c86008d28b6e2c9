package owner

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/pkg/directory"
)

// testLeeway is in which time a trial must be answered.
const testLeeway = 20 * time.Millisecond

// clock counts the time of a test from its begin.
type clock struct{ now time.Time }

func (c *clock) advance(span time.Duration) { c.now = c.now.Add(span) }

// owning is one node that is asked by another: how its questions and trials go.
type ownerSimulation struct {
	clock
	exclusions exclusions
	node       directory.Node
	// probeLatency is how long the answer of a trial takes; isUnresponsive says that none comes.
	probeLatency   time.Duration
	isUnresponsive bool
	probeCount     int
}

func newOwnerSimulation() *ownerSimulation {
	return &ownerSimulation{clock: clock{now: time.Unix(0, 0)}, exclusions: make(exclusions), node: directory.Node{Name: "owner"}}
}

// try tries the node if that is due.
func (o *ownerSimulation) probe() {
	probes, _ := o.exclusions.takeDue(map[string]directory.Node{o.node.Name: o.node}, o.now)
	for range probes {
		o.probeCount++
		o.exclusions.recordProbe(o.node, !o.isUnresponsive, o.probeLatency, o.now)
	}
}

// serve lets a request come each interval for a span, and loses the node for each question that is
// too late. It returns how many requests asked the node.
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

// TestOwnerWithLateProbesCostsTwoRequests: a node on a slow link, of which 20 requests a
// second go out for a minute.
func TestOwnerWithLateProbesCostsTwoRequests(t *testing.T) {
	g := NewWithT(t)
	o := newOwnerSimulation()
	o.probeLatency = testLeeway + time.Millisecond
	g.Expect(o.serve(50*time.Millisecond, time.Minute, never)).To(Equal(2))
	g.Expect(o.probeCount).To(BeNumerically("~", 60, 5), "a trial a second")
	o.probeLatency = testLeeway
	g.Expect(o.serve(50*time.Millisecond, 2*time.Second, always)).To(BeNumerically(">=", 10), "back within a second, and one by one at first")
}

// TestOwnerLateOnlyWithQuestionsCostsFewRequests: a node that answers trials at once and
// questions too late, which 20 requests a second would ask for two minutes.
func TestOwnerLateOnlyWithQuestionsCostsFewRequests(t *testing.T) {
	g := NewWithT(t)
	o := newOwnerSimulation()
	o.probeLatency = time.Millisecond
	g.Expect(o.serve(50*time.Millisecond, 2*time.Minute, never)).To(BeNumerically("<=", 15))
	g.Expect(o.serve(50*time.Millisecond, 2*time.Minute, never)).To(BeNumerically("<=", 5), "the time grows")
	g.Expect(o.serve(50*time.Millisecond, 2*time.Minute, always)).To(BeNumerically(">=", 1800), "it is not given up")
}

// TestLowRequestRateStillBacksOff: the same with two requests in five seconds, as one of many
// nodes has them, for ten minutes.
func TestLowRequestRateStillBacksOff(t *testing.T) {
	g := NewWithT(t)
	o := newOwnerSimulation()
	o.probeLatency = time.Millisecond
	g.Expect(o.serve(2500*time.Millisecond, 10*time.Minute, never)).To(BeNumerically("<=", 30), "of 240")
}

// TestOwnerReturnsSoonAfterOnePause: one silence, 20 requests a second.
func TestOwnerReturnsSoonAfterOnePause(t *testing.T) {
	g := NewWithT(t)
	o := newOwnerSimulation()
	o.exclusions.exclude(o.node, testLeeway, o.now, o.now)
	g.Expect(o.serve(50*time.Millisecond, time.Second, always)).To(Equal(19))
	o.advance(lossMemoryFactor * initialProbeDelay)
	o.exclusions.exclude(o.node, testLeeway, o.now, o.now)
	g.Expect(o.serve(50*time.Millisecond, time.Second, always)).To(Equal(19), "its loss is forgotten")
}

// loseTwice lets the node be late, return, and be late with a question that was asked since.
func (o *ownerSimulation) loseTwice() {
	o.exclusions.exclude(o.node, testLeeway, o.now, o.now)
	o.exclusions.recordReport(o.node.Name, true, o.now)
	o.advance(time.Millisecond)
	o.exclusions.exclude(o.node, testLeeway, o.now, o.now)
}

// TestProbationAdmitsOneQuestionAtATime: 40 requests at once ask an owner that has just returned after
// it was late again.
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
	g.Expect(admitted()).To(Equal(1), "an answer that does not come holds nobody back for ever")
	o.exclusions.recordReport(o.node.Name, false, o.now)
	g.Expect(admitted()).To(Equal(40))
}

// TestLateReportDoesNotReadmitRepeatedlyLateOwner: what an owner that was late again still reports shows that it
// lives, not that it is in time. One that was late once, or refused, returns with any report.
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
			g.Expect(o.exclusions.exclude(o.node, 0, o.now, o.now)).To(BeFalse(), "it is lost already")
			_, isReadmitted := o.exclusions.recordReport(o.node.Name, true, o.now)
			g.Expect(isReadmitted).To(Equal(expected.isReadmitted))
		})
	}
}

// TestQuestionsOfOneStallCountAsOneLoss: 40 questions that were asked before the first loss find the
// owner late one after the other, while its late reports let it return in between.
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

// TestLostNodeIsProbedEachSecond, and returns whatever its trial takes; one that has started anew
// is asked at once.
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

// TestAReplacedNodeIsAskedAtOnce, however long the one before it was to rest; one that is listed
// again as it was stays left out.
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
