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
	// Admit takes one request of a tenant, and returns false and when the tenant's next
	// request is expected to be within its limit if this one is not.
	Admit(tenant *route.Tenant, requestID string, now time.Time) (isAdmitted bool, retryAfter time.Duration)
	// Refund gives back a request that was admitted and did not run.
	Refund(tenant *route.Tenant, now time.Time)
}

// noLimits admits every request.
type noLimits struct{}

// Admit implements Limits.
func (noLimits) Admit(*route.Tenant, string, time.Time) (bool, time.Duration) { return true, 0 }

// Refund implements Limits.
func (noLimits) Refund(*route.Tenant, time.Time) {}

// authenticate finds the tenant of the request by its key, and reports whether the request
// may be served: one of a route that is not public needs a key that a tenant holds. Where
// the configuration has no tenants, nothing is asked and the headers go along as they are.
func (c *conversation) authenticate(table *route.Table) bool {
	if !table.HasTenants() {
		return true
	}
	c.hasTenants = true
	c.tenant = table.TenantOf(c.received.Header.Get(c.handler.dialect.Credential))
	return c.tenant != nil || c.route.Public
}

// replaceCaller puts the tenant's name in the place of what the client said of itself. The
// key is a secret between the client and this node.
func (c *conversation) replaceCaller(header http.Header) {
	if !c.hasTenants {
		return
	}
	header.Del(c.handler.dialect.Credential)
	header.Del(c.handler.dialect.Tenant)
	if c.tenant != nil {
		header.Set(c.handler.dialect.Tenant, c.tenant.Name)
	}
}

// isWithinLimit takes the request out of its tenant's limit, and refuses it if it is beyond.
func (c *conversation) isWithinLimit() bool {
	if c.tenant == nil || !c.tenant.Limit.IsBound() {
		return true
	}
	isAdmitted, retryAfter := c.handler.limits.Admit(c.tenant, c.id, time.Now())
	if !isAdmitted {
		c.refuse(http.StatusTooManyRequests, outcome.ReasonOverLimit, max(retryAfter, leastRefusal))
	}
	return isAdmitted
}

// refundIf gives the request back to its tenant's limit if it was not run.
func (c *conversation) refundIf(isNotRun bool) {
	if isNotRun && c.tenant != nil && c.tenant.Limit.IsBound() {
		c.handler.limits.Refund(c.tenant, time.Now())
	}
}

// tenantName returns the name of the request's tenant; empty without one.
func (c *conversation) tenantName() string {
	if c.tenant == nil {
		return ""
	}
	return c.tenant.Name
}
