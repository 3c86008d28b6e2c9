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

// countedOwners counts how often services are divided among owners: each time may use up the one
// question that an owner gets right after its return.
type countedOwners struct {
	scriptedOwners
	divided int
}

func (c *countedOwners) Divide(services []string, regions route.Regions) []fanout.Group {
	c.divided++
	return c.scriptedOwners.Divide(services, regions)
}

// TestARefusedRequestTakesNoOwnersTurn: it asks no owner.
func TestARefusedRequestTakesNoOwnersTurn(t *testing.T) {
	in(t, func(g *WithT, w *world) {
		w.add("a", "a1", quick("a"))
		owners := &countedOwners{scriptedOwners: scriptedOwners{"a": {{time.Millisecond, answeredBy("a")}}}}
		w.runner.Owners = owners
		result, _ := w.run(plan("a"))
		g.Expect(result.AnsweredCount).To(Equal(1))
		g.Expect(owners.divided).To(Equal(1))
		w.leaveToOthers("a")
		for range 5 {
			result, _ = w.run(plan("a"))
			g.Expect(result.Reason).To(Equal(fanout.StopOverloaded))
		}
		g.Expect(owners.divided).To(Equal(1))
	})
}

// TestAKeptBackRequestTakesNoOwnersTurn, since this node makes its trial itself; what it then asks
// in the place of owners is no load by which this node could judge their services.
func TestAKeptBackRequestTakesNoOwnersTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newDeadlyWorld(fourShards, threeCopies)
		defer w.close()
		owners := &countedOwners{}
		w.runner.Owners, w.runner.Admission = owners, fanout.NewAdmissionControl(w.fleet)
		w.suspect("/suspect")
		tried := plan(fourShards...)
		tried.Required = len(fourShards)
		g.Expect(w.send(tried, "/suspect").AnsweredCount).To(Equal(len(fourShards)))
		g.Expect(owners.divided).To(BeZero())
		now := time.Now()
		_, judgedAt := w.runner.Admission.Meters.CurrentShares(loadshed.Key{Service: "a"}, now)
		g.Expect(judgedAt).To(Equal(now), "not measured")
	})
}
