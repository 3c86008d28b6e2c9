// Package route holds the routing configuration of a deployment: which
// requests are served, by which services, and within which bounds.
//
// A Configuration and its Table are immutable once built, so that a request
// pins one version for its whole life.
package route

import (
	"time"
)

// Weighted is one service of a route with its share of the requests.
type Weighted struct {
	Service string
	Weight  float64
}

// Route is one kind of request.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Repeatable says that a request may run more than once.
	Repeatable bool
	// Timeout is the longest that a request may be held; zero for no bound.
	Timeout time.Duration
	// Target is the time within which an answer has its full value; zero if
	// none is set.
	Target time.Duration
	// Priority ranks the route; zero is the highest.
	Priority int
	// MaxAttempts is the largest number of servers that may run one request;
	// for a gathered route it counts for each shard.
	MaxAttempts int
	// Shards are the services of a gathered route; empty for other routes.
	Shards []string
	// Backends are the services of a route that is not gathered.
	Backends []Weighted
	// TopRecords is the number of records in a gathered answer.
	TopRecords int
	// MinimumCoverage is the share of the shards below which a gathered answer
	// is not a success; 0 to 1.
	MinimumCoverage float64
	// Regions are those in which its requests may be served.
	Regions Regions
	// Public says that its requests need no key.
	Public bool
}

// Gathered reports whether the route's answers are merged from shards.
func (r *Route) Gathered() bool { return len(r.Shards) > 0 }

// RequiredShards returns the smallest number of shards in a successful answer.
func (r *Route) RequiredShards() int {
	const rounding = 1e-9
	exact := r.MinimumCoverage*float64(len(r.Shards)) - rounding
	required := int(exact)
	if float64(required) < exact {
		required++
	}
	return max(1, required)
}

// Service is a group of servers that answer alike.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is the number of connections that one server accepts from
	// all callers together; zero for no bound.
	MaxConnections int
	// WarmUp is how long a server usually needs to warm up after a start, and ColdPerSecond
	// how many requests a second it bears until then; zero for no bound.
	WarmUp        time.Duration
	ColdPerSecond float64
}

// Limits bound what a client may send and for how long a connection may rest.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Configuration is one version of the routing configuration.
type Configuration struct {
	Version  uint64
	Routes   []Route
	Services []Service
	// Tenants are the callers with keys; without any, requests need none.
	Tenants []Tenant
	Limits  Limits
}
