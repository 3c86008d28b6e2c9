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

// The weights of what is known of a replica.
const (
	// distancePenalty is how many times as good a replica must be for each
	// step of zone distance.
	distancePenalty = 2.0
	// failurePenalty is how many times as bad a replica counts whose recent
	// sub-requests all failed.
	failurePenalty = 20.0
	// reportedLoadWeight is small because reports lag and mislead: a server
	// that reports a full load counts as a fifth worse than an idle one.
	reportedLoadWeight = 0.2
	// assumedLatency stands for the latency of a replica that has not
	// answered yet. It is low, so that new replicas are tried.
	assumedLatency = time.Millisecond
)

// randomReplica is the baseline: any replica with the same chance.
type randomReplica struct{}

// Choose implements ReplicaChooser.
func (randomReplica) Choose(candidates []ReplicaState, random *rand.Rand) int {
	if len(candidates) == 0 {
		return -1
	}
	return random.IntN(len(candidates))
}

// admitByWeight decides whether a replica takes part in a choice, by its weight
// relative to that of the warmest one. A cold replica is thus weighed against
// the others as if it were warm, but only in its share of the choices. Making it look worse instead would keep it from
// any work, and so from warming up, for as long as the others are not busy.
func admitByWeight(state *ReplicaState, highest float64, random *rand.Rand) bool {
	return state.Weight >= highest || random.Float64()*highest < state.Weight
}

// highestWeight returns the greatest weight.
func highestWeight(candidates []ReplicaState) float64 {
	highest := 0.0
	for index := range candidates {
		highest = max(highest, candidates[index].Weight)
	}
	return highest
}

// leastInFlight takes the replica with the fewest sub-requests in flight for
// its limit, among those that their weights let through.
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

// twoChoices takes the better of two replicas drawn at random, so that many
// nodes with the same stale picture do not all rush to the same server.
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

// expectedCost is the latency that a sub-request is expected to see at the
// replica, made worse by failures, distance and reported load.
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

// occupancy is the share of the node's limit that would be in use with one
// more sub-request.
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
