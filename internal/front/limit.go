package front

import (
	"net/http"
	"time"

	"github.com/bramblemast/bramblemast/pkg/outcome"
	"github.com/bramblemast/bramblemast/pkg/route"
)

// Limits holds tenants to the limits that all nodes keep together. It is safe for
// concurrent use and never waits for another node.
type Limits interface {
	// Admit takes one request of a tenant, or refuses it as beyond the limit.
	Admit(tenant *route.Tenant, requestID string, now time.Time) LimitDecision
	// Refund gives back a request that was admitted and did not run.
	Refund(tenant *route.Tenant, now time.Time)
}

// LimitDecision is what was decided about one request of a tenant with a limit.
type LimitDecision struct {
	IsAdmitted bool
	// RetryAfter is after which time the tenant's next request is expected to be within its limit.
	RetryAfter time.Duration
	// Share is the part of the tenant's requests that is admitted, as it was told Age ago;
	// zero if it was never told.
	Share float64
	Age   time.Duration
	// DecidedBy says which coordinator the node had, if any.
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

// isWithinLimit takes the request out of its tenant's limit, and refuses it if it is beyond.
func (c *conversation) isWithinLimit() bool {
	if c.tenant == nil || !c.tenant.Limit.IsBound() {
		return true
	}
	decision := c.handler.limits.Admit(c.tenant, c.id, time.Now())
	if !decision.IsAdmitted {
		c.limitDecision = &decision
		c.refuse(http.StatusTooManyRequests, outcome.ReasonOverLimit, max(decision.RetryAfter, leastRefusal))
	}
	return decision.IsAdmitted
}

// refundIf gives the request back to its tenant's limit if it was not run.
func (c *conversation) refundIf(isNotRun bool) {
	if isNotRun && c.tenant != nil && c.tenant.Limit.IsBound() {
		c.handler.limits.Refund(c.tenant, time.Now())
	}
}
