package catalog

import (
	"time"

	"github.com/bramblemast/bramblemast/pkg/rendezvous"
	"github.com/bramblemast/bramblemast/pkg/target"
)

// ServerReport is what a node knows about one server, for operators.
type ServerReport struct {
	Server  target.ServerID `json:"server"`
	Service target.Service  `json:"service"`
	Group   string          `json:"group,omitempty"`
	Zone    target.Zone     `json:"zone"`
	State   string          `json:"state"`
	// Cause is the reason why the state is not active, or why the server would be ejected if enough
	// other replicas were left.
	Cause      Cause   `json:"cause,omitempty"`
	Weight     float64 `json:"weight"`
	Instance   string  `json:"instance,omitempty"`
	Generation uint64  `json:"generation,omitempty"`
	Listed     bool    `json:"listed"`
	// OperatorDrained and OperatorAuthor are the operators' mark.
	OperatorDrained bool   `json:"operator_drained,omitempty"`
	OperatorAuthor  string `json:"operator_author,omitempty"`
	// ProbeFailures is the number of this node's failed probes since the last successful one.
	ProbeFailures int `json:"probe_failures,omitempty"`
	// EjectedUntil is zero if the server is not ejected for failures.
	EjectedUntil  time.Time      `json:"ejected_until,omitzero"`
	NewestVersion target.Version `json:"newest_version,omitempty"`
	Slots         int            `json:"slots,omitempty"`
	Connections   int            `json:"connections,omitempty"`
	// ReportedLoad is negative if unknown.
	ReportedLoad float64 `json:"reported_load"`
}

// Reports returns a report on every server of the machine list, sorted by service and server.
// Servers that are gone are included until their records are deleted.
func (c *Catalog) Reports() []ServerReport {
	var reports []ServerReport
	for _, service := range c.Services() {
		c.View(service)
		reports = c.appendReports(reports, service)
	}
	return reports
}

func (c *Catalog) appendReports(reports []ServerReport, service target.Service) []ServerReport {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	state := (*c.services.Load())[service]
	now := c.options.Now()
	for _, r := range state.sortedMembers() {
		reports = append(reports, c.report(r, now))
	}
	return reports
}

func (c *Catalog) report(r *record, now time.Time) ServerReport {
	report := ServerReport{
		Server:          r.server,
		Service:         r.listing.Service,
		Group:           r.listing.Group,
		Zone:            r.listing.Zone,
		State:           r.state.String(),
		Cause:           r.cause,
		Weight:          r.weight(now, c.options.WarmUp),
		Listed:          r.listing.listed,
		OperatorDrained: r.facts.operator.Drained,
		OperatorAuthor:  r.facts.operator.Author,
		ProbeFailures:   r.probe.failures,
		ReportedLoad:    r.results.getLoad(),
	}
	if r.outlier.ejected(now) {
		report.EjectedUntil = r.outlier.until
	}
	current := r.facts.current()
	if current == nil {
		return report
	}
	report.Instance = current.ID
	report.Generation = current.Generation
	if current.Contents != nil {
		report.NewestVersion = current.Contents.newestVersion()
		report.Slots = current.Contents.Slots
		report.Connections = current.Contents.Connections
	}
	return report
}

// Membership returns a number that changes whenever the set of servers changes.
func (c *Catalog) Membership() uint64 { return c.membership.Load() }

// Parts returns the parts of the newest version of every service with the servers that hold them
// and are not gone, as input for rendezvous.ChooseSubset. For a server with unknown contents, its
// whole group counts as one part.
func (c *Catalog) Parts() []rendezvous.Part {
	var parts []rendezvous.Part
	for _, service := range c.Services() {
		c.mutex.Lock()
		state := (*c.services.Load())[service]
		parts = c.appendParts(parts, state)
		c.mutex.Unlock()
	}
	return parts
}

func (c *Catalog) appendParts(parts []rendezvous.Part, state *serviceState) []rendezvous.Part {
	now := c.options.Now()
	positions := make(map[string]int)
	for _, r := range state.sortedMembers() {
		if r.gone(now, &c.options) {
			continue
		}
		replica := rendezvous.Replica{
			Server:   r.server,
			Distance: r.listing.distance(c.options.Zone, c.options.Region),
		}
		if current := r.facts.current(); current != nil && current.Contents != nil {
			replica.Connections = current.Contents.Connections
		}
		for _, shard := range r.parts() {
			key := string(state.service) + "/" + shard.Group + "/" + shard.Range.String()
			position, known := positions[key]
			if !known {
				position = len(parts)
				positions[key] = position
				parts = append(parts, rendezvous.Part{Key: key})
			}
			parts[position].Replicas = append(parts[position].Replicas, replica)
		}
	}
	return parts
}
