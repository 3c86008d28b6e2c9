package front

import (
	"time"

	"github.com/bramblemast/bramblemast/pkg/exchange"
	"github.com/bramblemast/bramblemast/pkg/fanout"
	"github.com/bramblemast/bramblemast/pkg/outcome"
)

// Record is the story of one request, for logs and metrics.
type Record struct {
	ID    string
	Host  string
	Path  string
	Route string
	// Tenant is the name of the caller; empty where callers have no keys.
	Tenant string
	// KeyHash is the short hash of a key that was refused; empty for none.
	KeyHash string
	Version uint64
	Policy  Policy
	Status  int
	Took    time.Duration
	// RetryAfter is after how long the client was told to retry; zero if it was not.
	RetryAfter time.Duration
	// Reason is why the request was refused or the wait ended.
	Reason string
	// Refused says that no server was asked.
	Refused  bool
	Parts    int
	Required int
	Total    int
	Result   fanout.Result
	Services []string
	Cause    error
	// Fingerprint is what the request has in common with its client's other tries; nil
	// unless a server broke its connection while it had the request, or it was kept from
	// servers for that.
	Fingerprint *exchange.Fingerprint
	// LimitDecision is why the request was refused as beyond its tenant's limit; nil otherwise.
	LimitDecision *LimitDecision
}

// Recorder takes the story of each request. It does not block.
type Recorder interface {
	Record(record Record)
	// Overload tells that a request failed for want of room at the servers of a
	// route that begins with a service, and how many sub-requests wait there for
	// a free server.
	Overload(service string, waiting int)
}

// record tells the story of a request that was begun.
func (c *conversation) record(status int, plan fanout.Plan, result fanout.Result) {
	c.handler.events.Record(Record{
		ID: c.id, Host: c.received.Host, Path: c.received.RequestURI, Route: c.route.Name, Tenant: c.tenantName(),
		Version: c.version, Policy: c.policy, Status: status, Took: time.Since(c.began), Reason: string(result.Reason), Parts: result.AnsweredCount,
		Required: plan.Required, Total: len(plan.Services), Result: result, Services: plan.Services,
		RetryAfter: c.toldWait, Fingerprint: c.fingerprintIf(result.BrokenConnections > 0 || result.Reason == fanout.StopQuarantined),
	})
}

// recordRefusal tells that of a request that was offered to no server.
func (c *conversation) recordRefusal(status int, reason outcome.Reason) {
	name := ""
	if c.route != nil {
		name = c.route.Name
	}
	c.handler.events.Record(Record{
		ID: c.id, Host: c.received.Host, Path: c.received.RequestURI, Route: name, Tenant: c.tenantName(),
		Version: c.version, Status: status, Took: time.Since(c.began), Reason: string(reason), Refused: true,
		Cause: c.cause, KeyHash: c.keyHashIf(reason), LimitDecision: c.limitDecision,
		RetryAfter: c.toldWait, Fingerprint: c.fingerprintIf(reason == outcome.ReasonQuarantined),
	})
}

// fingerprintIf returns the fingerprint if it matters to the story of the request.
func (c *conversation) fingerprintIf(matters bool) *exchange.Fingerprint {
	if !matters {
		return nil
	}
	fingerprint := c.fingerprint()
	return &fingerprint
}
