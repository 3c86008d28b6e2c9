package quota_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/pkg/route"
)

// TestTheLastRequestBeforeAPauseIsReported guards against counts that are never reported because
// their report was due during a call that only checked the coordinator. Meters with unreported
// counts are not removed.
func TestTheLastRequestBeforeAPauseIsReported(t *testing.T) {
	const rounds = 30
	limits := make(map[string]route.RateLimit)
	for number := range rounds {
		limits[fmt.Sprint("tenant-", number)] = route.RateLimit{PerSecond: 5, Burst: 5}
	}
	kept := 0
	simulate(t, 4, limits, func(d *deployment) {
		for round := range rounds {
			for index := range d.nodes {
				d.request(index, fmt.Sprint("tenant-", round), fmt.Sprint("request ", round, index))
				time.Sleep(7 * time.Millisecond)
			}
			time.Sleep(100*time.Second + time.Duration(round)*17*time.Millisecond)
			for _, node := range d.nodes {
				kept += node.limiter.TenantCount()
			}
		}
	})
	NewWithT(t).Expect(kept).To(BeZero())
}
