package loadshed

import (
	"cmp"
	"slices"
)

// Constants of the division.
const (
	// guaranteedPart of the rate at which all requests are served is what each kind and each
	// tenant keeps, however urgent the others are: a caller that is served under a quarter
	// as often as the others takes the service for down.
	guaranteedPart = 0.25
	// maxHeavyTenants bounds the tenants that are told apart for each rank, so that what is
	// told does not grow with the number of callers. The others share what is left.
	maxHeavyTenants = 8
	// levelIterations halve the uncertainty of the fair level; 30 leave less than a billionth.
	levelIterations = 30
)

// Demand is the work a second that the requests of a class ask for.
type Demand struct {
	Class
	Rate float64
}

// Divide divides the work a second that servers can do among what is asked of them. More
// urgent ranks come first, within a rank tenants get equal rates as far as they ask for them,
// and nobody gets less than guaranteedPart of the common share. demands is sorted by it.
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

// add divides the capacity of one rank among its tenants, which are sorted by their rates.
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

// fairLevel returns the rate that each tenant gets at most, so that all together get the
// capacity.
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

// sum returns the work a second of all demands.
func sum(demands []Demand) float64 {
	total := 0.0
	for _, each := range demands {
		total += each.Rate
	}
	return total
}
