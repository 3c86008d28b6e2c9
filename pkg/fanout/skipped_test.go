package fanout_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/pkg/exchange"
	"github.com/bramblemast/bramblemast/pkg/fanout"
	"github.com/bramblemast/bramblemast/pkg/loadshed"
	"github.com/bramblemast/bramblemast/pkg/route"
)

// scriptedReport is a report of an owner and the time at which it is sent.
type scriptedReport struct {
	after  time.Duration
	report fanout.Report
}

// scriptedOwners gives each service its own owner, which has the name of the service and sends the
// listed reports.
type scriptedOwners map[string][]scriptedReport

func (s scriptedOwners) Divide(services []string, _ route.Regions) []fanout.Group {
	var groups []fanout.Group
	for index, service := range services {
		groups = append(groups, fanout.Group{Owner: service, Indexes: []int{index}})
	}
	return groups
}

func (s scriptedOwners) Ask(question fanout.Question, report func(fanout.Report)) fanout.Pending {
	for _, each := range s[question.Owner] {
		time.AfterFunc(each.after, func() { report(each.report) })
	}
	return ignoredQuestion{}
}

// ignoredQuestion is a question whose owner ignores grants and cancellation.
type ignoredQuestion struct{}

func (ignoredQuestion) Cancel()     {}
func (ignoredQuestion) MarkSilent() {}
func (ignoredQuestion) Grant([]int) {}

func answerReport(owner string) fanout.Report {
	answer := &exchange.Response{Status: 200, Evidence: owner, Body: []byte("x")}
	return fanout.Report{Ended: true, Answers: map[int]*exchange.Response{0: answer}}
}

func failureReport(isNotRun bool) fanout.Report {
	return fanout.Report{Ended: true, Failures: map[int]fanout.OwnerFailure{0: {Cause: errors.New("failed"), NotRun: isNotRun}}}
}

// limitService sets the share of a service to zero, so that requests that can do without it skip
// it.
func (w *world) limitService(service string) {
	w.runner.Admission = fanout.NewAdmissionControl(w.fleet)
	w.runner.Admission.Admitter.Update(loadshed.Key{Service: service}, sharesOf(0), time.Now())
}

// TestASparedPartStaysWithItsOwner checks that a skipped part stays with its owner when it becomes
// needed and only one server may execute the request: that server is already working for the owner.
func TestASparedPartStaysWithItsOwner(t *testing.T) {
	inBubble(t, func(g *WithT, w *world) {
		w.add("a", "a1", quick("a"))
		w.runner.Owners = scriptedOwners{
			"a": {{20 * time.Millisecond, answerReport("a")}},
			"b": {{5 * time.Millisecond, failureReport(false)}},
			"c": {{2 * time.Millisecond, answerReport("c")}},
		}
		w.limitService("a")
		planned := plan("a", "b", "c")
		planned.MaxAttempts = 1
		result, took := w.run(planned)
		g.Expect(result.AnsweredCount).To(Equal(2))
		g.Expect(took).To(Equal(20 * time.Millisecond))
		g.Expect(w.arrivals("a1")).To(BeZero())
	})
}

// TestAnOwnerHasTimeForASparedPart checks that the owner of a skipped part that becomes needed has
// the time of a report to get it before this node spends budget on a second server.
func TestAnOwnerHasTimeForASparedPart(t *testing.T) {
	for name, expected := range map[string]struct {
		answer         []scriptedReport
		spent, queried int
	}{
		"in time": {[]scriptedReport{{120 * time.Millisecond, answerReport("a")}}, 0, 0},
		"never":   {[]scriptedReport{{120 * time.Millisecond, fanout.Report{}}}, 1, 1},
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(g *WithT, w *world) {
				w.add("a", "a1", quick("a"))
				w.runner.Owners = scriptedOwners{
					"a": append([]scriptedReport{{60 * time.Millisecond, fanout.Report{}}}, expected.answer...),
					"b": {{5 * time.Millisecond, failureReport(true)}},
					"c": {{2 * time.Millisecond, answerReport("c")}},
				}
				w.limitService("a")
				result, took := w.run(plan("a", "b", "c"))
				g.Expect(result.AnsweredCount).To(Equal(2))
				g.Expect(took).To(BeNumerically("<", 150*time.Millisecond))
				g.Expect(w.budget.spent).To(Equal(expected.spent))
				g.Expect(w.arrivals("a1")).To(Equal(expected.queried))
			})
		})
	}
}
