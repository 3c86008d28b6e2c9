package quota_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/pkg/peer"
	"github.com/bramblemast/bramblemast/pkg/route"
)

// failure is a fault that is injected while a tenant sends many times its usual rate.
type failure struct {
	name string
	// inject starts the fault and returns a function that ends it.
	inject func(d *deployment) func()
}

// partition cuts some nodes off from the others; messages between them are lost silently.
func partition(from, to int) func(d *deployment) func() {
	return func(d *deployment) func() {
		rest := append(d.addresses(0, from), d.addresses(to, len(d.nodes))...)
		d.network.Cut(d.addresses(from, to), rest)
		return d.network.Heal
	}
}

// isolateEach cuts some nodes off from all others and from each other.
func isolateEach(from, to int) func(d *deployment) func() {
	return func(d *deployment) func() {
		for _, node := range d.addresses(from, to) {
			d.network.Cut([]peer.Address{node}, d.addresses(0, len(d.nodes)))
		}
		return d.network.Heal
	}
}

// coordinatorOf returns the index of the node to which the others report a tenant.
func (d *deployment) coordinatorOf(tenant string) int {
	name := d.nodes[0].limiter.Coordinator(tenant)
	for index, node := range d.nodes {
		if node.name == name {
			return index
		}
	}
	return -1
}

func failures(tenant string) []failure {
	return []failure{
		{"a zone is cut off", partition(0, 11)},
		{"a third of the nodes, each alone", isolateEach(0, 22)},
		{"a third of the nodes, together", partition(30, 52)},
		{"a third of the nodes, alone and gone from the list", func(d *deployment) func() {
			end := isolateEach(0, 22)(d)
			for _, node := range d.nodes[22:] {
				node.limiter.SetNodes(d.list()[22:])
			}
			return func() { end(); d.setNodes() }
		}},
		{"half from half", partition(0, 33)},
		{"the coordinator is cut off", func(d *deployment) func() {
			index := d.coordinatorOf(tenant)
			return partition(index, index+1)(d)
		}},
		{"the coordinator stands still", func(d *deployment) func() {
			address := peer.Address(d.nodes[d.coordinatorOf(tenant)].name)
			d.network.Freeze(address)
			return func() { d.network.Thaw(address) }
		}},
		{"the coordinator is lost", func(d *deployment) func() {
			index := d.coordinatorOf(tenant)
			d.kill(index)
			return func() { d.start(index); d.setNodes() }
		}},
		{"all start again", func(d *deployment) func() {
			for index := range d.nodes {
				d.kill(index)
				d.start(index)
			}
			d.setNodes()
			return func() {}
		}},
	}
}

// kill ends a node.
func (d *deployment) kill(index int) {
	d.nodes[index].stop()
	d.network.Transport(peer.Address(d.nodes[index].name)).Close()
}

// TestTheSumHoldsWhateverFails guards against nodes that together exceed the bound during a
// failure. The tenant sends twelve times its usual rate from before the failure, from its start, or
// from a second after it.
func TestTheSumHoldsWhateverFails(t *testing.T) {
	for tenant, limit := range tenants() {
		for _, injected := range failures(tenant) {
			for _, lead := range []time.Duration{3 * time.Second, 0, -time.Second} {
				t.Run(tenant+", "+injected.name+", "+lead.String()+" ahead", func(t *testing.T) {
					t.Parallel()
					highest := 0
					simulate(t, 67, tenants(), func(d *deployment) {
						usual := limit.PerSecond / 1.6
						d.run(6*time.Second, d.skewed(tenant, usual))
						overload := d.skewed(tenant, 12*usual)
						if lead > 0 {
							d.run(lead, overload)
						}
						end := injected.inject(d)
						if lead < 0 {
							d.run(-lead, d.skewed(tenant, usual))
						}
						begun := d.elapsed()
						d.run(12*time.Second, overload)
						end()
						during := d.admittedBetween(tenant, begun+2*time.Second, begun+12*time.Second)
						d.run(6*time.Second, overload)
						highest = d.maxInWindow(tenant)
						t.Logf("at most %d in 5 s, allowed %.0f; %.2f of the limit during the failure, %.2f in the 5 s after",
							highest, allowedInWindow(limit), float64(during)/(10*limit.PerSecond),
							float64(d.admittedBetween(tenant, begun+13*time.Second, begun+18*time.Second))/(5*limit.PerSecond))
					})
					NewWithT(t).Expect(float64(highest)).To(BeNumerically("<=", allowedInWindow(limit)))
				})
			}
		}
	}
}

