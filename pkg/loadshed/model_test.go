package loadshed_test

import (
	"math/rand/v2"
	"time"

	"github.com/bramblemast/bramblemast/pkg/loadshed"
)

// The deployment of the model: 67 nodes with two requests a second each, and twelve shards with one
// owner each. The servers of a shard do four seconds of work a second.
const (
	modelNodes    = 67
	modelShards   = 12
	modelCapacity = 4.0
	modelRate     = 134.0
	modelStep     = 2 * time.Millisecond
	modelSpan     = 5 * time.Second
	// modelDelay is how long the shares of an owner take to reach the nodes.
	modelDelay = 50 * time.Millisecond
)

// kind is a kind of request of the model.
type kind struct {
	name     string
	priority int
	// part is its part of all requests, and needed the number of shards that it needs.
	part     float64
	needed   int
	work     time.Duration
	target   time.Duration
	deadline time.Duration
}

var modelKinds = []kind{
	{"search", 1, 0.75, 11, 28 * time.Millisecond, 400 * time.Millisecond, 1500 * time.Millisecond},
	{"check", 2, 0.25, 10, 9 * time.Millisecond, 150 * time.Millisecond, 800 * time.Millisecond},
}

// modelRequest is one request in flight.
type modelRequest struct {
	kind
	tenant    string
	sample    uint64
	node      int
	arrivedAt time.Time
	answered  int
	// shares are the shares of its class at each shard, as its node knew them.
	shares [modelShards]float64
	ended  bool
}

func (r *modelRequest) class() loadshed.Class {
	return loadshed.Class{Priority: r.priority, Tenant: r.tenant}
}

// scheme decides which requests are admitted.
type scheme interface {
	// admit returns the shards that are queried; nil refuses the request.
	admit(request *modelRequest, now time.Time) []int
	// admitted and served report the start and the answer of a request at a shard, and ended its
	// end.
	admitted(shard int, request *modelRequest, now time.Time)
	served(shard int, request *modelRequest)
	ended(request *modelRequest, inTime bool, now time.Time)
	// evaluate updates the scheme from the queues, every 100 ms.
	evaluate(model *model, now time.Time)
}

// model simulates the queues of the shards and counts the outcomes of requests.
type model struct {
	random        *rand.Rand
	now           time.Time
	scheme        scheme
	kinds         []kind
	capacity      [modelShards]float64
	availableWork [modelShards]float64
	queues        [modelShards][]*modelRequest
	live          []*modelRequest
	counts        map[string]*tally
}

// tally counts the requests of a kind or a tenant by outcome.
type tally struct{ offered, inTime, late, refused, failed int }

func newModel(tested scheme) *model {
	created := &model{random: rand.New(rand.NewPCG(1, 2)), now: time.Unix(100, 0), scheme: tested, kinds: modelKinds}
	for shard := range created.capacity {
		created.capacity[shard] = modelCapacity
	}
	return created
}

// run offers requests at a rate per second for a span of time; tenantOf draws the tenant of a
// request.
func (m *model) run(rate float64, span time.Duration, tenantOf func(*rand.Rand) string) {
	m.counts = make(map[string]*tally)
	for end := m.now.Add(span); m.now.Before(end); m.now = m.now.Add(modelStep) {
		for left := rate * modelStep.Seconds(); left > 0; left-- {
			if m.random.Float64() < left {
				m.offer(tenantOf(m.random))
			}
		}
		for shard := range m.queues {
			m.serve(shard)
		}
		m.endRequests()
		if m.now.UnixMilli()%100 == 0 {
			m.scheme.evaluate(m, m.now)
		}
	}
}

// count applies a change to the tallies of a request.
func (m *model) count(request *modelRequest, change func(*tally)) {
	for _, name := range []string{"all", request.name, request.tenant} {
		if m.counts[name] == nil {
			m.counts[name] = &tally{}
		}
		change(m.counts[name])
	}
}

func (m *model) offer(tenant string) {
	request := &modelRequest{tenant: tenant, sample: m.random.Uint64(), node: m.random.IntN(modelNodes), arrivedAt: m.now}
	request.kind = m.kinds[len(m.kinds)-1]
	for position, drawn := 0, m.random.Float64(); position < len(m.kinds); position++ {
		if drawn -= m.kinds[position].part; drawn < 0 {
			request.kind = m.kinds[position]
			break
		}
	}
	m.count(request, func(t *tally) { t.offered++ })
	shards := m.scheme.admit(request, m.now)
	if shards == nil {
		m.count(request, func(t *tally) { t.refused++ })
		return
	}
	m.live = append(m.live, request)
	for _, shard := range shards {
		m.scheme.admitted(shard, request, m.now)
		m.queues[shard] = append(m.queues[shard], request)
	}
}

// serve simulates one step of a shard. Requests that are still in time come first, in the order of
// loadshed.WaitOrder.
func (m *model) serve(shard int) {
	m.availableWork[shard] += m.capacity[shard] * modelStep.Seconds()
	for len(m.queues[shard]) > 0 {
		best := 0
		for index, other := range m.queues[shard] {
			if m.precedes(other, m.queues[shard][best]) {
				best = index
			}
		}
		next := m.queues[shard][best]
		if next.ended || next.answered >= next.needed {
			m.queues[shard] = append(m.queues[shard][:best], m.queues[shard][best+1:]...)
			continue
		}
		if m.availableWork[shard] < next.work.Seconds() {
			return
		}
		m.availableWork[shard] -= next.work.Seconds()
		m.queues[shard] = append(m.queues[shard][:best], m.queues[shard][best+1:]...)
		m.scheme.served(shard, next)
		next.answered++
	}
	m.availableWork[shard] = min(m.availableWork[shard], 0.05)
}

func (m *model) precedes(one, other *modelRequest) bool {
	isInTime, isOtherInTime := m.now.Sub(one.arrivedAt) < one.target, m.now.Sub(other.arrivedAt) < other.target
	if isInTime != isOtherInTime {
		return isInTime
	}
	return loadshed.WaitOrder(one.sample, one.priority) > loadshed.WaitOrder(other.sample, other.priority)
}

// endRequests ends the requests that are answered or have reached their deadline.
func (m *model) endRequests() {
	kept := m.live[:0]
	for _, request := range m.live {
		age := m.now.Sub(request.arrivedAt)
		isServed := request.answered >= request.needed
		if !isServed && age < request.deadline {
			kept = append(kept, request)
			continue
		}
		request.ended = true
		m.scheme.ended(request, isServed && age <= request.target, m.now)
		m.count(request, func(t *tally) {
			switch {
			case isServed && age <= request.target:
				t.inTime++
			case isServed:
				t.late++
			default:
				t.failed++
			}
		})
	}
	m.live = kept
}
