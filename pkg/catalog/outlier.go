package catalog

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/pkg/outcome"
	"github.com/bramblemast/bramblemast/pkg/target"
)

// unknownLoad stands for a load that was not said.
const unknownLoad = -1

// results counts how sub-requests to a server ended. It is written for each of
// them, so that it has no lock.
type results struct {
	successes   atomic.Uint64
	failures    atomic.Uint64
	consecutive atomic.Int64
	load        atomic.Uint64
	// watched tells that Refresh looks at the server.
	watched atomic.Bool
	// namesInstance tells that the server names its instance in hints.
	namesInstance atomic.Bool
	// doubted tells that a probe for doubted contents is asked for.
	suspectedStale atomic.Bool
	// newest is the newest index version that the server is known to have, or
	// to have spoken of.
	newest atomic.Uint64
	// draining is the instance that is last known to drain; nil for none.
	draining atomic.Pointer[string]
}

func (r *results) success() {
	r.successes.Add(1)
	if r.consecutive.Load() != 0 {
		r.consecutive.Store(0)
	}
}

// failure counts a failed sub-request and returns how many failed in a row.
func (r *results) failure() int {
	r.failures.Add(1)
	return int(r.consecutive.Add(1))
}

func (r *results) resetConsecutive() { r.consecutive.Store(0) }

func (r *results) setLoad(load float64) {
	if bits := math.Float64bits(load); r.load.Load() != bits {
		r.load.Store(bits)
	}
}

func (r *results) getLoad() float64 { return math.Float64frombits(r.load.Load()) }

func (r *results) newestVersion() target.Version { return target.Version(r.newest.Load()) }

func (r *results) setNewestVersion(version target.Version) { r.newest.Store(uint64(version)) }

func (r *results) hasNamedInstance() bool { return r.namesInstance.Load() }

func (r *results) setNamesInstance() {
	if !r.namesInstance.Load() {
		r.namesInstance.Store(true)
	}
}

// isKnownDraining reports whether it is known already that an instance drains.
// Without an instance it is not known which one is meant.
func (r *results) isKnownDraining(instance string) bool {
	known := r.draining.Load()
	return known != nil && *known == instance
}

func (r *results) setDraining(instance string) { r.draining.Store(&instance) }

// updateFrom takes over what later hints are compared with.
func (r *results) updateFrom(current *instanceFacts) {
	if current == nil {
		return
	}
	r.setNewestVersion(current.Contents.newestVersion())
	if current.Draining {
		r.setDraining(current.ID)
	}
}

// countsAsFailure reports whether an error speaks against the server. A
// refusal for lack of slots, a cancelled sub-request or one that was never sent
// for lack of time does not.
func countsAsFailure(err error) bool {
	var failed *outcome.Error
	if !errors.As(err, &failed) {
		return false
	}
	switch failed.Reason {
	case outcome.ReasonUnreachable, outcome.ReasonConnectionLost,
		outcome.ReasonCorruptResponse, outcome.ReasonBackendError:
		return true
	case outcome.ReasonDeadline:
		return failed.Outcome == outcome.Unknown
	}
	return false
}

// outlier is the ejection of one server. The catalog's mutex guards it.
type outlier struct {
	until time.Time
	// consecutive counts the ejections without a calm time between them.
	consecutive int
	// wasEjected tells that the server was ejected in the last view.
	wasEjected bool
	// window holds recent results, older ones with less weight.
	windowSuccesses float64
	windowFailures  float64
	// seenSuccesses and seenFailures are the counts at the last roll.
	seenSuccesses uint64
	seenFailures  uint64
}

func (o *outlier) ejected(now time.Time) bool { return now.Before(o.until) }

// eject starts an ejection, unless one runs.
func (o *outlier) eject(now time.Time, options *Options) {
	if o.ejected(now) {
		return
	}
	const maxDoublings = 30
	length := options.EjectionTime << min(o.consecutive, maxDoublings)
	if length <= 0 || length > options.MaxEjectionTime {
		length = options.MaxEjectionTime
	}
	o.consecutive++
	o.until = now.Add(length)
	o.windowSuccesses, o.windowFailures = 0, 0
}

// reset forgets everything, for a new instance.
func (o *outlier) reset() {
	*o = outlier{seenSuccesses: o.seenSuccesses, seenFailures: o.seenFailures}
}

// roll takes the counts since the last roll into the window and returns the
// number of successes among them.
func (o *outlier) roll(counts *results) uint64 {
	const decay = 0.9
	successes, failures := counts.successes.Load(), counts.failures.Load()
	fresh := successes - o.seenSuccesses
	o.windowSuccesses = o.windowSuccesses*decay + float64(fresh)
	o.windowFailures = o.windowFailures*decay + float64(failures-o.seenFailures)
	o.seenSuccesses, o.seenFailures = successes, failures
	return fresh
}

// idle reports whether no recent result is left to look at.
func (o *outlier) idle() bool {
	const negligible = 0.01
	return o.windowSuccesses+o.windowFailures < negligible && o.consecutive == 0
}

// exceedsFailureShare reports whether the failed share of the window is too great.
func (o *outlier) exceedsFailureShare(options *Options) bool {
	total := o.windowSuccesses + o.windowFailures
	return total >= float64(options.MinResults) && o.windowFailures >= options.FailureShare*total
}

// calm forgets earlier ejections once the server did well for a while.
func (o *outlier) expireEjections(now time.Time, options *Options) {
	if o.consecutive > 0 && now.Sub(o.until) >= options.MaxEjectionTime {
		o.consecutive = 0
	}
}
