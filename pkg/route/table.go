package route

import (
	"net"
	"slices"
	"strings"
)

// Table finds the route of a request in one version of the configuration. It
// is immutable and safe for concurrent use.
type Table struct {
	Version  uint64
	Limits   Limits
	byHost   map[string][]*Route
	services map[string]*Service
	// tenants are by name, byKey by each of their keys.
	tenants, byKey map[string]*Tenant
}

// NewTable indexes a configuration that Validate has accepted.
func NewTable(configuration *Configuration) *Table {
	table := &Table{
		Version:  configuration.Version,
		Limits:   configuration.Limits,
		byHost:   make(map[string][]*Route),
		services: make(map[string]*Service, len(configuration.Services)),
	}
	for index := range configuration.Routes {
		found := &configuration.Routes[index]
		host := strings.ToLower(found.Host)
		table.byHost[host] = append(table.byHost[host], found)
	}
	for _, routes := range table.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for index := range configuration.Services {
		service := &configuration.Services[index]
		table.services[service.Name] = service
	}
	table.indexTenants(configuration.Tenants)
	return table
}

// Match returns the route of the host whose prefix is the longest that begins
// the path, or nil. The host may carry a port.
func (t *Table) Match(host, path string) *Route {
	routes, found := t.byHost[strings.ToLower(host)]
	if !found {
		routes = t.byHost[strings.ToLower(withoutPort(host))]
	}
	for _, candidate := range routes {
		if strings.HasPrefix(path, candidate.Prefix) {
			return candidate
		}
	}
	return nil
}

// RegionsOf returns where a request of a host and target (a path, with its query if it has
// one) may be served by this version. tenant is the name of its caller, empty for none, and
// otherwise holds the regions that the request began with: they are returned if no route of
// this version matches it, and bound it beside those of the route if this version lacks the
// tenant.
func (t *Table) RegionsOf(host, target, tenant string, otherwise Regions) Regions {
	path, _, _ := strings.Cut(target, "?")
	found := t.Match(host, path)
	switch known := t.tenants[tenant]; {
	case found == nil:
		return otherwise
	case known == nil && tenant != "":
		return found.Regions.And(otherwise)
	default:
		return RegionsFor(found, known)
	}
}

// Service returns a service by name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

func withoutPort(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}
