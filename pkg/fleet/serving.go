package fleet

import (
	"slices"
	"time"

	"github.com/bramblemast/bramblemast/pkg/route"
)

// Generation changes whenever the result of ServingZones may have changed.
func (f *Fleet) Generation() uint64 {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.generation
}

// ServingZones returns the zones in which a service has listed servers that are not draining,
// without zones under evacuation.
func (f *Fleet) ServingZones(service string) []string {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var zones []string
	for _, each := range f.services[service] {
		if _, isEvacuated := f.evacuations[each.Zone]; isEvacuated {
			continue
		}
		if each.listed && !each.Draining && !slices.Contains(zones, each.Zone) {
			zones = append(zones, each.Zone)
		}
	}
	return zones
}

// HasServersFor reports whether each of the services has a listed server.
func (f *Fleet) HasServersFor(services []string) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, service := range services {
		if !slices.ContainsFunc(f.services[service], func(each *member) bool { return each.listed }) {
			return false
		}
	}
	return true
}

// CountServable returns how many of the services have a server that may be used in the regions. A
// service without any known server counts as servable, since starting servers are listed soon.
func (f *Fleet) CountServable(services []string, regions route.Regions, now time.Time) int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	count := 0
	for _, service := range services {
		if f.isServable(service, regions, now) {
			count++
		}
	}
	return count
}

// isServable reports whether CountServable counts a service. The mutex is held.
func (f *Fleet) isServable(service string, regions route.Regions, now time.Time) bool {
	isKnown := false
	for _, each := range f.services[service] {
		if each.hasEnded(now) {
			continue
		}
		if !f.isWithdrawn(each, now) && f.isAllowed(regions, each) {
			return true
		}
		isKnown = true
	}
	return !isKnown
}

// CountReachable returns how many servers of a service may be used in the regions (all), and how
// many of them seem to be reachable (reachable): those whose process is not in crashed and whose
// last connection attempt did not fail.
func (f *Fleet) CountReachable(
	service string, regions route.Regions, crashed []Incarnation, now time.Time,
) (reachable, all int) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, each := range f.services[service] {
		if each.hasEnded(now) || f.isWithdrawn(each, now) || !f.isAllowed(regions, each) {
			continue
		}
		all++
		if !each.unreachable && !slices.Contains(crashed, each.Incarnation()) {
			reachable++
		}
	}
	return reachable, all
}

// HasScarceConnections reports whether there are more nodes than a server of a service can keep a
// connection for. A node that sends requests to it directly then has to open new connections again
// and again, and sees too few requests of a server to judge its state.
func (f *Fleet) HasScarceConnections(service string) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.areConnectionsScarce(float64(f.connections[service]))
}
