package front

import (
	"net/http"
	"time"

	"github.com/bramblemast/bramblemast/pkg/outcome"
	"github.com/bramblemast/bramblemast/pkg/route"
)

// Limits enforces the limits of tenants, which hold over all nodes together. It is safe for
// concurrent use and never waits for another node.
type Limits interface {
	// Admit counts one request of a tenant against its limit, or refuses it as over the limit.
	Admit(tenant *route.Tenant, requestID string, now time.Time) LimitDecision
	// Refund returns the permit of a request that was admitted but did not run.
	Refund(tenant *route.Tenant, now time.Time)
}

// LimitDecision is the decision about one request of a tenant with a limit.
type LimitDecision struct {
	IsAdmitted bool
	// RetryAfter is after which time the tenant's next request is expected to be within its limit.
	RetryAfter time.Duration
	// Share is the admitted share of the tenant's requests, 0 to 1, received Age ago; zero if none
	// was received.
	Share float64
	Age   time.Duration
	// DecidedBy names the node's coordinator, if it had one.
	DecidedBy string
}

// noLimits admits every request.
type noLimits struct{}

// Admit implements Limits.
func (noLimits) Admit(*route.Tenant, string, time.Time) LimitDecision {
	return LimitDecision{IsAdmitted: true}
}

// Refund implements Limits.
func (noLimits) Refund(*route.Tenant, time.Time) {}

// isWithinLimit counts the request against its tenant's limit, and refuses it if it is over the
// limit.
func (c *clientRequest) isWithinLimit() bool {
	if c.tenant == nil || !c.tenant.Limit.IsBound() {
		return true
	}
	decision := c.handler.limits.Admit(c.tenant, c.id, time.Now())
	if !decision.IsAdmitted {
		c.limitDecision = &decision
		c.refuse(http.StatusTooManyRequests, outcome.ReasonOverLimit, max(decision.RetryAfter, minRetryAfter))
	}
	return decision.IsAdmitted
}

// refundIf returns the request's permit to its tenant's limit if the request did not run.
func (c *clientRequest) refundIf(isNotRun bool) {
	if isNotRun && c.tenant != nil && c.tenant.Limit.IsBound() {
		c.handler.limits.Refund(c.tenant, time.Now())
	}
}
