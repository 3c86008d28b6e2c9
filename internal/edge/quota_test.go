package edge

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hashicorp/go-hclog"

	"github.com/bramblemast/bramblemast/internal/front"
	"github.com/bramblemast/bramblemast/pkg/peer"
	"github.com/bramblemast/bramblemast/pkg/quota"
	"github.com/bramblemast/bramblemast/pkg/route"
)

// quotaSettings returns the settings of a node that enforces tenant limits.
func quotaSettings(peers string, overshoot float64) string {
	return fmt.Sprintf(`{"node": {"name": "n", "zone": "z"}, "listen": {"clients": "127.0.0.1:0", "ready": "127.0.0.1:0", "peers": %q},
		"store": {"address": "127.0.0.1:1"}, "bounds": {"grace_s": 6, "quota_window_s": 5, "quota_overshoot": %v, "quota_slack": 20}}`, peers, overshoot)
}

func TestSettingsOfLimits(t *testing.T) {
	g := NewWithT(t)
	settings, err := ParseSettings([]byte(quotaSettings("127.0.0.1:0", 0.1)))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(settings.quotaBounds()).To(Equal(quota.Bounds{Window: 5 * time.Second, Overshoot: 0.1, Slack: 20}))
	_, err = ParseSettings([]byte(quotaSettings("", -1)))
	g.Expect(err).To(MatchError(ContainSubstring("bounds.quota_overshoot is negative")))
	g.Expect(err).To(MatchError(ContainSubstring("bounds.quota_window_s needs listen.peers")))
}

// newTestLimits returns the limits of a node without peers.
func newTestLimits(t *testing.T, tenants []route.Tenant) *limits {
	settings, err := ParseSettings([]byte(quotaSettings("127.0.0.1:0", 0.1)))
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	network := peer.NewNetwork(1)
	t.Cleanup(network.Close)
	node := &Node{metrics: newMetricSet(), logger: hclog.NewNullLogger(), state: &state{}}
	node.state.table.Store(route.NewTable(&route.Configuration{Version: 1, Tenants: tenants}))
	return newLimits(node, settings, network.Transport("n"))
}

// TestTenantMetricsAreBounded: only the tenants with the highest limits have metrics of their own,
// however many tenants there are.
func TestTenantMetricsAreBounded(t *testing.T) {
	g := NewWithT(t)
	var tenants []route.Tenant
	for number := range 1000 {
		tenants = append(tenants, route.Tenant{Name: fmt.Sprint("t", number), Limit: route.RateLimit{PerSecond: float64(number + 1), Burst: 1}})
	}
	tested := newTestLimits(t, tenants)
	names := make(map[string]bool)
	for _, tenant := range tenants {
		names[tested.metricName(tenant.Name)] = true
	}
	g.Expect(names).To(HaveLen(namedTenants + 1))
	g.Expect(names).To(HaveKey("t999"))
	g.Expect(names).To(HaveKey(otherTenants))
}

// TestRefusalLogNamesShareAgeAndDecider: the share, its age and who decided.
func TestRefusalLogNamesShareAgeAndDecider(t *testing.T) {
	g := NewWithT(t)
	tenant := route.Tenant{Name: "a", Limit: route.RateLimit{PerSecond: 1, Burst: 1}}
	tested := newTestLimits(t, []route.Tenant{tenant})
	var refused *front.LimitDecision
	for number := 0; refused == nil; number++ {
		if decision := tested.Admit(&tenant, fmt.Sprint(number), time.Now()); !decision.IsAdmitted {
			refused = &decision
		}
	}
	g.Expect(refused.DecidedBy).To(Equal("alone"))
	g.Expect(refused.RetryAfter).To(BeNumerically(">", 0))
	recorder := newRequestRecorder(hclog.NewNullLogger(), newMetricSet(), func() time.Duration { return 0 })
	g.Expect(recorder.fields(front.Record{Status: 429, Refused: true, LimitDecision: refused})).To(ContainElements("quota_share", "quota_share_age_ms", "alone"))
}
