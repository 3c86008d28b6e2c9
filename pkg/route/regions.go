package route

import (
	"slices"
	"strings"
)

// Regions are the regions in which a request may be served, and to whose nodes its
// body may be sent on. The zero value allows every region. It is immutable.
type Regions struct {
	isBound bool
	names   []string
}

// OnlyRegions returns the bound to some regions. An empty list is no bound.
func OnlyRegions(names []string) Regions {
	if len(names) == 0 {
		return Regions{}
	}
	sorted := slices.Clone(names)
	slices.Sort(sorted)
	return Regions{isBound: true, names: slices.Compact(sorted)}
}

// And returns the bound to the regions that both allow; it allows no region if they have none in
// common.
func (r Regions) And(other Regions) Regions {
	switch {
	case !other.isBound:
		return r
	case !r.isBound:
		return other
	}
	both := Regions{isBound: true}
	for _, name := range r.names {
		if other.Allow(name) {
			both.names = append(both.names, name)
		}
	}
	return both
}

// IsBound reports whether some region is not allowed.
func (r Regions) IsBound() bool { return r.isBound }

// Names returns the allowed regions in order; nil without a bound. The caller does not
// change them.
func (r Regions) Names() []string { return r.names }

// Allow reports whether a request may be served in a region. A place without a known
// region is in none, so that a bound request never goes there.
func (r Regions) Allow(region string) bool {
	if !r.isBound {
		return true
	}
	_, found := slices.BinarySearch(r.names, region)
	return found && region != ""
}

// Key returns a text that is alike for equal bounds; empty without one.
func (r Regions) Key() string {
	switch {
	case !r.isBound:
		return ""
	case len(r.names) == 0:
		return noRegion
	}
	return strings.Join(r.names, ",")
}

// noRegion is the key of a bound that allows no region.
const noRegion = "-"
