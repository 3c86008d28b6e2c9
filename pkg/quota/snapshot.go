package quota

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/bramblemast/bramblemast/pkg/route"
)

// Bounds of a Snapshot.
const (
	// snapshotTenants is the greatest number of tenants in each list of a snapshot: a request
	// waits for less than a millisecond while so many are copied.
	snapshotTenants = 256
	// snapshotNames is the greatest number of nodes that a snapshot names in one list, so that
	// a deployment of thousands of nodes has answers of some kilobytes.
	snapshotNames = 256
)

// Snapshot is a copy of the state of a Limiter at a moment.
type Snapshot struct {
	// Node and Zone are those of the Limiter.
	Node string
	Zone string
	// At is when the copy was made, StartedAt since when requests are counted.
	At        time.Time
	StartedAt time.Time
	// Window is the span over which admitted requests are held to a bound.
	Window time.Duration
	// Nodes is the number of nodes that this one knows, itself included; Silent are those that
	// it takes for out of touch, by name, and SilentCount their number.
	Nodes       int
	Silent      []string
	SilentCount int
	// Coordinated are the tenants whose requests over all nodes this node sums up, if one was reported
	// in the last ten seconds or the tenant is at its limit; the greatest limits first.
	// CoordinatedLeftOut is the number of those beyond the bound.
	Coordinated        []CoordinatedTenant
	CoordinatedLeftOut int
	// Served are the tenants of which this node has had requests or a share since its start, the
	// greatest limits first; in the snapshot of one tenant also if it has had neither. ServedLeftOut
	// is the number of those beyond the bound.
	Served        []ServedTenant
	ServedLeftOut int
}

// CoordinatedTenant is what a coordinator knows of one tenant.
type CoordinatedTenant struct {
	Tenant string
	Limit  route.RateLimit
	// IsFirst says that the node is the tenant's first coordinator; otherwise it stands in for it.
	IsFirst bool
	// RequestsPerSecond is the rate of requests over all nodes that report here, over about two
	// seconds.
	RequestsPerSecond float64
	// Share is the part of the requests that nodes may admit, Level the tokens that are left;
	// below zero for requests beyond the limit that are being made up for.
	Share  float64
	Tokens float64
	// ReservedPerSecond is the part of the limit that is left to nodes out of touch. It is zero
	// at a stand-in.
	ReservedPerSecond float64
	// Reporting is the number of nodes that reported in the last ten seconds, and of those out of
	// touch that had reported before.
	Reporting int
	// Reporters names those that reported in the last ten seconds; only in the snapshot of one tenant.
	Reporters []string
	// AtLimitSince is when the tenant came to its limit; zero if it is within it.
	AtLimitSince time.Time
}

// ServedTenant is what a node knows of a tenant whose requests come to it.
type ServedTenant struct {
	Tenant string
	Limit  route.RateLimit
	// IsIdle says that the tenant was not asked for lately, so that only the limit and the counts
	// since the start are known.
	IsIdle bool
	// Standing is how the node stands to the tenant's coordinators, Coordinator the one to which
	// it reports; empty if none answers.
	Mode        Mode
	Coordinator string
	// Share is what was told last, ShareReceivedAt when; zero if nothing was told. IsShareStale says that
	// the node does not go by it any more.
	Share           float64
	ShareReceivedAt time.Time
	IsShareStale    bool
	// EntitledPerSecond is the rate that the node may admit while it is out of touch.
	EntitledPerSecond float64
	// AdmittedInWindow is the number of requests admitted in the last Window.
	AdmittedInWindow float64
	// Admitted and Refused count requests since the start; those that were admitted and did not
	// run are taken off. Refused has no entry for reasons that did not occur.
	Admitted int64
	Refused  map[Refusal]uint64
}

// Snapshot returns a copy of the limiter's state: of one tenant, or of all if the name is empty. It
// changes nothing.
func (l *Limiter) Snapshot(tenant string) Snapshot {
	copied := Snapshot{Node: l.options.Local, Zone: l.options.Zone, Window: l.options.Bounds.Window}
	l.mutex.Lock()
	// What is copied was told before this moment.
	now := time.Now()
	copied.At, copied.StartedAt = now, l.startedAt
	copied.Nodes, copied.SilentCount = l.nodeCount(), len(l.silent)
	if len(l.addresses) == 0 {
		copied.Nodes = 0
	}
	copied.Silent = slices.Collect(maps.Keys(l.silent))
	l.copyCoordinated(&copied, tenant, now)
	l.copyServed(&copied, tenant, now)
	l.mutex.Unlock()
	copied.Silent = firstNames(copied.Silent)
	for index := range copied.Coordinated {
		copied.Coordinated[index].Reporters = firstNames(copied.Coordinated[index].Reporters)
	}
	return copied
}

