package ctl

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/bramblemast/bramblemast/api/limits"
)

// tenantSum is a tenant's limit and its use over all nodes that answered.
type tenantSum struct {
	Tenant string `json:"tenant"`
	limits.Limit
	// LimitsDiffer says that nodes know different limits; that of the newest configuration is told.
	LimitsDiffer bool `json:"limits_differ"`
	// AskedPerSecond is the rate of requests that nodes reported to coordinators; left out if no
	// coordinator that answered knows the tenant and some node did not answer.
	AskedPerSecond    *float64 `json:"asked_per_s,omitempty"`
	AdmittedPerSecond float64  `json:"admitted_per_s"`
	// Coordinator is the tenant's first coordinator, Share and Level what it holds; left out if it
	// did not answer or nobody asks.
	Coordinator       string     `json:"coordinator,omitempty"`
	Share             *float64   `json:"share,omitempty"`
	Level             *float64   `json:"level,omitempty"`
	KeptBackPerSecond float64    `json:"kept_back_per_s"`
	AtLimitSince      *time.Time `json:"at_limit_since,omitempty"`
	// Admitted and Refused count requests since the start of each node, RefusedBy by reason.
	Admitted  int64             `json:"admitted"`
	Refused   uint64            `json:"refused"`
	RefusedBy map[string]uint64 `json:"refused_by"`
}

// tenantDetail is a tenantSum with what each node said.
type tenantDetail struct {
	tenantSum
	Coordinators []coordinatorOfTenant `json:"coordinators"`
	Zones        []zoneOfTenant        `json:"zones"`
	Nodes        []nodeOfTenant        `json:"nodes"`
	// version is that of the configuration from which the limit is.
	version uint64
}

// coordinatorOfTenant is what one coordinator said.
type coordinatorOfTenant struct {
	Node string `json:"node"`
	Zone string `json:"zone"`
	limits.Coordinated
}

// nodeOfTenant is what one node said.
type nodeOfTenant struct {
	Node         string    `json:"node"`
	Zone         string    `json:"zone"`
	CountedSince time.Time `json:"counted_since"`
	limits.Served
}

// zoneOfTenant is what the nodes of a zone add up to.
type zoneOfTenant struct {
	Zone              string  `json:"zone"`
	Nodes             int     `json:"nodes"`
	EntitledPerSecond float64 `json:"entitled_per_s"`
	AdmittedPerSecond float64 `json:"admitted_per_s"`
	Admitted          int64   `json:"admitted"`
	Refused           uint64  `json:"refused"`
}

// details adds up what nodes said, the greatest limits first. Tenants that may be missing in the bounded
// list of some node are left out, since their sums would be a part only. The second result is the least
// number of those.
func (a *limitAnswers) details() ([]*tenantDetail, int) {
	byName := make(map[string]*tenantDetail)
	of := func(name string) *tenantDetail {
		if byName[name] == nil {
			byName[name] = &tenantDetail{
				tenantSum:    tenantSum{Tenant: name, RefusedBy: make(map[string]uint64)},
				Coordinators: []coordinatorOfTenant{}, Zones: []zoneOfTenant{}, Nodes: []nodeOfTenant{},
			}
		}
		return byName[name]
	}
	for _, node := range a.nodes {
		for _, coordinated := range node.Coordinated {
			of(coordinated.Tenant).addCoordinator(node, coordinated)
		}
		for _, served := range node.Served {
			of(served.Tenant).addNode(node, served)
		}
	}
	list := slices.Collect(maps.Values(byName))
	slices.SortFunc(list, func(one, other *tenantDetail) int {
		return compareLimits(one.Limit, one.Tenant, other.Limit, other.Tenant)
	})
	whole := a.wholeTenants(list)
	return list[:whole], max(len(list)-whole, a.leftOut())
}

// compareLimits orders the greater limit first, then by name: the order in which nodes fill their
// lists, on which wholeTenants relies.
func compareLimits(one limits.Limit, oneName string, other limits.Limit, otherName string) int {
	return cmp.Or(cmp.Compare(other.PerSecond, one.PerSecond), cmp.Compare(oneName, otherName))
}

