package owner

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/pkg/directory"
)

// leewayInTest is in which time a trial must be answered.
const leewayInTest = 20 * time.Millisecond

// clock counts the time of a test from its begin.
type clock struct{ now time.Time }

func (c *clock) pass(span time.Duration) { c.now = c.now.Add(span) }

// owning is one node that is asked by another: how its questions and trials go.
type owning struct {
	clock
	absences absences
	node     directory.Node
	// trialTakes is how long the answer of a trial takes; isMute says that none comes.
	trialTakes time.Duration
	isMute     bool
	trials     int
}

func newOwning() *owning {
	return &owning{clock: clock{now: time.Unix(0, 0)}, absences: make(absences), node: directory.Node{Name: "owner"}}
}

// try tries the node if that is due.
func (o *owning) try() {
	trials, _ := o.absences.due(map[string]directory.Node{o.node.Name: o.node}, o.now)
	for range trials {
		o.trials++
		o.absences.tried(o.node, !o.isMute, o.trialTakes, o.now)
	}
}

// serve lets a request come each interval for a span, and loses the node for each question that is
// too late. It returns how many requests asked the node.
func (o *owning) serve(interval, span time.Duration, isInTime func() bool) int {
	asked := 0
	const step = 10 * time.Millisecond
	for passed := time.Duration(0); passed < span; passed += step {
		o.pass(step)
		o.try()
		if passed%interval != 0 {
			continue
		}
		if !o.absences.admit(o.node.Name, o.now) {
			continue
		}
		asked++
		if isInTime() {
			o.absences.reported(o.node.Name, false, o.now)
		} else {
			o.absences.leave(o.node, leewayInTest, o.now, o.now)
		}
	}
	return asked
}

func never() bool  { return false }
func always() bool { return true }

// TestAnOwnerWhoseTrialsAreLateCostsTwoRequests: a node on a slow link, of which 20 requests a
// second go out for a minute.
func TestAnOwnerWhoseTrialsAreLateCostsTwoRequests(t *testing.T) {
	g := NewWithT(t)
	o := newOwning()
	o.trialTakes = leewayInTest + time.Millisecond
	g.Expect(o.serve(50*time.Millisecond, time.Minute, never)).To(Equal(2))
	g.Expect(o.trials).To(BeNumerically("~", 60, 5), "a trial a second")
	o.trialTakes = leewayInTest
	g.Expect(o.serve(50*time.Millisecond, 2*time.Second, always)).To(BeNumerically(">=", 10), "back within a second, and one by one at first")
}

// TestAnOwnerThatIsLateWithQuestionsAloneCostsFewRequests: a node that answers trials at once and
// questions too late, which 20 requests a second would ask for two minutes.
func TestAnOwnerThatIsLateWithQuestionsAloneCostsFewRequests(t *testing.T) {
	g := NewWithT(t)
	o := newOwning()
	o.trialTakes = time.Millisecond
	g.Expect(o.serve(50*time.Millisecond, 2*time.Minute, never)).To(BeNumerically("<=", 15))
	g.Expect(o.serve(50*time.Millisecond, 2*time.Minute, never)).To(BeNumerically("<=", 5), "the time grows")
	g.Expect(o.serve(50*time.Millisecond, 2*time.Minute, always)).To(BeNumerically(">=", 1800), "it is not given up")
}

// TestFewQuestionsOfANodeLearnAsWell: the same with two requests in five seconds, as one of many
// nodes has them, for ten minutes.
func TestFewQuestionsOfANodeLearnAsWell(t *testing.T) {
	g := NewWithT(t)
	o := newOwning()
	o.trialTakes = time.Millisecond
	g.Expect(o.serve(2500*time.Millisecond, 10*time.Minute, never)).To(BeNumerically("<=", 30), "of 240")
}

// TestAnOwnerThatPausedIsBackSoon: one silence, 20 requests a second.
func TestAnOwnerThatPausedIsBackSoon(t *testing.T) {
	g := NewWithT(t)
	o := newOwning()
	o.absences.leave(o.node, leewayInTest, o.now, o.now)
	g.Expect(o.serve(50*time.Millisecond, time.Second, always)).To(Equal(19))
	o.pass(memoryFactor * firstRest)
	o.absences.leave(o.node, leewayInTest, o.now, o.now)
	g.Expect(o.serve(50*time.Millisecond, time.Second, always)).To(Equal(19), "its loss is forgotten")
}

