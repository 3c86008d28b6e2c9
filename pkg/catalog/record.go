package catalog

import (
	"time"

	"github.com/bramblemast/bramblemast/pkg/machinelist"
	"github.com/bramblemast/bramblemast/pkg/target"
)

// Distances between this node and a server.
const (
	distanceZone   = 0
	distanceRegion = 1
	distanceFar    = 2
)

// Cause is the reason why a server is not simply active.
type Cause string

// The causes, in the order in which they are checked.
const (
	CauseNone        Cause = ""
	CauseUnlisted    Cause = "unlisted"
	CauseOperator    Cause = "operator"
	CauseServer      Cause = "server"
	CauseMachineList Cause = "machine_list"
	CauseDead        Cause = "dead"
	CauseNotReady    Cause = "not_ready"
	CauseFailures    Cause = "failures"
)

// listing is what the machine list states about a server.
type listing struct {
	machinelist.Entry
	// everListed is false for a server that is known only from peers.
	everListed bool
	listed     bool
	// unlistedSince is when the server was first missing from the list.
	unlistedSince time.Time
	// leaving is set when the list changes the server's state to leaving. It is cleared only by new
	// evidence: the list withdraws the statement and a probe confirms that (awaitsProbe is set in
	// between), or the server has a new instance.
	leaving     bool
	awaitsProbe bool
	// retractedAt is when the list withdrew the statement.
	retractedAt time.Time
}

// record is everything that this node knows about one server. The catalog's mutex guards all fields
// but results, which is safe for concurrent use.
type record struct {
	server    target.ServerID
	listing   listing
	facts     facts
	results   results
	outlier   outlier
	staleness staleness
	// bases are the keys of this server's instances in Catalog.bases.
	bases []uint64

	// drainUnattributed is set if the server reported that it drains before any of its instances
	// was known.
	drainUnattributed bool
	// instanceSince is when this node learnt of the current instance.
	instanceSince time.Time
	probe         probeRecord
	// lastAnswer is the approximate time of the last successful sub-request.
	lastAnswer time.Time
	// built is the entry in the last view, and builtLoad the load in it.
	built     *Server
	builtLoad float64
	// state and cause are those of the last view.
	state State
	cause Cause
}

// probeRecord holds the results of this node's own probes of a server.
type probeRecord struct {
	failures int
	lastOK   time.Time
	// requestedAt is when to send a requested single probe; zero if none is requested. This node
	// need not be one of the server's regular probers.
	requestedAt time.Time
	// announceAfter is the earliest time at which this node may announce the server as dead again.
	// refutations counts the announcements that another node refuted since the last successful
	// probe; it is capped.
	announceAfter time.Time
	refutations   int
}

func newRecord(server target.ServerID) *record {
	created := &record{server: server}
	created.results.setLoad(unknownLoad)
	return created
}

// leavingCause returns why the server is considered leaving, or CauseNone.
func (r *record) leavingCause() Cause {
	current := r.facts.current()
	switch {
	case r.facts.operator.Drained:
		return CauseOperator
	case current != nil && current.Draining, r.drainUnattributed:
		return CauseServer
	case r.listing.leaving, r.listing.awaitsProbe:
		return CauseMachineList
	}
	return CauseNone
}

// ejectionCause returns why the server should not be used if there is another one, or CauseNone.
// Recent successful answers outweigh probes and updates from peers.
func (r *record) ejectionCause(now time.Time, options *Options) Cause {
	if r.outlier.ejected(now) {
		return CauseFailures
	}
	if r.answeredRecently(now, options) {
		return CauseNone
	}
	current := r.facts.current()
	switch {
	case r.probe.failures >= options.ProbeFailures:
		return CauseDead
	case current == nil:
		return CauseNone
	case current.dead():
		return CauseDead
	case current.Contents != nil && !current.Contents.Ready:
		return CauseNotReady
	}
	return CauseNone
}

func (r *record) answeredRecently(now time.Time, options *Options) bool {
	return !r.lastAnswer.IsZero() && now.Sub(r.lastAnswer) < options.AnswerFreshness
}

// gone reports whether the server is to be removed: it is missing from the machine list, and either
// silent for UnlistedSilentTimeout or missing for UnlistedTimeout.
func (r *record) gone(now time.Time, options *Options) bool {
	if r.listing.listed {
		return false
	}
	missing := now.Sub(r.listing.unlistedSince)
	return missing >= options.UnlistedTimeout || (missing >= options.UnlistedSilentTimeout && r.silent(now, options))
}

// silent reports whether nothing indicates that the server still runs.
func (r *record) silent(now time.Time, options *Options) bool {
	if r.answeredRecently(now, options) {
		return false
	}
	current := r.facts.current()
	return current == nil || current.dead() || r.probe.failures >= options.ProbeFailures
}

// weight returns the share of normal traffic, which grows during the warm-up.
func (r *record) weight(now time.Time, warmUp time.Duration) float64 {
	const minWeight = 0.05
	current := r.facts.current()
	if current == nil || current.startedAt.IsZero() {
		return 1
	}
	age := now.Sub(current.startedAt)
	if age >= warmUp {
		return 1
	}
	return max(minWeight, float64(age)/float64(warmUp))
}

// instanceChanged is called when the current instance has changed. A new instance is new evidence:
// it clears the state that concerns the previous one.
func (r *record) instanceChanged(previousID string, now time.Time) {
	r.instanceSince = now
	if previousID == "" {
		r.attributeDrain()
		return
	}
	r.drainUnattributed = false
	r.listing.leaving = false
	r.listing.awaitsProbe = false
	r.outlier.reset()
	r.results.resetConsecutive()
}

// attributeDrain attributes a drain that was reported before any instance was known to the first
// instance.
func (r *record) attributeDrain() {
	if r.drainUnattributed {
		r.facts.current().Draining = true
		r.drainUnattributed = false
	}
}

// distance returns the distance of the server from a zone and region.
func (l *listing) distance(zone target.Zone, region target.Region) int {
	switch {
	case l.Zone == zone:
		return distanceZone
	case l.Region == region:
		return distanceRegion
	}
	return distanceFar
}