// TestTheSumHoldsWhileAllNodesAreAlone guards against isolated nodes that together exceed the
// bound. Each of them is cut off from all others. The tenant starts to send twelve times its usual
// rate before that, at that moment, a second later, or when every node has saved up its maximum.
// The more nodes there are, the less each may add.
func TestTheSumHoldsWhileAllNodesAreAlone(t *testing.T) {
	for tenant := range tenants() {
		for _, lead := range []time.Duration{3 * time.Second, 0, -time.Second, -20 * time.Second} {
			t.Run(fmt.Sprintf("%s, 67 nodes, %s ahead", tenant, lead), func(t *testing.T) {
				t.Parallel()
				expectBoundWhileAllAreIsolated(t, 67, lead, tenant)
			})
		}
	}
	for _, lead := range []time.Duration{0, -time.Second} {
		t.Run(fmt.Sprintf("all, 300 nodes, %s ahead", lead), func(t *testing.T) {
			t.Parallel()
			expectBoundWhileAllAreIsolated(t, 300, lead, "large", "medium", "small")
		})
	}
}

func expectBoundWhileAllAreIsolated(t *testing.T, count int, lead time.Duration, overloaded ...string) {
	highest := make(map[string]int)
	simulate(t, count, tenants(), func(d *deployment) {
		var usual, overload []load
		for _, tenant := range overloaded {
			perSecond := d.limits[tenant].PerSecond / 1.6
			usual, overload = append(usual, d.skewed(tenant, perSecond)), append(overload, d.skewed(tenant, 12*perSecond))
		}
		d.run(6*time.Second, usual...)
		if lead > 0 {
			d.run(lead, overload...)
		}
		isolateEach(0, count)(d)
		if lead < 0 {
			d.run(-lead, usual...)
		}
		begun := d.elapsed()
		d.run(12*time.Second, overload...)
		for _, tenant := range overloaded {
			highest[tenant] = d.maxInWindow(tenant)
			t.Logf("%s: at most %d in 5 s, allowed %.0f; %.2f of the limit", tenant, highest[tenant], allowedInWindow(d.limits[tenant]),
				float64(d.admittedBetween(tenant, begun+2*time.Second, begun+12*time.Second))/(10*d.limits[tenant].PerSecond))
		}
	})
	for _, tenant := range overloaded {
		NewWithT(t).Expect(float64(highest[tenant])).To(BeNumerically("<=", allowedInWindow(tenants()[tenant])), tenant)
	}
}

