package loadshed

import (
	"cmp"
	"slices"
)

// Constants for dividing the capacity.
const (
	// guaranteedPart is the part of the common share that each priority and each tenant keeps,
	// however urgent the other requests are: a caller that is served less than a quarter as often
	// as the others takes the service to be down.
	guaranteedPart = 0.25
	// maxHeavyTenants bounds the tenants that have a share of their own in each priority, so that
	// the message to all nodes does not grow with the number of callers. The other tenants share
	// the rest.
	maxHeavyTenants = 8
	// levelIterations is the number of bisection steps for the fair level: 30 leave an error of
	// less than a billionth.
	levelIterations = 30
)

// Demand is the work that the requests of a class need, in server seconds a second.
type Demand struct {
	Class
	Rate float64
}

// Divide divides a capacity, in server seconds a second, among demands. More urgent priorities come
// first. Within a priority, tenants get equal rates up to their demand. No class gets less than
// guaranteedPart of the common share, which is the capacity divided by the sum of the demands.
// Divide sorts demands in place.
func Divide(capacity float64, demands []Demand) Shares {
	total := sum(demands)
	if total <= 0 || capacity >= total {
		return Shares{}
	}
	commonShare := capacity / total
	slices.SortFunc(demands, func(a, b Demand) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.Rate, b.Rate), cmp.Compare(a.Tenant, b.Tenant))
	})
	remaining := capacity * (1 - guaranteedPart)
	var shares Shares
	for start := 0; start < len(demands); {
		end := start
		for end < len(demands) && demands[end].Priority == demands[start].Priority {
			end++
		}
		rank := demands[start:end]
		requested := sum(rank)
		guaranteed := guaranteedPart * commonShare * requested
		granted := min(remaining, requested-guaranteed)
		remaining -= granted
		shares.addRank(rank, guaranteed+granted, guaranteedPart*commonShare)
		start = end
	}
	return shares
}

// addRank divides the capacity of one priority among its tenants, which are sorted by rate. No
// tenant gets less than minShare.
func (s *Shares) addRank(rank []Demand, capacity, minShare float64) {
	level := fairLevel(rank, capacity, minShare)
	heavy := len(rank)
	for heavy > 0 && len(rank)-heavy < maxHeavyTenants && rank[heavy-1].Rate > level && rank[heavy-1].Tenant != "" {
		heavy--
		share := max(minShare, level/rank[heavy].Rate)
		s.Tenants = append(s.Tenants, TenantShare{Class: rank[heavy].Class, Share: share})
		capacity -= share * rank[heavy].Rate
	}
	share := 1.0
	if rest := sum(rank[:heavy]); rest > 0 {
		share = min(1, max(minShare, capacity/rest))
	}
	s.Ranks = append(s.Ranks, RankShare{Priority: rank[0].Priority, Share: share})
}

// fairLevel returns the maximum rate of a tenant with which all tenants together use the capacity.
func fairLevel(rank []Demand, capacity, minShare float64) float64 {
	low, high := 0.0, rank[len(rank)-1].Rate
	for range levelIterations {
		level, allocated := (low+high)/2, 0.0
		for _, each := range rank {
			allocated += max(minShare*each.Rate, min(level, each.Rate))
		}
		if allocated > capacity {
			high = level
		} else {
			low = level
		}
	}
	return low
}

// sum returns the total rate of demands.
func sum(demands []Demand) float64 {
	total := 0.0
	for _, each := range demands {
		total += each.Rate
	}
	return total
}
