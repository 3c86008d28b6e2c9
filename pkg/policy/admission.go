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
	// archiveLimitShare is the share of the limit above which archive requests wait
	// although there is room, so that a ticker seldom finds the gate full.
	archiveLimitShare = 0.75
	// maxBurstBacklog is how long a queue may stand before it is shortened.
	maxBurstBacklog = 100 * time.Millisecond
	// defaultRetryAfter is told to callers while no drain was measured.
	defaultRetryAfter = 100 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound what callers are told.
	minRetryAfter = time.Millisecond
	maxRetryAfter = 30 * time.Second
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
// typical service would pass its deadline. A request that need not wait is
// admitted whatever the typical service is: otherwise nothing would run any
// more once the service had been slow, and so nobody would see it recover.
type deadlineAwareAdmission struct{ maxQueued int }

func newDeadlineAwareAdmission(spec AdmissionSpec) (AdmissionPolicy, FieldErrors) {
	return deadlineAwareAdmission{maxQueued: spec.MaxQueued}, validateQueue(spec)
}

// Decide implements AdmissionPolicy.
func (p deadlineAwareAdmission) Decide(state AdmissionState) AdmissionDecision {
	if state.QueuedAhead == 0 && state.InFlight < classLimit(state) && mayRunNow(state) {
		return AdmissionDecision{Verdict: Admit}
	}
	if PredictedWait(state) > maxAllowedWait(state) {
		return AdmissionDecision{Verdict: Refuse, RetryAfter: RetryAfter(state)}
	}
	return queueUpTo(p.maxQueued, state)
}

// mayRunNow reports whether there is time for a request that need not wait.
// While nobody waits it is tried in any case.
func mayRunNow(state AdmissionState) bool {
	if state.Queued == 0 {
		return state.Remaining > 0
	}
	return slowService(state) <= state.Remaining
}

// maxAllowedWait is the wait that a request may have. What is left has to be
// enough for a slow request: a queue of requests that are just in time for a
// typical one would deliver half of them too late.
//
// In a burst the queue may be as long as that. While a queue stands, its length
// only adds to the latency of all and nothing to what is served, so it is kept
// to one service time. Archive requests have the time to wait.
func maxAllowedWait(state AdmissionState) time.Duration {
	wait := state.Remaining - slowService(state)
	if state.BacklogAge <= maxBurstBacklog || state.Class == ClassArchive {
		return wait
	}
	return min(wait, slowService(state))
}

func slowService(state AdmissionState) time.Duration {
	return max(state.SlowService, state.TypicalService)
}

// PredictedWait is how long a request that waits now will wait on average, from
// the measured drain rate; zero if none was measured. On average half of the
// time between two finished requests has passed.
func PredictedWait(state AdmissionState) time.Duration {
	return drainTime(state, float64(state.QueuedAhead)+0.5)
}

// drainTime is the time until so many requests have finished; zero if unknown.
func drainTime(state AdmissionState, requests float64) time.Duration {
	if state.DrainRate <= 0 {
		return 0
	}
	seconds := requests / state.DrainRate
	return time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second))
}

// classLimit returns the number of requests that may run before one of this
// class has to wait.
func classLimit(state AdmissionState) int {
	if state.Class != ClassArchive {
		return state.Limit
	}
	return max(1, int(archiveLimitShare*float64(state.Limit)))
}

// queueUpTo queues a request unless its tenant and class have enough waiting.
func queueUpTo(maxQueued int, state AdmissionState) AdmissionDecision {
	if state.QueuedSameClass >= maxQueued {
		return AdmissionDecision{Verdict: Refuse, RetryAfter: RetryAfter(state)}
	}
	return AdmissionDecision{Verdict: Queue}
}

// RetryAfter is the time until everything ahead will have drained: a caller
// that retries then is served at once unless others came in between.
func RetryAfter(state AdmissionState) time.Duration {
	wait := drainTime(state, float64(state.QueuedAhead)+1)
	if wait == 0 {
		wait = max(defaultRetryAfter, state.TypicalService)
	}
	return max(minRetryAfter, wait)
}

func validateQueue(spec AdmissionSpec) FieldErrors {
	var errs FieldErrors
	errs.checkMin("max_queued", spec.MaxQueued, 1)
	errs.checkMax("max_queued", spec.MaxQueued, maxQueued)
	return errs
}
