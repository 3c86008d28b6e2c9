package limit

import (
	"context"
	"time"

	"github.com/bramblemast/bramblemast/pkg/outcome"
)

// waiter is a caller waiting for a permit. It gets exactly one answer through the
// channel unless it leaves the queue first; queued and the links are guarded by
// the server's mutex.
type waiter struct {
	answer chan waitAnswer
	timer  *time.Timer

	queued         bool
	previous, next *waiter
}

// waitAnswer is either a permit or a refusal.
type waitAnswer struct {
	permit  *Permit
	refusal *outcome.Error
}

func newWaiter() *waiter {
	timer := time.NewTimer(time.Hour)
	timer.Stop()
	return &waiter{answer: make(chan waitAnswer, 1), timer: timer}
}

func (w *waiter) grant(permit *Permit) { w.answer <- waitAnswer{permit: permit} }

func (w *waiter) refuse(refusal *outcome.Error) { w.answer <- waitAnswer{refusal: refusal} }

// wait queues the caller at the server until it gets a permit or a refusal, the
// wait bound expires or ctx ends.
func (s *Servers) wait(ctx context.Context, server *server) (*Permit, error) {
	bound := server.waitBound(ctx)
	w := s.waiters.Get().(*waiter)
	defer s.waiters.Put(w)
	permit, err := server.enqueue(w, bound)
	if permit != nil || err != nil {
		return permit, err
	}
	w.timer.Reset(bound)
	defer w.timer.Stop()
	select {
	case answer := <-w.answer:
		return answer.result()
	case <-w.timer.C:
		return server.stopWaiting(w, server.timedOut)
	case <-ctx.Done():
		return server.stopWaiting(w, func() *outcome.Error { return server.contextEnded(ctx) })
	}
}

// stopWaiting removes the caller from the queue. If an answer came first, that
// answer is returned instead.
func (s *server) stopWaiting(w *waiter, refusal func() *outcome.Error) (*Permit, error) {
	if s.abandon(w) {
		return nil, refusal()
	}
	answer := <-w.answer
	return answer.result()
}

func (a waitAnswer) result() (*Permit, error) {
	if a.refusal != nil {
		return nil, a.refusal
	}
	return a.permit, nil
}

func (s *server) timedOut() *outcome.Error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.overloaded()
}

func (s *server) contextEnded(ctx context.Context) *outcome.Error {
	refusal := s.refusal(outcome.ReasonCancelled, 0)
	if context.Cause(ctx) == context.DeadlineExceeded {
		refusal.Reason = outcome.ReasonDeadline
	}
	refusal.Cause = context.Cause(ctx)
	return refusal
}

// waiterQueue is a list of waiters in order of arrival.
type waiterQueue struct {
	front, back *waiter
	count       int
}

func (q *waiterQueue) pushBack(w *waiter) {
	w.queued = true
	w.previous = q.back
	if q.back != nil {
		q.back.next = w
	} else {
		q.front = w
	}
	q.back = w
	q.count++
}

func (q *waiterQueue) popFront() *waiter {
	w := q.front
	q.remove(w)
	return w
}

func (q *waiterQueue) popBack() *waiter {
	w := q.back
	q.remove(w)
	return w
}

func (q *waiterQueue) remove(w *waiter) {
	if w.previous != nil {
		w.previous.next = w.next
	} else {
		q.front = w.next
	}
	if w.next != nil {
		w.next.previous = w.previous
	} else {
		q.back = w.previous
	}
	w.queued, w.previous, w.next = false, nil, nil
	q.count--
}
