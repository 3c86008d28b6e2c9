package front

import (
	"math/rand/v2"
	"sync"

	"github.com/bramblemast/bramblemast/pkg/fanout"
	"github.com/bramblemast/bramblemast/pkg/fleet"
	"github.com/bramblemast/bramblemast/pkg/route"
)

// splitter divides the requests of a route among its services in proportion to their weights, by
// smooth weighted round-robin: in any sequence of requests each service is within one request of its
// share. Each node starts at a random position of the sequence, so that the shares also hold over
// many nodes with a few requests each. It is safe for concurrent use.
type splitter struct {
	mutex sync.Mutex
	// random and credits are guarded by mutex; credits are by route, then by index of the service.
	random  *rand.Rand
	credits map[string][]float64
}

// startPositions is the number of positions in the sequence from which a node may start.
const startPositions = 64

func newSplitter(random *rand.Rand) *splitter {
	return &splitter{random: random, credits: make(map[string][]float64)}
}

// pick returns the service of the next request of a route.
func (s *splitter) pick(matched *route.Route) string {
	if len(matched.Backends) == 1 {
		return matched.Backends[0].Service
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	credits := s.credits[matched.Name]
	if len(credits) != len(matched.Backends) {
		credits = make([]float64, len(matched.Backends))
		s.credits[matched.Name] = credits
		for range s.random.IntN(startPositions) {
			advance(credits, matched.Backends)
		}
	}
	return matched.Backends[advance(credits, matched.Backends)].Service
}

// advance updates the credits for one request and returns the index of the service that gets it.
func advance(credits []float64, backends []route.Weighted) int {
	total, best := 0.0, 0
	for index, backend := range backends {
		credits[index] += backend.Weight
		total += backend.Weight
		if credits[index] > credits[best] {
			best = index
		}
	}
	credits[best] -= total
	return best
}

func fleetChoice(plan fanout.Plan) fleet.Choice {
	return fleet.Choice{Service: plan.Services[0], Kind: plan.Kind, Assumed: plan.Assumed, Regions: plan.Regions()}
}
