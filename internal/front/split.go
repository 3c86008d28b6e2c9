package front

import (
	"sync"

	"github.com/bramblemast/bramblemast/pkg/fanout"
	"github.com/bramblemast/bramblemast/pkg/fleet"
	"github.com/bramblemast/bramblemast/pkg/route"
)

// splitter divides the requests of a route among its services in proportion to
// their weights. It is smooth: in any row of requests each service is within
// one request of its share.
type splitter struct {
	mutex sync.Mutex
	// credits is guarded by mutex; by route, then by position of the service.
	credits map[string][]float64
}

func newSplitter() *splitter { return &splitter{credits: make(map[string][]float64)} }

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
	}
	total, best := 0.0, 0
	for index, backend := range found.Backends {
		credits[index] += backend.Weight
		total += backend.Weight
		if credits[index] > credits[best] {
			best = index
		}
	}
	credits[best] -= total
	return found.Backends[best].Service
}

func fleetChoice(plan fanout.Plan) fleet.Choice {
	return fleet.Choice{Service: plan.Services[0], Kind: plan.Kind, Assumed: plan.Assumed}
}
