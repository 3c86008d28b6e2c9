package fanout

import (
	"time"

	"github.com/bramblemast/bramblemast/pkg/exchange"
	"github.com/bramblemast/bramblemast/pkg/fleet"
	"github.com/bramblemast/bramblemast/pkg/outcome"
	"github.com/bramblemast/bramblemast/pkg/route"
)

// Owners divides services among the nodes that ask their servers on behalf of
// others, and asks those nodes. It is safe for concurrent use.
type Owners interface {
	// Divide returns the groups of services that have an owner to which a request bound
	// to some regions may be sent on. Services in none are asked by this node, on its own
	// behalf alone.
	Divide(services []string, regions route.Regions) []Group
	// Ask sends a question to the owner of its group. report takes what the owner
	// has got; it does not block and may be called before Ask returns.
	Ask(question Question, report func(Report)) Pending
}

// Group is some services with one owner.
type Group struct {
	// Owner is the name of the node to ask; empty if it is this node.
	Owner string
	// Indexes are the positions of the services among those that were divided.
	Indexes []int
}

// Question is what an owner is asked.
type Question struct {
	Owner    string
	Services []string
	// Plan is that of the whole request; Required is that of the question.
	Plan     *Plan
	Required int
	Request  *exchange.Request
	// Lot orders the request among others.
	SamplingValue uint64
	// Spared are the positions of services that are left to those that need them.
	Skipped []int
	// AdmittedShares are, for each service, the part of the requests like this one that the
	// asking node takes the service to have room for; nil for all.
	AdmittedShares []float64
	// ReportInterval is the time after which the owner reports what it has.
	ReportInterval time.Duration
}

// Leeway is how much later than ReportInterval a report may come before its owner is taken for
// silent: the time for the ways there and back, and for the delays of two processes.
func (q *Question) Leeway() time.Duration {
	return time.Duration((silenceFactor - 1) * float64(q.ReportInterval))
}

// Pending is a question under way.
type Pending interface {
	// Cancel ends it.
	Cancel()
	// Grant lets the owner ask one further server of each service at the positions.
	Grant(indexes []int)
	// MarkSilent tells that no report came in time.
	MarkSilent()
}

// Report is what an owner has got since its last report.
type Report struct {
	// Answers are sound answers by the position of their service in the question. The
	// records of all of them stand merged in the bodies, whichever holds them.
	Answers map[int]*exchange.Response
	// Wanted are the positions of the services of which the owner wants to ask a
	// further server.
	Wanted []int
	// Failures tell of the services without an answer once Ended is set.
	Failures map[int]OwnerFailure
	// Ended says that the owner has answered whole.
	Ended bool
	// Err is why nothing more comes; an *outcome.Error.
	Err error
	// CrashedServers are those that ended while they had the request, if the owner keeps it
	// from others.
	CrashedServers []fleet.Incarnation
	// Sent, Hedges, Retries and Denied count as in Result.
	Sent, Hedges, Retries, Denied int
}

// OwnerFailure is why an owner has no answer of a service.
type OwnerFailure struct {
	Cause error
	// Shed says that a server had no room or none was free, NotRun that no server
	// has run the request or will.
	Shed, NotRun bool
}

// OwnerRecord is the story of a question that was not answered whole in time.
type OwnerRecord struct {
	Owner    string `json:"owner"`
	Services int    `json:"services"`
	Result   string `json:"result"`
}

// Constants of questions to owners.
const (
	// reportShare is the part of the time left to the target after which an owner reports
	// what it has: early enough for the asking node to ask the servers itself.
	reportShare = 0.3
	// minReportInterval and maxReportInterval bound it: an owner needs some milliseconds of
	// a small processor, and its silence is to be noticed also without a target.
	minReportInterval = 20 * time.Millisecond
	maxReportInterval = 250 * time.Millisecond
	// silenceFactor times ReportInterval is when an owner without a report is taken
	// for silent: the report's way, and the delays of two busy processes.
	silenceFactor = 1.5
	// stallTolerance is how late a timer may fire before silence is put down to this
	// process, which has stood still itself: what came meanwhile is read first.
	stallTolerance = 10 * time.Millisecond
)

// question is a question to the owner of some parts.
type question struct {
	owner          string
	indexes        []int
	pending        Pending
	reportInterval time.Duration
	// silentAt is when the owner is taken for silent; zero once it was, or has ended.
	silentAt time.Time
	ended    bool
	result   string
	// told are the positions of the services that the owner has answered for.
	answered map[int]bool
}

