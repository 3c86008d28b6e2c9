// Package operator holds the typed messages of the operators' HTTP interface of
// a node, and a Client for it. Operators publish, adjust and compare templates
// through it; the callers' interface has a listener of its own.
//
// Every error is a Problem in the media type application/problem+json. Its
// outcome says what is known: not_run means that the change certainly did not
// take effect, unknown that it may have, and then the change id settles it.
package operator

import (
	"net/url"
	"time"

	"github.com/bramblemast/bramblemast/pkg/target"
	"github.com/bramblemast/bramblemast/pkg/template"
)

// Paths of the operators' interface. Those that end in a slash are followed by
// the names of one thing.
const (
	// TemplatesPath lists templates (GET). Below it, "{tenant}/{name}" takes
	// GET, PUT and DELETE, "{tenant}/{name}/history" and
	// "{tenant}/{name}/settle" take GET, "{tenant}/{name}/rollback" takes POST.
	TemplatesPath = "/v1/templates"
	// NodesPath lists the nodes that the serving node knows (GET).
	NodesPath = "/v1/nodes"
	// BackendsPath lists back-end servers (GET). Below it, "{server}/drain" and
	// "{server}/undrain" take POST.
	BackendsPath = "/v1/backends"
	// ConfigStatusPath tells which revision is in force where (GET).
	ConfigStatusPath = "/v1/config/status"
	// ConfigRevisionsPath gives the revisions of the serving node alone (GET).
	ConfigRevisionsPath = "/v1/config/revisions"
	// ExperimentsPath is followed by "/{tenant}/{name}" (GET).
	ExperimentsPath = "/v1/experiments"
	// ClaimsPath lists the claims of not-repeatable requests that are not done
	// (GET).
	ClaimsPath = "/v1/claims"
	// ClaimPath is one claim (GET, DELETE). ParameterTenant and ParameterKey
	// name it, since a key may hold any characters.
	ClaimPath = "/v1/claim"
)

// Last elements of paths.
const (
	HistoryAction  = "history"
	SettleAction   = "settle"
	RollbackAction = "rollback"
	DrainAction    = "drain"
	UndrainAction  = "undrain"
)

// Query parameters.
const (
	// ParameterExpectedRevision is the revision that a change replaces; zero
	// if the template must not exist. It is required for PUT and DELETE.
	ParameterExpectedRevision = "expected_revision"
	// ParameterChangeID names a change.
	ParameterChangeID = "change_id"
	// ParameterService selects the back ends of one service.
	ParameterService = "service"
	// ParameterTenant selects the templates of one tenant.
	ParameterTenant = "tenant"
	// ParameterKey is the idempotency key of a claim.
	ParameterKey = "key"
	// ParameterClaimID names the claim that is to be removed.
	ParameterClaimID = "claim_id"
	// ParameterLimit bounds the number of listed claims; see MaxListedClaims.
	ParameterLimit = "limit"
	// ParameterScope is one of the scopes.
	ParameterScope = "scope"
	// ParameterUnlessDigest leaves out the list of revisions if the node's
	// digest of them has this value.
	ParameterUnlessDigest = "unless_digest"
	// ParameterAuthor and ParameterComment go into a tombstone or a drain.
	ParameterAuthor  = "author"
	ParameterComment = "comment"
)

// Scopes of a report or a drain.
const (
	// ScopeAll is every node that the serving node knows; the default.
	ScopeAll = "all"
	// ScopeZone is the zone of the serving node. Only drains have it.
	ScopeZone = "zone"
	// ScopeNode is the serving node alone. Only reports have it.
	ScopeNode = "node"
)

// HeaderChangeID carries the id that the client chose for its change, so that
// the change can be settled by any node if the reply is lost. It is a UUID of
// version 7: the time in it tells how old the change is. The node makes one up
// if the header is absent.
const HeaderChangeID = "X-Change-Id"

// Bounds of a list of claims.
const (
	DefaultListedClaims = 100
	MaxListedClaims     = 1000
)

// MaxChangeIDAhead bounds how far the time in a change id may be ahead of the
// node's clock.
const MaxChangeIDAhead = time.Minute

// templatePath returns the path of a template, or of an action on it.
func templatePath(key template.Key, action string) string {
	path := TemplatesPath + "/" + url.PathEscape(key.Tenant) + "/" + url.PathEscape(key.Name)
	if action == "" {
		return path
	}
	return path + "/" + action
}

// backendPath returns the path of an action on a back-end server.
func backendPath(server target.ServerID, action string) string {
	return BackendsPath + "/" + url.PathEscape(string(server)) + "/" + action
}

// experimentPath returns the path of the figures of a template's arms.
func experimentPath(key template.Key) string {
	return ExperimentsPath + "/" + url.PathEscape(key.Tenant) + "/" + url.PathEscape(key.Name)
}
