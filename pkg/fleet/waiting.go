package fleet

import (
	"time"

	"github.com/bramblemast/bramblemast/pkg/loadshed"
)

// Rank orders sub-requests that wait for a free server.
type Rank struct {
	// Needed says that the request cannot be answered without this sub-request, and that it has not
	// been sent to any other server.
	Needed bool
	// Target is the time until which an answer has its full value; zero for no limit.
	Target time.Time
	// QueueOrder orders requests that are otherwise equal: the highest value goes first. It is the
	// same for all sub-requests of a request.
	QueueOrder uint64
	// Deadline is when the request ends.
	Deadline time.Time
}

// precedes orders sub-requests by the remaining value of their answers. Those without which no
// answer can be given come first. Among them, those that can still meet their target come first,
// ordered by QueueOrder, so that under overload all services serve the same requests first; in the
// order of arrival all would miss their targets together. Those that have missed their target
// follow, earliest deadline first.
func (r Rank) precedes(other Rank, now time.Time) bool {
	if r.Needed != other.Needed {
		return r.Needed
	}
	isInTime, isOtherInTime := r.isInTime(now), other.isInTime(now)
	switch {
	case isInTime != isOtherInTime:
		return isInTime
	case isInTime:
		return r.QueueOrder > other.QueueOrder
	}
	return r.Deadline.Before(other.Deadline)
}

// isInTime reports whether the target can still be met.
func (r Rank) isInTime(now time.Time) bool { return r.Target.IsZero() || now.Before(r.Target) }

// Waiter is a sub-request that waits because all servers of its service are busy. Its fields must
// not change while it waits.
type Waiter struct {
	Choice Choice
	// Wake is called once when a server has become free; the waiter is no longer waiting then. Wake
	// is called with the mutex of the Fleet held, so it must neither block nor call the Fleet.
	Wake func()
}

// Await adds a sub-request to those that wait for a free server of their service.
func (f *Fleet) Await(waiter *Waiter) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.waiters[waiter.Choice.Service] = append(f.waiters[waiter.Choice.Service], waiter)
}

// Withdraw ends the wait of a sub-request. It does nothing if the sub-request is no longer waiting.
func (f *Fleet) Withdraw(waiter *Waiter) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.removeWaiter(waiter)
}

// Waiting returns how many sub-requests wait for a free server of any of the services.
func (f *Fleet) Waiting(services ...string) int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	count := 0
	for _, service := range services {
		count += len(f.waiters[service])
	}
	return count
}

// Backlog implements loadshed.Queues. It counts the sub-requests that are needed and in time. Those
// without a target are to be answered by their deadline. If some have a target, the mean target of
// those applies to all, since all wait in the same queue.
func (f *Fleet) Backlog(key loadshed.Key, now time.Time) loadshed.Backlog {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var targeted, others spanMean
	for _, each := range f.waiters[key.Service] {
		choice := each.Choice
		switch {
		case !each.countsFor(key.Regions) || !choice.Rank.isInTime(now):
		case choice.Target > 0:
			targeted.add(choice.Target)
		case choice.Span > 0:
			others.add(choice.Span)
		}
	}
	backlog := loadshed.Backlog{Waiting: targeted.count + others.count, Target: targeted.mean()}
	if targeted.count == 0 {
		backlog.Target = others.mean()
	}
	return backlog
}

// spanMean computes the mean of durations.
type spanMean struct {
	count int
	sum   time.Duration
}

func (s *spanMean) add(span time.Duration) { s.count, s.sum = s.count+1, s.sum+span }

// mean returns the mean of the durations; zero if there are none.
func (s *spanMean) mean() time.Duration { return s.sum / time.Duration(max(1, s.count)) }

// countsFor reports whether a waiter counts for the load of requests that are bound to the regions
// with the given key.
func (w *Waiter) countsFor(regions string) bool {
	return w.Choice.Rank.Needed && w.Choice.Regions.Key() == regions
}

// removeWaiter removes a waiter from the list of its service. The mutex is held.
func (f *Fleet) removeWaiter(waiter *Waiter) {
	service := waiter.Choice.Service
	waiting := f.waiters[service]
	for index, each := range waiting {
		if each != waiter {
			continue
		}
		last := len(waiting) - 1
		waiting[index] = waiting[last]
		waiting[last] = nil
		f.waiters[service] = waiting[:last]
		if last == 0 {
			delete(f.waiters, service)
		}
		return
	}
}

// hasPrecedingWaiter reports whether a waiter that may use the server precedes the given rank. The
// mutex is held.
func (f *Fleet) hasPrecedingWaiter(server *member, rank Rank, now time.Time) bool {
	for _, each := range f.waiters[server.Service] {
		if each.Choice.Rank.precedes(rank, now) && f.isEligible(each.Choice, server) {
			return true
		}
	}
	return false
}

// wakeWaiters wakes as many waiters as a server has capacity for, in the order of their ranks. The
// mutex is held.
func (f *Fleet) wakeWaiters(server *member, now time.Time) {
	if len(f.waiters[server.Service]) == 0 || f.isWithdrawn(server, now) || server.isLeaving(now) {
		return
	}
	for free := f.limit(server, now) - len(server.active); free > 0; free-- {
		next := f.nextWaiter(server, now)
		if next == nil {
			return
		}
		f.removeWaiter(next)
		next.Wake()
	}
}

// nextWaiter returns the first waiter by rank among those that may use a server, or nil. The mutex
// is held.
func (f *Fleet) nextWaiter(server *member, now time.Time) *Waiter {
	var first *Waiter
	for _, each := range f.waiters[server.Service] {
		if !f.isEligible(each.Choice, server) {
			continue
		}
		if first == nil || each.Choice.Rank.precedes(first.Choice.Rank, now) {
			first = each
		}
	}
	return first
}