// TestTenantsWithinTheirLimitsLoseLittleInACut guards against refusing requests below the limit, of
// many small tenants, while a zone is cut off or a third of the nodes are each isolated.
func TestTenantsWithinTheirLimitsLoseLittleInACut(t *testing.T) {
	for _, injected := range []struct {
		failure
		// maxRefusedShare is the maximum refused share of all requests.
		maxRefusedShare float64
	}{
		{failure{"a zone is cut off", partition(0, 11)}, 0.02},
		{failure{"a third of the nodes, each alone", isolateEach(0, 22)}, 0.06},
	} {
		t.Run(injected.name, func(t *testing.T) {
			limits := tenants()
			for number := range 71 {
				limits[fmt.Sprint("small-", number)] = route.RateLimit{PerSecond: 5, Burst: 5}
			}
			total, refused := 0, 0
			simulate(t, 67, limits, func(d *deployment) {
				loads := []load{d.skewed("large", 39), d.skewed("medium", 10)}
				for number := range 71 {
					loads = append(loads, d.even(fmt.Sprint("small-", number), 0.8))
				}
				d.run(8*time.Second, loads...)
				refusedBefore := len(d.waits)
				end := injected.inject(d)
				d.run(12*time.Second, loads...)
				end()
				d.run(5*time.Second, loads...)
				refused = len(d.waits)
				for _, admitted := range d.admitted {
					total += len(admitted)
				}
				total += refused
				t.Logf("refused %d of %d, %d before the failure", refused, total, refusedBefore)
			})
			NewWithT(t).Expect(float64(refused)).To(BeNumerically("<=", injected.maxRefusedShare*float64(total)))
		})
	}
}

// TestALoweredLimitTakesHoldWithinAWindow guards against admitting the old rate after a limit was
// lowered far below the demand.
func TestALoweredLimitTakesHoldWithinAWindow(t *testing.T) {
	lowered := route.RateLimit{PerSecond: 4, Burst: 4}
	highest, admitted := 0, 0
	simulate(t, 67, tenants(), func(d *deployment) {
		overload := d.even("large", 300)
		d.run(5*time.Second, overload)
		d.mutex.Lock()
		d.limits["large"] = lowered
		d.mutex.Unlock()
		begun := d.elapsed()
		d.run(15*time.Second, overload)
		for at := begun + bounds.Window; at < begun+10*time.Second; at += 100 * time.Millisecond {
			highest = max(highest, d.admittedBetween("large", at, at+bounds.Window))
		}
		admitted = d.admittedBetween("large", begun+5*time.Second, begun+15*time.Second)
	})
	g := NewWithT(t)
	g.Expect(float64(highest)).To(BeNumerically("<=", allowedInWindow(lowered)))
	g.Expect(admitted).To(BeNumerically(">=", 36))
}

// TestASilentCoordinatorDelaysNoRequest guards against requests that wait for a coordinator that
// does not answer.
func TestASilentCoordinatorDelaysNoRequest(t *testing.T) {
	var took time.Duration
	simulate(t, 12, tenants(), func(d *deployment) {
		d.network.Cut(d.addresses(0, 1), d.addresses(1, 12))
		before := time.Now()
		for range 50 {
			d.request(0, "large", time.Now().String())
		}
		took = time.Since(before)
	})
	NewWithT(t).Expect(took).To(BeZero())
}

// TestOneTenantAtItsLimitCostsOthersNothing guards against refusing requests of tenants within
// their limits while another one exceeds its own.
func TestOneTenantAtItsLimitCostsOthersNothing(t *testing.T) {
	var refused map[string]int
	simulate(t, 67, tenants(), func(d *deployment) {
		d.run(15*time.Second, d.skewed("large", 500), d.even("medium", 10), d.even("small", 2))
		refused = d.refused
	})
	g := NewWithT(t)
	g.Expect(refused["medium"] + refused["small"]).To(BeZero())
	g.Expect(refused["large"]).NotTo(BeZero())
}

// TestRollingRestartOfAllNodes guards against refusing requests below the limit while all nodes are
// restarted one after the other.
func TestRollingRestartOfAllNodes(t *testing.T) {
	total, refused := 0, 0
	simulate(t, 20, tenants(), func(d *deployment) {
		usual := d.even("large", 30)
		for index := range d.nodes {
			d.kill(index)
			d.start(index)
			d.nodes[index].limiter.SetNodes(d.list())
			d.run(time.Second, usual)
			total += 30
		}
		refused = d.refused["large"]
	})
	t.Logf("refused %d of about %d below the limit", refused, total)
	NewWithT(t).Expect(float64(refused)).To(BeNumerically("<=", 0.02*float64(total)))
}
