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

// noisyServiceTime draws the service time of a server on a shared machine: 28 ms with a spread of a
// third, times 0.8, 1 or 1.3, 2.5 times as long in 15 of 100 cases, and after the rest of a pause of
// 300 ms in 4 of 100.
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

// simulateGatheredRequests returns the median time until all of 36 shards have answered, and the number
// of hedges per first sub-request, with the given hedge policy.
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

// TestGatheredHedgingLowersMedianWithinBudget: most requests to many shards meet a server that is
// slowed down by its neighbours or pauses, so they must be hedged sooner than requests to one server.
// Their hedges must leave a quarter of the usual bound, a fifth of all requests, to retries.
func TestGatheredHedgingLowersMedianWithinBudget(t *testing.T) {
	g := NewWithT(t)
	rules, err := newPolicies()
	g.Expect(err).NotTo(HaveOccurred())
	gathered := rules.For(&route.Route{Name: "g", Shards: []string{"a", "b"}}, "r")
	single := rules.For(&route.Route{Name: "s"}, "r")
	median, extra := simulateGatheredRequests(gathered.Hedge)
	laterMedian, laterExtra := simulateGatheredRequests(single.Hedge)
	t.Logf("median %s with %.3f hedges per first sub-request, %s with %.3f", median, extra, laterMedian, laterExtra)
	g.Expect(float64(median)).To(BeNumerically("<", 0.85*float64(laterMedian)))
	g.Expect(extra).To(BeNumerically("<", 0.15))
}