// firstNames sorts names in place and returns at most snapshotNames of them.
func firstNames(names []string) []string {
	slices.Sort(names)
	return names[:min(len(names), snapshotNames)]
}

// copyCoordinated copies what the accounts hold. The caller holds the mutex.
func (l *Limiter) copyCoordinated(copied *Snapshot, tenant string, now time.Time) {
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
	copied.CoordinatedLeftOut = chosen.leftOut
	copied.Coordinated = make([]CoordinatedTenant, 0, len(chosen.kept))
	for _, one := range chosen.kept {
		entry := l.accounts[one.tenant]
		found := entry.account.view(l.isFirst(one.tenant), now)
		// An account takes a new limit with the next report only.
		found.Tenant, found.Limit, found.AtLimitSince = one.tenant, one.limit, entry.limitedAt
		if tenant != "" {
			found.Reporters = entry.account.reporters(now)
		}
		copied.Coordinated = append(copied.Coordinated, found)
	}
}

// isInUse reports whether nodes report the tenant here. A node that stood in for a coordinator keeps the
// account for a while after that one is back.
func (t *tenantAccount) isInUse(now time.Time) bool {
	return !t.limitedAt.IsZero() || now.Sub(t.account.lastReportAt) <= reportRetention
}

// copyServed copies what the meters hold. The caller holds the mutex.
func (l *Limiter) copyServed(copied *Snapshot, tenant string, now time.Time) {
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
	copied.ServedLeftOut = chosen.leftOut
	copied.Served = make([]ServedTenant, 0, len(chosen.kept))
	for _, one := range chosen.kept {
		copied.Served = append(copied.Served, l.served(one, now))
	}
}

// served returns what is known of one tenant at this node. The caller holds the mutex.
func (l *Limiter) served(one sizedTenant, now time.Time) ServedTenant {
	counted, entry := l.tallies[one.tenant], l.meters[one.tenant]
	if counted == nil {
		counted = &tally{}
	}
	found := ServedTenant{
		Tenant: one.tenant, Limit: one.limit, Admitted: counted.admitted, Refused: make(map[Refusal]uint64), IsIdle: entry == nil,
	}
	for _, reason := range Refusals() {
		if count := counted.refused[reason]; count > 0 {
			found.Refused[reason] = count
		}
	}
	if entry != nil {
		found.Mode, found.Coordinator = entry.meter.mode, l.coordinator(entry.ranked)
		entry.meter.view(&found, now)
	}
	return found
}

// view returns the state of an account at a moment without changing it. Its time does not grow with the
// number of nodes that report, since it is taken under the mutex for every tenant of a snapshot.
func (a *Account) view(isFirst bool, now time.Time) CoordinatedTenant {
	copied := *a
	copied.bucket.settle(now)
	found := CoordinatedTenant{
		IsFirst: isFirst, RequestsPerSecond: a.steadyRate.read(now), Share: copied.share(now), Tokens: copied.bucket.level,
		ReservedPerSecond: a.reservedRate,
	}
	if now.Sub(a.lastReportAt) <= reportRetention {
		found.Reporting = len(a.reports)
	}
	return found
}

// reporters returns the nodes that reported in the last reportRetention.
func (a *Account) reporters(now time.Time) []string {
	names := make([]string, 0, len(a.reports))
	for name, node := range a.reports {
		if now.Sub(node.at) <= reportRetention {
			names = append(names, name)
		}
	}
	return names
}

// view fills in the state of a meter as it is at a moment.
func (m *Meter) view(found *ServedTenant, now time.Time) {
	lately := m.admittedInWindow
	found.AdmittedInWindow = lately.read(now)
	found.Share, found.ShareReceivedAt = m.share, m.verdictAt
	found.IsShareStale = m.share < 1 && now.Sub(m.verdictAt) > maxShareAge
	found.EntitledPerSecond = m.entitlement(now)
}

// largest keeps the tenants with the greatest limits of the configuration in force. Nodes with the same
// configuration leave out the same tenants, so that what they say of the others can be added up.
type largestTenants struct {
	kept    []sizedTenant
	leftOut int
}

// sizedTenant is a tenant with its limit.
type sizedTenant struct {
	tenant string
	limit  route.RateLimit
}

// offer keeps a tenant if it is among the largest.
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

// compareSizes orders the greater limit first, then by name.
func compareSizes(one, other sizedTenant) int {
	return cmp.Or(cmp.Compare(other.limit.PerSecond, one.limit.PerSecond), cmp.Compare(one.tenant, other.tenant))
}
