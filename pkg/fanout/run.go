package fanout

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bramblemast/bramblemast/pkg/exchange"
	"github.com/bramblemast/bramblemast/pkg/fleet"
	"github.com/bramblemast/bramblemast/pkg/loadshed"
	"github.com/bramblemast/bramblemast/pkg/quarantine"
	"github.com/bramblemast/bramblemast/pkg/route"
)

// Times of the event loop.
const (
	// recheck is after which time a part for which no server could be asked is tried again: a
	// tenth of the shortest target that is set for gathered requests (120 ms), so that a part
	// whose rank has changed meanwhile loses little. Waiters are woken without it.
	recheckInterval = 12 * time.Millisecond
	// deniedRecheckInterval is after which time a hedge or a retry that the budget denied is tried
	// again: a third of that target. At 3 requests a second and node the budget of a service
	// changes less often than that.
	deniedRecheckInterval = 40 * time.Millisecond
	// immediateRefusals is how many refusals of servers a part may meet at once: with
	// three servers a shard, each of them is then asked once.
	immediateRefusals = 2
	// refusedRecheckInterval is after which time it is tried again after that: about what a full
	// server (3 to 5 slots, 20 to 28 ms a request) needs to empty its slots twice.
	refusedRecheckInterval = 60 * time.Millisecond
)

// attempt is one sub-request under way.
type attempt struct {
	*exchange.Attempt
	lease *fleet.Lease
	part  int
	// endedAt and result are set by the event loop when the attempt has ended.
	endedAt time.Time
	result  string
	// trial is leave that the attempt was made with; nil if the request needed none. isForShard says
	// that it is for the part alone.
	trial      *quarantine.Trial
	isForShard bool
}

// finished is what an attempt reports.
type finished struct {
	attempt *attempt
	answer  *exchange.Response
	err     error
}

// run is the state of one Run.
type run struct {
	runner  *Runner
	plan    Plan
	request *exchange.Request
	parts   []part
	results chan finished
	// wakes takes the parts for which a server has become free.
	wakes chan int
	// ended is closed when nobody waits for results any longer.
	ended chan struct{}
	began time.Time
	// coveredAt is when the share of the stop rule was reached, recheckAt when
	// the rule is to be asked again; zero for never.
	coveredAt time.Time
	recheckAt time.Time
	// groups are the services with an owner. isWithheldFromOwners says that no owner was looked for,
	// since the request is kept back.
	groups               []Group
	isWithheldFromOwners bool
	// admission is the decision by which the request was let in or not.
	admission loadshed.Decision
	// spared counts the parts that are spared; see part.spared.
	skipped int
	// work is the typical time that a server needs for a part; zero until it is asked for.
	work time.Duration
	// questions are those to owners, and inbox what they have reported.
	questions []*question
	inbox     *inbox
	// fresh are the answers that the other node of Plan.Collect has not been told, and wants the
	// parts that need a further server; reportAt is when it is told next, and told says that
	// it was once.
	unreported  map[int]*exchange.Response
	wantedParts []int
	reportAt    time.Time
	hasReported bool
	// served says that a server has answered the request; attempts read it too.
	served atomic.Bool
	// trial is leave to send the request to one server although it is suspect; nil for none.
	// claims brings it, isClaiming says that it was asked for, and isTrialRefused that there
	// was none.
	trial          *quarantine.Trial
	claims         chan *quarantine.Trial
	isClaiming     bool
	isTrialRefused bool
	// shardClaims brings leave for one part, and hasWithheld says that parts are kept back.
	shardClaims chan shardTrial
	hasWithheld bool
	// fingerprinted is the request's fingerprint once it was made.
	cachedFingerprint *exchange.Fingerprint
	// lot orders the request among others, alike on all nodes.
	samplingValue uint64
	answered      int
	open          int
	hedges        int
	retries       int
	sent          int
	denied        int
	// broken counts the connections that broke, and firstBrokenAt is when the first one did.
	brokenConnections int
	firstBrokenAt     time.Time
}

// newRun returns the state of a run of which nothing was asked yet. The request's lot is that of its id
// until isAdmitted or a question sets another one.
func newRun(runner *Runner, plan Plan, request *exchange.Request) *run {
	parts := make([]part, len(plan.Services))
	for index, service := range plan.Services {
		parts[index].service = service
	}
	return &run{
		runner: runner, plan: plan, request: request, parts: parts, open: len(parts), began: time.Now(),
		samplingValue: xxhash.Sum64String(request.ID), admission: loadshed.Decision{IsAdmitted: true, Share: 1},
		results: make(chan finished, len(parts)), wakes: make(chan int, len(parts)), ended: make(chan struct{}),
		inbox: newInbox(), claims: make(chan *quarantine.Trial), shardClaims: make(chan shardTrial),
	}
}

// regions returns where the request may be served now.
func (r *run) regions() route.Regions {
	if r.plan.Regions == nil {
		return route.Regions{}
	}
	return r.plan.Regions()
}

// load names the load on a service that the request is counted in.
func (r *run) loadKey(service string) loadshed.Key {
	return loadshed.Key{Service: service, Regions: r.regions().Key()}
}

// loop handles events until the answer is final.
func (r *run) loop(ctx context.Context) StopReason {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		now := time.Now()
		r.settleWithheld(now)
		if reason, done := r.decide(now); done {
			return reason
		}
		r.claimTrial()
		if err := r.sendReport(now); err != nil {
			return StopCancelled
		}
		wait := r.nextEvent(now).Sub(now)
		if wait <= 0 {
			r.handleDue(now)
			continue
		}
		timer.Reset(wait)
		select {
		case <-ctx.Done():
			return StopCancelled
		case result := <-r.results:
			r.handleResult(result, time.Now())
		case <-r.inbox.arrived:
			r.handleReports(time.Now())
		case claimed := <-r.claims:
			r.handleTrial(claimed)
		case claimed := <-r.shardClaims:
			r.handleShardTrial(claimed)
		case granted := <-r.grants():
			r.handleGrant(granted, time.Now())
		case index := <-r.wakes:
			r.handleWake(index, time.Now())
		case <-timer.C:
			r.handleTimer(time.Now())
		}
	}
}

