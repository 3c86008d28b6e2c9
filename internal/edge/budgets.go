package edge

import (
	"sync"
	"time"

	"github.com/bramblemast/bramblemast/pkg/budget/window"
)

// Constants of the extra-load budget.
const (
	// ratioShare and allowanceShare are the shares of the deployment's bounds that are used. They are
	// below 1 because requests arrive later than they are counted.
	ratioShare     = 0.93
	allowanceShare = 0.85
	// assumedNodes is the number of nodes that the allowance is divided by until it is known.
	assumedNodes = 32
)

// budgets holds the extra-load budget of each service, one window per service. It implements
// fanout.Budget and is safe for concurrent use.
type budgets struct {
	mutex sync.Mutex
	// The fields below are guarded by mutex.
	ratio   float64
	extra   float64
	span    time.Duration
	windows map[string]*window.Window
	nodes   int
}

func newBudgets(bounds BoundSettings) *budgets {
	created := &budgets{nodes: assumedNodes}
	created.setBounds(bounds)
	return created
}

// setBounds sets the bounds of the deployment. If the span of the windows changes, all windows
// restart empty.
func (b *budgets) setBounds(bounds BoundSettings) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.ratio, b.extra = bounds.ExtraRatio*ratioShare, bounds.Extra*allowanceShare
	span := time.Duration(bounds.ExtraWindowSeconds * float64(time.Second))
	if span != b.span {
		b.span, b.windows = span, make(map[string]*window.Window)
	}
}

// setNodes sets the number of nodes that share the allowance.
func (b *budgets) setNodes(nodes int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.nodes = max(1, nodes)
}

// window returns the window of a service, the ratio, and this node's part of the allowance.
func (b *budgets) window(service string, now time.Time) (*window.Window, float64, float64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	existing := b.windows[service]
	if existing == nil {
		existing = window.New(b.span, now)
		b.windows[service] = existing
	}
	return existing, b.ratio, b.extra / float64(b.nodes)
}

// Earn implements fanout.Budget.
func (b *budgets) Earn(service string, now time.Time) {
	used, _, _ := b.window(service, now)
	used.Earn(1, now)
}

// TrySpend implements fanout.Budget.
func (b *budgets) TrySpend(service string, keep float64, now time.Time) bool {
	used, ratio, allowance := b.window(service, now)
	return used.TrySpend(ratio, allowance, keep, now)
}
