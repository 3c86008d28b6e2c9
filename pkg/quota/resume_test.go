package quota_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/pkg/quota"
	"github.com/bramblemast/bramblemast/pkg/route"
)

// TestASuspendedMachineIsIsolatedUntilACoordinatorAnswers guards against applying outdated verdicts
// after a suspension. They are as old as the suspension was long, which the machine's monotonic
// clock does not show.
func TestASuspendedMachineIsIsolatedUntilACoordinatorAnswers(t *testing.T) {
	atOnce, later := 0, 0
	simulate(t, 12, tenants(), func(d *deployment) {
		d.run(2*time.Second, d.even("large", 10))
		request := func() (admitted int) {
			for range 60 {
				if d.request(0, "large", fmt.Sprint(d.random.Uint64())) {
					admitted++
				}
			}
			return admitted
		}
		d.nodes[0].limiter.Resumed()
		atOnce = request()
		time.Sleep(2 * time.Second)
		later = request()
	})
	g := NewWithT(t)
	g.Expect(atOnce).To(BeNumerically("<=", 1))
	g.Expect(later).To(BeNumerically(">=", 20))
}

// TestIdleTenantsAreForgotten guards against memory that grows with the number of tenants ever
// seen.
func TestIdleTenantsAreForgotten(t *testing.T) {
	before, after := 0, 0
	limits := make(map[string]route.RateLimit)
	for number := range 500 {
		limits[fmt.Sprint("tenant-", number)] = route.RateLimit{PerSecond: 5, Burst: 5}
	}
	simulate(t, 4, limits, func(d *deployment) {
		for tenant := range limits {
			d.request(0, tenant, "request")
		}
		time.Sleep(time.Second)
		before = d.nodes[0].limiter.TenantCount()
		time.Sleep(2 * time.Minute)
		after = d.nodes[0].limiter.TenantCount()
	})
	g := NewWithT(t)
	g.Expect(before).To(Equal(500))
	g.Expect(after).To(BeZero())
}

// BenchmarkAdmit measures the cost of deciding about one request.
func BenchmarkAdmit(b *testing.B) {
	meter := quota.NewMeter("caller", route.RateLimit{PerSecond: 1e9, Burst: 1e9}, bounds, 67, true, start)
	meter.SetMode(quota.WithFirst, start)
	b.ReportAllocs()
	for b.Loop() {
		meter.Admit("0123456789abcdef", start)
	}
}
