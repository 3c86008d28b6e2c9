package fanout

import (
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/pkg/exchange"
	"github.com/bramblemast/bramblemast/pkg/fleet"
	"github.com/bramblemast/bramblemast/pkg/loadshed"
	"github.com/bramblemast/bramblemast/pkg/outcome"
	"github.com/bramblemast/bramblemast/pkg/policy"
)

// statusMisdirected is the status of a server that is not the one the request was meant for, since
// another process has taken over its address.
const statusMisdirected = http.StatusMisdirectedRequest

// launchFirst sends a part to its first server.
func (r *run) launchFirst(index int, now time.Time) {
	r.runner.Budget.Earn(r.parts[index].service, now)
	r.recordAdmittedLoad(index, now)
	r.launchNext(index, now)
}

// launchNext sends a part without an attempt in progress to a server. If all are busy, the part
// waits for one.
func (r *run) launchNext(index int, now time.Time) {
	part := &r.parts[index]
	if r.withhold(part, now) {
		if part.idleSince.IsZero() {
			part.idleSince = now
		}
		return
	}
	r.withdraw(part)
	lease, availability := r.runner.Fleet.Acquire(r.choice(part), now)
	if lease == nil {
		r.awaitServer(index, availability, now)
		return
	}
	part.idleSince, part.absent = time.Time{}, false
	r.send(index, lease, now)
	part.hedgeAt = r.hedgeTime(part, lease, now)
}

// awaitServer keeps a part open for a while when no server can take it: all are busy, unreachable,
// or not listed yet. A part without any server does not delay an answer that is sufficient without
// it; see decide.
func (r *run) awaitServer(index int, availability fleet.Availability, now time.Time) {
	part := &r.parts[index]
	if part.failure == nil {
		part.failure = &outcome.Error{
			Step: "choose server", Peer: part.service, Outcome: outcome.NotRun,
			Reason: outcome.ReasonNoReplica, Cause: errors.Errorf("all servers are %s", availability),
		}
	}
	part.absent = availability == fleet.Absent
	part.shed = part.shed || availability == fleet.Busy
	if !r.keepOpen(part, now) {
		return
	}
	part.forgetNotRun()
	part.hedgeAt = now.Add(recheckInterval)
	if availability == fleet.Busy {
		r.await(index)
	}
}

// await queues a part for a free server; the fleet decides the order.
func (r *run) await(index int) {
	part := &r.parts[index]
	part.waiter = &fleet.Waiter{
		Choice: r.choice(part),
		Wake: func() {
			select {
			case r.wakes <- index:
			default:
			}
		},
	}
	r.runner.Fleet.Await(part.waiter)
}

// withdraw ends the wait of a part for a free server.
func (r *run) withdraw(part *part) {
	if part.waiter != nil {
		r.runner.Fleet.Withdraw(part.waiter)
		part.waiter = nil
	}
}

// handleWake sends a part to the server that has become free.
func (r *run) handleWake(index int, now time.Time) {
	part := &r.parts[index]
	if part.waiter == nil || part.answer != nil || part.closed {
		return
	}
	r.launchNext(index, now)
}

// hedgeTime returns the time at which a further server is queried; zero for never.
func (r *run) hedgeTime(part *part, lease *fleet.Lease, now time.Time) time.Time {
	if !r.plan.Repeatable || part.executions >= r.plan.MaxAttempts {
		return time.Time{}
	}
	profile := r.runner.Fleet.Profile(r.plan.Kind, r.plan.Assumed)
	observation := policy.HedgeObservation{
		Quantile: profile.Quantile, Remaining: r.plan.Deadline.Sub(now),
		Typical: profile.Mean, Network: lease.Network,
	}
	if !r.plan.Target.IsZero() {
		observation.UsefulRemaining = max(r.plan.Target.Sub(now), time.Nanosecond)
		observation.Alternative, _ = r.runner.Fleet.Estimate(r.choice(part), now)
	}
	wait, ok := r.plan.Hedge.Delay(observation)
	if !ok {
		return time.Time{}
	}
	if r.isServiceLimited(part, now) {
		wait = max(wait, time.Duration(limitedHedgeShare*float64(r.targetDuration())))
	}
	return now.Add(wait)
}

// hedge sends a part to a further server while an earlier one has not answered.
func (r *run) hedge(index int, now time.Time) {
	part := &r.parts[index]
	if part.executions >= r.plan.MaxAttempts || !r.plan.Repeatable || r.needsGrant(index) || r.withhold(part, now) {
		return
	}
	lease, _ := r.runner.Fleet.Acquire(r.choice(part), now)
	if lease == nil {
		part.hedgeAt = now.Add(recheckInterval)
		return
	}
	if r.isTooLate(lease, now) || !r.spend(part, now) {
		r.runner.Fleet.Cancel(lease)
		part.hedgeAt = now.Add(deniedRecheckInterval)
		return
	}
	r.hedges++
	r.send(index, lease, now)
	part.hedgeAt = r.hedgeTime(part, lease, now)
}

// isTooLate reports whether a hedge is expected to miss the deadline.
func (r *run) isTooLate(lease *fleet.Lease, now time.Time) bool {
	return now.Add(lease.Expected).After(r.plan.Deadline)
}

// spend takes an extra sub-request from the budget, within the share that the plan allows. Late
// requests may use the same share as others: they lack only their last parts.
func (r *run) spend(part *part, now time.Time) bool {
	reserve := 1 - r.plan.ExtraShare
	if r.runner.Budget.TrySpend(part.service, reserve, now) {
		return true
	}
	r.denied++
	return false
}

