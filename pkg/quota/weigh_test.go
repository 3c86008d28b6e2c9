package quota_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// BenchmarkWays gives the figures of docs/design/quota.md: a tenant at eight times its limit in
// deployments of several sizes, with each of the approaches compared there.
func BenchmarkWays(b *testing.B) {
	for _, count := range []int{67, 300, 5400} {
		for _, tenant := range []string{"large", "small"} {
			name := fmt.Sprintf("%d nodes, %s, ", count, tenant)
			limit := tenants()[tenant]
			b.Run(name+"admitted share", func(b *testing.B) {
				for range b.N {
					measureLimiter(b, count, tenant)
				}
			})
			b.Run(name+"fixed part", func(b *testing.B) {
				// Each node has an equal part of rate and burst, possibly a fraction of a token.
				fixedPart := func(int, []int, float64) float64 { return 1 / float64(count) }
				b.ReportMetric(reachedFraction(count, limit.PerSecond, limit.Burst, fixedPart), "reached")
			})
			b.Run(name+"leases", func(b *testing.B) {
				// A tenth is divided equally, the rest by the requests that each node received a
				// second ago.
				leasedPart := func(node int, requests []int, sum float64) float64 {
					return 0.1/float64(count) + 0.9*float64(requests[node])/max(1, sum)
				}
				b.ReportMetric(reachedFraction(count, limit.PerSecond, limit.Burst, leasedPart), "reached")
			})
		}
	}
}

// measureLimiter measures the package itself.
func measureLimiter(b *testing.B, count int, tenant string) {
	simulate(b, count, tenants(), func(d *deployment) {
		limit := d.limits[tenant]
		d.run(2*time.Second, d.even(tenant, limit.PerSecond/1.6))
		before, begun := d.sent(), d.elapsed()
		const span = 8 * time.Second
		d.run(span, d.even(tenant, 8*limit.PerSecond))
		after := d.sent()
		b.ReportMetric(float64(d.minInWindow(tenant, begun, begun+span))/(limit.PerSecond*bounds.Window.Seconds()), "reached")
		b.ReportMetric(float64(d.maxInWindow(tenant))/allowedInWindow(limit), "of-allowed")
		b.ReportMetric(float64(after.Reports-before.Reports)/span.Seconds()/float64(count), "reports/s/node")
		b.ReportMetric(float64(after.Verdicts-before.Verdicts)/span.Seconds()/float64(count), "verdicts/s/node")
	})
}

// reachedFraction returns the fraction of a rate that nodes reach with parts of it in buckets of
// their own. The parts are set anew each second from the requests of the second before.
func reachedFraction(count int, perSecond, burst float64, part func(node int, requests []int, sum float64) float64) float64 {
	random := rand.New(rand.NewPCG(3, 3))
	levels, requests := make([]float64, count), make([]int, count)
	served, total := 0, 0.0
	const seconds = 60
	for second := range seconds {
		now := make([]int, count)
		for arrived := 0.0; ; {
			arrived += random.ExpFloat64() / (8 * perSecond)
			if arrived >= 1 {
				break
			}
			now[random.IntN(count)]++
		}
		for node := range count {
			fraction := part(node, requests, total)
			levels[node] = min(levels[node]+fraction*perSecond, max(1, fraction*burst))
			taken := min(now[node], int(levels[node]))
			levels[node] -= float64(taken)
			if second >= seconds/2 {
				served += taken
			}
		}
		requests, total = now, 0
		for _, count := range now {
			total += float64(count)
		}
	}
	return float64(served) / (perSecond * seconds / 2)
}
