package quota

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/pkg/route"
)

// TestSnapshotsChangeNoDecision guards against views that change the state: an account and a meter
// that are viewed between any two steps must decide like those that are not.
func TestSnapshotsChangeNoDecision(t *testing.T) {
	g := NewWithT(t)
	limit := route.RateLimit{PerSecond: 17, Burst: 17}
	bounds := Bounds{Window: 5 * time.Second, Overshoot: 0.1, Slack: 20}
	now := time.Unix(1_700_000_000, 0)
	account, viewedAccount := NewAccount(limit, bounds, now, now), NewAccount(limit, bounds, now, now)
	meter, viewedMeter := NewMeter("a", limit, bounds, 4, true, now), NewMeter("a", limit, bounds, 4, true, now)
	deployment := DeploymentView{IsFirst: true, Nodes: 4, Silent: map[string]bool{"silent": true}}
	takeSnapshot := func() {
		viewedAccount.view(true, now)
		viewedAccount.reporters(now)
		viewedMeter.view(&ServedTenant{}, now)
	}
	for step := range 600 {
		now = now.Add(13 * time.Millisecond)
		takeSnapshot()
		id := fmt.Sprint(step)
		g.Expect(viewedMeter.Admit(id, now)).To(Equal(meter.Admit(id, now)))
		takeSnapshot()
		usage, _ := meter.Report(1, now)
		viewedUsage, _ := viewedMeter.Report(1, now)
		g.Expect(viewedUsage).To(Equal(usage))
		if step%200 > 100 {
			// The node is isolated for a while.
			meter.SetMode(Isolated, now)
			viewedMeter.SetMode(Isolated, now)
			continue
		}
		account.AddReport("node", usage, deployment, now)
		viewedAccount.AddReport("node", viewedUsage, deployment, now)
		takeSnapshot()
		verdict := account.Verdict(deployment, now)
		g.Expect(viewedAccount.Verdict(deployment, now)).To(Equal(verdict))
		meter.SetMode(WithFirst, now)
		viewedMeter.SetMode(WithFirst, now)
		meter.Acknowledge(usage, verdict, now)
		viewedMeter.Acknowledge(usage, verdict, now)
	}
}

// TestAFormerStandInReservesNothing guards against a wrong reserved rate in snapshots: the rate of
// a stand-in was that of the nodes that reported to it, and the rest of the limit belonged to
// another coordinator. The next report sets it.
func TestAFormerStandInReservesNothing(t *testing.T) {
	g := NewWithT(t)
	limit := route.RateLimit{PerSecond: 20, Burst: 20}
	now := time.Unix(1_700_000_000, 0)
	account := NewAccount(limit, Bounds{Window: 5 * time.Second, Overshoot: 0.1, Slack: 20}, now, now)
	usage := Usage{Incarnation: 1, Requests: 1, Admitted: 1, NewRequests: 1, NewAdmitted: 1, EntitledRate: 5, Share: 1}
	account.AddReport("node", usage, DeploymentView{Nodes: 4}, now)
	g.Expect(account.view(true, now).ReservedPerSecond).To(BeZero())
	account.AddReport("node", usage, DeploymentView{IsFirst: true, Nodes: 4, Silent: map[string]bool{"silent": true}}, now)
	g.Expect(account.view(true, now).ReservedPerSecond).To(Equal(5.0))
}
