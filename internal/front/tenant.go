package front

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"time"

	"github.com/bramblemast/bramblemast/pkg/outcome"
	"github.com/bramblemast/bramblemast/pkg/route"
)

// KeyFreshness is how current a node's knowledge of callers' keys is.
type KeyFreshness int

// Levels of freshness of the known keys.
const (
	// KeysCurrent means that the keys are as recent as the deployment requires.
	KeysCurrent KeyFreshness = iota
	// KeysStale means that known keys are still accepted, but an unknown key may have been added since.
	KeysStale
	// KeysLapsed means that the keys are so old that any of them may have been removed since.
	KeysLapsed
)

// keysWait is the retry time for a request whose key this node cannot confirm. Another node, to which
// the retry goes, usually can, and the wait leaves most of a short deadline.
const keysWait = 200 * time.Millisecond

// authenticate finds the tenant of the request by its key and reports whether the request may be
// served; if not, it has refused it. A route that is not public requires a key. An unknown key is
// refused on any route, since its caller relies on the rights and limits of its tenant. If the
// configuration has no tenants, no key is required and the headers are passed on unchanged.
func (c *clientRequest) authenticate(table *route.Table) bool {
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
		// There is no key, or several, which is ambiguous.
		c.refuseUnauthenticated()
		return false
	}
	c.tenant = table.TenantOf(c.keys[0])
	freshness := c.handler.keyFreshness()
	switch {
	case freshness == KeysLapsed || c.tenant == nil && freshness == KeysStale:
		c.refuse(http.StatusServiceUnavailable, outcome.ReasonKeysUnconfirmed, keysWait)
	case c.tenant == nil:
		c.refuseUnauthenticated()
	default:
		return true
	}
	return false
}

// refuseUnauthenticated answers 401 and names the header that must carry the key (RFC 9110,
// section 11.6.1).
func (c *clientRequest) refuseUnauthenticated() {
	c.writer.Header().Set("WWW-Authenticate", c.handler.dialect.Credential)
	c.refuse(http.StatusUnauthorized, outcome.ReasonUnauthenticated, 0)
}

// replaceCallerHeaders replaces the key and any tenant header of the client by the name of its
// tenant. The key is a secret between the client and this node.
func (c *clientRequest) replaceCallerHeaders(header http.Header) {
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
func (c *clientRequest) tenantName() string {
	if c.tenant == nil {
		return ""
	}
	return c.tenant.Name
}

// keyHashLength is the number of bytes of a key's hash in logs: an operator who has the key can find
// its log lines, but nobody can derive the key from the hash.
const keyHashLength = 4

// keyHashIf returns the short hash of the key if reason refuses a key; empty for other reasons, and
// if the client did not send exactly one key.
func (c *clientRequest) keyHashIf(reason outcome.Reason) string {
	isKeyRefused := reason == outcome.ReasonUnauthenticated || reason == outcome.ReasonKeysUnconfirmed
	if !isKeyRefused || len(c.keys) != 1 || c.keys[0] == "" {
		return ""
	}
	sum := sha256.Sum256([]byte(c.keys[0]))
	return hex.EncodeToString(sum[:keyHashLength])
}