// cancel ends the question if it is under way.
func (q *question) cancel() {
	if !q.ended && q.pending != nil {
		q.pending.Cancel()
	}
}

// askOwners asks the owners of the plan's services.
func (r *run) askOwners(now time.Time) {
	if r.plan.Collect != nil {
		if r.plan.Collect.SamplingValue != 0 {
			r.samplingValue = r.plan.Collect.SamplingValue
		}
		r.unreported, r.reportAt = make(map[int]*exchange.Response), now.Add(r.plan.Collect.ReportInterval)
		for index := range r.parts {
			r.parts[index].owned = true
		}
		return
	}
	if r.isWithheld() || r.isWithheldAnywhere() {
		r.isWithheldFromOwners = true
		return
	}
	r.divide()
	for _, group := range r.groups {
		if group.Owner != "" {
			r.askOwner(group, now)
			continue
		}
		for _, index := range group.Indexes {
			r.parts[index].owned = true
		}
	}
}

// divide finds the owners of the plan's services. It is called only for a request that is sent on to
// them: an owner that has just returned is named to one request at a time, and proves itself by it.
func (r *run) divide() {
	if r.plan.Collect == nil && r.runner.Owners != nil && r.plan.Repeatable {
		r.groups = r.runner.Owners.Divide(r.plan.Services, r.regions())
	}
}

// ask sends a question to an owner.
func (r *run) askOwner(group Group, now time.Time) {
	sent := &question{owner: group.Owner, indexes: group.Indexes, reportInterval: r.nextReportInterval(now), answered: make(map[int]bool)}
	sent.silentAt = now.Add(sent.silenceTimeout())
	services := make([]string, len(group.Indexes))
	for position, index := range group.Indexes {
		part := &r.parts[index]
		part.question = sent
		part.arrivals, part.executions = 1, 1
		services[position] = part.service
	}
	r.questions = append(r.questions, sent)
	required := (r.plan.Required*len(services) + len(r.parts) - 1) / len(r.parts)
	sent.pending = r.runner.Owners.Ask(Question{
		Owner: group.Owner, Services: services, Plan: &r.plan, Required: required, Request: r.request,
		ReportInterval: sent.reportInterval, SamplingValue: r.samplingValue, Skipped: r.skippedIn(group.Indexes),
		AdmittedShares: r.admittedShares(services, now),
	}, func(report Report) { r.inbox.put(sent, report) })
}

// nextReportInterval returns after which time an owner is to report.
func (r *run) nextReportInterval(now time.Time) time.Duration {
	left := r.plan.Target.Sub(now)
	if r.plan.Target.IsZero() || left <= 0 {
		return maxReportInterval
	}
	return min(max(time.Duration(reportShare*float64(left)), minReportInterval), maxReportInterval)
}

// patience is the time without a report after which the owner is silent.
func (q *question) silenceTimeout() time.Duration {
	return time.Duration(silenceFactor * float64(q.reportInterval))
}

// handleReports takes what owners have reported.
func (r *run) handleReports(now time.Time) {
	for _, taken := range r.inbox.take() {
		r.handleReport(taken.question, taken.report, now)
	}
}

// handleReport takes what one owner has got, and decides what becomes of the parts that it did not
// get once nothing more comes.
func (r *run) handleReport(from *question, report Report, now time.Time) {
	if !from.silentAt.IsZero() {
		from.silentAt = now.Add(from.silenceTimeout())
	}
	r.acceptAnswers(from, report.Answers, now)
	r.recordCrashes(report.CrashedServers, now)
	r.grantWanted(from, report.Wanted)
	r.sent += report.Sent
	r.hedges += report.Hedges
	r.retries += report.Retries
	r.denied += report.Denied
	if !report.Ended && report.Err == nil {
		return
	}
	from.ended, from.silentAt = true, time.Time{}
	if report.Err != nil {
		from.result = report.Err.Error()
	}
	for position, index := range from.indexes {
		if part := &r.parts[index]; part.question == from && part.answer == nil {
			r.endQuestion(index, report, report.Failures[position], now)
		}
		r.parts[index].question = nil
	}
}

// acceptAnswers takes the answers of one report, all or none of them: their records
// are merged. They take the place of what this node has got for the same parts itself.
func (r *run) acceptAnswers(from *question, answers map[int]*exchange.Response, now time.Time) {
	for position, answer := range answers {
		if position < 0 || position >= len(from.indexes) || !r.runner.IsUsable(answer) || from.answered[position] {
			return
		}
	}
	for position, answer := range answers {
		from.answered[position] = true
		index := from.indexes[position]
		if r.parts[index].answer == nil {
			r.accept(index, answer, now)
		}
		r.parts[index].answer = answer
	}
}

