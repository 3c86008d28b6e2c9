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
	// archiveLimitShare is the share of the limit that archive requests may use. The rest stays
	// free so that ticker requests seldom find the gate full.
	archiveLimitShare = 0.75
	// maxBurstBacklog is the backlog age up to which a queue counts as a burst. An older queue is
	// shortened.
	maxBurstBacklog = 100 * time.Millisecond
	// defaultRetryAfter is the minimum retry delay given to callers while the drain rate is unknown.
	defaultRetryAfter = 100 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the retry delay given to callers.
	minRetryAfter = time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// unlimited is the baseline: it admits every request immediately.
type unlimited struct{}

// Decide implements AdmissionPolicy.
func (unlimited) Decide(AdmissionState) AdmissionDecision { return AdmissionDecision{Verdict: Admit} }

// boundedQueue queues requests up to a maximum queue length, regardless of their deadlines.
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

// deadlineAwareAdmission refuses a request if its predicted wait plus a slow service time would
// pass its deadline. While the queue is empty and the limit has room, a request is admitted whatever
// the measured service time is: otherwise nothing would run after the service had been slow, and its
// recovery would never be observed.
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

// mayRunNow reports whether a request that does not have to wait has enough time to run. While the
// queue is empty, any time before the deadline is enough.
func mayRunNow(state AdmissionState) bool {
	if state.Queued == 0 {
		return state.Remaining > 0
	}
	return slowService(state) <= state.Remaining
}

// maxAllowedWait returns the longest queue wait a request may be given. The time left after the
// wait must be enough for a slow request: if it were only enough for a typical one, half of the
// queued requests would finish too late.
//
// A burst may use all of that wait. A persistent queue adds latency to every request without
// raising throughput, so its wait is limited to one slow service time. Archive requests are exempt
// because they can afford to wait.
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

// PredictedWait returns the mean wait of a request queued now, derived from the measured drain
// rate; zero if the rate is unknown. It adds half an interval because, on average, half of the
// time between two finished requests has passed.
func PredictedWait(state AdmissionState) time.Duration {
	return drainTime(state, float64(state.QueuedAhead)+0.5)
}

// drainTime returns the time until the given number of requests has finished, at most
// maxRetryAfter; zero if the drain rate is unknown.
func drainTime(state AdmissionState, requests float64) time.Duration {
	if state.DrainRate <= 0 {
		return 0
	}
	seconds := requests / state.DrainRate
	return time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second))
}

// classLimit returns the number of running requests at which a request of this class has to wait.
func classLimit(state AdmissionState) int {
	if state.Class != ClassArchive {
		return state.Limit
	}
	return max(1, int(archiveLimitShare*float64(state.Limit)))
}

// queueUpTo queues a request, or refuses it if its tenant and class already have maxQueued requests
// waiting.
func queueUpTo(maxQueued int, state AdmissionState) AdmissionDecision {
	if state.QueuedSameClass >= maxQueued {
		return AdmissionDecision{Verdict: Refuse, RetryAfter: RetryAfter(state)}
	}
	return AdmissionDecision{Verdict: Queue}
}

// RetryAfter returns the time until the requests ahead are expected to have drained. A caller that
// retries then is served immediately unless other requests arrived in the meantime.
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
