package policy

import "time"

// The admission policies.
const (
	AdmissionUnlimited     = "unlimited"
	AdmissionBoundedQueue  = "bounded_queue"
	AdmissionDeadlineAware = "deadline_aware"
)

var admissions = newRegistry(KindAdmission, map[string]Factory[AdmissionSpec, AdmissionPolicy]{
	AdmissionUnlimited:     func(AdmissionSpec) (AdmissionPolicy, FieldErrors) { return unlimited{}, nil },
	AdmissionBoundedQueue:  newBoundedQueue,
	AdmissionDeadlineAware: newDeadlineAwareAdmission,
})

const (
	// archiveShare is the share of the limit above which archive requests wait
	// although there is room, so that a ticker seldom finds the gate full.
	archiveShare = 0.75
	// unknownRetryAfter is told to callers while no drain was measured.
	unknownRetryAfter = 100 * time.Millisecond
	// leastRetryAfter and mostRetryAfter bound what callers are told.
	leastRetryAfter = time.Millisecond
	mostRetryAfter  = 30 * time.Second
)

// unlimited is the baseline: everything runs at once.
type unlimited struct{}

// Decide implements AdmissionPolicy.
func (unlimited) Decide(AdmissionState) AdmissionDecision { return AdmissionDecision{Verdict: Admit} }

// boundedQueue lets requests wait in a queue of bounded length, whatever their
// deadline.
type boundedQueue struct{ maxQueued int }

func newBoundedQueue(spec AdmissionSpec) (AdmissionPolicy, FieldErrors) {
	return boundedQueue{maxQueued: spec.MaxQueued}, validateQueue(spec)
}

// Decide implements AdmissionPolicy.
func (p boundedQueue) Decide(state AdmissionState) AdmissionDecision {
	if state.QueuedAhead == 0 && state.InFlight < state.Limit {
		return AdmissionDecision{Verdict: Admit}
	}
	return queueUpTo(p.maxQueued, state)
}

// deadlineAwareAdmission refuses a request as soon as its predicted wait and a
// typical service would pass its deadline.
type deadlineAwareAdmission struct{ maxQueued int }

func newDeadlineAwareAdmission(spec AdmissionSpec) (AdmissionPolicy, FieldErrors) {
	return deadlineAwareAdmission{maxQueued: spec.MaxQueued}, validateQueue(spec)
}

// Decide implements AdmissionPolicy.
func (p deadlineAwareAdmission) Decide(state AdmissionState) AdmissionDecision {
	if state.TypicalService > state.Remaining {
		return AdmissionDecision{Verdict: Refuse, RetryAfter: retryAfter(state)}
	}
	if state.QueuedAhead == 0 && state.InFlight < limitFor(state) {
		return AdmissionDecision{Verdict: Admit}
	}
	if PredictedWait(state)+state.TypicalService > state.Remaining {
		return AdmissionDecision{Verdict: Refuse, RetryAfter: retryAfter(state)}
	}
	return queueUpTo(p.maxQueued, state)
}

// PredictedWait is how long a request that waits now will wait, from the
// measured drain rate; zero if none was measured.
func PredictedWait(state AdmissionState) time.Duration {
	if state.DrainRate <= 0 {
		return 0
	}
	seconds := float64(state.QueuedAhead+1) / state.DrainRate
	return time.Duration(min(seconds, mostRetryAfter.Seconds()) * float64(time.Second))
}

// limitFor returns the number of requests that may run before one of this
// class has to wait.
func limitFor(state AdmissionState) int {
	if state.Class != ClassArchive {
		return state.Limit
	}
	return max(1, int(archiveShare*float64(state.Limit)))
}

// queueUpTo queues a request unless its tenant and class have enough waiting.
func queueUpTo(maxQueued int, state AdmissionState) AdmissionDecision {
	if state.QueuedAlike >= maxQueued {
		return AdmissionDecision{Verdict: Refuse, RetryAfter: retryAfter(state)}
	}
	return AdmissionDecision{Verdict: Queue}
}

// retryAfter is the time until everything ahead will have drained: a caller
// that comes back then is served at once unless others came in between.
func retryAfter(state AdmissionState) time.Duration {
	wait := PredictedWait(state)
	if wait == 0 {
		wait = max(unknownRetryAfter, state.TypicalService)
	}
	return max(leastRetryAfter, wait)
}

func validateQueue(spec AdmissionSpec) FieldErrors {
	var wrong FieldErrors
	wrong.checkAtLeast("max_queued", spec.MaxQueued, 1)
	wrong.checkAtMost("max_queued", spec.MaxQueued, maxQueued)
	return wrong
}
