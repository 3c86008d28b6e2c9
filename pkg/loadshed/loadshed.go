// Package loadshed decides which requests are admitted while the servers of a service have less
// capacity than is requested of them.
//
// A Meter runs on the node where the requests for a service come together. It measures the work
// that the servers do and the work that is requested of them, and divides the capacity among the
// requests: by priority first, and fairly among tenants within a priority. The results are Shares,
// which are small enough to be sent to all nodes. An Admitter holds the shares that a node has
// received and admits requests by them. All nodes make the same decisions, without a message per
// request.
//
// Results depend only on what was recorded and on the times that are passed in; nothing here opens
// a connection or starts a goroutine. Meters, Admitter and Sampler are safe for concurrent use;
// Meter and Shares are not.
package loadshed

import "math"

// Class is the class of a request for admission.
type Class struct {
	// Priority zero is the most urgent; greater values are less urgent.
	Priority int
	// Tenant is the name of the calling tenant; empty where callers have no keys.
	Tenant string
}

// Key identifies a load: the requests for a service that may use the same of its servers.
type Key struct {
	Service string
	// Regions is the key of the regions to which the requests are bound; empty if they are not
	// bound.
	Regions string
}

// Shares are the parts of the requests for a service that are admitted, by class. The zero value
// admits everything.
type Shares struct {
	// Ranks holds one share per priority, the most urgent first.
	Ranks []RankShare
	// Tenants holds the shares of tenants that request more than their fair part of a priority, at
	// most maxHeavyTenants for each priority.
	Tenants []TenantShare
}

// RankShare is the part of the requests of a priority that is admitted, 0 to 1.
type RankShare struct {
	Priority int     `json:"priority"`
	Share    float64 `json:"share"`
}

// TenantShare is the part of one tenant's requests of a priority that is admitted, 0 to 1.
type TenantShare struct {
	Class
	Share float64
}

// IsFull reports whether everything is admitted.
func (s Shares) IsFull() bool { return len(s.Ranks) == 0 }

// Of returns the share of a class, 0 to 1. A priority without a share of its own gets that of the
// next more urgent one, or 1 if there is none.
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

// differsFrom reports whether the share of any class differs by more than a part of the greater
// share.
func (s Shares) differsFrom(other Shares, part float64) bool {
	return s.hasChangedIn(other, part) || other.hasChangedIn(s, part)
}

// hasChangedIn reports whether a share that is listed in s differs in other by more than a part of
// the greater one.
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

// differs reports whether two shares differ by more than a part of the greater one.
func differs(one, other, part float64) bool { return math.Abs(one-other) > part*max(one, other) }
