// Package admission decides at a node, for each service, which requests run
// now, which wait and which are refused.
//
// A Gate runs a limited number of requests at once. The limit adapts: it rises
// while it is in use and all goes well, and falls when the back ends cannot
// keep up. The rest waits, tickers before interactive requests before archive
// ones, with turns for each tenant and a least share for each class. A request
// that cannot be served in time is refused as soon as the measured drain of
// the queue shows it, with when to retry; it is never held back.
//
// All methods are safe for concurrent use.
package admission

import (
	"context"
	"sync"
	"time"

	"github.com/bramblemast/bramblemast/pkg/outcome"
	"github.com/bramblemast/bramblemast/pkg/policy"
)

// sweepInterval is how often the predictions for waiting requests are renewed.
const sweepInterval = 5 * time.Millisecond

// Gate admits the requests of one service at one node.
type Gate struct {
	options  Options
	standard policy.AdmissionPolicy

	// mutex guards everything below.
	mutex      sync.Mutex
	controller controller
	// inFlight counts the places that are taken, cooling those of them whose
	// request has ended; see coolDown.
	inFlight int
	cooling  int
	queued   int
	queues   [rankCount]classQueue
	meter    drainMeter
	refused  refusalBacklog
	// sweeper renews the predictions while somebody waits; sweeping is true
	// while it is set.
	sweeper  *time.Timer
	sweeping bool
}

// Ticket is the admission of one request.
type Ticket struct {
	gate *Gate
	kind kind
	// limited means that all places were taken with this request.
	limited  bool
	released bool
}

// NewGate returns a gate without requests.
func NewGate(options Options) *Gate {
	gate := &Gate{options: options.withDefaults()}
	gate.controller = newController(&gate.options, time.Now())
	gate.standard = defaultPolicy()
	return gate
}

func defaultPolicy() policy.AdmissionPolicy {
	set, err := policy.Build(policy.Spec{})
	if err != nil {
		panic("admission: the default policies are invalid: " + err.Error())
	}
	return set.Admission
}

// Acquire admits a request, after a wait if need be. The ticket must be
// released.
//
// The error is an *outcome.Error with outcome NotRun. Its reason is overloaded,
// with RetryAfter set, if the gate refused the request, and cancelled or
// deadline if ctx ended while it waited.
func (g *Gate) Acquire(ctx context.Context, request Request) (*Ticket, error) {
	if ctx.Err() != nil {
		return nil, ended(ctx)
	}
	request = g.completed(ctx, request)
	waiting, answer := g.decide(request)
	if waiting == nil {
		return answer.result()
	}
	return g.wait(ctx, waiting)
}

func (g *Gate) wait(ctx context.Context, waiting *entry) (*Ticket, error) {
	if deadline := waiting.request.Deadline; !deadline.IsZero() {
		limited, cancel := context.WithDeadline(ctx, deadline)
		defer cancel()
		ctx = limited
	}
	select {
	case answer := <-waiting.answer:
		return answer.result()
	case <-ctx.Done():
		g.abandon(waiting)
		return nil, ended(ctx)
	}
}

// completed fills what the caller left out of a request.
func (g *Gate) completed(ctx context.Context, request Request) Request {
	if request.Policy == nil {
		request.Policy = g.standard
	}
	if request.Deadline.IsZero() {
		request.Deadline, _ = ctx.Deadline()
	}
	return request
}

// decide asks the policy about a new request. It returns the entry of a request
// that waits, or else the answer.
func (g *Gate) decide(request Request) (*entry, entryAnswer) {
	now := time.Now()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.measure(now)
	class := rankOf(request.Class)
	alike := g.queues[class].waitingOf(request.Tenant)
	state := g.state(&request, class, alike, now)
	decision := request.Policy.Decide(state)
	switch {
	case state.Remaining <= 0:
		return nil, entryAnswer{refusal: refusal(outcome.ReasonDeadline, 0)}
	case decision.Verdict == policy.Admit:
		ticket := g.admit(kind{request.Tenant, class}, now)
		g.dispatch(now)
		return nil, entryAnswer{ticket: ticket}
	case decision.Verdict == policy.Refuse || !g.makeRoom(class, alike, now):
		return nil, entryAnswer{refusal: g.overloaded(state, decision, now)}
	default:
		return g.enqueue(request, class, now), entryAnswer{}
	}
}

