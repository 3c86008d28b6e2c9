package front

import (
	"time"

	"github.com/bramblemast/bramblemast/pkg/exchange"
	"github.com/bramblemast/bramblemast/pkg/fanout"
	"github.com/bramblemast/bramblemast/pkg/outcome"
)

// Record describes how one request was served, for logs and metrics.
type Record struct {
	ID    string
	Host  string
	Path  string
	Route string
	// Tenant is the name of the caller's tenant; empty if it has none.
	Tenant string
	// KeyHash is the short hash of a key that was refused; empty for none.
	KeyHash string
	Version uint64
	Policy  Policy
	Status  int
	Took    time.Duration
	// RetryAfter is the retry time that was sent to the client; zero if none was.
	RetryAfter time.Duration
	// Reason is why the request was refused or why the node stopped waiting for answers.
	Reason string
	// Refused is set if the request was not offered to any server.
	Refused  bool
	Parts    int
	Required int
	Total    int
	Result   fanout.Result
	Services []string
	Cause    error
	// Fingerprint is the same for all attempts of the client's request. It is nil unless a server
	// broke its connection while it had the request, or the request was quarantined for that.
	Fingerprint *exchange.Fingerprint
	// LimitDecision is the decision that refused the request as over its tenant's limit; nil otherwise.
	LimitDecision *LimitDecision
}

// Recorder receives the record of each request. It does not block and is safe for concurrent use.
type Recorder interface {
	Record(record Record)
	// Overload reports that a request failed because the servers of its route had no capacity.
	// service is the first service of the route, and waiting the number of sub-requests that wait
	// for a free server of the route.
	Overload(service string, waiting int)
}

// record reports a request that was run as a plan, also if no server took it.
func (c *clientRequest) record(status int, plan fanout.Plan, result fanout.Result) {
	c.handler.events.Record(Record{
		ID: c.id, Host: c.received.Host, Path: c.received.RequestURI, Route: c.route.Name, Tenant: c.tenantName(),
		Version: c.version, Policy: c.policy, Status: status, Took: time.Since(c.startedAt), Reason: string(result.Reason), Parts: result.AnsweredCount,
		Required: plan.Required, Total: len(plan.Services), Result: result, Services: plan.Services,
		RetryAfter: c.sentRetryAfter, Fingerprint: c.fingerprintIf(result.BrokenConnections > 0 || result.Reason == fanout.StopQuarantined),
	})
}

// recordRefusal reports a request that was not offered to any server.
func (c *clientRequest) recordRefusal(status int, reason outcome.Reason) {
	name := ""
	if c.route != nil {
		name = c.route.Name
	}
	c.handler.events.Record(Record{
		ID: c.id, Host: c.received.Host, Path: c.received.RequestURI, Route: name, Tenant: c.tenantName(),
		Version: c.version, Status: status, Took: time.Since(c.startedAt), Reason: string(reason), Refused: true,
		Cause: c.readError, KeyHash: c.keyHashIf(reason), LimitDecision: c.limitDecision,
		RetryAfter: c.sentRetryAfter, Fingerprint: c.fingerprintIf(reason == outcome.ReasonQuarantined),
	})
}

// fingerprintIf returns the fingerprint of the request if it is relevant to its record, else nil.
func (c *clientRequest) fingerprintIf(isRelevant bool) *exchange.Fingerprint {
	if !isRelevant {
		return nil
	}
	fingerprint := c.fingerprint()
	return &fingerprint
}
