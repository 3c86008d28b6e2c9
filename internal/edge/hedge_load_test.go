package edge

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/pkg/policy"
	"github.com/bramblemast/bramblemast/pkg/route"
)

// neighboured draws how long a server works whose machine has neighbours: 28 ms spread by a third,
// at 0.8, 1 or 1.3 of the usual speed, 2.5 times as long in 15 of 100 cases, and behind what is left
// of a pause of 300 ms in 4 of 100.
func noisyServiceTime(random *rand.Rand) time.Duration {
	took := 28 * math.Exp(0.35*random.NormFloat64()) * []float64{0.8, 1, 1.3}[random.IntN(3)]
	if random.Float64() < 0.15 {
		took *= 2.5
	}
	if random.Float64() < 0.04 {
		took += 300 * random.Float64()
	}
	return time.Duration(took * float64(time.Millisecond))
}

// simulateGatheredRequests returns the median time until all of 36 shards have answered, and how many second
// servers were asked for each first one, if they are asked as a policy says.
func simulateGatheredRequests(hedge policy.HedgePolicy) (median time.Duration, extra float64) {
	const shards, requests, transit = 36, 2000, 25 * time.Millisecond
	random := rand.New(rand.NewPCG(1, 1))
	hedges := 0
	times := make([]time.Duration, requests)
	for index := range times {
		for range shards {
			took := noisyServiceTime(random)
			wait, ok := hedge.Delay(policy.HedgeObservation{Typical: 40 * time.Millisecond, Remaining: 1500 * time.Millisecond})
			if ok && took > wait {
				hedges++
				took = min(took, wait+transit+noisyServiceTime(random))
			}
			times[index] = max(times[index], took)
		}
	}
	slices.Sort(times)
	return times[requests/2], float64(hedges) / (shards * requests)
}

// TestGatheredHedgingLowersMedianWithinBudget as long as one server is: most requests of many shards
// meet a server that is slowed down by its neighbours or pauses. The second servers that are asked
// for them leave a quarter of the usual bound, a fifth of all requests, to retries.
func TestGatheredHedgingLowersMedianWithinBudget(t *testing.T) {
	g := NewWithT(t)
	rules, err := newPolicies()
	g.Expect(err).NotTo(HaveOccurred())
	gathered := rules.For(&route.Route{Name: "g", Shards: []string{"a", "b"}}, "r")
	single := rules.For(&route.Route{Name: "s"}, "r")
	median, extra := simulateGatheredRequests(gathered.Hedge)
	laterMedian, laterExtra := simulateGatheredRequests(single.Hedge)
	t.Logf("median %s with %.3f second servers for each first one, %s with %.3f", median, extra, laterMedian, laterExtra)
	g.Expect(float64(median)).To(BeNumerically("<", 0.85*float64(laterMedian)))
	g.Expect(extra).To(BeNumerically("<", 0.15))
}
