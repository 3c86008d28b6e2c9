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
	// recheckInterval is the time after which a part that got no server is tried again: a tenth of
	// the shortest target of gathered requests (120 ms), so that a part whose rank has changed
	// meanwhile loses little. Waiters are woken without it.
	recheckInterval = 12 * time.Millisecond
	// deniedRecheckInterval is the time after which a hedge or a retry that the budget denied is
	// tried again: a third of that target. At 3 requests a second and node the budget of a service
	// changes less often than that.
	deniedRecheckInterval = 40 * time.Millisecond
	// immediateRefusals is the number of refusals after which a part is still retried at once: with
	// three servers a shard, each of them is then tried once.
	immediateRefusals = 2
	// refusedRecheckInterval is the wait of a part with more refusals: about the time in which a
	// full server (3 to 5 slots, 20 to 28 ms a request) empties its slots twice.
	refusedRecheckInterval = 60 * time.Millisecond
)

// attempt is one sub-request.
type attempt struct {
	*exchange.Attempt
	lease *fleet.Lease
	part  int
	// endedAt and result are set by the event loop when the attempt has ended.
	endedAt time.Time
	result  string
	// trial is the trial that the attempt uses; nil if the request needs none. isForShard says that
	// it is for the part alone.
	trial      *quarantine.Trial
	isForShard bool
}

// finished is the result of an attempt.
type finished struct {
	attempt *attempt
	answer  *exchange.Response
	err     error
}

// run is the state of one call of Run.
type run struct {
	runner  *Runner
	plan    Plan
	request *exchange.Request
	parts   []part
	results chan finished
	// wakes delivers the parts for which a server has become free.
	wakes chan int
	// ended is closed when the run no longer receives results.
	ended chan struct{}
	began time.Time
	// coveredAt is when the target share of the stop rule was reached, and recheckAt when the rule
	// is evaluated again; zero for never.
	coveredAt time.Time
	recheckAt time.Time
	// groups are the services with an owner. isWithheldFromOwners says that owners were not looked
	// for, since the request is withheld.
	groups               []Group
	isWithheldFromOwners bool
	// admission is the admission decision about the request.
	admission loadshed.Decision
	// skipped counts the skipped parts; see part.skipped.
	skipped int
	// work is the typical service time of a part; zero until it is first needed.
	work time.Duration
	// questions are the questions to owners, and inbox holds their reports.
	questions []*question
	inbox     *inbox
	// unreported holds the answers that the node of Plan.Collect has not received yet, and
	// wantedParts the parts that need a further server. reportAt is when the next report is due,
	// and hasReported says that one was sent.
	unreported  map[int]*exchange.Response
	wantedParts []int
	reportAt    time.Time
	hasReported bool
	// served says that a server has answered the request; attempts read it from their goroutines.
	served atomic.Bool
	// trial is the permit to send the request to one server although it is suspect; nil for none.
	// claims delivers it, isClaiming says that it was requested, and isTrialRefused that it was
	// refused.
	trial          *quarantine.Trial
	claims         chan *quarantine.Trial
	isClaiming     bool
	isTrialRefused bool
	// shardClaims delivers trials for single parts, and hasWithheld says that some parts are
	// withheld.
	shardClaims chan shardTrial
	hasWithheld bool
	// cachedFingerprint is the request's fingerprint once it has been computed.
	cachedFingerprint *exchange.Fingerprint
	// samplingValue orders the request among others, equally on all nodes.
	samplingValue uint64
	answered      int
	open          int
	hedges        int
	retries       int
	sent          int
	denied        int
	// brokenConnections counts the connections that broke, and firstBrokenAt is when the first one
	// did.
	brokenConnections int
	firstBrokenAt     time.Time
	// isDraining says that the run ends once it is unstarted; see Drain.EndStarting.
	isDraining bool
}

// newRun returns the state of a run that has sent nothing yet. The sampling value is the hash of
// the request's id until isAdmitted or a question sets another one.
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

// regions returns the regions in which the request may be served now.
func (r *run) regions() route.Regions {
	if r.plan.Regions == nil {
		return route.Regions{}
	}
	return r.plan.Regions()
}

// loadKey returns the key of the load on a service that the request counts in.
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
		case <-r.drained():
			return StopDraining
		case <-r.startingEnded():
			r.isDraining = true
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

// handleDue handles an event whose time has come. A result or report that has arrived is handled
// first, since it may make a hedge or a retry unnecessary: after a stall of the process both are
// found at once.
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

// handleTimer handles overdue reports and queries further servers for the parts whose hedgeAt has
// been reached.
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

// handleResult handles the end of an attempt.
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
		// An error answer, too, shows that the server survived the request.
		r.recordAnswerAt(part, now)
		r.recordAnswer()
	}
	if part.answer != nil {
		result.answer.Release()
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

// accept stores the answer of a part.
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

// retry queries another server after all attempts of a part have failed, or closes the part.
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

// awaitBudget keeps a part open for a while when the budget does not allow a further server: other
// requests to the service add to the budget.
func (r *run) awaitBudget(part *part, now time.Time) {
	if !r.keepOpen(part, now) {
		return
	}
	part.needsRetry = true
	part.hedgeAt = now.Add(deniedRecheckInterval)
}

// awaitCapacity keeps a part open for a while after repeated refusals: the servers have capacity
// later. Those that did not execute the part may be queried again.
func (r *run) awaitCapacity(part *part, now time.Time) {
	if !r.keepOpen(part, now) {
		return
	}
	part.refusals = 0
	part.forgetNotRun()
	part.needsRetry = true
	part.hedgeAt = now.Add(refusedRecheckInterval)
}

// keepOpen reports whether a part without an attempt in progress may still wait, and closes it if
// not.
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

// isHopeless reports whether a request to a single service has no server and none is expected
// before its deadline: an outage is expected to last as long again as it has lasted. A gathered
// request keeps the parts that it has.
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

// without removes an attempt from a list, which it modifies.
func without(list []*attempt, removed *attempt) []*attempt {
	for index, each := range list {
		if each == removed {
			return append(list[:index], list[index+1:]...)
		}
	}
	return list
}