// loseAgain lets the node be late, return, and be late with a question that was asked since.
func (o *owning) loseAgain() {
	o.absences.leave(o.node, leewayInTest, o.now, o.now)
	o.absences.reported(o.node.Name, true, o.now)
	o.pass(time.Millisecond)
	o.absences.leave(o.node, leewayInTest, o.now, o.now)
}

// TestOneQuestionAtATimeAfterAReturn: 40 requests at once ask an owner that has just returned after
// it was late again.
func TestOneQuestionAtATimeAfterAReturn(t *testing.T) {
	g := NewWithT(t)
	o := newOwning()
	o.loseAgain()
	o.pass(2 * firstRest)
	o.try()
	taken := func() int {
		count := 0
		for range 40 {
			if o.absences.admit(o.node.Name, o.now) {
				count++
			}
		}
		return count
	}
	g.Expect(taken()).To(Equal(1))
	o.pass(provingPause)
	g.Expect(taken()).To(Equal(1), "an answer that does not come holds nobody back for ever")
	o.absences.reported(o.node.Name, false, o.now)
	g.Expect(taken()).To(Equal(40))
}

// TestALateReportIsNoReturnAgain: what an owner that was late again still reports shows that it
// lives, not that it is in time. One that was late once, or refused, returns with any report.
func TestALateReportIsNoReturnAgain(t *testing.T) {
	for name, expected := range map[string]struct {
		lose   func(o *owning)
		isBack bool
	}{
		"late again": {(*owning).loseAgain, false},
		"late once":  {func(o *owning) { o.absences.leave(o.node, leewayInTest, o.now, o.now) }, true},
		"refused":    {func(o *owning) { o.absences.leave(o.node, 0, o.now, o.now) }, true},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			o := newOwning()
			expected.lose(o)
			g.Expect(o.absences.leave(o.node, 0, o.now, o.now)).To(BeFalse(), "it is lost already")
			_, isBack := o.absences.reported(o.node.Name, true, o.now)
			g.Expect(isBack).To(Equal(expected.isBack))
		})
	}
}

// TestQuestionsOfOneStallCountOnce: 40 questions that were asked before the first loss find the
// owner late one after the other, while its late reports let it return in between.
func TestQuestionsOfOneStallCountOnce(t *testing.T) {
	g := NewWithT(t)
	o := newOwning()
	asked := o.now
	for range 40 {
		o.pass(time.Millisecond)
		o.absences.leave(o.node, leewayInTest, asked, o.now)
		_, isBack := o.absences.reported(o.node.Name, true, o.now)
		g.Expect(isBack).To(BeTrue())
	}
}

// TestALostNodeIsTriedEachSecond, and returns whatever its trial takes; one that has started anew
// is asked at once.
func TestALostNodeIsTriedEachSecond(t *testing.T) {
	g := NewWithT(t)
	o := newOwning()
	o.isMute = true
	for range 5 {
		o.absences.leave(o.node, 0, o.now, o.now)
		g.Expect(o.serve(50*time.Millisecond, time.Minute, always)).To(BeZero())
		o.isMute = false
		o.trialTakes = trialTimeout
		g.Expect(o.serve(50*time.Millisecond, greatestPause, always)).To(BeNumerically(">", 0))
		o.isMute = true
	}
	o.absences.leave(o.node, leewayInTest, o.now, o.now)
	o.absences.due(map[string]directory.Node{"owner": {Name: "owner", PeerAddress: "another"}}, o.now)
	g.Expect(o.absences.admit("owner", o.now)).To(BeTrue())
}

// TestAReplacedNodeIsAskedAtOnce, however long the one before it was to rest; one that is listed
// again as it was stays left out.
func TestAReplacedNodeIsAskedAtOnce(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	roster := NewRoster(directory.Node{Name: "local", Zone: "zone"}, nil, nil)
	lost := directory.Node{Name: "owner", Zone: "zone", PeerAddress: "one"}
	roster.SetNodes([]directory.Node{lost})
	g.Expect(roster.leave(lost, leewayInTest, now, now)).To(BeTrue())
	roster.SetNodes([]directory.Node{lost})
	g.Expect(roster.absences.admit(lost.Name, now)).To(BeFalse())
	replaced := lost
	replaced.PeerAddress = "another"
	roster.SetNodes([]directory.Node{replaced})
	g.Expect(roster.absences.admit(lost.Name, now)).To(BeTrue())
}
