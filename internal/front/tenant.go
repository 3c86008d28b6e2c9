package front

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"time"

	"github.com/bramblemast/bramblemast/pkg/outcome"
	"github.com/bramblemast/bramblemast/pkg/route"
)

// KeyFreshness says how far a node may trust what it knows of callers' keys.
type KeyFreshness int

// What a node may know of keys.
const (
	// KeysCurrent are as new as the deployment asks for.
	KeysCurrent KeyFreshness = iota
	// KeysStale are served on with, but a key that is not among them may have been added since.
	KeysStale
	// KeysLapsed are so old that each of them may have been removed since.
	KeysLapsed
)

// keysWait is after how long a request may be retried whose key this node cannot confirm:
// another node, to which a retry goes, mostly can, and it leaves most of a short deadline.
const keysWait = 200 * time.Millisecond

// authenticate finds the tenant of the request by its key, and reports whether the request may be
// served; if not, it has refused it: a route that is not public needs a key, and a key that nobody holds is
// wrong on any route, since its caller counts on what its tenant is granted and bound to.
// Where the configuration has no tenants, nothing is asked and the headers go along as they
// are.
func (c *conversation) authenticate(table *route.Table) bool {
	if !table.HasTenants() {
		return true
	}
	if !c.hasTenants {
		c.hasTenants, c.keys = true, c.received.Header[c.handler.dialect.Credential]
	}
	if len(c.keys) == 0 && c.route.Public {
		return true
	}
	if len(c.keys) != 1 {
		// There is no key, or several of which nobody knows which one is meant.
		c.refuseUnauthenticated()
		return false
	}
	c.tenant = table.TenantOf(c.keys[0])
	news := c.handler.keyNews()
	switch {
	case news == KeysLapsed || c.tenant == nil && news == KeysStale:
		c.refuse(http.StatusServiceUnavailable, outcome.ReasonKeysUnconfirmed, keysWait)
	case c.tenant == nil:
		c.refuseUnauthenticated()
	default:
		return true
	}
	return false
}

// refuseUnauthenticated answers with the header in which a key is wanted (RFC 9110, section
// 11.6.1).
func (c *conversation) refuseUnauthenticated() {
	c.writer.Header().Set("WWW-Authenticate", c.handler.dialect.Credential)
	c.refuse(http.StatusUnauthorized, outcome.ReasonUnauthenticated, 0)
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

// tenantName returns the name of the request's tenant; empty without one.
func (c *conversation) tenantName() string {
	if c.tenant == nil {
		return ""
	}
	return c.tenant.Name
}

// keyHashLength is the number of bytes of a key's hash in logs: an operator who holds the key
// can find it, nobody finds the key by it.
const keyHashLength = 4

// keyHashIf returns the short hash of a key that is refused for that reason; empty for other
// reasons, and where the client did not send one key.
func (c *conversation) keyHashIf(reason outcome.Reason) string {
	isKeyRefused := reason == outcome.ReasonUnauthenticated || reason == outcome.ReasonKeysUnconfirmed
	if !isKeyRefused || len(c.keys) != 1 || c.keys[0] == "" {
		return ""
	}
	sum := sha256.Sum256([]byte(c.keys[0]))
	return hex.EncodeToString(sum[:keyHashLength])
}