// handleDue handles what is due by now. A result that has come in goes first,
// since it may make a hedge or a retry needless: after a stall of the process
// both are found at once.
func (r *run) handleDue(now time.Time) {
	select {
	case result := <-r.results:
		r.handleResult(result, now)
	case <-r.inbox.arrived:
		r.handleReports(now)
	default:
		r.handleTimer(now)
	}
}

// handleTimer asks further servers for the parts that are due.
func (r *run) handleTimer(now time.Time) {
	r.handleSilence(now)
	for index := range r.parts {
		due := &r.parts[index]
		if due.hedgeAt.IsZero() || now.Before(due.hedgeAt) {
			continue
		}
		due.hedgeAt = time.Time{}
		switch {
		case due.question != nil:
			r.askDirectly(index, now)
		case due.needsRetry:
			r.retry(index, now)
		case !due.idleSince.IsZero():
			r.launchNext(index, now)
		default:
			r.hedge(index, now)
		}
	}
}

// take handles the end of an attempt.
func (r *run) handleResult(result finished, now time.Time) {
	index := result.attempt.part
	part := &r.parts[index]
	part.inFlight = without(part.inFlight, result.attempt)
	result.attempt.endedAt, result.attempt.result = now, result.describe()
	if result.attempt.Broken {
		r.countBrokenConnection(now)
		r.recordBrokenOfPart(part, result.attempt, now)
	}
	if result.err == nil && result.answer.Evidence != "" {
		// Also a failure that a server has made shows that it lives.
		r.recordAnswerAt(part, now)
		r.recordAnswer()
	}
	if part.answer != nil {
		return
	}
	if result.err == nil && r.runner.IsUsable(result.answer) {
		r.accept(index, result.answer, now)
		return
	}
	r.noteFailure(part, result)
	if len(part.inFlight) == 0 {
		r.retry(index, now)
	}
}

// accept takes the answer of a part.
func (r *run) accept(index int, answer *exchange.Response, now time.Time) {
	part := &r.parts[index]
	r.recordAnswerAt(part, now)
	r.recordAnswer()
	r.withdraw(part)
	part.answer = answer
	part.hasRun = true
	part.hedgeAt = time.Time{}
	r.recordServedLoad(part)
	r.answered++
	r.recordCompleteAnswer(now)
	if !part.closed {
		r.open--
	}
	for _, other := range part.inFlight {
		other.Expire(now.Add(r.runner.Linger))
	}
	if r.plan.Collect != nil {
		r.unreported[index] = answer
	}
}

// retry asks another server after all attempts of a part have failed, or
// closes the part.
func (r *run) retry(index int, now time.Time) {
	part := &r.parts[index]
	if part.executions > 0 && !r.plan.Repeatable {
		r.closePart(part)
		return
	}
	if part.executions >= max(r.plan.MaxAttempts, 1) {
		r.closePart(part)
		return
	}
	if r.needsGrant(index) {
		return
	}
	if r.withhold(part, now) {
		part.needsRetry = true
		return
	}
	if part.refusals > immediateRefusals {
		r.awaitCapacity(part, now)
		return
	}
	if part.arrivals > 0 && !r.spend(part, now) {
		r.awaitBudget(part, now)
		return
	}
	part.needsRetry = false
	r.retries++
	r.launchNext(index, now)
}

// awaitBudget keeps a part open for a while when the budget does not pay for a
// further server: it pays again as soon as the service is asked for others.
func (r *run) awaitBudget(part *part, now time.Time) {
	if !r.keepOpen(part, now) {
		return
	}
	part.needsRetry = true
	part.hedgeAt = now.Add(deniedRecheckInterval)
}

// awaitCapacity keeps a part open for a while when servers have turned it away again
// and again: they have room later. Those that did not run it may be asked anew.
func (r *run) awaitCapacity(part *part, now time.Time) {
	if !r.keepOpen(part, now) {
		return
	}
	part.refusals = 0
	part.forgetNotRun()
	part.needsRetry = true
	part.hedgeAt = now.Add(refusedRecheckInterval)
}

// keepOpen reports whether a part that is being asked nowhere may still wait,
// and closes it if not.
func (r *run) keepOpen(part *part, now time.Time) bool {
	if part.idleSince.IsZero() {
		part.idleSince = now
	}
	if now.Sub(part.idleSince) < r.plan.MaxServerWait && !r.isHopeless(part, now) {
		return true
	}
	r.closePart(part)
	return false
}

// isHopeless reports whether a request of one service has no server, and none is
// expected before it ends: an outage lasts about as long again as it has. A gathered
// request keeps what it has got.
func (r *run) isHopeless(part *part, now time.Time) bool {
	return len(r.parts) == 1 && part.absent && r.runner.Fleet.NoServerDuration(r.loadKey(part.service), now) >= r.plan.Deadline.Sub(now)
}

// closePart ends the search for a server of a part.
func (r *run) closePart(part *part) {
	part.closed = true
	part.hedgeAt = time.Time{}
	r.open--
	r.restoreSkipped()
}

// without returns a list of attempts without one of them. It reuses the list.
func without(list []*attempt, removed *attempt) []*attempt {
	for index, each := range list {
		if each == removed {
			return append(list[:index], list[index+1:]...)
		}
	}
	return list
}
