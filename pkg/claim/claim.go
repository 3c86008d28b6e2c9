// Package claim makes requests that must not be repeated run at most once for
// each idempotency key, over all nodes, by claims in the configuration store.
//
// Before a node sends such a request it creates the claim of the key by
// compare-and-swap; only the node that created the claim may send. A claim is
// not a lease: it does not lapse while its holder is paused, so no second node
// ever sends for the same key. The price is that the claim of a holder that
// died remains, and that repeats of the request are told that its outcome is
// unknown, until an operator settles it or the retention ends.
//
// The invariants of this package:
//   - for one key, Acquire gives at most one claim whose MaySend succeeds
//     within the retention, unless the earlier holder released its claim on
//     evidence that the request did not run;
//   - an error of Acquire with outcome NotRun means that this attempt did not
//     and will not send.
//
// docs/design/at-most-once.md explains the choices and what remains impossible.
package claim

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/internal/defaults"
	"github.com/bramblemast/bramblemast/pkg/configstore"
	"github.com/bramblemast/bramblemast/pkg/outcome"
	"github.com/bramblemast/bramblemast/pkg/target"
)

// Defaults of Options.
const (
	DefaultRetention      = 24 * time.Hour
	DefaultSendWindow     = 30 * time.Second
	DefaultMaxResultBytes = 64 << 10
	DefaultStoreTimeout   = 2 * time.Second
	DefaultRetryAfter     = 2 * time.Second
	DefaultSweepPeriod    = 10 * time.Minute
)

// MaxKeyBytes bounds the length of an idempotency key and of a tenant's name.
const MaxKeyBytes = 256

const (
	stepClaim   = "claim request"
	stepSend    = "check claim"
	storePeer   = "configuration store"
	maxAttempts = 4
)

// Causes of errors, for errors.Is.
var (
	// ErrOtherContent means that the key was used with another content. The
	// request at hand did not run.
	ErrOtherContent = errors.New("the idempotency key was used with another content")
	// ErrInFlight means that a node holds the claim and has not finished.
	ErrInFlight = errors.New("the request is in flight at another attempt")
	// ErrOutcomeUnknown means that the holder sent the request and could not
	// learn whether it ran.
	ErrOutcomeUnknown = errors.New("whether the earlier attempt ran is not known")
	// ErrLate means that too much time passed since the claim was made.
	ErrLate = errors.New("too late to send")
	// ErrUsed means that the claim was used for a sending before, or finished.
	ErrUsed = errors.New("the claim was used before")
)

// Done is the error of Acquire for a key whose request ran before.
type Done struct {
	// Result is the recorded result; nil if Dropped.
	Result []byte
	// Dropped is set if the result was too large to be recorded.
	Dropped    bool
	Node       target.NodeID
	FinishedAt time.Time
}

// Error implements error.
func (d *Done) Error() string { return "the request ran before at " + string(d.Node) }

// Options sets up a Claimer. Only Store and Node are required.
type Options struct {
	Store configstore.Store
	Node  target.NodeID
	// Retention is how long a key is remembered. The clocks of all nodes must
	// agree to well within it.
	Retention time.Duration
	// SendWindow is the longest time from the claim to the sending.
	SendWindow time.Duration
	// MaxResultBytes bounds a recorded result.
	MaxResultBytes int
	// StoreTimeout bounds each call to the store, and all calls of one Acquire
	// together: a caller is refused then, and not only at its deadline.
	StoreTimeout time.Duration
	// RetryAfter is when callers should retry while the store is away or
	// the request is in flight.
	RetryAfter time.Duration
	// SweepPeriod is the time between two sweeps of expired claims.
	SweepPeriod time.Duration
	// IsSweeper reports whether this node is to sweep; nodes decide it by rank
	// and it does no harm if several or none do. Nil means never.
	IsSweeper func() bool
	Logger    hclog.Logger
}

func (o Options) withDefaults() Options {
	defaults.Set(&o.Retention, DefaultRetention)
	defaults.Set(&o.SendWindow, DefaultSendWindow)
	defaults.Set(&o.MaxResultBytes, DefaultMaxResultBytes)
	defaults.Set(&o.StoreTimeout, DefaultStoreTimeout)
	defaults.Set(&o.RetryAfter, DefaultRetryAfter)
	defaults.Set(&o.SweepPeriod, DefaultSweepPeriod)
	if o.IsSweeper == nil {
		o.IsSweeper = func() bool { return false }
	}
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
	return o
}

// Request identifies a request that must not be repeated.
type Request struct {
	Tenant string
	// Key is the caller's idempotency key.
	Key string
	// Content is what the request asks for; the same key with another content
	// is refused.
	Content []byte
}

// Claimer makes claims for one node. It is safe for concurrent use.
type Claimer struct {
	options Options
	logger  hclog.Logger
	pending *pendingQueue
}

// New makes a Claimer. Run must run for claims to be settled later when the
// store is away.
func New(options Options) *Claimer {
	options = options.withDefaults()
	return &Claimer{
		options: options,
		logger:  options.Logger.Named("claim"),
		pending: newPendingQueue(),
	}
}

