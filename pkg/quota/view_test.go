package quota

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/pkg/route"
)

// TestLookingChangesNothing: an account and a meter that are looked at between any two steps decide as those
// that are not.
func TestLookingChangesNothing(t *testing.T) {
	g := NewWithT(t)
	limit := route.RateLimit{PerSecond: 17, Burst: 17}
	bounds := Bounds{Window: 5 * time.Second, Overshoot: 0.1, Slack: 20}
	now := time.Unix(1_700_000_000, 0)
	account, seenAccount := NewAccount(limit, bounds, now, now), NewAccount(limit, bounds, now, now)
	meter, seenMeter := NewMeter("a", limit, bounds, 4, true, now), NewMeter("a", limit, bounds, 4, true, now)
	contact := DeploymentView{IsFirst: true, Nodes: 4, Silent: map[string]bool{"silent": true}}
	look := func() {
		seenAccount.view(true, now)
		seenAccount.reporters(now)
		seenMeter.view(&ServedTenant{}, now)
	}
	for step := range 600 {
		now = now.Add(13 * time.Millisecond)
		look()
		id := fmt.Sprint(step)
		g.Expect(seenMeter.Admit(id, now)).To(Equal(meter.Admit(id, now)))
		look()
		use, _ := meter.Report(1, now)
		seenUse, _ := seenMeter.Report(1, now)
		g.Expect(seenUse).To(Equal(use))
		if step%200 > 100 {
			// The node is out of touch for a while.
			meter.SetMode(Isolated, now)
			seenMeter.SetMode(Isolated, now)
			continue
		}
		account.AddReport("node", use, contact, now)
		seenAccount.AddReport("node", seenUse, contact, now)
		look()
		verdict := account.Verdict(contact, now)
		g.Expect(seenAccount.Verdict(contact, now)).To(Equal(verdict))
		meter.SetMode(WithFirst, now)
		seenMeter.SetMode(WithFirst, now)
		meter.Acknowledge(use, verdict, now)
		seenMeter.Acknowledge(use, verdict, now)
	}
}

// TestAFormerStandInKeepsNothingBack until it is told anew: its rate was that of the nodes that reported
// to it, and the rest of the limit was another coordinator's.
func TestAFormerStandInKeepsNothingBack(t *testing.T) {
	g := NewWithT(t)
	limit := route.RateLimit{PerSecond: 20, Burst: 20}
	now := time.Unix(1_700_000_000, 0)
	account := NewAccount(limit, Bounds{Window: 5 * time.Second, Overshoot: 0.1, Slack: 20}, now, now)
	use := Usage{Incarnation: 1, Requests: 1, Admitted: 1, NewRequests: 1, NewAdmitted: 1, EntitledRate: 5, Share: 1}
	account.AddReport("node", use, DeploymentView{Nodes: 4}, now)
	g.Expect(account.view(true, now).ReservedPerSecond).To(BeZero())
	account.AddReport("node", use, DeploymentView{IsFirst: true, Nodes: 4, Silent: map[string]bool{"silent": true}}, now)
	g.Expect(account.view(true, now).ReservedPerSecond).To(Equal(5.0))
}
