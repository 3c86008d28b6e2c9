package claim

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/pkg/configstore"
	"github.com/bramblemast/bramblemast/pkg/outcome"
)

// Claim is the right to send one request. Its methods are safe for concurrent
// use, but only the first of Complete, Release and Abandon has an effect.
type Claim struct {
	claimer *Claimer
	key     string
	// document is the claim as it was created; it is not changed.
	document Document
	// made is the local time, with its monotonic part, before the claim was
	// written.
	made time.Time
	// doubtful is set while Acquire runs if a write had an unknown outcome, so
	// that it may still be made later.
	doubtful bool

	mutex sync.Mutex
	// sent and finished are guarded by mutex.
	sent     bool
	finished bool
}

// ID returns the claim's unique ID.
func (c *Claim) ID() string { return c.document.ClaimID }

// MaySend must be called right before the request is sent. It agrees once, and
// only within the send window by both the monotonic and the wall clock, so that
// a holder that was paused, or whose machine was suspended, does not send a
// request that was long given up. The error is NotRun; the claim should then
// be released.
func (c *Claim) MaySend() error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := time.Now()
	window := c.claimer.options.SendWindow
	// Round strips the monotonic part, which may stand still in a suspension.
	byWallClock := now.Round(0).Sub(c.made.Round(0))
	if now.Sub(c.made) > window || byWallClock > window || byWallClock < -window {
		return &outcome.Error{Step: stepSend, Outcome: outcome.NotRun, Reason: outcome.ReasonDeadline, Cause: ErrLate}
	}
	if c.sent || c.finished {
		return &outcome.Error{Step: stepSend, Outcome: outcome.NotRun, Reason: outcome.ReasonDuplicate, Cause: ErrUsed}
	}
	c.sent = true
	return nil
}

// Complete records that the request ran, with its result for later repeats. If
// the store is away that is done later; the error is for information only.
func (c *Claim) Complete(ctx context.Context, result []byte) error {
	document := c.document
	document.State = StateDone
	document.FinishedAt = time.Now().UTC()
	document.Result = result
	if len(result) > c.claimer.options.MaxResultBytes {
		document.Result = nil
		document.ResultDropped = true
	}
	return c.finish(ctx, pendingUpdate(c, document))
}

// Release gives the key back after evidence that the request did not run, so
// that the caller may repeat it. If the store is away that is done later, and
// until then repeats are told that the request is in flight.
func (c *Claim) Release(ctx context.Context) error {
	return c.finish(ctx, pendingRemoval(c))
}

// Abandon records that the request was sent and that its outcome cannot be
// learned. Repeats are told so.
func (c *Claim) Abandon(ctx context.Context) error {
	document := c.document
	document.State = StateUnknown
	document.FinishedAt = time.Now().UTC()
	return c.finish(ctx, pendingUpdate(c, document))
}

// finish does the last write of a claim, now or later.
func (c *Claim) finish(ctx context.Context, last *pendingWrite) error {
	c.mutex.Lock()
	already := c.finished
	c.finished = true
	c.mutex.Unlock()
	if already {
		return errors.New("the claim was finished before")
	}
	err := c.claimer.apply(ctx, last)
	if err != nil || (c.doubtful && last.document == nil) {
		c.claimer.pending.add(last)
	}
	return err
}

// apply does a write to a claim if it is still this node's own. It returns nil
// if there is nothing left to do.
func (c *Claimer) apply(ctx context.Context, write *pendingWrite) error {
	found, index, err := c.read(ctx, write.key)
	switch {
	case errors.Is(err, configstore.ErrNotFound):
		return nil
	case err != nil:
		return err
	case found.ClaimID != write.claimID:
		return nil
	case write.document == nil:
		return c.remove(ctx, write.key, index)
	case found.State == write.document.State:
		return nil
	}
	value, err := write.document.encode()
	if err != nil {
		return err
	}
	return ignoreConflict(c.swap(ctx, write.key, value, index))
}

// remove is CompareAndDelete within the store time-out.
func (c *Claimer) remove(ctx context.Context, key string, index uint64) error {
	ctx, cancel := context.WithTimeout(ctx, c.options.StoreTimeout)
	defer cancel()
	return ignoreConflict(c.options.Store.CompareAndDelete(ctx, key, index))
}

// ignoreConflict returns nil for a write that lost against another one, which
// only an operator or the sweep can have made.
func ignoreConflict(err error) error {
	if errors.Is(err, configstore.ErrConflict) || errors.Is(err, configstore.ErrNotFound) {
		return nil
	}
	return err
}
