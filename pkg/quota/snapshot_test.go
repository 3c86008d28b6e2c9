package quota_test

import (
	"context"
	"fmt"
	"maps"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/pkg/peer"
	"github.com/bramblemast/bramblemast/pkg/quota"
	"github.com/bramblemast/bramblemast/pkg/route"
)

// snapshots returns the snapshots of a tenant from all nodes.
func (d *deployment) snapshots(tenant string) []quota.Snapshot {
	var all []quota.Snapshot
	for _, node := range d.nodes {
		all = append(all, node.limiter.Snapshot(tenant))
	}
	return all
}

// firstCoordinators returns the states of the tenant at its first coordinators, with the snapshot
// of the last of them.
func firstCoordinators(all []quota.Snapshot) ([]quota.CoordinatedTenant, quota.Snapshot) {
	var found []quota.CoordinatedTenant
	var from quota.Snapshot
	for _, one := range all {
		for _, coordinated := range one.Coordinated {
			if coordinated.IsFirst {
				found, from = append(found, coordinated), one
			}
		}
	}
	return found, from
}

// servedTotals adds up the states of a tenant at the nodes that serve it.
type servedTotals struct {
	admitted int64
	refused  map[quota.Refusal]uint64
	window   float64
	entitled float64
	modes    map[quota.Mode]int
}

func sumServed(all []quota.Snapshot) servedTotals {
	sum := servedTotals{refused: make(map[quota.Refusal]uint64), modes: make(map[quota.Mode]int)}
	for _, one := range all {
		for _, served := range one.Served {
			sum.admitted += served.Admitted
			sum.window += served.AdmittedInWindow
			sum.entitled += served.EntitledPerSecond
			sum.modes[served.Mode]++
			for reason, count := range served.Refused {
				sum.refused[reason] += count
			}
		}
	}
	return sum
}

func (s servedTotals) totalRefused() uint64 {
	sum := uint64(0)
	for _, count := range s.refused {
		sum += count
	}
	return sum
}

// TestSnapshotsAddUpToAllDecisions guards against snapshots that disagree with the decisions: the
// coordinator shows the limit and the demand over all nodes, and the counts of all nodes add up to
// all requests.
func TestSnapshotsAddUpToAllDecisions(t *testing.T) {
	const tenant, count = "medium", 12
	var all, idle []quota.Snapshot
	admitted, refused, lately, coordinator := 0, 0, 0, ""
	simulate(t, count, tenants(), func(d *deployment) {
		coordinator = d.nodes[0].limiter.Coordinator(tenant)
		d.run(5*time.Second, d.even(tenant, 8))
		d.run(10*time.Second, d.skewed(tenant, 80))
		all = d.snapshots(tenant)
		admitted, refused = len(d.admitted[tenant]), d.refused[tenant]
		lately = d.admittedBetween(tenant, d.elapsed()-bounds.Window, d.elapsed())
		time.Sleep(2 * time.Minute)
		idle = d.snapshots(tenant)
	})
	g := NewWithT(t)
	first, from := firstCoordinators(all)
	g.Expect(first).To(HaveLen(1))
	g.Expect(from.Node).To(Equal(coordinator))
	g.Expect(from.Nodes).To(Equal(count))
	g.Expect(from.Silent).To(BeEmpty())
	coordinated := first[0]
	g.Expect(coordinated.Tenant).To(Equal(tenant))
	g.Expect(coordinated.Limit).To(Equal(tenants()[tenant]))
	g.Expect(coordinated.RequestsPerSecond).To(BeNumerically("~", 80, 25))
	g.Expect(coordinated.Share).To(BeNumerically("<", 0.6))
	g.Expect(coordinated.AtLimitSince).NotTo(BeZero())
	g.Expect(coordinated.Reporting).To(Equal(count))
	g.Expect(coordinated.Reporters).To(HaveLen(count))
	g.Expect(coordinated.ReservedPerSecond).To(BeZero())
	sum := sumServed(all)
	g.Expect(sum.admitted).To(Equal(int64(admitted)))
	g.Expect(sum.totalRefused()).To(Equal(uint64(refused)))
	g.Expect(sum.refused[quota.BeyondShare]).To(BeNumerically(">", refused/2))
	g.Expect(sum.refused).NotTo(HaveKey(quota.BeyondEntitlement))
	g.Expect(sum.modes).To(Equal(map[quota.Mode]int{quota.WithFirst: count}))
	g.Expect(sum.window).To(BeNumerically("~", lately, 10))
	g.Expect(sum.entitled).To(BeNumerically("<=", 1.3*coordinated.Limit.PerSecond))
	for _, one := range all {
		g.Expect(one.Served[0].Coordinator).To(Equal(coordinator))
		g.Expect(one.At.Sub(one.Served[0].ShareReceivedAt)).To(BeNumerically("<", time.Second))
	}

	after := sumServed(idle)
	g.Expect(after.admitted).To(Equal(sum.admitted), "counts must outlive the meters of idle tenants")
	g.Expect(after.refused).To(Equal(sum.refused))
	g.Expect(idle[0].Served[0].IsIdle).To(BeTrue())
	remaining, _ := firstCoordinators(idle)
	g.Expect(remaining).To(BeEmpty())
}

