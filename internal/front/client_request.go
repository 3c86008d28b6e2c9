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

// clientRequest serves one HTTP request of a client. It is used by one goroutine.
type clientRequest struct {
	handler  *Handler
	writer   http.ResponseWriter
	received *http.Request
	// id is the request ID that the client sent for this attempt.
	id        string
	startedAt time.Time
	// deadline is when the node stops trying to serve the request.
	deadline time.Time
	// version is the configuration version when the request arrived; route is its route in that version.
	version uint64
	route   *route.Route
	// hasTenants is set if the configuration has tenants. keys are the keys that the client sent, and
	// tenant is the holder of its key; nil on public routes without a key.
	hasTenants bool
	keys       []string
	tenant     *route.Tenant
	policy     Policy
	// request is the request as sent to servers.
	request *exchange.Request
	// sentRetryAfter is the value of the Retry-After header; zero if none was sent.
	sentRetryAfter time.Duration
	// limitDecision is the decision that refused the request as over its tenant's limit, or nil.
	limitDecision *LimitDecision
	// readError is the error from reading the request, for logs; nil if there was none.
	readError error
}

// serve runs a completely read request on servers, unless it is quarantined or over its tenant's
// limit.
func (c *clientRequest) serve(request *exchange.Request) {
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
		Target:      target(c.route, c.startedAt), Deadline: c.deadline, Assumed: assumedTime(c.route),
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

// regions returns the regions that may serve the request under the configuration in force now, which
// may be newer than the one under which the request arrived.
func (c *clientRequest) regions() route.Regions {
	table := c.handler.state.Table()
	known := route.RegionsFor(c.route, c.tenant)
	if table == nil || table.Version == c.version {
		return known
	}
	return table.RegionsOf(c.received.Host, c.received.RequestURI, c.tenantName(), known)
}

// run executes a plan on servers and answers the client.
func (c *clientRequest) run(plan fanout.Plan, request *exchange.Request) {
	runner, answer := c.handler.forwarder, c.answerForwarded
	if c.route.Gathered() {
		runner, answer = c.handler.gatherer, c.answerGathered
	}
	result := runner.Run(c.received.Context(), plan, request)
	defer result.Release()
	c.refundIf(result.Outcome == outcome.NotRun)
	if lacksCapacity(plan, result) {
		c.handler.events.Overload(plan.Services[0], c.handler.fleet.Waiting(plan.Services...))
	}
	answer(plan, result)
}

// lacksCapacity reports whether a request failed because servers had no capacity. A request that
// succeeds although a server is full does not indicate overload: single servers are slow, fail and
// refuse requests at any load.
func lacksCapacity(plan fanout.Plan, result fanout.Result) bool {
	return result.Shed > 0 && result.AnsweredCount < plan.Required && result.Reason != fanout.StopCancelled
}

// answerGathered merges the parts into one answer if the required number of them has arrived.
func (c *clientRequest) answerGathered(plan fanout.Plan, result fanout.Result) {
	if result.AnsweredCount < plan.Required || result.Reason == fanout.StopCancelled {
		c.answerFailure(plan, result)
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
	hold := c.handler.memory.Open()
	defer hold.Release()
	result.Release()
	// The parts took more than that, so it is denied hardly ever; the answer is sent all the same.
	_ = hold.Grow(int64(len(body)), 0)
	header.Set("Content-Type", "application/octet-stream")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	c.writer.WriteHeader(http.StatusOK)
	isComplete := c.writeBody(hold, body)
	c.record(http.StatusOK, plan, result)
	c.closeUnless(isComplete)
}

// answerForwarded passes one server's answer on to the client.
func (c *clientRequest) answerForwarded(plan fanout.Plan, result fanout.Result) {
	answer := result.Parts[0]
	if answer == nil && isServerFailure(result.Refusals[0]) {
		answer = result.Refusals[0]
	}
	if answer == nil || result.Reason == fanout.StopCancelled {
		c.answerFailure(plan, result)
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
	isComplete := c.writeBody(answer.Hold(), answer.Body)
	c.record(answer.Status, plan, result)
	c.closeUnless(isComplete)
}

// closeUnless ends the connection of an answer that was not written to its end: its write deadline has
// passed.
func (c *clientRequest) closeUnless(isComplete bool) {
	if !isComplete {
		panic(http.ErrAbortHandler)
	}
}

// isServerFailure reports whether a failure comes from a server that ran the request, so that the
// answer can be passed on unchanged.
func isServerFailure(answer *exchange.Response) bool {
	return answer != nil && answer.Status >= http.StatusInternalServerError && answer.Evidence != ""
}

// answerFailure sends the final answer of a request that could not be served. Status 503 promises
// that the request did not run, so it is sent only if that is known.
func (c *clientRequest) answerFailure(plan fanout.Plan, result fanout.Result) {
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
			wait = max(unservableWait, c.overloadWait(plan))
		case result.Reason == fanout.StopQuarantined:
			wait = c.quarantineWait()
		case result.Reason == fanout.StopDraining:
			// Another node can take the request now.
			wait = minRetryAfter
		case result.Admission.Share < 1:
			wait = spreadWait(max(c.overloadWait(plan), minOverloadWait), result.Admission.Shortfall)
		case result.Shed > 0:
			wait = max(wait, c.overloadWait(plan))
		}
		c.setRetryAfter(wait)
	case result.Reason == fanout.StopDeadline:
		status = http.StatusGatewayTimeout
	}
	c.writer.Header().Set("Content-Length", "0")
	c.writer.WriteHeader(status)
	c.record(status, plan, result)
}

// spreadWait spreads the retries of refused requests over the second half of wait; those closest to
// admission retry first. If all retried at once, they would meet a full service again.
func spreadWait(wait time.Duration, shortfall float64) time.Duration {
	return time.Duration((1 + shortfall) / 2 * float64(wait))
}

// overloadWait records the refusal and returns for how long requests like this one have been refused,
// at most maxRetryAfter.
func (c *clientRequest) overloadWait(plan fanout.Plan) time.Duration {
	return min(c.handler.overloads.recordRefusal(plan.Services[0], c.startedAt, time.Now()), maxRetryAfter)
}

// statusClientGone is logged for a request whose client disconnected.
const statusClientGone = 499

// retryAfter returns after which time a request that did not run may be retried: the time that a
// server needs for the requests queued ahead of it.
func (c *clientRequest) retryAfter(plan fanout.Plan) time.Duration {
	wait := assumedQueueLength * plan.Assumed
	if estimate, ok := c.handler.fleet.Estimate(fleetChoice(plan), time.Now()); ok {
		wait = estimate
	}
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// refuse answers a request that was not offered to any server. A wait of zero sends no Retry-After.
func (c *clientRequest) refuse(status int, reason outcome.Reason, wait time.Duration) {
	if wait > 0 {
		c.setRetryAfter(wait)
	}
	c.writer.Header().Set("Content-Length", "0")
	c.writer.WriteHeader(status)
	c.recordRefusal(status, reason)
}

// setRetryAfter sets the Retry-After header in seconds, with two decimals.
func (c *clientRequest) setRetryAfter(wait time.Duration) {
	c.sentRetryAfter = wait
	c.writer.Header().Set("Retry-After", strconv.FormatFloat(wait.Seconds(), 'f', 2, 64))
}
