package edge

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/bramblemast/bramblemast/internal/front"
	"github.com/bramblemast/bramblemast/pkg/directory"
	"github.com/bramblemast/bramblemast/pkg/peer"
	"github.com/bramblemast/bramblemast/pkg/quota"
	"github.com/bramblemast/bramblemast/pkg/route"
)

// Bounds of metrics and log lines about tenants.
const (
	// namedTenants is the number of tenants with metrics of their own, those with the highest limits;
	// the others are counted together as otherTenants.
	namedTenants = 10
	otherTenants = "other"
	// limitLogInterval is the minimum time between two log lines that the same tenant is at its
	// limit, or that coordinators do not answer.
	limitLogInterval = 5 * time.Second
)

// limits enforces the limits of tenants. It implements front.Limits and quota.Events, and is safe for
// concurrent use.
type limits struct {
	node    *Node
	limiter *quota.Limiter

	mutex sync.Mutex
	// atLimit limits the log lines about tenants at their limits, by tenant. lostCoordinators limits
	// those about all coordinators that do not answer. Both are guarded by mutex.
	atLimit          *stateLogLimiter[string]
	lostCoordinators *stateLogLimiter[struct{}]
	// named holds the tenants with metrics of their own, derived from the configuration with the
	// given version. Both are guarded by mutex.
	named   map[string]bool
	version uint64

	// list caches the last answer to a request for all tenants.
	list listCache
}

// newLimits returns the limits of a node and registers their metrics.
func newLimits(node *Node, settings *Settings, transport peer.Transport) *limits {
	created := &limits{node: node, atLimit: newStateLogLimiter[string](limitLogInterval), lostCoordinators: newStateLogLimiter[struct{}](limitLogInterval)}
	created.limiter = quota.New(quota.Options{
		Local: settings.Node.Name, Zone: settings.Node.Zone, Bounds: settings.quotaBounds(), Transport: transport, Events: created,
		LimitOf: node.state.limitOf, Incarnation: rand.Uint64(),
		KnowsTenants: func() bool { table := node.state.Table(); return table != nil && table.HasTenants() },
		WasListed:    func() bool { return node.nodeEntry != nil && node.nodeEntry.wasListed.Load() },
	})
	node.metrics.gauge("quota_tenants_at_limit", "Tenants at their limit that this node coordinates.", func() float64 {
		return float64(created.limiter.TenantsAtLimit())
	})
	node.metrics.gauge("quota_tenants", "Tenants with a limit that this node was asked for lately.", func() float64 {
		return float64(created.limiter.TenantCount())
	})
	node.metrics.counter("quota_reports_total", "Reports to coordinators of limits.", func() uint64 { return created.limiter.MessagesSent().Reports })
	node.metrics.counter("quota_verdicts_total", "Admitted shares told to other nodes.", func() uint64 { return created.limiter.MessagesSent().Verdicts })
	return created
}

// limitOf returns the limit of a tenant in the configuration in force; false if there is none.
func (s *state) limitOf(name string) (route.RateLimit, bool) {
	table := s.table.Load()
	if table == nil {
		return route.RateLimit{}, false
	}
	tenant := table.Tenant(name)
	if tenant == nil {
		return route.RateLimit{}, false
	}
	return tenant.Limit, true
}

// Admit implements front.Limits.
func (l *limits) Admit(tenant *route.Tenant, requestID string, now time.Time) front.LimitDecision {
	decision := l.limiter.Admit(tenant.Name, tenant.Limit, requestID, now)
	name := l.metricName(tenant.Name)
	if decision.IsAdmitted {
		l.node.metrics.limited.WithLabelValues(name, "admitted").Inc()
		return front.LimitDecision{IsAdmitted: true}
	}
	l.node.metrics.limited.WithLabelValues(name, "refused").Inc()
	decidedBy := decision.Mode.String()
	if coordinator := l.limiter.Coordinator(tenant.Name); coordinator != "" {
		decidedBy += " " + coordinator
	}
	return front.LimitDecision{RetryAfter: decision.RetryAfter, Share: decision.Share, Age: decision.ShareAge, DecidedBy: decidedBy}
}

// Refund implements front.Limits.
func (l *limits) Refund(tenant *route.Tenant, _ time.Time) { l.limiter.Refund(tenant.Name) }

// setNodes passes the known nodes to the limiter.
func (l *limits) setNodes(known []directory.Node) {
	nodes := make([]quota.Node, 0, len(known))
	for _, node := range known {
		nodes = append(nodes, quota.Node{Name: node.Name, Zone: node.Zone, Address: peer.Address(node.PeerAddress)})
	}
	l.limiter.SetNodes(nodes)
}

// metricName returns the tenant label under which a tenant is counted.
func (l *limits) metricName(tenant string) string {
	table := l.node.state.Table()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if table != nil && (l.named == nil || table.Version != l.version) {
		l.version, l.named = table.Version, make(map[string]bool, namedTenants)
		for _, largest := range table.LargestTenants(namedTenants) {
			l.named[largest.Name] = true
		}
	}
	if l.named[tenant] {
		return tenant
	}
	return otherTenants
}

// AtLimit implements quota.Events.
func (l *limits) AtLimit(tenant string, verdict quota.Verdict, stats quota.AccountStats) {
	l.mutex.Lock()
	shouldLog := l.atLimit.shouldLogBegin(tenant, time.Now())
	l.mutex.Unlock()
	if !shouldLog {
		l.node.metrics.logLines.WithLabelValues("rate").Inc()
		return
	}
	l.node.logger.Info("tenant at its limit", "tenant", tenant, "share", verdict.Share, "asked_per_s", stats.RequestRate,
		"limit_per_s", stats.Limit.PerSecond, "burst", stats.Limit.Burst, "level", stats.Tokens,
		"nodes_reporting", stats.Nodes, "first_coordinator", verdict.IsFirst)
}

// BelowLimit implements quota.Events.
func (l *limits) BelowLimit(tenant string, stats quota.AccountStats, span time.Duration) {
	l.mutex.Lock()
	shouldLog := l.atLimit.shouldLogEnd(tenant, time.Now())
	l.mutex.Unlock()
	if shouldLog {
		l.node.logger.Info("tenant within its limit again", "tenant", tenant, "span_ms", span.Milliseconds(),
			"asked_per_s", stats.RequestRate, "limit_per_s", stats.Limit.PerSecond)
	}
}

// CoordinatorLost implements quota.Events.
func (l *limits) CoordinatorLost(name string, cause error) {
	l.node.metrics.coordinatorsLost.WithLabelValues().Inc()
	l.mutex.Lock()
	shouldLog := l.lostCoordinators.shouldLogBegin(struct{}{}, time.Now())
	l.mutex.Unlock()
	if shouldLog {
		// A partition cuts off several coordinators at once: one line is enough, the metric counts all.
		l.node.logger.Warn("coordinator of limits lost", "coordinator", name, "error", cause.Error())
	}
}

// CoordinatorRegained implements quota.Events.
func (l *limits) CoordinatorRegained(name string) {
	l.node.logger.Debug("coordinator of limits regained", "coordinator", name)
}
