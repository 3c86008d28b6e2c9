package front

import (
	"net/http"
	"strconv"
	"time"

	"github.com/bramblemast/bramblemast/pkg/exchange"
	"github.com/bramblemast/bramblemast/pkg/fanout"
	"github.com/bramblemast/bramblemast/pkg/gather"
	"github.com/bramblemast/bramblemast/pkg/outcome"
	"github.com/bramblemast/bramblemast/pkg/route"
)

// conversation is one client's request and its answer.
type conversation struct {
	handler  *Handler
	writer   http.ResponseWriter
	received *http.Request
	// id is the client's name for this try of the request.
	id    string
	began time.Time
	// deadline is when the request is given up.
	deadline time.Time
	// version is that of the configuration that the request began with, and route its route there.
	version uint64
	route   *route.Route
	// hasTenants says that callers have keys. keys are those that the client sent, and tenant
	// is the one that holds its key; nil on public routes without one.
	hasTenants bool
	keys       []string
	tenant     *route.Tenant
	policy     Policy
	// request is what servers are sent.
	request *exchange.Request
	// toldWait is after which time the client was told to retry.
	toldWait time.Duration
	// limitDecision is why the request was refused as beyond its tenant's limit, or nil.
	limitDecision *LimitDecision
	// cause is why the request could not be read, for logs; nil otherwise.
	cause error
}

// serve plans a request that was read whole and runs the plan, unless the request is refused.
func (c *conversation) serve(request *exchange.Request) {
	c.request = request
	if c.isQuarantined() {
		c.refuse(http.StatusServiceUnavailable, outcome.ReasonQuarantined, c.quarantineWait())
		return
	}
	if !c.isWithinLimit() {
		return
	}
	c.policy = c.handler.policies.For(c.route, c.id)
	plan := fanout.Plan{
		Kind: c.route.Name, Version: c.version, Regions: c.regions, Repeatable: c.route.Repeatable,
		Tenant: c.tenantName(), Priority: route.PriorityOf(c.route, c.tenant),
		MaxAttempts: min(c.route.MaxAttempts, c.policy.MaxAttempts),
		Target:      target(c.route, c.began), Deadline: c.deadline, Assumed: assumedTime(c.route),
		Hedge: c.policy.Hedge, Stop: c.policy.Stop, ExtraShare: c.policy.ExtraShare, TopRecords: c.route.TopRecords,
	}
	plan.MaxServerWait = time.Until(c.deadline)
	if c.route.Gathered() {
		plan.Services, plan.Required = c.route.Shards, c.route.RequiredShards()
	} else {
		plan.Services, plan.Required = []string{c.handler.splitter.pick(c.route)}, 1
	}
	c.run(plan, request)
}

// regions returns where the request may be served by the configuration in force now, which
// may be newer than the one that the request began with.
func (c *conversation) regions() route.Regions {
	table := c.handler.state.Table()
	known := route.RegionsFor(c.route, c.tenant)
	if table == nil || table.Version == c.version {
		return known
	}
	return table.RegionsOf(c.received.Host, c.received.RequestURI, c.tenantName(), known)
}

// run asks the servers of a plan and answers the client.
func (c *conversation) run(plan fanout.Plan, request *exchange.Request) {
	runner, answer := c.handler.forwarder, c.answerForwarded
	if c.route.Gathered() {
		runner, answer = c.handler.gatherer, c.answerGathered
	}
	result := runner.Run(c.received.Context(), plan, request)
	c.refundIf(result.Outcome == outcome.NotRun)
	if isShortOfRoom(plan, result) {
		c.handler.events.Overload(plan.Services[0], c.handler.fleet.Waiting(plan.Services...))
	}
	answer(plan, result)
}

// isShortOfRoom reports whether a request failed for want of room at servers.
// One that succeeds although a server is full is no sign of overload: single
// servers are slow, fail and refuse at any load.
func isShortOfRoom(plan fanout.Plan, result fanout.Result) bool {
	return result.Shed > 0 && result.AnsweredCount < plan.Required && result.Reason != fanout.StopCancelled
}

// answerGathered merges the parts, if they are enough.
func (c *conversation) answerGathered(plan fanout.Plan, result fanout.Result) {
	if result.AnsweredCount < plan.Required || result.Reason == fanout.StopCancelled {
		c.giveUp(plan, result)
		return
	}
	header := c.writer.Header()
	bodies := make([][]byte, 0, result.AnsweredCount)
	for _, part := range result.Parts {
		if part != nil {
			bodies = append(bodies, part.Body)
			header.Add(c.handler.dialect.Parts, part.Evidence)
		}
	}
	if missing := len(result.Parts) - result.AnsweredCount; missing > 0 {
		header.Set(c.handler.dialect.MissingParts, strconv.Itoa(missing))
	}
	body := gather.Greatest(bodies, c.route.TopRecords)
	header.Set("Content-Type", "application/octet-stream")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	c.writer.WriteHeader(http.StatusOK)
	// A write fails if the client has gone: there is nobody left to tell.
	_, _ = c.writer.Write(body)
	c.record(http.StatusOK, plan, result)
}

