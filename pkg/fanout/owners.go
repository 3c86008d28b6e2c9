package fanout

import (
	"time"

	"github.com/bramblemast/bramblemast/pkg/exchange"
	"github.com/bramblemast/bramblemast/pkg/fleet"
	"github.com/bramblemast/bramblemast/pkg/outcome"
	"github.com/bramblemast/bramblemast/pkg/route"
)

// Owners divides services among the nodes that query their servers on behalf of others, and sends
// questions to those nodes. It is safe for concurrent use.
type Owners interface {
	// Divide returns the groups of services whose owner may be sent a request that is restricted to
	// the given regions. Services in no group are queried by this node, for its own requests only.
	Divide(services []string, regions route.Regions) []Group
	// Ask sends a question to the owner of its group. The owner's results are passed to report,
	// which does not block and may be called before Ask returns.
	Ask(question Question, report func(Report)) Pending
}

// Group is a set of services with the same owner.
type Group struct {
	// Owner is the name of the node that owns the services; empty if it is this node.
	Owner string
	// Indexes are the positions of the services in the list passed to Divide.
	Indexes []int
}

// Question is a request to an owner for the answers of its services.
type Question struct {
	Owner    string
	Services []string
	// Plan is the plan of the whole request; Required is the number of parts that the question
	// needs.
	Plan     *Plan
	Required int
	Request  *exchange.Request
	// SamplingValue orders the request among others, equally on all nodes.
	SamplingValue uint64
	// Skipped holds the positions of limited services that the request leaves to requests that need
	// them.
	Skipped []int
	// AdmittedShares holds, for each service, the share of requests like this one that the asking
	// node estimates the service can take; nil means all.
	AdmittedShares []float64
	// ReportInterval is the time after which the owner reports the answers that it has.
	ReportInterval time.Duration
}

// Leeway is how much later than ReportInterval a report may arrive before its owner counts as
// silent. It covers the network round trip and the delays of two processes.
func (q *Question) Leeway() time.Duration {
	return time.Duration((silenceFactor - 1) * float64(q.ReportInterval))
}

// Pending is a question in progress.
type Pending interface {
	// Cancel ends the question.
	Cancel()
	// Grant lets the owner query one further server of each service at the positions.
	Grant(indexes []int)
	// MarkSilent says that the owner's report is overdue.
	MarkSilent()
}

// Report holds what an owner has received since its last report.
type Report struct {
	// Answers are usable answers by the position of their service in the question. The bodies
	// together hold the merged records of all of them; a record may be in any of the bodies.
	Answers map[int]*exchange.Response
	// Wanted holds the positions of the services for which the owner wants to query a further
	// server.
	Wanted []int
	// Failures describes the services without an answer; set with Ended.
	Failures map[int]OwnerFailure
	// Ended says that this is the last report and the owner has finished.
	Ended bool
	// Err is why no further report will come; an *outcome.Error.
	Err error
	// CrashedServers are the servers that crashed while they had the request, if the owner
	// withholds it from others.
	CrashedServers []fleet.Incarnation
	// Sent, Hedges, Retries and Denied count as in Result.
	Sent, Hedges, Retries, Denied int
}

// OwnerFailure is why an owner has no answer from a service.
type OwnerFailure struct {
	Cause error
	// Shed says that a server had no capacity or none was free; NotRun says that no server has
	// executed the request or will.
	Shed, NotRun bool
}

// OwnerRecord describes in logs a question without a complete answer in time.
type OwnerRecord struct {
	Owner    string `json:"owner"`
	Services int    `json:"services"`
	Result   string `json:"result"`
}

// Constants of questions to owners.
const (
	// reportShare is the share of the time until the target after which an owner reports what it
	// has: early enough for the asking node to query the servers itself.
	reportShare = 0.3
	// minReportInterval and maxReportInterval bound the report interval: an owner needs some
	// milliseconds of a small processor, and its silence must be noticed even without a target.
	minReportInterval = 20 * time.Millisecond
	maxReportInterval = 250 * time.Millisecond
	// silenceFactor times the report interval is the time without a report after which an owner
	// counts as silent. The rest covers the report's network delay and the delays of two busy
	// processes.
	silenceFactor = 1.5
	// stallTolerance is how late a timer may fire before the silence of owners is attributed to a
	// stall of this process: reports that arrived during the stall are read first.
	stallTolerance = 10 * time.Millisecond
)

