// Package latency keeps recent latency distributions of back-end services, for
// decisions on each request: when to send a hedge, whether a retry still fits.
//
// A Tracker counts samples in logarithmic buckets over two rotating windows,
// so that old samples fade out. Observing a sample takes a few atomic
// operations and no lock. A Tracker is safe for concurrent use.
package latency

import (
	"sync"
	"time"

	"github.com/bramblemast/bramblemast/pkg/target"
)

const (
	// Window is how long samples are collected before the windows rotate. A
	// quantile is drawn from the current and the previous window, so from the
	// last one to two windows.
	Window = 10 * time.Second
	// MinimumSamples is the number of recent samples below which no quantile
	// is given.
	MinimumSamples = 20
)

// Tracker holds one distribution for each service.
type Tracker struct {
	services sync.Map // target.Service -> *distribution
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker { return &Tracker{} }

// Observe adds the latency of one answered sub-request. Negative latencies
// count as zero.
func (t *Tracker) Observe(service target.Service, latency time.Duration, now time.Time) {
	found, ok := t.services.Load(service)
	if !ok {
		found, _ = t.services.LoadOrStore(service, newDistribution(now))
	}
	found.(*distribution).observe(latency, now)
}

// Quantile returns a quantile, 0 to 1, of the recent latencies of a service,
// rounded up by at most an eighth. It is zero while there are fewer than
// MinimumSamples recent samples.
func (t *Tracker) Quantile(service target.Service, quantile float64) time.Duration {
	found, ok := t.services.Load(service)
	if !ok {
		return 0
	}
	return found.(*distribution).quantile(quantile)
}
