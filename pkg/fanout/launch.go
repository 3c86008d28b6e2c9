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

// statusMisdirected is the status of a server that is not the one the request was meant for: another
// process has taken its address.
const statusMisdirected = http.StatusMisdirectedRequest

// launchFirst asks the first server of a part.
func (r *run) launchFirst(index int, now time.Time) {
	r.runner.Budget.Earn(r.parts[index].service, now)
	r.recordAdmittedLoad(index, now)
	r.launchNext(index, now)
}

// launchNext asks a server of a part that is being asked nowhere. If all are
// busy, it is tried again a little later.
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

// awaitServer keeps a part open for a while when no server can be asked: all
// are busy, unreachable, or not listed yet. Such a part does not hold back an
// answer that is good enough without it; see decide.
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

// await lets a part wait for a free server in the order of the fleet.
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

// handleWake asks the server that has become free.
func (r *run) handleWake(index int, now time.Time) {
	part := &r.parts[index]
	if part.waiter == nil || part.answer != nil || part.closed {
		return
	}
	r.launchNext(index, now)
}

// hedgeTime returns when a second server is to be asked; zero if never.
func (r *run) hedgeTime(part *part, lease *fleet.Lease, now time.Time) time.Time {
	if !r.plan.Repeatable || part.executions >= r.plan.MaxAttempts {
		return time.Time{}
	}
	profile := r.runner.Fleet.Profile(r.plan.Kind, r.plan.Assumed)
	observed := policy.HedgeObservation{
		Quantile: profile.Quantile, Remaining: r.plan.Deadline.Sub(now),
		Typical: profile.Mean, Network: lease.Network,
	}
	if !r.plan.Target.IsZero() {
		observed.Useful = max(r.plan.Target.Sub(now), time.Nanosecond)
		observed.Alternative, _ = r.runner.Fleet.Estimate(r.choice(part), now)
	}
	wait, ok := r.plan.Hedge.Delay(observed)
	if !ok {
		return time.Time{}
	}
	if r.isServiceLimited(part, now) {
		wait = max(wait, time.Duration(limitedHedgeShare*float64(r.targetDuration())))
	}
	return now.Add(wait)
}

// hedge asks a further server while an earlier one is still silent.
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

// isTooLate reports whether a hedge would miss the deadline anyway.
func (r *run) isTooLate(lease *fleet.Lease, now time.Time) bool {
	return now.Add(lease.Expected).After(r.plan.Deadline)
}

// spend pays for an extra sub-request, as far as the template lets it. Late
// requests have the same right as others: what they lack is their last parts.
func (r *run) spend(part *part, now time.Time) bool {
	keep := 1 - r.plan.ExtraShare
	if r.runner.Budget.TrySpend(part.service, keep, now) {
		return true
	}
	r.denied++
	return false
}

// choice tells the fleet what a server of a part is wanted for.
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

// rank orders the sub-requests of a part among those of other requests.
func (r *run) rank(part *part) fleet.Rank {
	return fleet.Rank{
		Needed: r.isNeeded(part), Target: r.plan.Target, Deadline: r.plan.Deadline,
		QueueOrder: loadshed.WaitOrder(r.samplingValue, r.plan.Priority),
	}
}

// isNeeded reports whether the request cannot be answered without a part that is
// being asked nowhere: the parts that are answered or being asked for are fewer
// than required. A request that has enough without a shard whose servers are
// scarce leaves them to others.
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

// targetDuration is the time within which the whole answer is of full value.
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

// maySend returns what is asked right before a request is sent. It is called from the
// attempt's goroutine.
func (r *run) maySend(lease *fleet.Lease) func() bool {
	return func() bool { return r.runner.Fleet.MaySend(lease, r.regions(), time.Now()) }
}

// perform runs an attempt and tells the fleet and the run what it showed.
func (r *run) perform(started *attempt) {
	answer, err := started.Run()
	now := time.Now()
	r.runner.Fleet.Finish(started.lease, r.runner.classify(started, answer, err), started.ConnectTime, now)
	r.recordBroken(started, now)
	result := finished{attempt: started, answer: answer, err: err}
	select {
	case r.results <- result:
	case <-r.ended:
		r.releaseUnusedTrial(result)
		return
	}
	select {
	case <-r.ended:
		r.dropResults()
	default:
	}
}

// dropResults empties the channel of results once the run has ended: whichever of abandon and an
// attempt comes last finds what is left there.
func (r *run) dropResults() {
	for {
		select {
		case result := <-r.results:
			r.releaseUnusedTrial(result)
		default:
			return
		}
	}
}

// releaseUnusedTrial gives leave back that an attempt has not used when it ended after its run.
func (r *run) releaseUnusedTrial(result finished) {
	if result.err != nil && outcome.Of(result.err) == outcome.NotRun || result.err == nil && r.isRefusal(result.answer) {
		result.attempt.trial.Release()
	}
}

// classify returns what an attempt has shown of its server.
func (r *Runner) classify(started *attempt, answer *exchange.Response, err error) fleet.Result {
	switch {
	case started.Withdrawn:
		return fleet.Withdrawn
	case err != nil && started.Expired():
		return fleet.Abandoned
	case err != nil && started.TurnedAway:
		return fleet.TurnedAway
	case err != nil && !started.Arrived && outcome.Of(err) == outcome.NotRun:
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

// abandon lets the attempts that are still under way end: soon, so that their
// connections can be used again, or at once if the client has gone. A run for
// another node does not know which of the two it is.
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
