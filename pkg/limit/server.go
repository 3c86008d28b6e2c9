package limit

import (
	"context"
	"sync"
	"time"

	"github.com/bramblemast/bramblemast/pkg/outcome"
	"github.com/bramblemast/bramblemast/pkg/target"
)

// server is the limiter of one server.
type server struct {
	id      target.ServerID
	owner   *Servers
	options *Options

	// mutex guards everything below, and the fields of waiters in the queue.
	mutex      sync.Mutex
	controller controller
	pacer      pacer
	failures   failureTracker
	inFlight   int
	queue      waiterQueue
	// freePermits is a free list of released permits.
	freePermits *Permit
	// dispatchTimer calls dispatch when the pacer has a token; nil until first needed.
	dispatchTimer *time.Timer
	// configured means that Configure was called for the server.
	configured bool
	// closed means that the state of the server was dropped.
	closed bool
}

// Permit allows one sub-request to one server. It must be released exactly
// once and not be used after that.
type Permit struct {
	server *server
	// limited means that the limit was in full use once this permit was taken.
	limited bool
	next    *Permit
}

func newServer(id target.ServerID, owner *Servers, share Share) *server {
	now := time.Now()
	return &server{
		id:         id,
		owner:      owner,
		options:    &owner.options,
		controller: newController(&owner.options, share, now),
		pacer:      pacer{tokens: 1, refilled: now},
	}
}

func (s *server) configure(share Share, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.configured = true
	s.controller.setShare(share)
	s.dispatch(now)
}

// closeIfUnused closes the server if it was never configured and nobody uses it,
// and reports whether it did.
func (s *server) closeIfUnused() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.closed = s.closed || s.unused()
	return s.closed
}

func (s *server) unused() bool { return !s.configured && s.inFlight == 0 && s.queue.count == 0 }

// close refuses all waiting callers and stops the timer.
func (s *server) close() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.closed = true
	for s.queue.count > 0 {
		s.queue.popFront().refuse(s.refusal(outcome.ReasonDraining, 0))
	}
	if s.dispatchTimer != nil {
		s.dispatchTimer.Stop()
	}
}

func (s *server) tryAcquire() (*Permit, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.queue.count > 0 {
		return nil, false
	}
	return s.take()
}

// take returns a permit if the limit allows it. The clock is read only when all
// whole slots are in use.
func (s *server) take() (*Permit, bool) {
	if s.inFlight < s.controller.wholeSlots() {
		return s.takeWhole(), true
	}
	s.advance(time.Now())
	whole := s.controller.wholeSlots()
	switch {
	case s.inFlight < whole:
		return s.takeWhole(), true
	case s.inFlight > whole || !s.fractionReady():
		return nil, false
	default:
		return s.takeFraction(), true
	}
}

func (s *server) takeWhole() *Permit {
	s.inFlight++
	return s.newPermit(s.inFlight >= s.controller.wholeSlots())
}

func (s *server) takeFraction() *Permit {
	s.inFlight++
	s.pacer.tokens--
	return s.newPermit(s.inFlight > 1 || s.pacer.tokens < 1)
}

// fractionReady reports whether the pacer has a token for the fractional slot.
func (s *server) fractionReady() bool {
	return s.controller.fraction() > 0 && s.pacer.tokens >= 1
}

// advance updates the limit and the pacer to the given time.
func (s *server) advance(now time.Time) {
	s.controller.recoverWithTime(now)
	s.pacer.refill(s.controller.fraction(), s.controller.latency.Average(), now)
}

func (s *server) newPermit(limited bool) *Permit {
	permit := s.freePermits
	if permit == nil {
		permit = &Permit{}
	} else {
		s.freePermits = permit.next
	}
	permit.server, permit.limited, permit.next = s, limited, nil
	return permit
}

// Release returns the permit and adjusts the server's limit according to the result.
func (p *Permit) Release(result Result) {
	s := p.server
	if s.release(p, result, time.Now()) {
		s.owner.dropIdle(s)
	}
}

// release reports whether the server is now unused and was never configured.
func (s *server) release(p *Permit, result Result, now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.inFlight--
	s.advance(now)
	s.controller.record(result, p.limited || s.queue.count > 0, now)
	if !result.Cancelled {
		s.failures.record(result.Shed || result.Failed, now)
	}
	p.next = s.freePermits
	s.freePermits = p
	s.dispatch(now)
	return s.unused()
}