// answerForwarded passes on one server's answer.
func (c *conversation) answerForwarded(plan fanout.Plan, result fanout.Result) {
	answer := result.Parts[0]
	if answer == nil && isServersFailure(result.Refusals[0]) {
		answer = result.Refusals[0]
	}
	if answer == nil || result.Reason == fanout.StopCancelled {
		c.giveUp(plan, result)
		return
	}
	header := c.writer.Header()
	for name, values := range answer.Header {
		header[name] = values
	}
	if c.received.Method != http.MethodHead {
		header.Set("Content-Length", strconv.Itoa(len(answer.Body)))
	}
	if c.handler.state.Draining() {
		header.Set("Connection", "close")
	}
	c.writer.WriteHeader(answer.Status)
	// A write fails if the client has gone: there is nobody left to tell.
	_, _ = c.writer.Write(answer.Body)
	c.record(answer.Status, plan, result)
}

// isServersFailure reports whether a failure was made by a server that ran the
// request, so that it can be passed on unchanged.
func isServersFailure(answer *exchange.Response) bool {
	return answer != nil && answer.Status >= http.StatusInternalServerError && answer.Evidence != ""
}

// giveUp sends the final answer of a request that could not be served. Only
// what is known not to have run is refused with a promise.
func (c *conversation) giveUp(plan fanout.Plan, result fanout.Result) {
	if result.Reason == fanout.StopCancelled {
		c.record(statusClientGone, plan, result)
		panic(http.ErrAbortHandler)
	}
	status := http.StatusBadGateway
	switch {
	case result.Outcome == outcome.NotRun:
		status = http.StatusServiceUnavailable
		wait := c.retryAfter(plan)
		switch {
		case result.Reason == fanout.StopUnservable:
			wait = max(unservableWait, c.refusedFor(plan))
		case result.Reason == fanout.StopQuarantined:
			wait = c.quarantineWait()
		case result.Admission.Share < 1:
			wait = spreadWait(max(c.refusedFor(plan), leastRoomWait), result.Admission.Shortfall)
		case result.Shed > 0:
			wait = max(wait, c.refusedFor(plan))
		}
		c.setRetryAfter(wait)
	case result.Reason == fanout.StopDeadline:
		status = http.StatusGatewayTimeout
	}
	c.writer.Header().Set("Content-Length", "0")
	c.writer.WriteHeader(status)
	c.record(status, plan, result)
}

// spreadWait spreads the return of refused requests over the second half of a time, those
// first that were closest to being let in: all at once would meet a full service again.
func spreadWait(wait time.Duration, behind float64) time.Duration {
	return time.Duration((1 + behind) / 2 * float64(wait))
}

// refusedFor returns for how long requests like this one have been refused, as far as that
// matters to a client that retries.
func (c *conversation) refusedFor(plan fanout.Plan) time.Duration {
	return min(c.handler.overloads.note(plan.Services[0], c.began, time.Now()), greatestWait)
}

// statusClientGone is logged for a request whose client went away.
const statusClientGone = 499

// retryAfter returns when a request that did not run may be tried again: after
// the time that a server needs for the requests before it.
func (c *conversation) retryAfter(plan fanout.Plan) time.Duration {
	wait := assumedRequestsBefore * plan.Assumed
	if estimate, ok := c.handler.fleet.Estimate(fleetChoice(plan), time.Now()); ok {
		wait = estimate
	}
	return min(max(wait, leastRefusal), greatestWait)
}

// refuse answers a request that was offered to no server.
func (c *conversation) refuse(status int, reason outcome.Reason, wait time.Duration) {
	if wait > 0 {
		c.setRetryAfter(wait)
	}
	c.writer.Header().Set("Content-Length", "0")
	c.writer.WriteHeader(status)
	c.recordRefusal(status, reason)
}

// setRetryAfter tells the client in seconds after which time it may retry.
func (c *conversation) setRetryAfter(wait time.Duration) {
	c.toldWait = wait
	c.writer.Header().Set("Retry-After", strconv.FormatFloat(wait.Seconds(), 'f', 2, 64))
}
