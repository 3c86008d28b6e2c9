package topology

import (
	"fmt"
	"strings"

	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/pkg/keyspace"
)

// Check reports every error of the deployment at once, each with the path of
// its field.
func (d *Deployment) Check() error {
	var found problems
	found.require(d.Name != "", "name", "must be set")
	found.require(len(d.Zones()) > 0, "regions", "must hold at least one zone")
	found.require(len(d.Services) > 0, "services", "must not be empty")
	for index := range d.Services {
		d.Services[index].check(fmt.Sprintf("services[%d]", index), &found)
	}
	return found.err()
}

func (s *Service) check(path string, found *problems) {
	grouped := s.Groups > 0 && s.ServersPerGroup > 0 && s.Servers == 0
	single := s.Groups == 0 && s.ServersPerGroup == 0 && s.Servers > 0
	found.require(s.Name != "", path+".name", "must be set")
	found.require(grouped || single, path, "needs groups with servers_per_group, or servers")
	found.require(s.parts() <= int(keyspace.Size), path, "has more parts than the key space has positions")
	found.require(s.Slots > 0, path+".slots", "must be positive")
	found.require(s.Queue >= 0, path+".queue", "must not be negative")
	found.require(s.Connections > 0, path+".connections", "must be positive")
	found.require(s.Records > 0, path+".records", "must be positive")
	found.require(s.Retention > 0, path+".retention", "must be positive")
	found.require(s.ServiceTime.Median >= 0, path+".service_time.median", "must not be negative")
	found.require(isShare(s.ServiceTime.StragglerShare), path+".service_time.straggler_share", "must be between 0 and 1")
}

func isShare(value float64) bool { return value >= 0 && value <= 1 }

// problems collects the errors of a document.
type problems []string

func (p *problems) require(satisfied bool, path, message string) {
	if !satisfied {
		*p = append(*p, path+": "+message)
	}
}

func (p problems) err() error {
	if len(p) == 0 {
		return nil
	}
	return errors.New(strings.Join(p, "; "))
}
