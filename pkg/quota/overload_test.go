package quota_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/pkg/route"
)

// tenants returns the limits used in the tests: few large callers and many small ones.
func tenants() map[string]route.RateLimit {
	return map[string]route.RateLimit{
		"large": {PerSecond: 63, Burst: 63}, "medium": {PerSecond: 17, Burst: 17}, "small": {PerSecond: 5, Burst: 5},
	}
}

// TestTenantAtEightTimesItsLimitGetsItAndNoMore guards against exceeding or wasting the limit under
// overload, whether the requests arrive evenly at all nodes or mostly at one.
func TestTenantAtEightTimesItsLimitGetsItAndNoMore(t *testing.T) {
	for _, tenant := range []string{"large", "medium", "small"} {
		for _, kind := range []string{"even", "skewed"} {
			t.Run(tenant+" "+kind, func(t *testing.T) {
				t.Parallel()
				highest, lowest, refusedWithinLimit, limit := 0, 0, 0, tenants()[tenant]
				simulate(t, 67, tenants(), func(d *deployment) {
					distribute := d.even
					if kind == "skewed" {
						distribute = d.skewed
					}
					d.run(5*time.Second, distribute(tenant, limit.PerSecond/1.6))
					refusedWithinLimit = d.refused[tenant]
					before := d.sent()
					begun := d.elapsed()
					d.run(20*time.Second, distribute(tenant, 8*limit.PerSecond))
					after := d.sent()
					highest = d.maxInWindow(tenant)
					lowest = d.minInWindow(tenant, begun, begun+20*time.Second)
					t.Logf("refused within the limit %d; in 5 s at most %d of %.0f allowed, at least %d of %.0f granted; reports %.0f/s, verdicts %.0f/s over all nodes",
						refusedWithinLimit, highest, allowedInWindow(limit), lowest, limit.PerSecond*5,
						float64(after.Reports-before.Reports)/20, float64(after.Verdicts-before.Verdicts)/20)
				})
				g := NewWithT(t)
				g.Expect(refusedWithinLimit).To(BeZero())
				g.Expect(float64(highest)).To(BeNumerically("<=", allowedInWindow(limit)))
				g.Expect(float64(lowest)).To(BeNumerically(">=", 0.95*limit.PerSecond*bounds.Window.Seconds()))
			})
		}
	}
}
