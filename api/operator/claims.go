package operator

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/bramblemast/bramblemast/pkg/target"
)

// Claim is the claim of a not-repeatable request: as long as it is there, no
// other node sends a request with this key.
type Claim struct {
	Tenant string `json:"tenant"`
	// Key is the caller's idempotency key.
	Key string `json:"key"`
	// ClaimID is unique for each attempt to claim a key.
	ClaimID string `json:"claim_id"`
	// State is "sent" if the holder may have sent the request and did not
	// finish, "unknown" if it sent it and could not learn whether it ran, and
	// "done" if it ran.
	State string `json:"state"`
	// Node is the holder; its id is another after each start.
	Node target.NodeID `json:"node"`
	// NodeState is the state of the holder as the serving node sees it; absent
	// if it does not know the holder.
	NodeState string    `json:"node_state,omitempty"`
	CreatedAt time.Time `json:"created_at"`
	// FinishedAt is when the state became unknown or done.
	FinishedAt time.Time `json:"finished_at,omitzero"`
	// AgeMS is the time since CreatedAt by the serving node's clock, in
	// milliseconds.
	AgeMS int64 `json:"age_ms"`
}

// ClaimList is claims that are not done, oldest first.
type ClaimList struct {
	Claims []Claim `json:"claims"`
	// Total counts all of them; more than listed if the limit was reached.
	Total int `json:"total"`
}

// ClaimRemovalRequest gives a key back, after an operator found out at the back
// end that the request did not run.
type ClaimRemovalRequest struct {
	Tenant string
	Key    string
	// ClaimID guards against removing the claim of another attempt.
	ClaimID string
	Author  string
}

// ClaimRemoval tells that a claim is not in the store any more.
type ClaimRemoval struct {
	Tenant  string `json:"tenant"`
	Key     string `json:"key"`
	ClaimID string `json:"claim_id"`
}

// Claims lists the claims that are not done, at most limit; of one tenant, or
// of all if tenant is empty.
func (c *Client) Claims(ctx context.Context, tenant string, limit int) (*ClaimList, error) {
	parameters := url.Values{ParameterLimit: {strconv.Itoa(limit)}}
	setIfGiven(parameters, ParameterTenant, tenant)
	return call[ClaimList](ctx, c, exchange{
		step: "list claims", method: http.MethodGet, path: ClaimsPath, parameters: parameters,
	})
}

// Claim returns the claim of a key, in any state.
func (c *Client) Claim(ctx context.Context, tenant, key string) (*Claim, error) {
	return call[Claim](ctx, c, exchange{
		step: "get claim", method: http.MethodGet, path: ClaimPath,
		parameters: url.Values{ParameterTenant: {tenant}, ParameterKey: {key}},
	})
}

// RemoveClaim removes a claim. If the outcome is unknown it may be repeated, at
// any node; Claim then tells whether the claim is still there.
func (c *Client) RemoveClaim(ctx context.Context, request ClaimRemovalRequest) (*ClaimRemoval, error) {
	parameters := url.Values{
		ParameterTenant: {request.Tenant}, ParameterKey: {request.Key}, ParameterClaimID: {request.ClaimID},
	}
	setIfGiven(parameters, ParameterAuthor, request.Author)
	return call[ClaimRemoval](ctx, c, exchange{
		step: "remove claim", method: http.MethodDelete, path: ClaimPath, parameters: parameters,
	})
}
