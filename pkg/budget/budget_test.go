package budget_test

import (
	"runtime"
	"sync"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/bramblemast/bramblemast/pkg/budget"
	"github.com/bramblemast/bramblemast/pkg/policy"
	"github.com/bramblemast/bramblemast/pkg/template"
)

var key = template.Key{Tenant: "valgdata", Name: "results"}

// TestSpendingStaysWithinTheShare runs random calls: with one specification,
// spent <= share * primary + burst at every moment, and a token that is there
// can be spent.
func TestSpendingStaysWithinTheShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		spec := drawSpec(t)
		extra := budget.NewPool().For(key, template.ControlArm, spec)
		earned, spent := 0, 0
		t.Repeat(map[string]func(*rapid.T){
			"earn": func(t *rapid.T) {
				primary := rapid.IntRange(-1, 500).Draw(t, "primary")
				extra.Earn(primary)
				earned += max(0, primary)
			},
			"spend": func(t *rapid.T) {
				available := extra.Observe().Available
				if taken := extra.TrySpend(); taken != (available >= 1) {
					t.Fatalf("taken %t with %v tokens", taken, available)
				} else if taken {
					spent++
				}
			},
			"refund": func(t *rapid.T) {
				if spent == 0 {
					t.Skip("nothing was spent")
				}
				extra.Refund()
				spent--
			},
			"": func(t *rapid.T) {
				if float64(spent) > spec.Share*float64(earned)+float64(spec.Burst) {
					t.Fatalf("spent %d of %d primary with %+v", spent, earned, spec)
				}
				observed := extra.Observe()
				if observed.Primary != int64(earned) || observed.Extra != int64(spent) {
					t.Fatalf("observed %+v, want %d primary and %d extra", observed, earned, spent)
				}
				if observed.Available < 0 || observed.Available > float64(spec.Burst) {
					t.Fatalf("available %v of %d", observed.Available, spec.Burst)
				}
			},
		})
	})
}

func drawSpec(t *rapid.T) policy.ExtraLoadSpec {
	return policy.ExtraLoadSpec{
		Share: rapid.Float64Range(0, 1).Draw(t, "share"),
		Burst: rapid.IntRange(0, 20).Draw(t, "burst"),
	}
}

// TestManyCallersSpendNoMoreThanThereIs shows the bound under real concurrency.
func TestManyCallersSpendNoMoreThanThereIs(t *testing.T) {
	g := NewWithT(t)
	const callers, rounds, primary = 16, 2000, 4
	spec := policy.ExtraLoadSpec{Share: 0.05, Burst: 10}
	pool := budget.NewPool()
	var spent atomic.Int64
	var group sync.WaitGroup
	for range callers {
		group.Go(func() {
			for range rounds {
				extra := pool.For(key, template.ControlArm, spec)
				extra.Earn(primary)
				if extra.TrySpend() {
					spent.Add(1)
				}
			}
		})
	}
	group.Wait()
	most := spec.Share*callers*rounds*primary + float64(spec.Burst)
	g.Expect(float64(spent.Load())).To(BeNumerically("<=", most))
	left := pool.For(key, template.ControlArm, spec).Observe().Available
	lost := spec.Share * callers * primary
	g.Expect(float64(spent.Load())+left).To(BeNumerically(">=", most-lost), "only what is earned at a full burst is lost")
}

// TestTheLastTokenIsSpentOnce lets callers race for single tokens, and looks
// after each race whether more than one of them got it.
func TestTheLastTokenIsSpentOnce(t *testing.T) {
	g := NewWithT(t)
	const rounds, callers = 5000, 4
	extra := budget.NewPool().For(key, template.ControlArm, policy.ExtraLoadSpec{Share: 1, Burst: 1})
	var spent, done atomic.Int64
	var round atomic.Int64
	var group sync.WaitGroup
	for range callers {
		group.Go(func() {
			for mine := int64(1); mine <= rounds; mine++ {
				for round.Load() < mine {
					runtime.Gosched()
				}
				if extra.TrySpend() {
					spent.Add(1)
				}
				done.Add(1)
			}
		})
	}
	for current := int64(1); current <= rounds; current++ {
		round.Store(current)
		for done.Load() < current*callers {
			runtime.Gosched()
		}
		g.Expect(spent.Load()).To(Equal(current))
		extra.Earn(1)
	}
	group.Wait()
}

func TestOneBudgetForEachTemplateAndArm(t *testing.T) {
	g := NewWithT(t)
	pool := budget.NewPool()
	spec := policy.ExtraLoadSpec{Share: 0.1, Burst: 4}
	first := pool.For(key, "a", spec)
	g.Expect(pool.For(key, "a", spec)).To(BeIdenticalTo(first))
	g.Expect(pool.For(key, "b", spec)).NotTo(BeIdenticalTo(first))
	g.Expect(pool.For(template.Key{Tenant: "other", Name: key.Name}, "a", spec)).NotTo(BeIdenticalTo(first))
	pool.Forget(key)
	g.Expect(pool.For(key, "a", spec)).NotTo(BeIdenticalTo(first))
}

func TestChangedSpecificationAdjustsTheBudget(t *testing.T) {
	g := NewWithT(t)
	pool := budget.NewPool()
	extra := pool.For(key, "a", policy.ExtraLoadSpec{Share: 0.1, Burst: 10})
	g.Expect(pool.For(key, "a", policy.ExtraLoadSpec{Share: 0.5, Burst: 2})).To(BeIdenticalTo(extra))
	g.Expect(extra.Observe().Available).To(BeEquivalentTo(2), "tokens above the burst are lost")
	extra.TrySpend()
	extra.TrySpend()
	pool.For(key, "a", policy.ExtraLoadSpec{Share: 0.5, Burst: 100})
	g.Expect(extra.Observe().Available).To(BeZero(), "a greater burst starts unfilled")
	extra.Earn(4)
	g.Expect(extra.Observe().Available).To(BeEquivalentTo(2))
}

func TestBudgetCostsNoAllocation(t *testing.T) {
	g := NewWithT(t)
	pool := budget.NewPool()
	spec := policy.ExtraLoadSpec{Share: 0.05, Burst: 10}
	g.Expect(testing.AllocsPerRun(1000, func() {
		extra := pool.For(key, "a", spec)
		extra.Earn(220)
		if extra.TrySpend() {
			extra.Refund()
		}
	})).To(BeZero())
}

// BenchmarkQuery is what a query of 220 sub-requests with five hedges costs.
func BenchmarkQuery(b *testing.B) {
	pool := budget.NewPool()
	spec := policy.ExtraLoadSpec{Share: 0.05, Burst: 10}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			extra := pool.For(key, "a", spec)
			extra.Earn(220)
			for range 5 {
				extra.TrySpend()
			}
		}
	})
}