// TestASnapshotNamesSilentNodes guards against snapshots that hide a cut: the coordinator names the
// silent nodes and what it reserves for them, and those nodes show that they are isolated.
func TestASnapshotNamesSilentNodes(t *testing.T) {
	const tenant, count = "medium", 12
	var all []quota.Snapshot
	isolatedIndex, name := 0, ""
	simulate(t, count, tenants(), func(d *deployment) {
		overload := d.even(tenant, 80)
		d.run(6*time.Second, overload)
		isolatedIndex = count - 1
		if d.coordinatorOf(tenant) == isolatedIndex {
			isolatedIndex--
		}
		name = d.nodes[isolatedIndex].name
		isolateEach(isolatedIndex, isolatedIndex+1)(d)
		// Longer than reports are retained.
		d.run(12*time.Second, overload)
		all = d.snapshots(tenant)
	})
	g := NewWithT(t)
	first, from := firstCoordinators(all)
	g.Expect(first).To(HaveLen(1))
	g.Expect(from.Silent).To(Equal([]string{name}))
	g.Expect(from.SilentCount).To(Equal(1))
	g.Expect(first[0].ReservedPerSecond).To(And(BeNumerically(">", 0), BeNumerically("<", 6)))
	g.Expect(first[0].Reporters).NotTo(ContainElement(name))
	isolated := all[isolatedIndex].Served[0]
	g.Expect(isolated.Mode).To(Equal(quota.Isolated))
	g.Expect(isolated.Coordinator).To(BeEmpty())
	g.Expect(isolated.IsShareStale).To(BeTrue())
	g.Expect(isolated.Refused[quota.BeyondEntitlement]).To(BeNumerically(">", 0))
	g.Expect(isolated.EntitledPerSecond).To(And(BeNumerically(">", 0), BeNumerically("<", 6)))
}

// manyTenants is more than a snapshot contains.
const manyTenants = 300

// limiterOfMany returns a limiter that has received requests of many tenants. The limit of each
// tenant is its number; at the end, the limits in changed come into force.
func limiterOfMany(changed map[string]route.RateLimit) *quota.Limiter {
	limits := make(map[string]route.RateLimit)
	for number := 1; number <= manyTenants; number++ {
		limits[fmt.Sprint("tenant-", number)] = route.RateLimit{PerSecond: float64(number), Burst: 1}
	}
	limiter := quota.New(quota.Options{
		Local: "node-0", Zone: "zone", Bounds: bounds, Events: ignoredEvents{}, Incarnation: 1,
		Transport:    &countingTransport{handlers: make(map[peer.Kind]peer.Handler)},
		LimitOf:      func(tenant string) (route.RateLimit, bool) { limit, isKnown := limits[tenant]; return limit, isKnown },
		KnowsTenants: func() bool { return true },
	})
	limiter.SetNodes([]quota.Node{{Name: "node-0", Zone: "zone", Address: "node-0"}})
	for tenant, limit := range limits {
		limiter.Admit(tenant, limit, "request", time.Now())
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		// Run ends without an error when its context does.
		_ = limiter.Run(ctx)
	}()
	// The node reports to itself.
	time.Sleep(time.Second)
	stop()
	<-ended
	maps.Copy(limits, changed)
	return limiter
}

// TestASnapshotIsBounded guards against answers that grow with the number of tenants: a snapshot
// contains the largest limits and the number of omitted tenants. A tenant that is requested by name
// is included whatever its limit.
func TestASnapshotIsBounded(t *testing.T) {
	var all, one, none quota.Snapshot
	runInVirtualTime(t, 1, func() {
		limiter := limiterOfMany(nil)
		all, one, none = limiter.Snapshot(""), limiter.Snapshot("tenant-1"), limiter.Snapshot("tenant-0")
	})
	g := NewWithT(t)
	g.Expect(all.Served).To(HaveLen(256))
	g.Expect(all.ServedLeftOut).To(Equal(manyTenants - 256))
	g.Expect(all.Coordinated).To(HaveLen(256))
	g.Expect(all.CoordinatedLeftOut).To(Equal(manyTenants - 256))
	for index, served := range all.Served {
		g.Expect(served.Limit.PerSecond).To(Equal(float64(manyTenants - index)))
		g.Expect(all.Coordinated[index].Tenant).To(Equal(served.Tenant))
	}
	g.Expect(one.Served).To(HaveLen(1))
	g.Expect(one.Coordinated).To(HaveLen(1))
	g.Expect(one.Served[0].Admitted).To(Equal(int64(1)))
	g.Expect(one.ServedLeftOut).To(BeZero())
	g.Expect(none.Served).To(BeEmpty())
	g.Expect(none.Coordinated).To(BeEmpty())
}