// Acquire claims the key of a request. On success the request may be sent once
// MaySend agrees, and the claim must then be finished by Complete, Release or
// Abandon. The error is a *Done if the request ran before, else an
// *outcome.Error: NotRun if nothing was or will be sent for this key by this
// attempt nor by a known earlier one, Unknown if an earlier attempt may have
// run.
func (c *Claimer) Acquire(ctx context.Context, request Request) (*Claim, error) {
	if err := checkRequest(request); err != nil {
		return nil, err
	}
	claim := c.newClaim(request)
	value, err := claim.document.encode()
	if err != nil {
		return nil, refused(outcome.ReasonInternal, 0, err)
	}
	ctx, cancel := context.WithTimeout(ctx, c.options.StoreTimeout)
	defer cancel()
	for range maxAttempts {
		again, err := c.create(ctx, claim, value)
		if err != nil {
			return nil, err
		}
		if !again {
			return claim, nil
		}
	}
	return nil, c.giveUp(claim, errors.New("the claim kept changing"))
}

func checkRequest(request Request) error {
	switch {
	case request.Tenant == "" || len(request.Tenant) > MaxKeyBytes:
		return refused(outcome.ReasonInvalid, 0, errors.Errorf("tenant must have 1 to %d bytes", MaxKeyBytes))
	case request.Key == "" || len(request.Key) > MaxKeyBytes:
		return refused(outcome.ReasonInvalid, 0, errors.Errorf("idempotency key must have 1 to %d bytes", MaxKeyBytes))
	default:
		return nil
	}
}

func (c *Claimer) newClaim(request Request) *Claim {
	now := time.Now()
	return &Claim{
		claimer: c,
		key:     storeKey(request.Tenant, request.Key),
		made:    now,
		document: Document{
			ClaimID:   uuid.NewString(),
			Node:      c.options.Node,
			Digest:    DigestOf(request.Content),
			State:     StateSent,
			CreatedAt: now.UTC(),
		},
	}
}

// create makes one attempt to write the claim; again says to make another. The
// same claim may be written by several attempts: the first one that commits
// makes the others conflict with it, and they find their own claim.
func (c *Claimer) create(ctx context.Context, claim *Claim, value []byte) (again bool, err error) {
	switch err := c.swap(ctx, claim.key, value, 0); {
	case err == nil:
		return false, nil
	case errors.Is(err, configstore.ErrConflict):
		return c.examine(ctx, claim)
	case errors.Is(err, configstore.ErrUnknown):
		claim.doubtful = true
		return c.examine(ctx, claim)
	default:
		return false, c.giveUp(claim, err)
	}
}

// examine finds out who holds the key after a write that did not succeed for
// certain.
func (c *Claimer) examine(ctx context.Context, claim *Claim) (again bool, err error) {
	found, _, err := c.read(ctx, claim.key)
	switch {
	case errors.Is(err, configstore.ErrNotFound):
		return true, nil
	case err != nil:
		return false, c.giveUp(claim, err)
	case found.ClaimID == claim.document.ClaimID:
		return false, nil
	}
	c.settleIfDoubtful(claim)
	return false, c.held(found, claim.document.Digest)
}

// held returns the error for a key that another attempt claimed.
func (c *Claimer) held(found Document, digest string) error {
	if found.Digest != digest {
		return refused(outcome.ReasonDuplicate, 0, ErrOtherContent)
	}
	if found.State == StateDone {
		return &Done{Result: found.Result, Dropped: found.ResultDropped, Node: found.Node, FinishedAt: found.FinishedAt}
	}
	cause := ErrInFlight
	if found.State == StateUnknown {
		cause = ErrOutcomeUnknown
	}
	return &outcome.Error{
		Step:       stepClaim,
		Peer:       string(found.Node),
		Outcome:    outcome.Unknown,
		Reason:     outcome.ReasonDuplicate,
		RetryAfter: c.options.RetryAfter,
		Cause:      cause,
	}
}

// giveUp returns the error of an attempt that could not be settled. It is not
// run, because this node will not send; a claim that may have been or may yet
// be written is removed later.
func (c *Claimer) giveUp(claim *Claim, cause error) error {
	c.settleIfDoubtful(claim)
	return refused(outcome.ReasonStoreAway, c.options.RetryAfter, cause)
}

// settleIfDoubtful removes, later, a claim of this node that was never used and
// that a write of unknown outcome may have left.
func (c *Claimer) settleIfDoubtful(claim *Claim) {
	if claim.doubtful {
		c.pending.add(pendingRemoval(claim))
	}
}

// refused is the error of a request that did not run.
func refused(reason outcome.Reason, retryAfter time.Duration, cause error) error {
	failed := &outcome.Error{Step: stepClaim, Outcome: outcome.NotRun, Reason: reason, RetryAfter: retryAfter, Cause: cause}
	if reason == outcome.ReasonStoreAway {
		failed.Peer = storePeer
	}
	return failed
}

// swap is CompareAndSwap within the store time-out.
func (c *Claimer) swap(ctx context.Context, key string, value []byte, index uint64) error {
	ctx, cancel := context.WithTimeout(ctx, c.options.StoreTimeout)
	defer cancel()
	return c.options.Store.CompareAndSwap(ctx, key, value, index)
}

// read returns the claim at a key with its index.
func (c *Claimer) read(ctx context.Context, key string) (Document, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.StoreTimeout)
	defer cancel()
	entry, err := c.options.Store.Get(ctx, key)
	if err != nil {
		return Document{}, 0, err
	}
	document, err := decode(entry.Value)
	return document, entry.Index, err
}
