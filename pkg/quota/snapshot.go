package quota

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/bramblemast/bramblemast/pkg/route"
)

// Size limits of a Snapshot.
const (
	// snapshotTenants is the maximum number of tenants in each list of a snapshot. Requests wait
	// while tenants are copied, for less than a millisecond with this number.
	snapshotTenants = 256
	// snapshotNames is the maximum number of nodes that a snapshot names in one list, so that the
	// answer of a deployment of thousands of nodes has some kilobytes only.
	snapshotNames = 256
)

// Snapshot is a copy of the state of a Limiter at one time.
type Snapshot struct {
	// Node and Zone are the name and the zone of the Limiter's node.
	Node string
	Zone string
	// At is when the copy was made, StartedAt since when requests are counted.
	At        time.Time
	StartedAt time.Time
	// Window is the span for which the number of admitted requests is bounded.
	Window time.Duration
	// Nodes is the number of nodes that this node knows, including itself; zero while the node list
	// is unknown. Silent names the nodes that it regards as cut off, sorted; SilentCount is their
	// number.
	Nodes       int
	Silent      []string
	SilentCount int
	// Coordinated are the tenants that this node coordinates, if one of their nodes reported in the
	// last ten seconds or if the tenant is at its limit, largest limits first. CoordinatedLeftOut
	// is the number of tenants omitted beyond snapshotTenants.
	Coordinated        []CoordinatedTenant
	CoordinatedLeftOut int
	// Served are the tenants for which this node has received requests or a share since its start,
	// largest limits first. The snapshot of one tenant with a limit contains it even without
	// either. ServedLeftOut is the number of tenants omitted beyond snapshotTenants.
	Served        []ServedTenant
	ServedLeftOut int
}

// CoordinatedTenant is a coordinator's state of one tenant.
type CoordinatedTenant struct {
	Tenant string
	Limit  route.RateLimit
	// IsFirst is set if the node is the tenant's first coordinator; otherwise it stands in for it.
	IsFirst bool
	// RequestsPerSecond is the rate of requests over all nodes that report here, averaged over
	// about two seconds.
	RequestsPerSecond float64
	// Share is the part of the requests that nodes may admit. Tokens are those left in the bucket,
	// below zero while requests beyond the limit are being compensated.
	Share  float64
	Tokens float64
	// ReservedPerSecond is the part of the limit that is left to silent nodes; zero at a stand-in.
	ReservedPerSecond float64
	// Reporting is the number of nodes that reported in the last ten seconds, plus the silent nodes
	// that had reported before.
	Reporting int
	// Reporters names the nodes that reported in the last ten seconds; only in the snapshot of one
	// tenant.
	Reporters []string
	// AtLimitSince is when the tenant reached its limit; zero if it is within its limit.
	AtLimitSince time.Time
}

// ServedTenant is a node's state of a tenant whose requests it receives.
type ServedTenant struct {
	Tenant string
	Limit  route.RateLimit
	// IsIdle is set if no request of the tenant arrived recently. Only the limit and the counts
	// since the start are then known.
	IsIdle bool
	// Mode states which coordinator the node decides with, Coordinator names the one to which it
	// reports; empty if none answers.
	Mode        Mode
	Coordinator string
	// Share is the share received last, ShareReceivedAt its time of arrival; zero if none was
	// received. IsShareStale is set if the node no longer applies it.
	Share           float64
	ShareReceivedAt time.Time
	IsShareStale    bool
	// EntitledPerSecond is the rate that the node may admit while it is isolated.
	EntitledPerSecond float64
	// AdmittedInWindow is the number of requests admitted in the last Window.
	AdmittedInWindow float64
	// Admitted and Refused count requests since the start; refunded requests are subtracted.
	// Refused has no entry for reasons that did not occur.
	Admitted int64
	Refused  map[Refusal]uint64
}

// Snapshot returns a copy of the limiter's state: of one tenant, or of all tenants if the name is
// empty. It changes no state.
func (l *Limiter) Snapshot(tenant string) Snapshot {
	snapshot := Snapshot{Node: l.options.Local, Zone: l.options.Zone, Window: l.options.Bounds.Window}
	l.mutex.Lock()
	// All state that is copied was received before this time.
	now := time.Now()
	snapshot.At, snapshot.StartedAt = now, l.startedAt
	snapshot.Nodes, snapshot.SilentCount = l.nodeCount(), len(l.silent)
	if len(l.addresses) == 0 {
		snapshot.Nodes = 0
	}
	snapshot.Silent = slices.Collect(maps.Keys(l.silent))
	l.copyCoordinated(&snapshot, tenant, now)
	l.copyServed(&snapshot, tenant, now)
	l.mutex.Unlock()
	snapshot.Silent = firstNames(snapshot.Silent)
	for index := range snapshot.Coordinated {
		snapshot.Coordinated[index].Reporters = firstNames(snapshot.Coordinated[index].Reporters)
	}
	return snapshot
}

// firstNames sorts names in place and returns at most snapshotNames of them.
func firstNames(names []string) []string {
	slices.Sort(names)
	return names[:min(len(names), snapshotNames)]
}

