package fleet

import "slices"

// Generation changes whenever Places may have.
func (f *Fleet) Generation() uint64 {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.generation
}

// Places counts, for each zone, how many of the services have a server there that
// is listed and stays.
func (f *Fleet) Places(services []string) map[string]int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	counts := make(map[string]int)
	for _, service := range services {
		var zones []string
		for _, each := range f.services[service] {
			if each.listed && !each.Draining && !slices.Contains(zones, each.Zone) {
				zones = append(zones, each.Zone)
				counts[each.Zone]++
			}
		}
	}
	return counts
}

// Knows reports whether each of the services has a listed server.
func (f *Fleet) Knows(services []string) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, service := range services {
		if !slices.ContainsFunc(f.services[service], func(each *member) bool { return each.listed }) {
			return false
		}
	}
	return true
}

// IsCrowded reports whether there are more nodes than a server of a service can
// keep a connection for: each node alone then opens connections again and again,
// and sees too little of a server to know how it fares.
func (f *Fleet) IsCrowded(service string) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.crowds(float64(f.connections[service]))
}
