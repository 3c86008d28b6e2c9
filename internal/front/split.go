package front

import (
	"math/rand/v2"
	"sync"

	"github.com/bramblemast/bramblemast/pkg/fanout"
	"github.com/bramblemast/bramblemast/pkg/fleet"
	"github.com/bramblemast/bramblemast/pkg/route"
)

// splitter divides the requests of a route among its services in proportion to
// their weights. It is smooth: in any row of requests each service is within
// one request of its share. Each node begins at a place of its own in the
// sequence, so that many nodes with a few requests each keep the shares too.
type splitter struct {
	mutex sync.Mutex
	// random and credits are guarded by mutex; credits are by route, then by
	// position of the service.
	random  *rand.Rand
	credits map[string][]float64
}

// phases is from how many places in the sequence a node begins.
const phases = 64

func newSplitter(random *rand.Rand) *splitter {
	return &splitter{random: random, credits: make(map[string][]float64)}
}

// pick returns the service of the next request of a route.
func (s *splitter) pick(found *route.Route) string {
	if len(found.Backends) == 1 {
		return found.Backends[0].Service
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	credits := s.credits[found.Name]
	if len(credits) != len(found.Backends) {
		credits = make([]float64, len(found.Backends))
		s.credits[found.Name] = credits
		for range s.random.IntN(phases) {
			next(credits, found.Backends)
		}
	}
	return found.Backends[next(credits, found.Backends)].Service
}

// next moves the credits by one request and returns the position of its
// service.
func next(credits []float64, backends []route.Weighted) int {
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