// grant lets an owner ask further servers, as far as the plan allows them: what the
// owner may do from now on this node does not do any more.
func (r *run) grantWanted(to *question, wanted []int) {
	var granted []int
	for _, position := range wanted {
		if position < 0 || position >= len(to.indexes) {
			continue
		}
		part := &r.parts[to.indexes[position]]
		if part.question == to && part.answer == nil && part.executions < r.plan.MaxAttempts {
			part.executions++
			granted = append(granted, position)
		}
	}
	if len(granted) > 0 {
		to.pending.Grant(granted)
	}
}

// needsGrant reports whether a run for another node may not ask a further server of a
// part by itself, and asks for it.
func (r *run) needsGrant(index int) bool {
	part := &r.parts[index]
	if r.plan.Collect == nil || part.executions < 1+part.grantCount {
		return false
	}
	if !part.wanted {
		part.wanted = true
		r.wantedParts = append(r.wantedParts, index)
	}
	return true
}

// granted returns where a run for another node hears of grants.
func (r *run) grants() <-chan []int {
	if r.plan.Collect == nil {
		return nil
	}
	return r.plan.Collect.Granted
}

// handleGrant asks a further server of each of some parts.
func (r *run) handleGrant(indexes []int, now time.Time) {
	for _, index := range indexes {
		if index < 0 || index >= len(r.parts) || !r.parts[index].wanted {
			continue
		}
		part := &r.parts[index]
		part.grantCount++
		part.wanted = false
		switch {
		case part.answer != nil || part.closed:
		case len(part.inFlight) > 0:
			r.hedge(index, now)
		default:
			r.retry(index, now)
		}
	}
}

// endQuestion decides what becomes of a part that its owner did not get.
func (r *run) endQuestion(index int, report Report, failure OwnerFailure, now time.Time) {
	part := &r.parts[index]
	part.question = nil
	switch {
	case report.Err != nil && outcome.Of(report.Err) == outcome.NotRun:
		part.failure, part.arrivals, part.executions = report.Err, 0, 0
		r.launchFirst(index, now)
	case report.Err != nil:
		part.failure = report.Err
		r.retry(index, now)
	default:
		part.failure, part.shed = failure.Cause, failure.Shed
		if failure.NotRun {
			part.arrivals, part.executions = 0, 0
		}
		r.retry(index, now)
	}
}

// handleSilence asks the servers of an owner that has not reported in time. What
// it reports later is still taken.
func (r *run) handleSilence(now time.Time) {
	for _, each := range r.questions {
		if each.silentAt.IsZero() || now.Before(each.silentAt) {
			continue
		}
		if now.Sub(each.silentAt) > stallTolerance {
			each.silentAt = now.Add(stallTolerance)
			continue
		}
		each.silentAt, each.result = time.Time{}, "silent"
		each.pending.MarkSilent()
		for _, index := range each.indexes {
			if part := &r.parts[index]; part.question == each && part.answer == nil {
				r.askDirectly(index, now)
			}
		}
	}
}

// tell reports to the node that this run collects for: what has come, once a
// report is due, and from then on each answer at once; and what it wants, at once.
func (r *run) sendReport(now time.Time) error {
	collect := r.plan.Collect
	if collect == nil {
		return nil
	}
	if !r.isReportDue(now) {
		return nil
	}
	fresh, wants := r.unreported, r.wantedParts
	r.unreported, r.wantedParts, r.hasReported, r.reportAt = make(map[int]*exchange.Response), nil, true, now.Add(collect.ReportInterval)
	return collect.Report(fresh, wants)
}

// isReportDue reports whether the other node is to be told now: at the time that it has set, of
// what is wanted at once, and of answers at once when it was told before or no more are to come.
func (r *run) isReportDue(now time.Time) bool {
	if !now.Before(r.reportAt) || len(r.wantedParts) > 0 {
		return true
	}
	return len(r.unreported) > 0 && (r.hasReported || r.hasAllButSkipped())
}

// ownerRecords tells of the questions that were not answered whole.
func (r *run) ownerRecords() []OwnerRecord {
	var records []OwnerRecord
	for _, each := range r.questions {
		result := each.result
		if result == "" && !each.ended {
			result = "pending"
		}
		if result != "" && len(records) < maxAttemptRecords {
			records = append(records, OwnerRecord{Owner: each.owner, Services: len(each.indexes), Result: result})
		}
	}
	return records
}
