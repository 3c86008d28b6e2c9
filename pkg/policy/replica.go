package policy

import (
	"math/rand/v2"
	"time"
)

// The replica policies.
const (
	ReplicaRandom        = "random"
	ReplicaLeastInFlight = "least_in_flight"
	ReplicaTwoChoices    = "two_choices"
)

var replicas = newRegistry(KindReplica, map[string]Factory[ReplicaSpec, ReplicaChooser]{
	ReplicaRandom:        func(ReplicaSpec) (ReplicaChooser, FieldErrors) { return randomReplica{}, nil },
	ReplicaLeastInFlight: func(ReplicaSpec) (ReplicaChooser, FieldErrors) { return leastInFlight{}, nil },
	ReplicaTwoChoices:    func(ReplicaSpec) (ReplicaChooser, FieldErrors) { return twoChoices{}, nil },
})

// The factors by which the state of a replica affects its cost.
const (
	// distancePenalty multiplies the cost of a replica for each step of zone distance.
	distancePenalty = 2.0
	// failurePenalty is the relative cost added for a replica whose recent sub-requests all failed.
	failurePenalty = 20.0
	// reportedLoadWeight is small because load reports lag and can mislead: a server that reports
	// full load costs a fifth more than an idle one.
	reportedLoadWeight = 0.2
	// assumedLatency is used for a replica that has not answered yet. It is low so that new
	// replicas are tried.
	assumedLatency = time.Millisecond
)

// randomReplica is the baseline: it chooses every replica with equal probability.
type randomReplica struct{}

// Choose implements ReplicaChooser.
func (randomReplica) Choose(candidates []ReplicaState, random *rand.Rand) int {
	if len(candidates) == 0 {
		return -1
	}
	return random.IntN(len(candidates))
}

// admitByWeight reports whether a replica takes part in a choice, with the probability of its weight
// relative to the highest weight. A cold replica is compared with the others as if it were warm, but
// only in its share of the choices. Raising its cost instead would keep it from getting any work, and
// so from warming up, for as long as the others are not busy.
func admitByWeight(state *ReplicaState, highest float64, random *rand.Rand) bool {
	return state.Weight >= highest || random.Float64()*highest < state.Weight
}

// highestWeight returns the highest weight of the candidates.
func highestWeight(candidates []ReplicaState) float64 {
	highest := 0.0
	for index := range candidates {
		highest = max(highest, candidates[index].Weight)
	}
	return highest
}

// leastInFlight chooses the replica with the fewest sub-requests in flight relative to its limit,
// adjusted for zone distance, among those admitted by weight.
type leastInFlight struct{}

// Choose implements ReplicaChooser. Ties are broken at random.
func (leastInFlight) Choose(candidates []ReplicaState, random *rand.Rand) int {
	best, bestScore, ties := -1, 0.0, 0
	highest := highestWeight(candidates)
	for index := range candidates {
		if !admitByWeight(&candidates[index], highest, random) {
			continue
		}
		score := occupancy(&candidates[index]) * distanceFactor(&candidates[index])
		switch {
		case best < 0 || score < bestScore:
			best, bestScore, ties = index, score, 1
		case score == bestScore:
			ties++
			if random.IntN(ties) == 0 {
				best = index
			}
		}
	}
	return best
}

// twoChoices chooses the cheaper of two replicas drawn at random, so that many nodes with the same
// stale state do not all send to the same server.
type twoChoices struct{}

// Choose implements ReplicaChooser.
func (twoChoices) Choose(candidates []ReplicaState, random *rand.Rand) int {
	count := len(candidates)
	if count == 0 {
		return -1
	}
	first := random.IntN(count)
	if count == 1 {
		return first
	}
	second := random.IntN(count - 1)
	if second >= first {
		second++
	}
	highest := max(candidates[first].Weight, candidates[second].Weight)
	switch {
	case !admitByWeight(&candidates[first], highest, random):
		return second
	case !admitByWeight(&candidates[second], highest, random):
		return first
	}
	if expectedCost(&candidates[second]) < expectedCost(&candidates[first]) {
		return second
	}
	return first
}

// expectedCost returns the expected latency of a sub-request at the replica, scaled up for occupancy,
// failures, zone distance and reported load.
func expectedCost(state *ReplicaState) float64 {
	latency := state.Latency
	if latency <= 0 {
		latency = assumedLatency
	}
	cost := float64(latency) * occupancy(state)
	cost *= 1 + failurePenalty*state.FailureShare
	cost *= distanceFactor(state)
	if state.ReportedLoad > 0 {
		cost *= 1 + reportedLoadWeight*min(state.ReportedLoad, 1)
	}
	return cost
}

// occupancy returns the share of the node's limit that would be in use with one more sub-request.
func occupancy(state *ReplicaState) float64 {
	return float64(state.InFlight+1) / float64(max(state.Limit, 1))
}

func distanceFactor(state *ReplicaState) float64 {
	factor := 1.0
	for range state.ZoneDistance {
		factor *= distancePenalty
	}
	return factor
}
