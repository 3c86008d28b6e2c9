// Package topology describes a deployment that the lab emulates: its regions,
// zones and services, what every server holds, and the latencies between them.
//
// A Deployment is plain data that is read from YAML or made by Preset. Plan
// works it out to one ServerPlan for each server. Nothing in this package
// starts anything; values are immutable by convention once they are checked.
package topology

import (
	"os"

	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/pkg/policy"
	"github.com/bramblemast/bramblemast/pkg/target"
)

// Duration is a duration that is written as text, for example "12ms".
type Duration = policy.Duration

// Deployment is one installation: its places, services and latencies.
type Deployment struct {
	Name string `yaml:"name"`
	// Seed determines the contents of the indexes and every random choice.
	Seed     uint64    `yaml:"seed"`
	Regions  []Region  `yaml:"regions"`
	Latency  Latency   `yaml:"latency"`
	Services []Service `yaml:"services"`
}

// Region is a group of zones that are near each other.
type Region struct {
	Name  target.Region `yaml:"name"`
	Zones []target.Zone `yaml:"zones"`
}

// Latency holds one-way delays, and the cost of a new connection.
type Latency struct {
	BetweenZones   Duration `yaml:"between_zones"`
	BetweenRegions Duration `yaml:"between_regions"`
	ToClients      Duration `yaml:"to_clients"`
	NewConnection  Duration `yaml:"new_connection"`
}

// Service is one back-end service. Either Groups and ServersPerGroup are set,
// and every server of a group holds the same part of the index; or Servers is
// set, and server i holds parts i and i+1 of as many parts as servers.
type Service struct {
	Name            target.Service `yaml:"name"`
	Groups          int            `yaml:"groups,omitempty"`
	ServersPerGroup int            `yaml:"servers_per_group,omitempty"`
	Servers         int            `yaml:"servers,omitempty"`

	// Slots is the number of requests that a server executes at once,
	// Queue the number that may wait, Connections the number of connections.
	Slots       int `yaml:"slots"`
	Queue       int `yaml:"queue"`
	Connections int `yaml:"connections"`

	// Records is the number of records in the index, Retention the number of
	// index versions that are kept.
	Records   int `yaml:"records"`
	Retention int `yaml:"retention"`

	ServiceTime ServiceTime `yaml:"service_time"`
	ColdStart   ColdStart   `yaml:"cold_start"`
	// DrainGrace is how long a draining server still takes new work.
	DrainGrace Duration `yaml:"drain_grace"`
}

// ServiceTime is the distribution of the time that a server takes to execute
// one request: log-normal around Median, with rare stragglers.
type ServiceTime struct {
	Median Duration `yaml:"median"`
	// Spread is the standard deviation of the logarithm; zero for a constant.
	Spread float64 `yaml:"spread"`
	// StragglerShare is the share, 0 to 1, of executions that take
	// StragglerFactor times as long.
	StragglerShare  float64 `yaml:"straggler_share"`
	StragglerFactor float64 `yaml:"straggler_factor"`
}

// ColdStart describes the time after a start of a server.
type ColdStart struct {
	// NotReady is how long the status says that the server is not ready.
	NotReady Duration `yaml:"not_ready"`
	// Slow is how long executions take Factor times as long.
	Slow   Duration `yaml:"slow"`
	Factor float64  `yaml:"factor"`
}

// Service returns the service of that name, or nil.
func (d *Deployment) Service(name target.Service) *Service {
	for index := range d.Services {
		if d.Services[index].Name == name {
			return &d.Services[index]
		}
	}
	return nil
}

// Zones returns all zones in the order of their regions.
func (d *Deployment) Zones() []target.Zone {
	var zones []target.Zone
	for _, region := range d.Regions {
		zones = append(zones, region.Zones...)
	}
	return zones
}

// RegionOf returns the region of a zone; empty if the zone is unknown.
func (d *Deployment) RegionOf(zone target.Zone) target.Region {
	for _, region := range d.Regions {
		for _, candidate := range region.Zones {
			if candidate == zone {
				return region.Name
			}
		}
	}
	return ""
}

// OneWay returns the delay from one zone to another.
func (d *Deployment) OneWay(from, to target.Zone) Duration {
	switch {
	case from == to:
		return 0
	case d.RegionOf(from) == d.RegionOf(to):
		return d.Latency.BetweenZones
	default:
		return d.Latency.BetweenRegions
	}
}

// Load reads a deployment from a YAML file and checks it.
func Load(path string) (*Deployment, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read deployment")
	}
	var deployment Deployment
	if err := yaml.UnmarshalWithOptions(content, &deployment, yaml.Strict()); err != nil {
		return nil, errors.Wrapf(err, "parse deployment %s", path)
	}
	if err := deployment.Check(); err != nil {
		return nil, errors.Wrapf(err, "check deployment %s", path)
	}
	return &deployment, nil
}
