package admission

import (
	"container/list"
	"time"

	"github.com/bramblemast/bramblemast/pkg/outcome"
	"github.com/bramblemast/bramblemast/pkg/policy"
)

// rank is the position of a class in the order of service; 0 is served first.
type rank int

const (
	rankTicker rank = iota
	rankInteractive
	rankArchive
	rankCount
)

// passOverBounds is how many requests of other classes may be served while a
// class waits, before it gets a turn. So interactive requests get at least a
// fifth of the places and archive requests a twentieth, whatever the load.
var passOverBounds = [rankCount]int{rankTicker: 0, rankInteractive: 4, rankArchive: 19}

var classes = [rankCount]policy.Class{policy.ClassTicker, policy.ClassInteractive, policy.ClassArchive}

func rankOf(class policy.Class) rank {
	switch class {
	case policy.ClassTicker:
		return rankTicker
	case policy.ClassArchive:
		return rankArchive
	default:
		return rankInteractive
	}
}

// entry is one waiting request. Its answer comes once, through the channel.
type entry struct {
	request Request
	rank    rank
	answer  chan entryAnswer
	// tenant and element are its place in the queue; tenant is nil when it has
	// left the queue.
	tenant  *tenantQueue
	element *list.Element
}

// entryAnswer is either a ticket or a refusal.
type entryAnswer struct {
	ticket  *Ticket
	refusal *outcome.Error
}

// tenantQueue holds the waiting requests of one tenant and class in order of
// arrival.
type tenantQueue struct {
	tenant  string
	entries *list.List
}

// classQueue holds the waiting requests of one class. Tenants take turns.
type classQueue struct {
	// tenants holds those with waiting requests; next is whose turn it is.
	tenants []*tenantQueue
	next    int
	count   int
	// passedOver counts the requests of other classes that were served while
	// this class waited, since its own last turn.
	passedOver int
	meter      drainMeter
}

func (q *classQueue) find(tenant string) *tenantQueue {
	for _, candidate := range q.tenants {
		if candidate.tenant == tenant {
			return candidate
		}
	}
	return nil
}

// waitingOf returns the number of waiting requests of a tenant.
func (q *classQueue) waitingOf(tenant string) int {
	found := q.find(tenant)
	if found == nil {
		return 0
	}
	return found.entries.Len()
}

// aheadOf returns how many requests are served before one of the tenant that
// has so many of the same tenant before it.
func (q *classQueue) aheadOf(tenant string, alike int) int {
	ahead := alike
	for _, other := range q.tenants {
		if other.tenant != tenant {
			ahead += min(other.entries.Len(), alike+1)
		}
	}
	return ahead
}

func (q *classQueue) push(waiting *entry) {
	home := q.find(waiting.request.Tenant)
	if home == nil {
		home = &tenantQueue{tenant: waiting.request.Tenant, entries: list.New()}
		q.tenants = append(q.tenants, home)
	}
	waiting.tenant = home
	waiting.element = home.entries.PushBack(waiting)
	q.count++
}

// head returns the request whose turn it is; nil if none waits.
func (q *classQueue) head() *entry {
	if q.count == 0 {
		return nil
	}
	return q.tenants[q.next].entries.Front().Value.(*entry)
}

// endTurn gives the turn to the next tenant, after head was served.
func (q *classQueue) endTurn(served *entry) {
	home := served.tenant
	q.remove(served)
	if home.entries.Len() > 0 {
		q.next = (q.next + 1) % len(q.tenants)
	}
}

func (q *classQueue) remove(waiting *entry) {
	home := waiting.tenant
	home.entries.Remove(waiting.element)
	waiting.tenant, waiting.element = nil, nil
	q.count--
	if home.entries.Len() == 0 {
		q.removeTenant(home)
	}
}

func (q *classQueue) removeTenant(home *tenantQueue) {
	for index, candidate := range q.tenants {
		if candidate != home {
			continue
		}
		q.tenants = append(q.tenants[:index], q.tenants[index+1:]...)
		if index < q.next {
			q.next--
		}
		if q.next >= len(q.tenants) {
			q.next = 0
		}
		return
	}
}

// longest returns the tenant with the most waiting requests; nil if none.
func (q *classQueue) longest() *tenantQueue {
	var found *tenantQueue
	for _, candidate := range q.tenants {
		if found == nil || candidate.entries.Len() > found.entries.Len() {
			found = candidate
		}
	}
	return found
}

// remainingOf returns the time until the deadline of a waiting request.
func remainingOf(request *Request, now time.Time) time.Duration {
	if request.Deadline.IsZero() {
		return noDeadline
	}
	return request.Deadline.Sub(now)
}

// noDeadline stands for the remaining time of a request without a deadline.
const noDeadline = time.Hour