// TestEachRefusalHasItsReason guards against misleading reasons, which tell an operator whether to
// look at the tenant, the coordinator or the network.
func TestEachRefusalHasItsReason(t *testing.T) {
	limit := route.RateLimit{PerSecond: 5, Burst: 5}
	started := quota.NewMeter("caller", limit, bounds, 67, false, start)
	started.SetProcessStart(start)
	for reason, meter := range map[quota.Refusal]*quota.Meter{
		quota.BeyondShare:       meterWithShare(limit, 0.01, 0),
		quota.Unacknowledged:    meterWithShare(limit, 1, 0),
		quota.InDoubt:           meterWithShare(route.RateLimit{PerSecond: 5, Burst: 100}, 1, 0),
		quota.BeyondEntitlement: quota.NewMeter("caller", limit, bounds, 67, false, start),
		quota.ShareTooOld:       meterWithShare(limit, 0.01, 0),
		quota.JustStarted:       started,
	} {
		t.Run(reason.String(), func(t *testing.T) {
			g := NewWithT(t)
			now := start
			if reason == quota.ShareTooOld {
				now = now.Add(2 * time.Second)
			}
			meter.SetInDoubt(reason == quota.InDoubt)
			reasons := make(map[quota.Refusal]int)
			for number := range 200 {
				decision := meter.Admit(fmt.Sprint(number), now)
				g.Expect(decision.IsAdmitted).To(Equal(decision.Refusal == quota.NotRefused))
				if !decision.IsAdmitted {
					reasons[decision.Refusal]++
				}
			}
			g.Expect(reasons).To(And(HaveLen(1), HaveKey(reason)))
		})
	}
	NewWithT(t).Expect(quota.Refusals()).To(HaveLen(6))
}

// TestARefundedRequestIsNotCounted guards against counting requests as admitted that did not run.
func TestARefundedRequestIsNotCounted(t *testing.T) {
	var before, after quota.Snapshot
	runInVirtualTime(t, 1, func() {
		limiter := limiterOfMany(nil)
		before = limiter.Snapshot("tenant-300")
		limiter.Refund("tenant-300")
		after = limiter.Snapshot("tenant-300")
	})
	g := NewWithT(t)
	g.Expect(before.Served[0].Admitted).To(Equal(int64(1)))
	g.Expect(after.Served[0].Admitted).To(BeZero())
}

// TestASnapshotHoldsTheLimitsInForce guards against old limits in snapshots, also of tenants that
// have had no request since the change: the list selects and orders all tenants by the limits that
// it shows.
func TestASnapshotHoldsTheLimitsInForce(t *testing.T) {
	const raised, lowered = "tenant-1", "tenant-300"
	limits := map[string]route.RateLimit{raised: {PerSecond: 1000, Burst: 7}, lowered: {PerSecond: 0.5, Burst: 1}}
	var all, one quota.Snapshot
	runInVirtualTime(t, 1, func() {
		limiter := limiterOfMany(limits)
		all, one = limiter.Snapshot(""), limiter.Snapshot(lowered)
	})
	g := NewWithT(t)
	g.Expect(all.Served[0].Tenant).To(Equal(raised))
	g.Expect(all.Served[0].Limit).To(Equal(limits[raised]))
	g.Expect(all.Coordinated[0].Tenant).To(Equal(raised))
	g.Expect(all.Coordinated[0].Limit).To(Equal(limits[raised]))
	for index, served := range all.Served {
		g.Expect(served.Tenant).NotTo(Equal(lowered))
		g.Expect(all.Coordinated[index].Tenant).To(Equal(served.Tenant))
	}
	g.Expect(one.Served[0].Limit).To(Equal(limits[lowered]))
	g.Expect(one.Coordinated[0].Limit).To(Equal(limits[lowered]))
}

// BenchmarkSnapshot measures how long requests wait at most while a snapshot is made.
func BenchmarkSnapshot(b *testing.B) {
	limits := make(map[string]route.RateLimit)
	for number := range 2000 {
		limits[fmt.Sprint("tenant-", number)] = route.RateLimit{PerSecond: float64(number), Burst: 5}
	}
	limiter := quota.New(quota.Options{
		Local: "node-0", Zone: "zone", Bounds: bounds, Events: ignoredEvents{}, Incarnation: 1,
		Transport:    &countingTransport{handlers: make(map[peer.Kind]peer.Handler)},
		LimitOf:      func(tenant string) (route.RateLimit, bool) { limit, isKnown := limits[tenant]; return limit, isKnown },
		KnowsTenants: func() bool { return true },
	})
	for tenant, limit := range limits {
		limiter.Admit(tenant, limit, "request", time.Now())
	}
	for b.Loop() {
		limiter.Snapshot("")
	}
}
