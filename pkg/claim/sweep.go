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
// another attempt's claim. A claim that is done is not removed, nor one whose
// holder may still be about to send.
func (c *Claimer) Remove(ctx context.Context, tenant, key, claimID string) error {
	record, err := c.Lookup(ctx, tenant, key)
	if err != nil {
		return err
	}
	fresh := record.State == StateSent && time.Since(record.CreatedAt) < removalAge*c.options.SendWindow
	if record.ClaimID != claimID || record.State == StateDone || fresh {
		return &outcome.Error{
			Step:    "remove claim",
			Peer:    string(record.Node),
			Outcome: outcome.NotRun,
			Reason:  outcome.ReasonDuplicate,
			Cause:   errors.Errorf("the key is held by claim %s in state %s", record.ClaimID, record.State),
		}
	}
	return c.remove(ctx, storeKey(tenant, key), record.Index)
}
