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
	for end := o.now.Add(span); o.now.Before(end); o.pass(interval) {
		o.try()
		if !o.absences.takes(o.node.Name, o.now) {
			continue
		}
		asked++
		if isInTime() {
			o.absences.reported(o.node.Name, o.now)
		} else {
			o.absences.leave(o.node, leewayInTest, o.now)
		}
	}
	return asked
}

func never() bool  { return false }
func always() bool { return true }

// TestAnOwnerWhoseTrialsAreLateCostsOneRequest: a node on a slow link, of which 20 requests a
// second go out for a minute.
func TestAnOwnerWhoseTrialsAreLateCostsOneRequest(t *testing.T) {
	g := NewWithT(t)
	o := newOwning()
	o.trialTakes = leewayInTest + time.Millisecond
	g.Expect(o.serve(50*time.Millisecond, time.Minute, never)).To(Equal(1))
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
	g.Expect(o.serve(50*time.Millisecond, 2*time.Minute, never)).To(BeNumerically("<=", 13))
	g.Expect(o.serve(50*time.Millisecond, 2*time.Minute, never)).To(BeNumerically("<=", 5), "the time grows")
	g.Expect(o.serve(50*time.Millisecond, 2*time.Minute, always)).To(BeNumerically(">=", 1800), "it is not given up")
}

// TestAnOwnerThatPausedIsBackSoon: one silence, 20 requests a second.
func TestAnOwnerThatPausedIsBackSoon(t *testing.T) {
	g := NewWithT(t)
	o := newOwning()
	o.absences.leave(o.node, leewayInTest, o.now)
	g.Expect(o.serve(50*time.Millisecond, time.Second, always)).To(Equal(18))
	o.pass(memoryFactor * firstRest)
	o.absences.leave(o.node, leewayInTest, o.now)
	g.Expect(o.serve(50*time.Millisecond, time.Second, always)).To(Equal(18), "its loss is forgotten")
}

// TestOneQuestionAtATimeAfterAReturn: 40 requests at once ask an owner that has just returned.
func TestOneQuestionAtATimeAfterAReturn(t *testing.T) {
	g := NewWithT(t)
	o := newOwning()
	o.absences.leave(o.node, leewayInTest, o.now)
	o.pass(firstRest)
	o.try()
	taken := func() int {
		count := 0
		for range 40 {
			if o.absences.takes(o.node.Name, o.now) {
				count++
			}
		}
		return count
	}
	g.Expect(taken()).To(Equal(1))
	o.pass(provingPause)
	g.Expect(taken()).To(Equal(1), "an answer that does not come holds nobody back for ever")
	o.absences.reported(o.node.Name, o.now)
	g.Expect(taken()).To(Equal(40))
}

// TestALateReportIsNoReturn: what a silent owner still reports shows that it lives, not that it is
// in time; one that refused or could not be reached returns with any report.
func TestALateReportIsNoReturn(t *testing.T) {
	for name, expected := range map[string]struct {
		leeway time.Duration
		isBack bool
	}{"silent": {leewayInTest, false}, "refused": {0, true}} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			o := newOwning()
			g.Expect(o.absences.leave(o.node, expected.leeway, o.now)).To(BeTrue())
			g.Expect(o.absences.leave(o.node, 0, o.now)).To(BeFalse())
			_, isBack := o.absences.reported(o.node.Name, o.now)
			g.Expect(isBack).To(Equal(expected.isBack))
		})
	}
}

// TestALostNodeIsTriedEachSecond, and returns whatever its trial takes; one that has started anew
// is asked at once.
func TestALostNodeIsTriedEachSecond(t *testing.T) {
	g := NewWithT(t)
	o := newOwning()
	o.isMute = true
	for range 5 {
		o.absences.leave(o.node, 0, o.now)
		g.Expect(o.serve(50*time.Millisecond, time.Minute, always)).To(BeZero())
		o.isMute = false
		o.trialTakes = trialTimeout
		g.Expect(o.serve(50*time.Millisecond, greatestPause, always)).To(BeNumerically(">", 0))
		o.isMute = true
	}
	o.absences.leave(o.node, leewayInTest, o.now)
	o.absences.due(map[string]directory.Node{"owner": {Name: "owner", PeerAddress: "another"}}, o.now)
	g.Expect(o.absences.takes("owner", o.now)).To(BeTrue())
}