// choice describes to the fleet the server that a part needs.
func (r *run) choice(part *part) fleet.Choice {
	var excluded []*fleet.Lease
	for _, each := range part.tried {
		excluded = append(excluded, each.lease)
	}
	return fleet.Choice{
		Service: part.service, Kind: r.plan.Kind, Assumed: r.plan.Assumed,
		Target: r.targetDuration(), Span: r.plan.Deadline.Sub(r.began),
		Rank: r.rank(part), Excluded: excluded, AsOwner: part.owned, Regions: r.regions(),
	}
}

// rank returns the order of a part's sub-requests among those of other requests.
func (r *run) rank(part *part) fleet.Rank {
	return fleet.Rank{
		Needed: r.isNeeded(part), Target: r.plan.Target, Deadline: r.plan.Deadline,
		QueueOrder: loadshed.WaitOrder(r.samplingValue, r.plan.Priority),
	}
}

// isNeeded reports whether the request cannot be answered without a part that has no attempt in
// progress: fewer parts than required are answered or in progress. A request that has enough parts
// without a shard whose servers are scarce leaves them to others.
func (r *run) isNeeded(part *part) bool {
	if len(part.inFlight) > 0 || part.skipped {
		return false
	}
	covered := r.answered
	for index := range r.parts {
		if each := &r.parts[index]; each.answer == nil && !each.skipped && (len(each.inFlight) > 0 || each.question != nil) {
			covered++
		}
	}
	return covered < r.plan.Required
}

// targetDuration is the time from the start of the request to its target; zero if it has none.
func (r *run) targetDuration() time.Duration {
	if r.plan.Target.IsZero() {
		return 0
	}
	return r.plan.Target.Sub(r.began)
}

// send starts an attempt.
func (r *run) send(index int, lease *fleet.Lease, now time.Time) {
	part := &r.parts[index]
	started := &attempt{
		Attempt: &exchange.Attempt{
			Dialect: r.runner.Dialect, Pool: lease.Pool, Request: r.request,
			Instance: lease.Server.ID, Deadline: r.plan.Deadline, MaySend: r.maySend(lease),
			Memory: r.runner.Memory,
		},
		lease: lease, part: index,
	}
	r.useTrial(started)
	part.tried = append(part.tried, triedServer{lease: lease})
	part.inFlight = append(part.inFlight, started)
	part.attempts = append(part.attempts, started)
	part.arrivals++
	part.executions++
	r.sent++
	go r.perform(started)
}

// maySend returns the check that is made right before a request is sent. It is called from the
// attempt's goroutine.
func (r *run) maySend(lease *fleet.Lease) func() bool {
	return func() bool { return r.runner.Fleet.MaySend(lease, r.regions(), time.Now()) }
}

// perform runs an attempt and reports its result to the fleet and to the run.
func (r *run) perform(started *attempt) {
	answer, err := started.Run()
	now := time.Now()
	r.runner.Fleet.Finish(started.lease, r.runner.classify(started, answer, err), started.ConnectTime, now)
	r.recordBroken(started, now)
	result := finished{attempt: started, answer: answer, err: err}
	select {
	case r.results <- result:
	case <-r.ended:
		r.drop(result)
		return
	}
	select {
	case <-r.ended:
		r.dropResults()
	default:
	}
}

// dropResults empties the channel of results after the run has ended. Both abandon and the attempts
// call it, so that whichever comes last handles the results that are left.
func (r *run) dropResults() {
	for {
		select {
		case result := <-r.results:
			r.drop(result)
		default:
			return
		}
	}
}

// drop releases what the result of an attempt holds after its run has ended.
func (r *run) drop(result finished) {
	r.releaseUnusedTrial(result)
	result.answer.Release()
}

// releaseUnusedTrial releases the trial of an attempt that ended after its run without being
// executed.
func (r *run) releaseUnusedTrial(result finished) {
	if result.err != nil && outcome.Of(result.err) == outcome.NotRun || result.err == nil && r.isRefusal(result.answer) {
		result.attempt.trial.Release()
	}
}

// classify returns what the result of an attempt says about its server.
func (r *Runner) classify(started *attempt, answer *exchange.Response, err error) fleet.Result {
	switch {
	case started.Withdrawn:
		return fleet.Withdrawn
	case err != nil && started.Expired():
		return fleet.Abandoned
	case err != nil && started.TurnedAway:
		return fleet.TurnedAway
	case err != nil && !started.MayHaveArrived && outcome.Of(err) == outcome.NotRun:
		return fleet.Unreachable
	case err != nil:
		return fleet.Failed
	case answer.Status == statusMisdirected:
		return fleet.WrongInstance
	case answer.Header.Get(r.Dialect.NotRun) != "":
		return fleet.Refused
	case !r.IsUsable(answer):
		return fleet.Failed
	}
	return fleet.Answered
}

// abandon ends the attempts that are still in progress: after Linger, so that their connections can
// be reused, or at once if the client has gone. A run for another node cannot tell whether the
// client has gone, and lets them linger.
func (r *run) abandon(reason StopReason) {
	close(r.ended)
	end := time.Now()
	if reason != StopCancelled || r.plan.Collect != nil {
		end = end.Add(r.runner.Linger)
	}
	r.dropResults()
	r.trial.Release()
	r.inbox.close()
	for _, question := range r.questions {
		question.cancel()
	}
	for index := range r.parts {
		r.withdraw(&r.parts[index])
		r.parts[index].trial.Release()
		for _, each := range r.parts[index].inFlight {
			each.Expire(end)
		}
	}
}