// wholeTenants returns the number of tenants of a sorted list that no node has left out: those not beyond
// the last one in any list that a node has cut off.
func (a *limitAnswers) wholeTenants(list []*tenantDetail) int {
	whole := len(list)
	bound := func(limit limits.Limit, name string) {
		for whole > 0 && compareLimits(list[whole-1].Limit, list[whole-1].Tenant, limit, name) > 0 {
			whole--
		}
	}
	for _, node := range a.nodes {
		if last := len(node.Served) - 1; node.ServedLeftOut > 0 && last >= 0 {
			bound(node.Served[last].Limit, node.Served[last].Tenant)
		}
		if last := len(node.Coordinated) - 1; node.CoordinatedLeftOut > 0 && last >= 0 {
			bound(node.Coordinated[last].Limit, node.Coordinated[last].Tenant)
		}
	}
	return whole
}

// leftOut returns the greatest number of tenants that one node left out.
func (a *limitAnswers) leftOut() int {
	most := 0
	for _, node := range a.nodes {
		most = max(most, node.ServedLeftOut, node.CoordinatedLeftOut)
	}
	return most
}

// addCoordinator adds what a coordinator said. If two take themselves for the first one, as while
// lists of nodes differ, the sum shows the one that more requests were reported to.
func (d *tenantDetail) addCoordinator(node *limits.Node, said limits.Coordinated) {
	d.noteLimit(node, said.Limit)
	asked := said.AskedPerSecond
	isBusiest := true
	for _, other := range d.Coordinators {
		isBusiest = isBusiest && !(other.First && other.AskedPerSecond > said.AskedPerSecond)
	}
	if d.AskedPerSecond != nil {
		asked += *d.AskedPerSecond
	}
	d.AskedPerSecond = &asked
	if said.First && isBusiest {
		d.Coordinator, d.Share, d.Level = node.Node, &said.Share, &said.Level
		d.KeptBackPerSecond, d.AtLimitSince = said.KeptBackPerSecond, said.AtLimitSince
	}
	d.Coordinators = append(d.Coordinators, coordinatorOfTenant{Node: node.Node, Zone: node.Zone, Coordinated: said})
}

// addNode adds what a node said of the requests that came to it. Nodes come sorted by zone.
func (d *tenantDetail) addNode(node *limits.Node, said limits.Served) {
	d.noteLimit(node, said.Limit)
	refused := uint64(0)
	for reason, count := range said.Refused {
		d.RefusedBy[reason] += count
		refused += count
	}
	d.AdmittedPerSecond += said.AdmittedPerSecond
	d.Admitted += said.Admitted
	d.Refused += refused
	if last := len(d.Zones) - 1; last < 0 || d.Zones[last].Zone != node.Zone {
		d.Zones = append(d.Zones, zoneOfTenant{Zone: node.Zone})
	}
	zone := &d.Zones[len(d.Zones)-1]
	zone.Nodes++
	zone.EntitledPerSecond += said.EntitledPerSecond
	zone.AdmittedPerSecond += said.AdmittedPerSecond
	zone.Admitted += said.Admitted
	zone.Refused += refused
	d.Nodes = append(d.Nodes, nodeOfTenant{Node: node.Node, Zone: node.Zone, CountedSince: node.CountedSince, Served: said})
}

// noteLimit takes the limit that a node knows; it is called before what the node said is added.
func (d *tenantDetail) noteLimit(node *limits.Node, limit limits.Limit) {
	isFirst := len(d.Coordinators) == 0 && len(d.Nodes) == 0
	d.LimitsDiffer = d.LimitsDiffer || !isFirst && limit != d.Limit
	if isFirst || node.ConfigurationVersion > d.version {
		d.Limit, d.version = limit, node.ConfigurationVersion
	}
}

// settle sets the rate of requests to zero if all nodes answered and none coordinates the tenant;
// otherwise a rate that is not known stays out.
func (d *tenantDetail) settle(status *limitStatus) {
	if d.AskedPerSecond == nil && status.isComplete() {
		d.AskedPerSecond = new(float64)
	}
}
