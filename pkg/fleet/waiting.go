package fleet

import (
	"time"

	"github.com/bramblemast/bramblemast/pkg/loadshed"
)

// Rank orders sub-requests for which no server is free.
type Rank struct {
	// Needed says that the request cannot be answered without this sub-request,
	// and that no other server has been asked for it.
	Needed bool
	// Target is until when an answer is of full value; zero if always.
	Target time.Time
	// QueueOrder orders requests that are alike; it is the same for all sub-requests of
	// a request.
	QueueOrder uint64
	// Deadline is when the request ends.
	Deadline time.Time
}

// precedes orders by what an answer can still earn. Those without which no
// answer can be given go first; among them those that are in time, by lot, so
// that under overload the same requests go first at every service: in the order
// of arrival all would be late together. Late ones follow, the one that ends
// soonest first.
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

func (r Rank) isInTime(now time.Time) bool { return r.Target.IsZero() || now.Before(r.Target) }

// Waiter is a sub-request for which all servers of its service are busy. The
// fields do not change while it waits.
type Waiter struct {
	Choice Choice
	// Wake is called once when a server has become free; the waiter is then no
	// longer waiting. It does not block.
	Wake func()
}

// Await lets a sub-request wait until a server of its service is free.
func (f *Fleet) Await(waiter *Waiter) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.waiters[waiter.Choice.Service] = append(f.waiters[waiter.Choice.Service], waiter)
}

// Withdraw ends the wait of a sub-request; it does nothing if it waits no more.
func (f *Fleet) Withdraw(waiter *Waiter) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.removeWaiter(waiter)
}

// Waiting returns how many sub-requests wait for a free server of the services.
func (f *Fleet) Waiting(services ...string) int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	count := 0
	for _, service := range services {
		count += len(f.waiters[service])
	}
	return count
}

// Backlog implements loadshed.Queues: it counts the sub-requests that are needed and in time. Those
// without a target are to be answered by their deadline; beside others with one, that of the others
// counts, since all stand in the same queue.
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

// spans are times of which the mean is asked.
type spanMean struct {
	count int
	sum   time.Duration
}

func (s *spanMean) add(span time.Duration) { s.count, s.sum = s.count+1, s.sum+span }

// mean returns zero for none.
func (s *spanMean) mean() time.Duration { return s.sum / time.Duration(max(1, s.count)) }

// countsFor reports whether a waiter counts in the load of the requests that are bound to
// regions with a key.
func (w *Waiter) countsFor(regions string) bool {
	return w.Choice.Rank.Needed && w.Choice.Regions.Key() == regions
}

// removeWaiter takes a waiter from its list. The mutex is held.
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

// hasPrecedingWaiter reports whether a waiter that goes before a rank may use a server.
// The mutex is held.
func (f *Fleet) hasPrecedingWaiter(server *member, rank Rank, now time.Time) bool {
	for _, each := range f.waiters[server.Service] {
		if each.Choice.Rank.precedes(rank, now) && f.isEligible(each.Choice, server) {
			return true
		}
	}
	return false
}

// wakeWaiters wakes as many waiters as a server has room for, in their order.
// The mutex is held.
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

// nextWaiter returns the waiter that goes first among those that may use a
// server, or nil. The mutex is held.
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
