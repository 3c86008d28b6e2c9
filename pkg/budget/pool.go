package budget

import (
	"sync"

	"github.com/bramblemast/bramblemast/pkg/policy"
	"github.com/bramblemast/bramblemast/pkg/template"
)

// Pool holds the budgets of a node, one for each template and arm. It is safe
// for concurrent use.
type Pool struct {
	// mutex guards budgets.
	mutex   sync.RWMutex
	budgets map[poolKey]*Budget
}

type poolKey struct {
	template template.Key
	arm      string
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{budgets: make(map[poolKey]*Budget)}
}

// For returns the budget of a template and arm, and makes it if there is none.
// The same key and arm always give the same budget; a changed specification
// adjusts it in place.
func (p *Pool) For(key template.Key, arm string, spec policy.ExtraLoadSpec) *Budget {
	id := poolKey{template: key, arm: arm}
	p.mutex.RLock()
	found := p.budgets[id]
	p.mutex.RUnlock()
	if found == nil {
		found = p.create(id, spec)
	}
	found.adjust(spec)
	return found
}

// Forget drops the budgets of a template that was deleted.
func (p *Pool) Forget(key template.Key) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for id := range p.budgets {
		if id.template == key {
			delete(p.budgets, id)
		}
	}
}

func (p *Pool) create(id poolKey, spec policy.ExtraLoadSpec) *Budget {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if found := p.budgets[id]; found != nil {
		return found
	}
	created := newBudget(spec)
	p.budgets[id] = created
	return created
}
