// Package budget bounds the extra load, hedges and retries together, that a
// policy may put on back ends.
//
// Every template and experiment arm has one Budget in a node. Primary
// sub-requests earn a share of a token each, and an extra sub-request spends
// one token. Whatever the interleaving,
//
//	spent <= share * primary + burst
//
// so a fault that makes every sub-request fail cannot multiply the load.
// All methods are safe for concurrent use, lock-free and free of allocations.
package budget

import (
	"math"
	"sync/atomic"

	"github.com/bramblemast/bramblemast/pkg/policy"
)

// unitsPerToken is the resolution in which tokens are counted.
const unitsPerToken = 1_000_000

// Budget is the saved-up extra load of one template and arm.
type Budget struct {
	// units is the balance in millionths of a token; between 0 and the burst.
	units atomic.Int64
	rates atomic.Pointer[rates]

	primary atomic.Int64
	extra   atomic.Int64
}

// rates is an immutable form of a policy.ExtraLoadSpec.
type rates struct {
	spec            policy.ExtraLoadSpec
	unitsPerPrimary int64
	unitsAtMost     int64
}

// Observation is the state of a Budget at one moment.
type Observation struct {
	// Primary and Extra count the sub-requests earned for and spent on since
	// the node started; refunds are taken off Extra.
	Primary int64
	Extra   int64
	// Available is the number of tokens that can be spent now.
	Available float64
}

// newBudget returns a budget that is full, so that a template with little
// traffic can retry from its first request on.
func newBudget(spec policy.ExtraLoadSpec) *Budget {
	budget := &Budget{}
	current := newRates(spec)
	budget.rates.Store(current)
	budget.units.Store(current.unitsAtMost)
	return budget
}

func newRates(spec policy.ExtraLoadSpec) *rates {
	share := math.Max(0, math.Min(1, spec.Share))
	burst := max(0, spec.Burst)
	return &rates{
		spec:            spec,
		unitsPerPrimary: int64(share * unitsPerToken),
		unitsAtMost:     int64(burst) * unitsPerToken,
	}
}

// adjust puts a changed specification into force. Tokens above the new burst
// are lost, and a greater burst starts unfilled.
func (b *Budget) adjust(spec policy.ExtraLoadSpec) {
	if b.rates.Load().spec == spec {
		return
	}
	b.rates.Store(newRates(spec))
	b.add(0)
}

// Earn credits primary sub-requests that were sent.
func (b *Budget) Earn(primary int) {
	if primary <= 0 {
		return
	}
	b.primary.Add(int64(primary))
	b.add(int64(primary) * b.rates.Load().unitsPerPrimary)
}

// TrySpend takes one token for an extra sub-request and reports whether there
// was one.
func (b *Budget) TrySpend() bool {
	for {
		held := b.units.Load()
		if held < unitsPerToken {
			return false
		}
		if b.units.CompareAndSwap(held, held-unitsPerToken) {
			b.extra.Add(1)
			return true
		}
	}
}

// Refund gives one token back, for a spent one whose sub-request was not sent
// after all. It must be called at most once for each successful TrySpend.
func (b *Budget) Refund() {
	b.extra.Add(-1)
	b.add(unitsPerToken)
}

// Observe returns the current state.
func (b *Budget) Observe() Observation {
	return Observation{
		Primary:   b.primary.Load(),
		Extra:     b.extra.Load(),
		Available: float64(b.units.Load()) / unitsPerToken,
	}
}

// add changes the balance and keeps it at or below the burst.
func (b *Budget) add(units int64) {
	for {
		held := b.units.Load()
		next := min(held+units, b.rates.Load().unitsAtMost)
		if next == held || b.units.CompareAndSwap(held, next) {
			return
		}
	}
}
