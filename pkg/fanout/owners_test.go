package fanout_test

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/pkg/fanout"
	"github.com/bramblemast/bramblemast/pkg/loadshed"
	"github.com/bramblemast/bramblemast/pkg/route"
)

// countingOwners counts the calls of Divide: each may use up the one question that an owner gets
// right after its return.
type countingOwners struct {
	scriptedOwners
	divisions int
}

func (c *countingOwners) Divide(services []string, regions route.Regions) []fanout.Group {
	c.divisions++
	return c.scriptedOwners.Divide(services, regions)
}

// TestARefusedRequestTakesNoOwnersTurn checks that a request that is not admitted does not call
// Divide, which could use up the one question of an owner that has just returned.
func TestARefusedRequestTakesNoOwnersTurn(t *testing.T) {
	inBubble(t, func(g *WithT, w *world) {
		w.add("a", "a1", quick("a"))
		owners := &countingOwners{scriptedOwners: scriptedOwners{"a": {{time.Millisecond, answerReport("a")}}}}
		w.runner.Owners = owners
		result, _ := w.run(plan("a"))
		g.Expect(result.AnsweredCount).To(Equal(1))
		g.Expect(owners.divisions).To(Equal(1))
		w.limitService("a")
		for range 5 {
			result, _ = w.run(plan("a"))
			g.Expect(result.Reason).To(Equal(fanout.StopOverloaded))
		}
		g.Expect(owners.divisions).To(Equal(1))
	})
}

// TestAKeptBackRequestTakesNoOwnersTurn checks that a suspect request does not call Divide, since
// this node makes its trial itself. The parts that it then queries in place of owners are not
// counted as load of their services.
func TestAKeptBackRequestTakesNoOwnersTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newDeadlyWorld(fourShards, threeReplicas)
		defer w.close()
		owners := &countingOwners{}
		w.runner.Owners, w.runner.Admission = owners, fanout.NewAdmissionControl(w.fleet)
		w.markSuspect("/suspect")
		tried := plan(fourShards...)
		tried.Required = len(fourShards)
		g.Expect(w.send(tried, "/suspect").AnsweredCount).To(Equal(len(fourShards)))
		g.Expect(owners.divisions).To(BeZero())
		now := time.Now()
		_, sharesAt := w.runner.Admission.Meters.CurrentShares(loadshed.Key{Service: "a"}, now)
		g.Expect(sharesAt).To(Equal(now), "no load of the service was recorded")
	})
}
