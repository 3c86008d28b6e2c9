package topology

import (
	"fmt"

	"github.com/bramblemast/bramblemast/pkg/backend"
	"github.com/bramblemast/bramblemast/pkg/keyspace"
	"github.com/bramblemast/bramblemast/pkg/target"
)

// ServerPlan is one server of a deployment.
type ServerPlan struct {
	// Name is unique in the deployment, for example "resultatside/group1/2".
	Name    string
	Service target.Service
	// Group is empty for a service without groups.
	Group  string
	Zone   target.Zone
	Region target.Region
	// Shards are the parts that the server holds of the first index version.
	Shards []backend.Shard
}

// Plan lists the servers of every service. The servers of a group, and those
// of a service without groups, are spread over the zones in turn.
func (d *Deployment) Plan() []ServerPlan {
	var plans []ServerPlan
	for index := range d.Services {
		plans = append(plans, d.PlanService(&d.Services[index])...)
	}
	return plans
}

// PlanService lists the servers of one service.
func (d *Deployment) PlanService(service *Service) []ServerPlan {
	if service.Servers > 0 {
		return d.planSingle(service)
	}
	return d.planGroups(service)
}

func (d *Deployment) planGroups(service *Service) []ServerPlan {
	var plans []ServerPlan
	zones := d.Zones()
	for group, part := range keyspace.Split(service.Groups) {
		name := fmt.Sprintf("group%d", group)
		for replica := range service.ServersPerGroup {
			zone := zones[(group+replica)%len(zones)]
			plans = append(plans, ServerPlan{
				Name:    fmt.Sprintf("%s/%s/%d", service.Name, name, replica),
				Service: service.Name,
				Group:   name,
				Zone:    zone,
				Region:  d.RegionOf(zone),
				Shards:  []backend.Shard{{Group: name, Range: part}},
			})
		}
	}
	return plans
}

func (d *Deployment) planSingle(service *Service) []ServerPlan {
	var plans []ServerPlan
	zones := d.Zones()
	parts := keyspace.Split(service.Servers)
	for index := range parts {
		zone := zones[index%len(zones)]
		plans = append(plans, ServerPlan{
			Name:    fmt.Sprintf("%s/%d", service.Name, index),
			Service: service.Name,
			Zone:    zone,
			Region:  d.RegionOf(zone),
			Shards:  neighbours(parts, index),
		})
	}
	return plans
}

// neighbours returns the shard of a part and of the one that follows it.
func neighbours(parts []keyspace.Range, index int) []backend.Shard {
	shards := []backend.Shard{partShard(parts, index)}
	if len(parts) > 1 {
		shards = append(shards, partShard(parts, (index+1)%len(parts)))
	}
	return shards
}

func partShard(parts []keyspace.Range, index int) backend.Shard {
	return backend.Shard{Group: fmt.Sprintf("part%d", index), Range: parts[index]}
}

// parts returns the number of parts of the first index version.
func (s *Service) parts() int {
	if s.Servers > 0 {
		return s.Servers
	}
	return s.Groups
}
