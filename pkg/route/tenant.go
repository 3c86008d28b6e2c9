package route

import (
	"cmp"
	"slices"
	"strings"
)

// Tenant is a caller with keys of its own, a limit over all nodes, and bounds on where its
// requests may be served.
type Tenant struct {
	Name string
	// Keys are the credentials by which a request is known to be the tenant's.
	Keys []string
	// Priority ranks the tenant's requests in place of their route's, if HasPriority is
	// set; zero is the highest.
	Priority    int
	HasPriority bool
	Limit       RateLimit
	// Regions are those in which its requests may be served, beside those of the route.
	Regions Regions
}

// RateLimit bounds the requests of a tenant over all nodes together. The zero value is no
// limit.
type RateLimit struct {
	// PerSecond is the sustained rate, in requests a second; zero for no limit.
	PerSecond float64
	// Burst is the number of requests beyond that rate that may come at once.
	Burst float64
}

// IsBound reports whether there is a limit.
func (l RateLimit) IsBound() bool { return l.PerSecond > 0 }

// HasTenants reports whether requests of routes that are not public need a key.
func (t *Table) HasTenants() bool { return len(t.tenants) > 0 }

// TenantOf returns the tenant that holds a key, or nil.
func (t *Table) TenantOf(key string) *Tenant { return t.byKey[key] }

// Tenant returns a tenant by its name, or nil.
func (t *Table) Tenant(name string) *Tenant { return t.tenants[name] }

// LargestTenants returns at most count tenants, those with the greatest rates, the greatest first.
// Tenants without a limit are left out.
func (t *Table) LargestTenants(count int) []*Tenant {
	var bound []*Tenant
	for _, tenant := range t.tenants {
		if tenant.Limit.IsBound() {
			bound = append(bound, tenant)
		}
	}
	slices.SortFunc(bound, func(a, b *Tenant) int {
		return cmp.Or(cmp.Compare(b.Limit.PerSecond, a.Limit.PerSecond), cmp.Compare(a.Name, b.Name))
	})
	return bound[:min(count, len(bound))]
}

// PriorityOf returns the rank of a tenant's requests on a route; tenant may be nil.
func PriorityOf(found *Route, tenant *Tenant) int {
	if tenant != nil && tenant.HasPriority {
		return tenant.Priority
	}
	return found.Priority
}

// RegionsFor returns the regions in which a tenant's requests on a route may be served;
// tenant may be nil.
func RegionsFor(found *Route, tenant *Tenant) Regions {
	if tenant == nil {
		return found.Regions
	}
	return found.Regions.And(tenant.Regions)
}

// indexTenants fills the look-ups of a table by name and by key.
func (t *Table) indexTenants(tenants []Tenant) {
	t.tenants = make(map[string]*Tenant, len(tenants))
	t.byKey = make(map[string]*Tenant, len(tenants))
	for index := range tenants {
		tenant := &tenants[index]
		t.tenants[tenant.Name] = tenant
		for _, key := range tenant.Keys {
			t.byKey[key] = tenant
		}
	}
}

// validateTenants reports the faults of the tenants. Keys are secrets and not part of any report.
func validateTenants(tenants []Tenant, report func(string, ...any)) {
	names, holders := make(map[string]bool, len(tenants)), make(map[string]string, len(tenants))
	for _, tenant := range tenants {
		if !fitsHeader(tenant.Name) {
			report("tenant %q: not a name that fits a header", tenant.Name)
		}
		if names[tenant.Name] {
			report("tenant %q: named twice", tenant.Name)
		}
		names[tenant.Name] = true
		if tenant.Limit.PerSecond < 0 || tenant.Limit.Burst < 0 {
			report("tenant %q: a figure of its limit is negative", tenant.Name)
		}
		for _, key := range tenant.Keys {
			holder, isHeld := holders[key]
			switch {
			case key == "":
				report("tenant %q: a key is empty", tenant.Name)
			case !fitsHeader(key):
				report("tenant %q: a key does not fit a header, so no request can carry it", tenant.Name)
			case isHeld && holder != tenant.Name:
				report("tenant %q: holds a key of tenant %q", tenant.Name, holder)
			}
			holders[key] = tenant.Name
		}
	}
}

// fitsHeader reports whether a text arrives as it is when it is sent as the value of a
// header (RFC 9110, section 5.5): blanks around it would be cut off, and control characters
// could end the header.
func fitsHeader(text string) bool {
	isControl := func(each rune) bool { return each < ' ' || each == 0x7f }
	return text != "" && strings.TrimSpace(text) == text && !strings.ContainsFunc(text, isControl)
}