// question is the state of a question to an owner.
type question struct {
	owner          string
	indexes        []int
	pending        Pending
	reportInterval time.Duration
	// silentAt is when the owner counts as silent; zero once it did, or after the question has
	// ended.
	silentAt time.Time
	ended    bool
	result   string
	// answered holds the positions of the services that the owner has answered.
	answered map[int]bool
}

// cancel ends the question if it is in progress.
func (q *question) cancel() {
	if !q.ended && q.pending != nil {
		q.pending.Cancel()
	}
}

// askOwners sends questions to the owners of the plan's services. A run for another node, and one
// whose request is withheld, queries all servers itself.
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

// divide finds the owners of the plan's services. It is called only for requests that are sent on
// to owners: an owner that has just returned is assigned to only one request at a time, to prove
// that it works.
func (r *run) divide() {
	if r.plan.Collect == nil && r.runner.Owners != nil && r.plan.Repeatable {
		r.groups = r.runner.Owners.Divide(r.plan.Services, r.regions())
	}
}

// askOwner sends a question to the owner of a group.
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

// nextReportInterval returns the time after which an owner reports, from the time left until the
// target.
func (r *run) nextReportInterval(now time.Time) time.Duration {
	left := r.plan.Target.Sub(now)
	if r.plan.Target.IsZero() || left <= 0 {
		return maxReportInterval
	}
	return min(max(time.Duration(reportShare*float64(left)), minReportInterval), maxReportInterval)
}

// silenceTimeout is the time without a report after which the owner counts as silent.
func (q *question) silenceTimeout() time.Duration {
	return time.Duration(silenceFactor * float64(q.reportInterval))
}

// handleReports handles the reports that owners have sent.
func (r *run) handleReports(now time.Time) {
	for _, taken := range r.inbox.take() {
		r.handleReport(taken.question, taken.report, now)
	}
}

// handleReport handles one report of an owner. If it is the last one, it also retries or closes the
// parts that the owner did not get.
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

// acceptAnswers accepts all answers of a report or none of them, since their records are merged.
// They replace answers that this node has got for the same parts itself.
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
		if replaced := r.parts[index].answer; replaced != answer {
			replaced.Release()
		}
		r.parts[index].answer = answer
	}
}

// grantWanted lets an owner query further servers, as far as the plan allows. Each grant counts as
// an execution, so that this node does not use the same attempt itself.
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

// needsGrant reports whether a run for another node needs a grant to query a further server of a
// part, and requests the grant.
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

// grants returns the channel of grants of a run for another node; nil for other runs.
func (r *run) grants() <-chan []int {
	if r.plan.Collect == nil {
		return nil
	}
	return r.plan.Collect.Granted
}

// handleGrant queries one further server of each granted part.
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

// endQuestion handles a part that its owner did not get. If the owner's error says that no server
// has executed it, the part starts over as if it had not been sent; otherwise it is retried.
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

// handleSilence lets this node query the servers of owners whose reports are overdue. Their later
// reports are still accepted.
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

// sendReport reports to the node that this run collects for: new answers once a report is due, and
// after the first report each answer at once; requests for grants at once.
func (r *run) sendReport(now time.Time) error {
	collect := r.plan.Collect
	if collect == nil {
		return nil
	}
	if !r.isReportDue(now) {
		return nil
	}
	answers, wanted := r.unreported, r.wantedParts
	r.unreported, r.wantedParts, r.hasReported, r.reportAt = make(map[int]*exchange.Response), nil, true, now.Add(collect.ReportInterval)
	return collect.Report(answers, wanted)
}

// isReportDue reports whether a report must be sent now: at the report time, at once if a grant is
// wanted, and at once for new answers if a report was sent before or no more are expected.
func (r *run) isReportDue(now time.Time) bool {
	if !now.Before(r.reportAt) || len(r.wantedParts) > 0 {
		return true
	}
	return len(r.unreported) > 0 && (r.hasReported || r.hasAllButSkipped())
}

// ownerRecords describes the questions without a complete answer.
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
