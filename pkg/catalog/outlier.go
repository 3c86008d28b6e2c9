package catalog

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/pkg/outcome"
	"github.com/bramblemast/bramblemast/pkg/target"
)

// unknownLoad represents a load that was not reported.
const unknownLoad = -1

// results counts the outcomes of sub-requests to a server. It is updated for every sub-request and
// therefore uses atomics instead of a lock.
type results struct {
	successes   atomic.Uint64
	failures    atomic.Uint64
	consecutive atomic.Int64
	load        atomic.Uint64
	// watched is set while Refresh examines the server.
	watched atomic.Bool
	// namesInstance is set once the server has named its instance in hints.
	namesInstance atomic.Bool
	// suspectedStale is set while a probe for suspected stale contents is requested.
	suspectedStale atomic.Bool
	// newest is the newest index version that the server is known to have or has mentioned in a
	// hint.
	newest atomic.Uint64
	// draining is the instance that was last found to drain; nil if there is none.
	draining atomic.Pointer[string]
}

func (r *results) success() {
	r.successes.Add(1)
	if r.consecutive.Load() != 0 {
		r.consecutive.Store(0)
	}
}

// failure counts a failed sub-request and returns the number of consecutive failures.
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

// isKnownDraining reports whether an instance is already known to drain. It is false for an empty
// instance, because that does not say which one is meant.
func (r *results) isKnownDraining(instance string) bool {
	known := r.draining.Load()
	return known != nil && *known == instance
}

func (r *results) setDraining(instance string) { r.draining.Store(&instance) }

// updateFrom stores the facts with which later hints are compared.
func (r *results) updateFrom(current *instanceFacts) {
	if current == nil {
		return
	}
	r.setNewestVersion(current.Contents.newestVersion())
	if current.Draining {
		r.setDraining(current.ID)
	}
}

// countsAsFailure reports whether an error counts against the server. A refusal for lack of slots,
// a cancelled sub-request and one that was never sent for lack of time do not.
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

// outlier is the ejection state of one server. The catalog's mutex guards it.
type outlier struct {
	until time.Time
	// consecutive counts the ejections since the server was last healthy for MaxEjectionTime.
	consecutive int
	// wasEjected is set if the server was ejected in the last view.
	wasEjected bool
	// The window counts recent results; older ones have less weight.
	windowSuccesses float64
	windowFailures  float64
	// seenSuccesses and seenFailures are the counts at the last roll.
	seenSuccesses uint64
	seenFailures  uint64
}

func (o *outlier) ejected(now time.Time) bool { return now.Before(o.until) }

// eject starts an ejection unless one is in progress.
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

// reset clears the state for a new instance. The counts at the last roll remain.
func (o *outlier) reset() {
	*o = outlier{seenSuccesses: o.seenSuccesses, seenFailures: o.seenFailures}
}

// roll adds the results since the last roll to the window and returns the number of successes among
// them.
func (o *outlier) roll(counts *results) uint64 {
	const decay = 0.9
	successes, failures := counts.successes.Load(), counts.failures.Load()
	fresh := successes - o.seenSuccesses
	o.windowSuccesses = o.windowSuccesses*decay + float64(fresh)
	o.windowFailures = o.windowFailures*decay + float64(failures-o.seenFailures)
	o.seenSuccesses, o.seenFailures = successes, failures
	return fresh
}

// idle reports whether there are neither recent results nor recent ejections.
func (o *outlier) idle() bool {
	const negligible = 0.01
	return o.windowSuccesses+o.windowFailures < negligible && o.consecutive == 0
}

// exceedsFailureShare reports whether the failed share of the window reaches Options.FailureShare.
func (o *outlier) exceedsFailureShare(options *Options) bool {
	total := o.windowSuccesses + o.windowFailures
	return total >= float64(options.MinResults) && o.windowFailures >= options.FailureShare*total
}

// expireEjections resets the count of ejections once MaxEjectionTime has passed since the end of
// the last one.
func (o *outlier) expireEjections(now time.Time, options *Options) {
	if o.consecutive > 0 && now.Sub(o.until) >= options.MaxEjectionTime {
		o.consecutive = 0
	}
}