// copyCoordinated copies the state of the accounts. The caller holds the mutex.
func (l *Limiter) copyCoordinated(snapshot *Snapshot, tenant string, now time.Time) {
	var chosen largestTenants
	offer := func(name string, entry *tenantAccount) {
		if entry != nil && entry.isInUse(now) {
			limit, _ := l.options.LimitOf(name)
			chosen.offer(name, limit)
		}
	}
	if tenant != "" {
		offer(tenant, l.accounts[tenant])
	} else {
		for name, entry := range l.accounts {
			offer(name, entry)
		}
	}
	snapshot.CoordinatedLeftOut = chosen.leftOut
	snapshot.Coordinated = make([]CoordinatedTenant, 0, len(chosen.kept))
	for _, sized := range chosen.kept {
		entry := l.accounts[sized.tenant]
		state := entry.account.view(l.isFirst(sized.tenant), now)
		// An account applies a new limit only with the next report.
		state.Tenant, state.Limit, state.AtLimitSince = sized.tenant, sized.limit, entry.limitedAt
		if tenant != "" {
			state.Reporters = entry.account.reporters(now)
		}
		snapshot.Coordinated = append(snapshot.Coordinated, state)
	}
}

// isInUse reports whether nodes report the tenant here. A node that stood in for a coordinator
// keeps the account for a while after that coordinator is back.
func (t *tenantAccount) isInUse(now time.Time) bool {
	return !t.limitedAt.IsZero() || now.Sub(t.account.lastReportAt) <= reportRetention
}

// copyServed copies the state of the meters. The caller holds the mutex.
func (l *Limiter) copyServed(snapshot *Snapshot, tenant string, now time.Time) {
	var chosen largestTenants
	if limit, isKnown := l.options.LimitOf(tenant); tenant != "" && (isKnown || l.tallies[tenant] != nil) {
		chosen.offer(tenant, limit)
	}
	if tenant == "" {
		for name := range l.tallies {
			limit, _ := l.options.LimitOf(name)
			chosen.offer(name, limit)
		}
	}
	snapshot.ServedLeftOut = chosen.leftOut
	snapshot.Served = make([]ServedTenant, 0, len(chosen.kept))
	for _, sized := range chosen.kept {
		snapshot.Served = append(snapshot.Served, l.served(sized, now))
	}
}

// served returns the state of one tenant at this node. The caller holds the mutex.
func (l *Limiter) served(sized sizedTenant, now time.Time) ServedTenant {
	counts, entry := l.tallies[sized.tenant], l.meters[sized.tenant]
	if counts == nil {
		counts = &tally{}
	}
	state := ServedTenant{
		Tenant: sized.tenant, Limit: sized.limit, Admitted: counts.admitted, Refused: make(map[Refusal]uint64), IsIdle: entry == nil,
	}
	for _, reason := range Refusals() {
		if count := counts.refused[reason]; count > 0 {
			state.Refused[reason] = count
		}
	}
	if entry != nil {
		state.Mode, state.Coordinator = entry.meter.mode, l.coordinator(entry.ranked)
		entry.meter.view(&state, now)
	}
	return state
}

// view returns the state of an account at the given time without changing it. Its run time does not
// grow with the number of reporting nodes, since it runs under the mutex for every tenant of a
// snapshot.
func (a *Account) view(isFirst bool, now time.Time) CoordinatedTenant {
	copied := *a
	copied.bucket.settle(now)
	state := CoordinatedTenant{
		IsFirst: isFirst, RequestsPerSecond: a.steadyRate.read(now), Share: copied.share(now), Tokens: copied.bucket.level,
		ReservedPerSecond: a.reservedRate,
	}
	if now.Sub(a.lastReportAt) <= reportRetention {
		state.Reporting = len(a.reports)
	}
	return state
}

// reporters returns the nodes that reported within reportRetention.
func (a *Account) reporters(now time.Time) []string {
	names := make([]string, 0, len(a.reports))
	for name, node := range a.reports {
		if now.Sub(node.at) <= reportRetention {
			names = append(names, name)
		}
	}
	return names
}

// view fills in the state of the meter at the given time.
func (m *Meter) view(state *ServedTenant, now time.Time) {
	window := m.admittedInWindow
	state.AdmittedInWindow = window.read(now)
	state.Share, state.ShareReceivedAt = m.share, m.verdictAt
	state.IsShareStale = m.share < 1 && now.Sub(m.verdictAt) > maxShareAge
	state.EntitledPerSecond = m.entitlement(now)
}

// largestTenants keeps the tenants with the largest limits in the configuration in force. Nodes
// with the same configuration omit the same tenants, so the snapshots of all nodes can be added up
// for the others.
type largestTenants struct {
	kept    []sizedTenant
	leftOut int
}

// sizedTenant is a tenant with its limit.
type sizedTenant struct {
	tenant string
	limit  route.RateLimit
}

// offer adds a tenant if it is among the largest.
func (c *largestTenants) offer(tenant string, limit route.RateLimit) {
	offered := sizedTenant{tenant, limit}
	position, _ := slices.BinarySearchFunc(c.kept, offered, compareSizes)
	if position < snapshotTenants {
		c.kept = slices.Insert(c.kept, position, offered)
	} else {
		c.leftOut++
	}
	if len(c.kept) > snapshotTenants {
		c.kept = c.kept[:snapshotTenants]
		c.leftOut++
	}
}

// compareSizes orders by limit, largest first, then by name.
func compareSizes(one, other sizedTenant) int {
	return cmp.Or(cmp.Compare(other.limit.PerSecond, one.limit.PerSecond), cmp.Compare(one.tenant, other.tenant))
}
