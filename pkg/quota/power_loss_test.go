package quota_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/pkg/quota"
	"github.com/bramblemast/bramblemast/pkg/route"
)

// startInterval is the time between the starts of two nodes after a power loss of all nodes.
const startInterval = 20 * time.Millisecond

// powerCycle ends all nodes and starts them one after the other, while clients send requests to
// those that are running. knownNodes returns the node list of each started node.
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

// maxRefusedAfterPowerLoss is the maximum part of the requests within limits that may be refused in
// the first seconds after a power loss of all nodes; most of it before the coordinators have
// started.
const maxRefusedAfterPowerLoss = 0.12

// TestTenantsWithinTheirLimitsLoseLittleAfterALossOfPower guards against refusing too many requests
// below the limit after all nodes restart, when no process knows what the one before it admitted.
func TestTenantsWithinTheirLimitsLoseLittleAfterALossOfPower(t *testing.T) {
	limits := tenants()
	for number := range 71 {
		limits[fmt.Sprint("small-", number)] = route.RateLimit{PerSecond: 5, Burst: 5}
	}
	total, refused := 0, 0
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
			total += d.admittedBetween(tenant, begun, d.elapsed())
		}
		total += refused
	})
	t.Logf("refused %d of %d", refused, total)
	NewWithT(t).Expect(float64(refused)).To(BeNumerically("<=", maxRefusedAfterPowerLoss*float64(total)))
}

// TestTheSumHoldsWhileListsOfNodesDiffer guards against granting the limit several times after a
// power loss of all nodes: the entries of all nodes have expired, and each node learns late of
// those that start after it, so that several nodes regard themselves as a tenant's first
// coordinator.
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

// expectBoundWhileListsDiffer simulates one power loss after which each node becomes known to the
// others with a delay, and expects that the bound holds.
func expectBoundWhileListsDiffer(t *testing.T, seed uint64, tenant string, limit route.RateLimit, delay time.Duration) {
	t.Helper()
	highest := 0
	simulateSeed(t, seed, 67, tenants(), func(d *deployment) {
		usual := limit.PerSecond / 1.6
		overload := d.skewed(tenant, 12*usual)
		d.run(6*time.Second, d.skewed(tenant, usual))
		d.run(3*time.Second, overload)
		for _, node := range d.nodes {
			node.isUnlisted = true
		}
		startsBehind := int(delay / startInterval)
		listedAt := func(node, started int) []quota.Node {
			return d.list()[:min(len(d.nodes), max(node+1, started-startsBehind))]
		}
		d.powerCycle(listedAt, overload)
		for started := range startsBehind {
			for index, node := range d.nodes {
				node.limiter.SetNodes(listedAt(index, len(d.nodes)+1+started))
			}
			d.run(startInterval, overload)
		}
		begun := d.elapsed()
		d.run(8*time.Second, overload)
		highest = d.maxInWindow(tenant)
		t.Logf("at most %d in 5 s, allowed %.0f; %.2f of the limit in the 5 s after", highest, allowedInWindow(limit),
			float64(d.admittedBetween(tenant, begun, begun+bounds.Window))/(limit.PerSecond*bounds.Window.Seconds()))
	})
	NewWithT(t).Expect(float64(highest)).To(BeNumerically("<=", allowedInWindow(limit)))
}

// TestTheSumOfASmallTenantHoldsWhileListsOfNodesDiffer guards the same bound with several orders of
// requests: for the smallest tenant, one additional request at each of a few nodes exceeds the
// bound.
func TestTheSumOfASmallTenantHoldsWhileListsOfNodesDiffer(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint("seed ", seed+1), func(t *testing.T) {
			t.Parallel()
			expectBoundWhileListsDiffer(t, seed+1, "small", tenants()["small"], 2*time.Second)
		})
	}
}

// expectBoundWhileSomeAreListed simulates a power loss of all nodes after which one in several
// nodes is still in the node list when the processes start, while the others become known with a
// delay.
func expectBoundWhileSomeAreListed(t *testing.T, delay time.Duration) {
	for tenant, limit := range tenants() {
		for _, oneIn := range []int{2, 4, 8} {
			t.Run(fmt.Sprintf("%s, one in %d listed, others heard of after %s", tenant, oneIn, delay), func(t *testing.T) {
				t.Parallel()
				highest := 0
				simulate(t, 67, tenants(), func(d *deployment) {
					usual := limit.PerSecond / 1.6
					overload := d.skewed(tenant, 12*usual)
					d.run(6*time.Second, d.skewed(tenant, usual))
					d.run(3*time.Second, overload)
					for index, node := range d.nodes {
						node.isUnlisted = index%oneIn != 0
					}
					startsBehind := int(delay / startInterval)
					listedAt := func(node, started int) []quota.Node {
						var list []quota.Node
						for index, listed := range d.list() {
							if index%oneIn == 0 || index == node || index < started-startsBehind {
								list = append(list, listed)
							}
						}
						return list
					}
					d.powerCycle(listedAt, overload)
					for started := range startsBehind {
						for index, node := range d.nodes {
							node.limiter.SetNodes(listedAt(index, len(d.nodes)+1+started))
						}
						d.run(startInterval, overload)
					}
					d.run(8*time.Second, overload)
					highest = d.maxInWindow(tenant)
				})
				t.Logf("at most %d in 5 s, allowed %.0f", highest, allowedInWindow(limit))
				NewWithT(t).Expect(float64(highest)).To(BeNumerically("<=", allowedInWindow(limit)))
			})
		}
	}
}

// TestTheSumHoldsWhileSomeNodesAreListed guards against granting the limit several times while some
// nodes are listed and lists differ for half a second.
func TestTheSumHoldsWhileSomeNodesAreListed(t *testing.T) {
	expectBoundWhileSomeAreListed(t, 500*time.Millisecond)
}

// TestTheSumHoldsWhileSomeNodesAreListedAndOthersLate does the same with lists that differ for two
// seconds.
func TestTheSumHoldsWhileSomeNodesAreListedAndOthersLate(t *testing.T) {
	expectBoundWhileSomeAreListed(t, 2*time.Second)
}
