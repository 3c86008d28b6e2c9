package quota_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestACoordinatorThatKnowsNoConfigurationLetsNothingIn guards against a share of 1 from a
// coordinator without limits: the first coordinator of a tenant at twelve times its usual rate
// restarts and has no configuration for two seconds, while other nodes report to it.
func TestACoordinatorThatKnowsNoConfigurationLetsNothingIn(t *testing.T) {
	for tenant, limit := range tenants() {
		t.Run(tenant, func(t *testing.T) {
			t.Parallel()
			highest := 0
			simulate(t, 67, tenants(), func(d *deployment) {
				usual := limit.PerSecond / 1.6
				coordinator := d.coordinatorOf(tenant)
				traffic := d.skewed(tenant, 12*usual)
				traffic.weights[coordinator] = 0
				d.run(6*time.Second, traffic)
				d.nodes[coordinator].hasNoConfiguration.Store(true)
				d.kill(coordinator)
				d.start(coordinator)
				d.nodes[coordinator].limiter.SetNodes(d.list())
				d.run(2*time.Second, traffic)
				d.nodes[coordinator].hasNoConfiguration.Store(false)
				d.run(8*time.Second, traffic)
				highest = d.maxInWindow(tenant)
			})
			t.Logf("at most %d in 5 s, allowed %.0f", highest, allowedInWindow(limit))
			NewWithT(t).Expect(float64(highest)).To(BeNumerically("<=", allowedInWindow(limit)))
		})
	}
}

// TestACoordinatorThatHasStartedIsTurnedToAtOnce guards against nodes that keep reporting to a
// stand-in after the first coordinator has started: meanwhile both grant the limit.
func TestACoordinatorThatHasStartedIsTurnedToAtOnce(t *testing.T) {
	reporting, count := 0, 67
	simulate(t, count, tenants(), func(d *deployment) {
		first := d.coordinatorOf("large")
		d.kill(first)
		traffic := d.even("large", 100)
		traffic.weights[first] = 0
		d.run(5*time.Second, traffic)
		d.start(first)
		d.setNodes()
		d.run(500*time.Millisecond, traffic)
		for _, node := range d.nodes {
			if node.limiter.Coordinator("large") == d.nodes[first].name {
				reporting++
			}
		}
	})
	NewWithT(t).Expect(reporting).To(Equal(count))
}

// TestACoordinatorThatKnewNoOthersIsUsedAtOnce guards against the same if the coordinator has read
// its own entry before those of the other nodes.
func TestACoordinatorThatKnewNoOthersIsUsedAtOnce(t *testing.T) {
	reporting, count := 0, 67
	simulate(t, count, tenants(), func(d *deployment) {
		first := d.coordinatorOf("large")
		d.kill(first)
		traffic := d.even("large", 100)
		traffic.weights[first] = 0
		d.run(5*time.Second, traffic)
		d.start(first)
		d.nodes[first].limiter.SetNodes(d.list()[first : first+1])
		d.run(300*time.Millisecond, traffic)
		d.setNodes()
		d.run(500*time.Millisecond, traffic)
		for _, node := range d.nodes {
			if node.limiter.Coordinator("large") == d.nodes[first].name {
				reporting++
			}
		}
	})
	NewWithT(t).Expect(reporting).To(Equal(count))
}
