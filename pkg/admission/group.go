package admission

import "sync"

// Group holds the gates of several services. It is safe for concurrent use. A
// gate is made when its key is first asked for and kept from then on, so the
// keys must come from something bounded, such as a configuration.
type Group[Key comparable] struct {
	// options returns the options of a new gate.
	options func(key Key) Options
	// mutex guards gates.
	mutex sync.RWMutex
	gates map[Key]*Gate
}

// NewGroup returns a group without gates.
func NewGroup[Key comparable](options func(key Key) Options) *Group[Key] {
	return &Group[Key]{options: options, gates: make(map[Key]*Gate)}
}

// For returns the gate of a key.
func (g *Group[Key]) For(key Key) *Gate {
	g.mutex.RLock()
	gate := g.gates[key]
	g.mutex.RUnlock()
	if gate != nil {
		return gate
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.gates[key] == nil {
		g.gates[key] = NewGate(g.options(key))
	}
	return g.gates[key]
}
