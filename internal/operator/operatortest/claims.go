package operatortest

import (
	"context"
	"encoding/json"
	"net/url"
	"time"

	"github.com/bramblemast/bramblemast/pkg/claim"
)

// HoldClaim stores a claim of the dead node that was made some time ago.
func (c *Cluster) HoldClaim(tenant, key, claimID string, state claim.State, age time.Duration) {
	document := claim.Document{
		ClaimID: claimID, Node: deadNode, Digest: claim.DigestOf(nil), State: state, CreatedAt: time.Now().Add(-age),
	}
	value, err := json.Marshal(document)
	if err != nil {
		panic(err)
	}
	stored := claim.Prefix + url.PathEscape(tenant) + "/" + url.PathEscape(key)
	if err := c.Store.CompareAndSwap(context.Background(), stored, value, 0); err != nil {
		panic(err)
	}
}
