package claim

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/pkg/configstore"
	"github.com/bramblemast/bramblemast/pkg/outcome"
)

const (
	// sweepObservation is the time for which a sweeper must itself have seen a
	// claim unchanged before it removes it, so that a wall clock that jumps
	// does not remove fresh claims at once.
	sweepObservation = 15 * time.Minute
	// sweepLimit bounds the removals of one sweep, for the store's sake.
	sweepLimit = 200
	// removalAge is the age, in send windows, from which an operator may remove
	// a claim whose holder did not finish it.
	removalAge = 2
)

// Causes of a refused Remove, for errors.Is.
var (
	// ErrOtherClaim means that the key is held by another claim than named.
	ErrOtherClaim = errors.New("another claim holds the key")
	// ErrClaimDone means that the request ran and its result is recorded.
	ErrClaimDone = errors.New("the request ran")
	// ErrClaimFresh means that the holder may still be about to send.
	ErrClaimFresh = errors.New("the holder may still send")
	// ErrClaimChanged means that the claim changed while it was to be removed.
	ErrClaimChanged = errors.New("the claim changed meanwhile")
)

// observation is when a sweeper first saw a claim at an index.
type observation struct {
	index uint64
	since time.Time
}

// observations holds what one sweeper saw, by store key.
type observations map[string]observation

// seen notes an entry and returns for how long it has been unchanged.
func (o observations) seen(entry configstore.Entry, now time.Time) time.Duration {
	known, ok := o[entry.Key]
	if !ok || known.index != entry.Index {
		known = observation{index: entry.Index, since: now}
		o[entry.Key] = known
	}
	return now.Sub(known.since)
}

// keepOnly forgets the claims that are gone.
func (o observations) keepOnly(entries []configstore.Entry) {
	present := make(map[string]bool, len(entries))
	for _, entry := range entries {
		present[entry.Key] = true
	}
	for key := range o {
		if !present[key] {
			delete(o, key)
		}
	}
}

// sweep removes the claims whose retention is over. It is idempotent: removals
// are by index, so any number of nodes may sweep at the same time.
func (c *Claimer) sweep(ctx context.Context, observed observations) {
	entries, err := c.list(ctx)
	if err != nil {
		c.logger.Warn("sweep of claims failed", "error", err)
		return
	}
	now := time.Now()
	observed.keepOnly(entries)
	removed := 0
	for _, entry := range entries {
		if removed == sweepLimit {
			break
		}
		unchanged := observed.seen(entry, now)
		if unchanged < sweepObservation || !c.expired(entry, now) {
			continue
		}
		if err := c.remove(ctx, entry.Key, entry.Index); err != nil {
			c.logger.Warn("removal of an expired claim failed", "key", entry.Key, "error", err)
			return
		}
		removed++
	}
	c.logger.Debug("claims swept", "claims", len(entries), "removed", removed)
}

// expired reports whether a claim's retention is over. What cannot be read is
// left for operators.
func (c *Claimer) expired(entry configstore.Entry, now time.Time) bool {
	document, err := decode(entry.Value)
	if err != nil {
		return false
	}
	newest := document.CreatedAt
	if document.FinishedAt.After(newest) {
		newest = document.FinishedAt
	}
	return now.Sub(newest) >= c.options.Retention
}

func (c *Claimer) list(ctx context.Context) ([]configstore.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.StoreTimeout)
	defer cancel()
	entries, _, err := c.options.Store.List(ctx, Prefix)
	return entries, err
}

// Lookup returns the claim of a key, for operators. The error wraps
// configstore.ErrNotFound if there is none.
func (c *Claimer) Lookup(ctx context.Context, tenant, key string) (Record, error) {
	document, index, err := c.read(ctx, storeKey(tenant, key))
	if err != nil {
		return Record{}, err
	}
	return Record{Tenant: tenant, Key: key, Document: document, Index: index}, nil
}

// List returns the claims of all tenants that are not done, for operators.
func (c *Claimer) List(ctx context.Context) ([]Record, error) {
	entries, err := c.list(ctx)
	if err != nil {
		return nil, err
	}
	var records []Record
	for _, entry := range entries {
		document, err := decode(entry.Value)
		if err != nil || document.State == StateDone {
			continue
		}
		tenant, key, err := splitKey(entry.Key)
		if err != nil {
			continue
		}
		records = append(records, Record{Tenant: tenant, Key: key, Document: document, Index: entry.Index})
	}
	return records, nil
}

// Remove lets a key be used again after an operator found out, at the back
// end, that the request did not run. The claim ID guards against removing
// another attempt's claim (ErrOtherClaim). A claim that is done is not removed
// (ErrClaimDone), nor one whose holder may still be about to send
// (ErrClaimFresh) or changed it meanwhile (ErrClaimChanged); these come in an
// *outcome.Error. Other errors are those of the store: after
// configstore.ErrUnknown, Lookup tells whether the claim is still there.
func (c *Claimer) Remove(ctx context.Context, tenant, key, claimID string) error {
	record, err := c.Lookup(ctx, tenant, key)
	if err != nil {
		return err
	}
	if err := c.checkRemoval(&record, claimID); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, c.options.StoreTimeout)
	defer cancel()
	err = c.options.Store.CompareAndDelete(ctx, storeKey(tenant, key), record.Index)
	if errors.Is(err, configstore.ErrConflict) {
		return keptClaim(&record, 0, ErrClaimChanged)
	}
	return err
}

// checkRemoval returns why an operator may not remove a claim, or nil.
func (c *Claimer) checkRemoval(record *Record, claimID string) error {
	left := removalAge*c.options.SendWindow - time.Since(record.CreatedAt)
	switch {
	case record.ClaimID != claimID:
		return keptClaim(record, 0, ErrOtherClaim)
	case record.State == StateDone:
		return keptClaim(record, 0, ErrClaimDone)
	case record.State == StateSent && left > 0:
		return keptClaim(record, left, ErrClaimFresh)
	}
	return nil
}

// keptClaim is the error of a removal that was refused.
func keptClaim(record *Record, retryAfter time.Duration, cause error) error {
	return &outcome.Error{
		Step:       "remove claim",
		Peer:       string(record.Node),
		Outcome:    outcome.NotRun,
		Reason:     outcome.ReasonDuplicate,
		RetryAfter: retryAfter,
		Cause:      errors.Wrapf(cause, "the key is held by claim %s in state %s", record.ClaimID, record.State),
	}
}
