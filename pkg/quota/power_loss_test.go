package quota_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/pkg/quota"
	"github.com/bramblemast/bramblemast/pkg/route"
)

// startInterval is the time between the starts of two nodes after a loss of all power.
const startInterval = 20 * time.Millisecond

// powerCycle ends all nodes and starts them one after the other, while clients ask those that are there.
// known returns the nodes that each of those that have been started knows.
func (d *deployment) powerCycle(knownNodes func(node, started int) []quota.Node, loads ...load) {
	for index := range d.nodes {
		d.kill(index)
	}
	time.Sleep(time.Second)
	for index := range d.nodes {
		d.start(index)
		for node := range index + 1 {
			if list := knownNodes(node, index+1); list != nil {
				d.nodes[node].limiter.SetNodes(list)
			}
		}
		reachable := make([]load, 0, len(loads))
		for _, traffic := range loads {
			traffic.weights = append([]float64(nil), traffic.weights...)
			clear(traffic.weights[index+1:])
			reachable = append(reachable, traffic)
		}
		d.run(startInterval, reachable...)
	}
}

// maxRefusedAfterPowerLoss is the greatest part of the requests within limits that is refused in the first seconds after a loss
// of all power: most of it before the coordinators have started.
const maxRefusedAfterPowerLoss = 0.12

// TestTenantsWithinTheirLimitsLoseLittleAfterALossOfPower: no process knows what the one before it admitted.
func TestTenantsWithinTheirLimitsLoseLittleAfterALossOfPower(t *testing.T) {
	limits := tenants()
	for number := range 71 {
		limits[fmt.Sprint("small-", number)] = route.RateLimit{PerSecond: 5, Burst: 5}
	}
	asked, refused := 0, 0
	simulate(t, 67, limits, func(d *deployment) {
		loads := []load{d.even("large", 39), d.even("medium", 10)}
		for number := range 71 {
			loads = append(loads, d.even(fmt.Sprint("small-", number), 0.8))
		}
		d.run(8*time.Second, loads...)
		begun := d.elapsed()
		d.powerCycle(func(node, started int) []quota.Node {
			if node == started-1 {
				return d.list()
			}
			return nil
		}, loads...)
		d.run(6*time.Second, loads...)
		refused = len(d.waits)
		for tenant := range limits {
			asked += d.admittedBetween(tenant, begun, d.elapsed())
		}
		asked += refused
	})
	t.Logf("refused %d of %d", refused, asked)
	NewWithT(t).Expect(float64(refused)).To(BeNumerically("<=", maxRefusedAfterPowerLoss*float64(asked)))
}

// TestTheSumHoldsWhileListsOfNodesDiffer after a loss of all power: the entries of all nodes have lapsed, and each
// hears late of those that start after it, so that several nodes take themselves for a tenant's first coordinator.
func TestTheSumHoldsWhileListsOfNodesDiffer(t *testing.T) {
	for tenant, limit := range tenants() {
		for _, delay := range []time.Duration{0, 500 * time.Millisecond, time.Second, 2 * time.Second} {
			t.Run(fmt.Sprint(tenant, ", heard of after ", delay), func(t *testing.T) {
				t.Parallel()
				expectBoundWhileListsDiffer(t, defaultSeed, tenant, limit, delay)
			})
		}
	}
}

// expectBoundWhileListsDiffer plays one loss of power, after which each node is heard of late.
func expectBoundWhileListsDiffer(t *testing.T, seed uint64, tenant string, limit route.RateLimit, delay time.Duration) {
	t.Helper()
	highest := 0
	simulateSeed(t, seed, 67, tenants(), func(d *deployment) {
		usual := limit.PerSecond / 1.6
		hot := d.skewed(tenant, 12*usual)
		d.run(6*time.Second, d.skewed(tenant, usual))
		d.run(3*time.Second, hot)
		for _, node := range d.nodes {
			node.isUnlisted = true
		}
		startsBehind := int(delay / startInterval)
		listedAt := func(node, started int) []quota.Node {
			return d.list()[:min(len(d.nodes), max(node+1, started-startsBehind))]
		}
		d.powerCycle(listedAt, hot)
		for started := range startsBehind {
			for index, node := range d.nodes {
				node.limiter.SetNodes(listedAt(index, len(d.nodes)+1+started))
			}
			d.run(startInterval, hot)
		}
		begun := d.elapsed()
		d.run(8*time.Second, hot)
		highest = d.maxInWindow(tenant)
		t.Logf("at most %d in 5 s, allowed %.0f; %.2f of the limit in the 5 s after", highest, allowedInWindow(limit),
			float64(d.admittedBetween(tenant, begun, begun+bounds.Window))/(limit.PerSecond*bounds.Window.Seconds()))
	})
	NewWithT(t).Expect(float64(highest)).To(BeNumerically("<=", allowedInWindow(limit)))
}

// TestTheSumOfASmallTenantHoldsWhileListsOfNodesDiffer in whatever order requests come: one more at each of a few nodes
// is beyond the bound of the smallest tenant.
func TestTheSumOfASmallTenantHoldsWhileListsOfNodesDiffer(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint("seed ", seed+1), func(t *testing.T) {
			t.Parallel()
			expectBoundWhileListsDiffer(t, seed+1, "small", tenants()["small"], 2*time.Second)
		})
	}
}

// expectBoundWhileSomeAreListed is a loss of all power that some entries of nodes outlasted: one in some nodes is in the list when the
// processes start, and of the others each hears late.
func expectBoundWhileSomeAreListed(t *testing.T, delay time.Duration) {
	for tenant, limit := range tenants() {
		for _, oneIn := range []int{2, 4, 8} {
			t.Run(fmt.Sprintf("%s, one in %d listed, others heard of after %s", tenant, oneIn, delay), func(t *testing.T) {
				t.Parallel()
				highest := 0
				simulate(t, 67, tenants(), func(d *deployment) {
					usual := limit.PerSecond / 1.6
					hot := d.skewed(tenant, 12*usual)
					d.run(6*time.Second, d.skewed(tenant, usual))
					d.run(3*time.Second, hot)
					for index, node := range d.nodes {
						node.isUnlisted = index%oneIn != 0
					}
					startsBehind := int(delay / startInterval)
					listedAt := func(node, started int) []quota.Node {
						var list []quota.Node
						for index, each := range d.list() {
							if index%oneIn == 0 || index == node || index < started-startsBehind {
								list = append(list, each)
							}
						}
						return list
					}
					d.powerCycle(listedAt, hot)
					for started := range startsBehind {
						for index, node := range d.nodes {
							node.limiter.SetNodes(listedAt(index, len(d.nodes)+1+started))
						}
						d.run(startInterval, hot)
					}
					d.run(8*time.Second, hot)
					highest = d.maxInWindow(tenant)
				})
				t.Logf("at most %d in 5 s, allowed %.0f", highest, allowedInWindow(limit))
				NewWithT(t).Expect(float64(highest)).To(BeNumerically("<=", allowedInWindow(limit)))
			})
		}
	}
}

// TestTheSumHoldsWhileSomeNodesAreListed and lists differ for half a second.
func TestTheSumHoldsWhileSomeNodesAreListed(t *testing.T) {
	expectBoundWhileSomeAreListed(t, 500*time.Millisecond)
}

// TestTheSumHoldsWhileSomeNodesAreListedAndOthersLate by two seconds.
func TestTheSumHoldsWhileSomeNodesAreListedAndOthersLate(t *testing.T) {
	expectBoundWhileSomeAreListed(t, 2*time.Second)
}
