package membership

import "sync/atomic"

// Stats counts events since the start of a node's membership.
type Stats struct {
	// Probes counts direct probes. FailedProbes counts those that failed and whose member could not
	// be reached through other members either.
	Probes       uint64
	FailedProbes uint64
	// Suspicions counts members that this node suspected before any other node accused them.
	// Removed counts members that this node removed because they did not refute.
	Suspicions uint64
	Removed    uint64
	// Refutations counts how often this node had to refute an entry about itself.
	Refutations uint64
	// Pauses counts how often this process detected that it had been paused.
	Pauses uint64
	// Syncs counts comparisons of lists that this node started. SyncsDiffering counts those that
	// found a difference.
	Syncs          uint64
	SyncsDiffering uint64
	// Summaries counts exchanges that this node started with other zones, including failed ones.
	Summaries uint64
	// Relays counts deliveries of gossip to successors. RelayFailures counts those that were not
	// acknowledged.
	Relays        uint64
	RelayFailures uint64
	// BroadcastsDelivered counts messages of other subsystems that were passed to a handler.
	BroadcastsDelivered uint64
}

// counters are the atomic counterparts of Stats.
type counters struct {
	probes, failedProbes  atomic.Uint64
	suspicions, removed   atomic.Uint64
	refutations, pauses   atomic.Uint64
	syncs, syncsDiffering atomic.Uint64
	summaries             atomic.Uint64
	relays, relayFailures atomic.Uint64
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
		Relays:              m.counters.relays.Load(),
		RelayFailures:       m.counters.relayFailures.Load(),
		BroadcastsDelivered: m.counters.broadcastsDelivered.Load(),
	}
}
