// Package loadshed decides which requests are let in while servers have less room than is
// asked of them.
//
// A Meter measures, where the load of a service comes together, what its servers do and what
// is offered to them, and divides the one among the other: by urgency first, fairly among
// tenants within it. What comes of it are Shares, small enough to be told to all nodes. A
// Board holds the shares that a node was told and lets requests in by them, alike on all
// nodes and without a message for each.
//
// Everything here is a function of what was noted and of a moment that is passed in; nothing
// opens a connection or starts a goroutine. Meters and Board are safe for concurrent use, a
// Meter and Shares are not.
package loadshed

import "math"

// Class is what a request is judged by.
type Class struct {
	// Priority ranks it; zero is the most urgent.
	Priority int
	// Tenant is the name of the caller; empty where callers have no keys.
	Tenant string
}

// Key names the load on the servers of a service that some requests may use.
type Key struct {
	Service string
	// Regions is the key of the regions to which the requests are bound; empty for none.
	Regions string
}

// Shares tells which part of the requests a service can take, by class. The zero value lets
// everything in.
type Shares struct {
	// Ranks are ordered from the most urgent.
	Ranks []RankShare
	// Tenants are those that ask more than their fair part of their rank, at most
	// maxHeavyTenants for each rank.
	Tenants []TenantShare
}

// RankShare is the part of the requests of a priority that is let in.
type RankShare struct {
	Priority int     `json:"priority"`
	Share    float64 `json:"share"`
}

// TenantShare is the part of one tenant's requests of a priority that is let in.
type TenantShare struct {
	Class
	Share float64
}

// IsFull reports whether everything is let in.
func (s Shares) IsFull() bool { return len(s.Ranks) == 0 }

// Of returns the share of a class, 0 to 1. A priority that was not seen gets that of the
// next more urgent one, and all if there is none.
func (s Shares) Of(class Class) float64 {
	for _, heavy := range s.Tenants {
		if heavy.Class == class {
			return heavy.Share
		}
	}
	share := 1.0
	for _, rank := range s.Ranks {
		if rank.Priority > class.Priority {
			break
		}
		share = rank.Share
	}
	return share
}

// differsFrom reports whether a share of any class has changed by more than a part of it.
func (s Shares) differsFrom(other Shares, part float64) bool {
	return s.hasChangedIn(other, part) || other.hasChangedIn(s, part)
}

// hasChangedIn reports whether a share that is listed here has changed in other.
func (s Shares) hasChangedIn(other Shares, part float64) bool {
	for _, rank := range s.Ranks {
		if differs(rank.Share, other.Of(Class{Priority: rank.Priority}), part) {
			return true
		}
	}
	for _, heavy := range s.Tenants {
		if differs(heavy.Share, other.Of(heavy.Class), part) {
			return true
		}
	}
	return false
}

// hasChangedIn reports whether two shares differ by more than a part of the greater one.
func differs(one, other, part float64) bool { return math.Abs(one-other) > part*max(one, other) }
