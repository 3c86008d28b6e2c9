package route

import (
	"fmt"
	"strings"

	"github.com/pkg/errors"
)

// Validate checks a configuration and returns one error that names every
// field at fault, or nil.
func Validate(configuration *Configuration) error {
	var problems []string
	report := func(format string, values ...any) {
		problems = append(problems, fmt.Sprintf(format, values...))
	}
	for index := range configuration.Routes {
		validateRoute(&configuration.Routes[index], report)
	}
	for _, service := range configuration.Services {
		if service.Name == "" {
			report("a service has no name")
		}
		if service.MaxConnections < 0 {
			report("service %q: connections are negative", service.Name)
		}
		if service.WarmUp < 0 || service.ColdPerSecond < 0 {
			report("service %q: a figure of its warm-up is negative", service.Name)
		}
	}
	validateTenants(configuration.Tenants, report)
	if len(problems) == 0 {
		return nil
	}
	return errors.Errorf("configuration version %d: %s", configuration.Version, strings.Join(problems, "; "))
}

func validateRoute(checked *Route, report func(string, ...any)) {
	name := checked.Name
	if !strings.HasPrefix(checked.Prefix, "/") {
		report("route %q: prefix %q does not begin with a slash", name, checked.Prefix)
	}
	if checked.Gathered() == (len(checked.Backends) > 0) {
		report("route %q: wants either shards or services", name)
	}
	if checked.Gathered() && !checked.Repeatable {
		report("route %q: a gathered route must be repeatable", name)
	}
	if checked.MinimumCoverage < 0 || checked.MinimumCoverage > 1 {
		report("route %q: minimum coverage %v is not between 0 and 1", name, checked.MinimumCoverage)
	}
	if checked.TopRecords < 0 || checked.MaxAttempts < 0 || checked.Timeout < 0 || checked.Target < 0 {
		report("route %q: a number is negative", name)
	}
	total := 0.0
	for _, backend := range checked.Backends {
		if backend.Weight < 0 {
			report("route %q: weight of %q is negative", name, backend.Service)
		}
		total += backend.Weight
	}
	if len(checked.Backends) > 0 && total <= 0 {
		report("route %q: the weights add up to zero", name)
	}
}
