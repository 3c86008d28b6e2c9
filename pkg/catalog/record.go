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

// Cause says why a server is not simply active.
type Cause string

// The causes, in the order in which they are looked for.
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

// listing is what the machine list says of a server.
type listing struct {
	machinelist.Entry
	// everListed is false for a server that only peers have told of.
	everListed bool
	listed     bool
	// unlistedSince is when the server was first missing.
	unlistedSince time.Time
	// leaving is set when the list begins to call the server leaving. It ends
	// with fresh evidence: the list takes it back and a probe confirms that
	// (awaitsProbe meanwhile), or the server has a new instance.
	leaving     bool
	awaitsProbe bool
	// retractedAt is when the list took its statement back.
	retractedAt time.Time
}

// record is everything that this node knows of one server. The catalog's mutex
// guards all fields but results, which is safe for concurrent use.
type record struct {
	server    target.ServerID
	listing   listing
	facts     facts
	results   results
	outlier   outlier
	staleness staleness
	// bases are those of the known instances in Catalog.bases.
	bases []uint64

	// drainUnattributed is set if the server said that it drains before any
	// instance of it was known.
	drainUnattributed bool
	// instanceSince is when this node learnt of the current instance.
	instanceSince time.Time
	probe         probeRecord
	// lastAnswer is about when a sub-request was last answered.
	lastAnswer time.Time
	// built is the entry of the last view, and builtLoad the load in it.
	built     *Server
	builtLoad float64
	// state and cause are those of the last view.
	state State
	cause Cause
}

// probeRecord is how this node's own probes of a server went.
type probeRecord struct {
	failures int
	lastOK   time.Time
	// requestedAt is when to probe the server once although this node is not one
	// of its probers; zero for never.
	requestedAt time.Time
	// announceAfter is when this node may announce the server as dead again,
	// and announced how often it has in vain.
	announceAfter time.Time
	refutations   int
}

func newRecord(server target.ServerID) *record {
	created := &record{server: server}
	created.results.setLoad(unknownLoad)
	return created
}

// leavingCause returns why the server counts as leaving, or CauseNone.
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

// ejectionCause returns why the server should not be asked if there is another
// one, or CauseNone. Good answers weigh more than probes and what peers say.
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

// gone reports whether the server is to be removed: it is missing from the
// machine list, and either silent or missing for too long.
func (r *record) gone(now time.Time, options *Options) bool {
	if r.listing.listed {
		return false
	}
	missing := now.Sub(r.listing.unlistedSince)
	return missing >= options.UnlistedTimeout || (missing >= options.UnlistedSilentTimeout && r.silent(now, options))
}

// silent reports whether nothing shows that the server still runs.
func (r *record) silent(now time.Time, options *Options) bool {
	if r.answeredRecently(now, options) {
		return false
	}
	current := r.facts.current()
	return current == nil || current.dead() || r.probe.failures >= options.ProbeFailures
}

// weight returns the share of normal traffic: it grows over the warm-up.
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

// instanceChanged is called when the current instance is another than before,
// which is fresh evidence: it ends what was said of the earlier one.
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

// attributeDrain takes a drain that was said before any instance was known for one
// of the first instance.
func (r *record) attributeDrain() {
	if r.drainUnattributed {
		r.facts.current().Draining = true
		r.drainUnattributed = false
	}
}

// distance returns how far the server is from a zone and region.
func (l *listing) distance(zone target.Zone, region target.Region) int {
	switch {
	case l.Zone == zone:
		return distanceZone
	case l.Region == region:
		return distanceRegion
	}
	return distanceFar
}