// admit takes a place and counts the classes that were passed over.
func (g *Gate) admit(of kind, now time.Time) *Ticket {
	g.inFlight++
	for other := range g.queues {
		if rank(other) != of.class && g.queues[other].count > 0 {
			g.queues[other].passedOver++
		}
	}
	g.queues[of.class].passedOver = 0
	g.measure(now)
	return &Ticket{gate: g, kind: of, limited: g.queued > 0 || g.inFlight >= g.controller.places()}
}

func (g *Gate) enqueue(request Request, class rank, now time.Time) *entry {
	waiting := &entry{request: request, rank: class, answer: make(chan entryAnswer, 1)}
	g.queues[class].push(waiting)
	g.queued++
	g.dispatch(now)
	g.armSweeper()
	return waiting
}

// abandon takes a request whose caller has gone out of the queue. If it was
// admitted meanwhile its place is given back.
func (g *Gate) abandon(waiting *entry) {
	g.mutex.Lock()
	left := waiting.tenant == nil
	if !left {
		g.leave(waiting)
	}
	g.mutex.Unlock()
	if !left {
		return
	}
	if answer := <-waiting.answer; answer.ticket != nil {
		answer.ticket.Release(Result{Cancelled: true})
	}
}

// leave takes an entry out of its queue.
func (g *Gate) leave(waiting *entry) {
	g.queues[waiting.rank].remove(waiting)
	g.queued--
}

// Release ends the admission and moves the gate's limit by the result. Only the
// first call counts.
func (t *Ticket) Release(result Result) {
	g := t.gate
	now := time.Now()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if t.released {
		return
	}
	t.released = true
	g.controller.record(t.kind, result, g.inFlight-g.cooling, t.limited || g.queued > 0, now)
	if wait := g.coolDown(t.kind, result); wait > 0 {
		g.cooling++
		time.AfterFunc(wait, g.cooled)
		return
	}
	g.freePlace(now)
}

// coolDown is how long the place of an overloaded request stays taken, so that
// it is taken for as long as that of a good one. A request that is shed at once
// would otherwise give its place to the next, which would be shed as well, and
// the queue would run empty in a moment.
func (g *Gate) coolDown(of kind, result Result) time.Duration {
	if !result.Overloaded {
		return 0
	}
	typical := g.controller.latencies.of(of).Average()
	if typical == 0 {
		typical = presumedService
	}
	return typical - result.Latency
}

// presumedService stands for the time of a request while none has ended well.
const presumedService = 10 * time.Millisecond

func (g *Gate) cooled() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.cooling--
	g.freePlace(time.Now())
}

func (g *Gate) freePlace(now time.Time) {
	g.measure(now)
	g.meter.leave()
	g.inFlight--
	g.dispatch(now)
}

// Observe returns the current state.
func (g *Gate) Observe() Observation {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.measure(time.Now())
	observed := Observation{
		InFlight:       g.inFlight - g.cooling,
		Queued:         g.queued,
		QueuedByClass:  make(map[policy.Class]int, rankCount),
		Limit:          g.controller.places(),
		DrainRate:      g.drainRate(),
		TypicalService: g.controller.latencies.all.Average(),
	}
	for index, class := range classes {
		observed.QueuedByClass[class] = g.queues[index].count
	}
	return observed
}

func (a entryAnswer) result() (*Ticket, error) {
	if a.refusal != nil {
		return nil, a.refusal
	}
	return a.ticket, nil
}
