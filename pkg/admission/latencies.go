package admission

import (
	"time"

	"github.com/bramblemast/bramblemast/pkg/limit/trend"
)

// kind is what requests have in common that usually take about as long. Without
// it a change in the mix of requests would look like a change in the load.
type kind struct {
	tenant string
	class  rank
}

// mostKinds bounds the kinds that are told apart.
const mostKinds = 1024

// latencyFollow is short even under load, because the latency also changes
// with what requests ask. Overloaded requests are the main sign of overload.
var latencyFollow = trend.BaselineTimes{Idle: 5 * time.Second, Busy: 15 * time.Second}

// latencies follows the latency of requests, of each kind and of all. It is not
// safe for concurrent use.
type latencies struct {
	all    trend.Latency
	byKind map[kind]*trend.Latency
}

func newLatencies() latencies {
	return latencies{
		all:    trend.Latency{BaselineTimes: latencyFollow},
		byKind: make(map[kind]*trend.Latency),
	}
}

// record adds the latency of a good request and returns the trend of its kind.
func (l *latencies) record(of kind, latency time.Duration, busy bool, now time.Time) *trend.Latency {
	l.all.Record(latency, busy, now)
	own := l.byKind[of]
	if own == nil {
		if len(l.byKind) >= mostKinds {
			return &l.all
		}
		own = &trend.Latency{BaselineTimes: latencyFollow}
		l.byKind[of] = own
	}
	own.Record(latency, busy, now)
	return own
}

// of returns the trend of a kind, or that of all if the kind has none yet.
func (l *latencies) of(of kind) *trend.Latency {
	if own := l.byKind[of]; own != nil {
		return own
	}
	return &l.all
}