// dispatch grants permits to waiting callers in order, refuses those whose
// predicted wait has become too long, and schedules the next dispatch.
func (s *server) dispatch(now time.Time) {
	if s.queue.count == 0 || s.closed {
		return
	}
	for s.queue.count > 0 {
		permit, taken := s.take()
		if !taken {
			break
		}
		s.queue.popFront().grant(permit)
	}
	for s.queue.count > 0 && s.predictedWait(s.queue.count-1) > s.options.MaxWait {
		s.queue.popBack().refuse(s.overloaded())
	}
	s.scheduleDispatch(now)
}

// scheduleDispatch schedules a dispatch for when the pacer has a token.
func (s *server) scheduleDispatch(now time.Time) {
	s.advance(now)
	if s.queue.count == 0 || s.inFlight != s.controller.wholeSlots() || s.controller.fraction() == 0 {
		return
	}
	const minDelay = 50 * time.Microsecond
	delay := s.pacer.untilNext(s.controller.fraction(), s.controller.latency.Average())
	delay = max(delay, minDelay)
	if s.dispatchTimer == nil {
		s.dispatchTimer = time.AfterFunc(delay, s.onDispatchTimer)
		return
	}
	s.dispatchTimer.Reset(delay)
}

func (s *server) onDispatchTimer() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.dispatch(time.Now())
}

// predictedWait returns the expected wait of a caller with the given number of
// callers ahead of it; zero while no latency is known.
func (s *server) predictedWait(ahead int) time.Duration {
	return time.Duration(ahead+1) * s.controller.drainInterval()
}

// enqueue queues a caller that may wait for at most bound, or returns a refusal. It
// returns a permit instead if one has become available meanwhile.
func (s *server) enqueue(w *waiter, bound time.Duration) (*Permit, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.closed {
		return nil, s.refusal(outcome.ReasonDraining, 0)
	}
	if s.queue.count == 0 {
		if permit, taken := s.take(); taken {
			return permit, nil
		}
	}
	if s.queue.count >= s.options.MaxWaiters || s.predictedWait(s.queue.count) > bound {
		return nil, s.overloaded()
	}
	s.queue.pushBack(w)
	s.scheduleDispatch(time.Now())
	return nil, nil
}

// abandon removes a caller from the queue. It returns false if the caller has
// already been answered.
func (s *server) abandon(w *waiter) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !w.queued {
		return false
	}
	s.queue.remove(w)
	return true
}

// waitBound returns the longest wait, up to MaxWait, that leaves time for an answer
// of average latency before the deadline.
func (s *server) waitBound(ctx context.Context) time.Duration {
	deadline, limited := ctx.Deadline()
	if !limited {
		return s.options.MaxWait
	}
	s.mutex.Lock()
	typical := s.controller.latency.Average()
	s.mutex.Unlock()
	return min(s.options.MaxWait, time.Until(deadline)-typical)
}

func (s *server) observe() Observation {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	observed := Observation{Saturated: s.saturated()}
	observed.InFlight = s.inFlight + s.queue.count
	observed.Limit = s.controller.inFlightLimit()
	observed.Latency = s.controller.latency.Average()
	if s.failures.share > 0 {
		observed.FailureShare = s.failures.current(time.Now())
	}
	return observed
}

// saturated reports whether a new caller would have to wait. It may advance the
// limit to the current time.
func (s *server) saturated() bool {
	if s.queue.count > 0 {
		return true
	}
	if s.inFlight < s.controller.wholeSlots() {
		return false
	}
	s.advance(time.Now())
	whole := s.controller.wholeSlots()
	return s.inFlight > whole || s.inFlight == whole && !s.fractionReady()
}

// overloaded returns the refusal of a caller whose wait would be too long.
func (s *server) overloaded() *outcome.Error {
	return s.refusal(outcome.ReasonOverloaded, max(s.predictedWait(s.queue.count), minRetryAfter))
}

// minRetryAfter is the minimum RetryAfter of an overload refusal; it applies while no
// latency is known.
const minRetryAfter = time.Millisecond

func (s *server) refusal(reason outcome.Reason, retryAfter time.Duration) *outcome.Error {
	return &outcome.Error{
		Step:       "acquire server permit",
		Peer:       string(s.id),
		Outcome:    outcome.NotRun,
		Reason:     reason,
		RetryAfter: retryAfter,
	}
}
