package membership

import "sync/atomic"

// Stats counts what a node's membership did since it started.
type Stats struct {
	// Probes counts direct probes, FailedProbes those that nobody could get
	// an answer to.
	Probes       uint64
	FailedProbes uint64
	// Suspicions counts members that this node itself suspected first, Removed
	// those that it removed because they did not refute.
	Suspicions uint64
	Removed    uint64
	// Refutations counts how often this node had to refute that it is dead.
	Refutations uint64
	// Pauses counts how often this process found that it had been paused.
	Pauses uint64
	// Syncs counts comparisons with another node, SyncsDiffering those that
	// found a difference.
	Syncs          uint64
	SyncsDiffering uint64
	// Summaries counts exchanges with other zones.
	Summaries uint64
	// BroadcastsDelivered counts messages of other subsystems that were handed over.
	BroadcastsDelivered uint64
}

// counters are the atomic counterparts of Stats.
type counters struct {
	probes, failedProbes  atomic.Uint64
	suspicions, removed   atomic.Uint64
	refutations, pauses   atomic.Uint64
	syncs, syncsDiffering atomic.Uint64
	summaries             atomic.Uint64
	broadcastsDelivered   atomic.Uint64
}

// Stats returns the counts so far.
func (m *Membership) Stats() Stats {
	return Stats{
		Probes:              m.counters.probes.Load(),
		FailedProbes:        m.counters.failedProbes.Load(),
		Suspicions:          m.counters.suspicions.Load(),
		Removed:             m.counters.removed.Load(),
		Refutations:         m.counters.refutations.Load(),
		Pauses:              m.counters.pauses.Load(),
		Syncs:               m.counters.syncs.Load(),
		SyncsDiffering:      m.counters.syncsDiffering.Load(),
		Summaries:           m.counters.summaries.Load(),
		BroadcastsDelivered: m.counters.broadcastsDelivered.Load(),
	}
}
