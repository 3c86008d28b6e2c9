package fanout

import (
	"net/http"
	"strconv"
	"time"

	"github.com/bramblemast/bramblemast/pkg/exchange"
	"github.com/bramblemast/bramblemast/pkg/outcome"
	"github.com/bramblemast/bramblemast/pkg/quarantine"
)

// noteFailure updates the state of a part after an attempt without a usable answer.
func (r *run) noteFailure(part *part, result finished) {
	if result.err != nil {
		r.noteError(part, result.attempt, result.err)
		return
	}
	part.refusal.Release()
	part.refusal = result.answer
	if r.isRefusal(result.answer) {
		r.returnTrial(result.attempt)
		part.shed = part.shed || result.answer.Status != statusMisdirected
		part.executions--
		part.refusals++
		part.markNotRun(result.attempt.lease)
		return
	}
	part.hasRun = true
}

// noteError updates the state of a part after an attempt without an answer.
func (r *run) noteError(part *part, failed *attempt, err error) {
	isNotRun := outcome.Of(err) == outcome.NotRun
	part.failure = err
	part.shed = part.shed || failed.TurnedAway
	if isNotRun {
		r.returnTrial(failed)
	}
	switch {
	case r.plan.Repeatable && failed.TurnedAway:
		part.executions--
		part.refusals++
		part.markNotRun(failed.lease)
		if !failed.MayHaveArrived {
			part.arrivals--
		}
	case isNotRun:
		part.executions--
		if !failed.MayHaveArrived {
			part.arrivals--
			part.markNotRun(failed.lease)
		}
	}
}

// isRefusal reports whether a server answered without executing the request.
func (r *run) isRefusal(answer *exchange.Response) bool {
	return answer.Header.Get(r.runner.Dialect.NotRun) != "" || answer.Status == statusMisdirected
}

// describe returns the result of an attempt for its log record.
func (f finished) describe() string {
	switch {
	case f.err != nil:
		return f.err.Error()
	case f.answer.Status != http.StatusOK:
		return "status " + strconv.Itoa(f.answer.Status)
	}
	return "answered"
}

// attemptRecords describes the attempts of the parts that were not answered by the first server.
func (r *run) attemptRecords(now time.Time) []AttemptRecord {
	var records []AttemptRecord
	for index := range r.parts {
		each := &r.parts[index]
		if len(each.attempts) == 1 && each.answer != nil {
			continue
		}
		for _, sent := range each.attempts {
			if len(records) == maxAttemptRecords {
				return records
			}
			records = append(records, r.attemptRecord(each, sent, now))
		}
	}
	return records
}

// attemptRecord describes one attempt, finished or pending.
func (r *run) attemptRecord(part *part, sent *attempt, now time.Time) AttemptRecord {
	end, result := sent.endedAt, sent.result
	if end.IsZero() {
		end, result = now, "pending"
	}
	return AttemptRecord{
		Service: part.service, Server: sent.lease.Server.ID, Zone: sent.lease.Server.Zone,
		SentMillis: sent.lease.AcquiredAt().Sub(r.began).Milliseconds(),
		TookMillis: end.Sub(sent.lease.AcquiredAt()).Milliseconds(), Result: result,
	}
}

// result returns the Result of the run.
func (r *run) result(reason StopReason) Result {
	result := Result{
		Parts: make([]*exchange.Response, len(r.parts)), Failures: make([]error, len(r.parts)),
		Refusals:      make([]*exchange.Response, len(r.parts)),
		AnsweredCount: r.answered, Reason: reason, Hedges: r.hedges, Retries: r.retries, Sent: r.sent, Denied: r.denied, BrokenConnections: r.brokenConnections,
		Attempts: r.attemptRecords(time.Now()), OwnersAsked: len(r.questions), OwnerRecords: r.ownerRecords(),
		CrashedServers: r.crashedServers(), Admission: r.admission,
		MayRun: make([]bool, len(r.parts)), ShedParts: make([]bool, len(r.parts)),
	}
	ran, mayRun := false, false
	for index := range r.parts {
		each := &r.parts[index]
		result.Parts[index], result.Failures[index], result.Refusals[index] = each.answer, each.failure, each.refusal
		if each.answer == nil && each.shed {
			result.Shed++
		}
		result.MayRun[index], result.ShedParts[index] = each.mayHaveRun(), each.shed
		ran = ran || each.hasRun
		mayRun = mayRun || each.executions > 0
	}
	switch {
	case ran:
		result.Outcome = outcome.Completed
	case !mayRun:
		result.Outcome = outcome.NotRun
	}
	return result
}

// Release returns the memory of all answers to its budget. They must not be used afterwards.
func (r *Result) Release() {
	for _, answers := range [][]*exchange.Response{r.Parts, r.Refusals} {
		for _, each := range answers {
			each.Release()
		}
	}
}

// refusalReason returns why a request is refused before it is sent; empty if it is not. A question
// of another node was admitted there, and that node also makes the trials of a suspect request.
func (r *run) refusalReason() StopReason {
	state, isForOther := r.quarantineState(), r.plan.Collect != nil
	switch {
	case r.isStartRefused():
		return StopDraining
	case state == quarantine.Quarantined || isForOther && state == quarantine.Suspect:
		return StopQuarantined
	case isForOther:
		return ""
	case r.needsBarredShards():
		return StopQuarantined
	case !r.isServable():
		return StopUnservable
	case !r.isAdmitted():
		return StopOverloaded
	}
	return ""
}

// isServable reports whether enough services have servers that may be used for the request.
func (r *run) isServable() bool {
	return r.runner.Fleet.CountServable(r.plan.Services, r.regions(), r.began) >= r.plan.Required
}

// refusedResult returns the result of a request that is refused before it is sent: its services are
// overloaded or have no server that may be used, or the request is quarantined.
func (r *run) refusedResult(reason StopReason) Result {
	cause := outcome.ReasonOverloaded
	switch reason {
	case StopUnservable:
		cause = outcome.ReasonNoReplica
	case StopQuarantined:
		cause = outcome.ReasonQuarantined
	case StopDraining:
		cause = outcome.ReasonDraining
	}
	for index := range r.parts {
		part := &r.parts[index]
		part.shed = reason == StopOverloaded
		part.failure = &outcome.Error{Step: "let in", Peer: part.service, Outcome: outcome.NotRun, Reason: cause}
	}
	return r.result(reason)
}
