package node

import (
	"sync"

	"github.com/bramblemast/bramblemast/pkg/admission"
	"github.com/bramblemast/bramblemast/pkg/target"
)

// gates holds the admission gate of each service. It implements serve.Gates
// and is safe for concurrent use. Only services of published templates get a
// gate, so their number is bounded.
type gates struct {
	options admission.Options
	// mutex guards gates.
	mutex sync.RWMutex
	gates map[target.Service]*admission.Gate
}

func newGates(options admission.Options) *gates {
	return &gates{options: options, gates: make(map[target.Service]*admission.Gate)}
}

// For implements serve.Gates.
func (g *gates) For(service target.Service) *admission.Gate {
	g.mutex.RLock()
	gate := g.gates[service]
	g.mutex.RUnlock()
	if gate != nil {
		return gate
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.gates[service] == nil {
		g.gates[service] = admission.NewGate(g.options)
	}
	return g.gates[service]
}
