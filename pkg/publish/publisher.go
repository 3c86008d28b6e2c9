// Package publish changes templates in the configuration store.
//
// A change is accepted once its compare-and-swap is known to have committed.
// Each change carries its own id, so that a write whose reply was lost can be
// told apart from another operator's: repeating the same compare-and-swap is
// harmless, and reading back shows whose change is there. The history of a
// template lies in the same value as the template, so one write changes both.
package publish

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/pkg/configstore"
	"github.com/bramblemast/bramblemast/pkg/outcome"
	"github.com/bramblemast/bramblemast/pkg/template"
	"github.com/bramblemast/bramblemast/pkg/template/stored"
)

// Defaults of Options.
const (
	DefaultAttempts     = 5
	DefaultFirstBackoff = 100 * time.Millisecond
	DefaultMaxBackoff   = 2 * time.Second
)

// Options sets up a Publisher. The zero value of a field stands for its
// default.
type Options struct {
	// Store keeps the templates. Required.
	Store configstore.Store
	// Held returns the document that this node has in force, tombstones
	// included, to notice a store that went back. None if nil.
	Held func(template.Key) (template.Published, bool)
	// Accepted is called with each change as soon as it is known to be
	// accepted, so that the node can pass it on without waiting for the store's
	// watchers. It must not block. None if nil.
	Accepted func(template.Published)
	// Attempts bounds the tries of one call to the store. Between them passes
	// FirstBackoff, doubled each time up to MaxBackoff, less a random half.
	Attempts     int
	FirstBackoff time.Duration
	MaxBackoff   time.Duration
	// NewChangeID makes the id of a change; by default a UUID of version 7,
	// which orders changes by time.
	NewChangeID func() string
	Logger      hclog.Logger
}

// Publisher publishes templates. It is safe for concurrent use.
type Publisher struct {
	options Options
}

// Result is an accepted change.
type Result struct {
	Template *template.Template
	// Settled is true if the store's reply was lost and reading back showed
	// that the change had committed.
	Settled bool
}

// New checks the options and makes a Publisher.
func New(options Options) (*Publisher, error) {
	if options.Store == nil {
		return nil, errors.New("publisher: no store")
	}
	if options.Held == nil {
		options.Held = func(template.Key) (template.Published, bool) { return template.Published{}, false }
	}
	if options.Accepted == nil {
		options.Accepted = func(template.Published) {}
	}
	if options.Attempts <= 0 {
		options.Attempts = DefaultAttempts
	}
	if options.FirstBackoff <= 0 {
		options.FirstBackoff = DefaultFirstBackoff
	}
	if options.MaxBackoff <= 0 {
		options.MaxBackoff = DefaultMaxBackoff
	}
	if options.NewChangeID == nil {
		options.NewChangeID = func() string { return uuid.Must(uuid.NewV7()).String() }
	}
	if options.Logger == nil {
		options.Logger = hclog.NewNullLogger()
	}
	options.Logger = options.Logger.Named("publish")
	return &Publisher{options: options}, nil
}

// Publish makes a template the successor of revision expected; zero for a
// template that does not exist or was deleted. The template's own revision and
// change id are ignored, and it is not changed. The error is a
// template.FieldErrors, a *ConflictError, a *StoreBehindError, an
// *UnknownError, an ErrRejected, or an error of the store after which the
// change certainly did not commit.
func (p *Publisher) Publish(ctx context.Context, content *template.Template, expected uint64) (Result, error) {
	if content.Deleted {
		return Result{}, template.FieldErrors{{Path: "deleted", Message: "use delete to remove a template"}}
	}
	if err := content.Validate(); err != nil {
		return Result{}, err
	}
	return p.change(ctx, *content, expected)
}

// Delete replaces a template by a tombstone; see Publish.
func (p *Publisher) Delete(ctx context.Context, key template.Key, expected uint64, author, comment string) (Result, error) {
	tombstone := template.Template{Tenant: key.Tenant, Name: key.Name, Author: author, Comment: comment, Deleted: true}
	if err := tombstone.Validate(); err != nil {
		return Result{}, err
	}
	return p.change(ctx, tombstone, expected)
}

// Rollback publishes the content of an earlier revision as a new one; see
// Publish. The error is ErrNoSuchRevision if the revision is no longer kept.
func (p *Publisher) Rollback(ctx context.Context, key template.Key, revision, expected uint64, author string) (Result, error) {
	history, err := p.History(ctx, key)
	if err != nil {
		return Result{}, err
	}
	for _, earlier := range history {
		if earlier.Revision == revision && !earlier.Deleted {
			content := *earlier
			content.Author = author
			return p.Publish(ctx, &content, expected)
		}
	}
	return Result{}, errors.Wrapf(ErrNoSuchRevision, "%s revision %d", key, revision)
}

// errMoved means that the key's index moved on while the revision stayed the
// expected one, as the settlement of another change does. No attempt on the old
// index can commit any more.
var errMoved = errors.New("the index of the key keeps moving on")

// change writes one new document.
func (p *Publisher) change(ctx context.Context, content template.Template, expected uint64) (Result, error) {
	content.ChangeID = p.options.NewChangeID()
	for attempt := 0; ; attempt++ {
		// Looked up before the store is read: a change that commits, and is heard of, after the
		// reading does not show that the store went back.
		held, isHeld := p.options.Held(content.Key())
		base, err := p.read(ctx, content.Key())
		if err != nil {
			return Result{}, err
		}
		if isHeld {
			if err := p.checkStoreIsAhead(held, base); err != nil {
				return Result{}, err
			}
		}
		content.Revision = base.version().Revision + 1
		result, err := p.changeOver(ctx, base, content, expected)
		if errors.Is(err, errMoved) && p.backoff(ctx, attempt) {
			continue
		}
		if errors.Is(err, errMoved) {
			return Result{}, &outcome.Error{
				Step: "publish " + content.Key().String(), Outcome: outcome.NotRun, Reason: outcome.ReasonStoreAway, Cause: err,
			}
		}
		return result, err
	}
}

// changeOver writes one new document over a state of the store.
func (p *Publisher) changeOver(ctx context.Context, base state, content template.Template, expected uint64) (Result, error) {
	key := content.Key()
	if base.document.IsRejected(content.ChangeID) {
		return Result{}, &outcome.Error{Step: "publish " + key.String(), Outcome: outcome.NotRun, Reason: outcome.ReasonInvalid, Cause: ErrRejected}
	}
	if earlier, isAccepted := base.find(content.ChangeID); isAccepted {
		return Result{Template: earlier.Template, Settled: true}, nil
	}
	if !base.isRevision(expected) {
		return Result{}, newConflict(expected, &content, base)
	}
	mine, err := template.Seal(&content)
	if err != nil {
		return Result{}, err
	}
	result, err := p.swap(ctx, base, mine, expected)
	if err != nil {
		return Result{}, err
	}
	p.options.Logger.Info("template published", "template", key, "revision", content.Revision,
		"change_id", content.ChangeID, "author", content.Author, "settled", result.Settled)
	p.options.Accepted(mine)
	return result, nil
}

// checkStoreIsAhead refuses to build on a store that went back behind what this node held
// before it read the store.
func (p *Publisher) checkStoreIsAhead(held template.Published, base state) error {
	if held.Version().Compare(base.version()) <= 0 {
		return nil
	}
	key := held.Key()
	p.options.Logger.Error("store is behind this node", "template", key, "held", held.Version(), "stored", base.version())
	return &StoreBehindError{Key: key, Held: held.Version(), Stored: base.version()}
}

// swap writes mine over base. The same compare-and-swap is repeated after a
// doubtful answer: at most one of the attempts can commit, and all of them
// write the same.
func (p *Publisher) swap(ctx context.Context, base state, mine template.Published, expected uint64) (Result, error) {
	value, err := base.document.replace(mine)
	if err != nil {
		return Result{}, err
	}
	var doubt error
	for attempt := range p.options.Attempts {
		err = p.options.Store.CompareAndSwap(ctx, stored.Key(mine.Key()), value, base.index)
		switch {
		case err == nil:
			return Result{Template: mine.Template, Settled: doubt != nil}, nil
		case errors.Is(err, configstore.ErrConflict):
			return p.afterConflict(ctx, mine, expected, doubt)
		case errors.Is(err, configstore.ErrLimited), errors.Is(err, configstore.ErrUnavailable):
		default:
			doubt = err
		}
		p.options.Logger.Warn("write to the store failed", "template", mine.Key(), "attempt", attempt+1, "error", err)
		if !p.backoff(ctx, attempt) {
			break
		}
	}
	if doubt != nil {
		return Result{}, newUnknown(mine, doubt)
	}
	return Result{}, errors.WithMessagef(err, "publish %s: not run", mine.Key())
}

// afterConflict finds out what a compare-and-swap conflicted with: an earlier
// attempt of this change, if doubt is not nil, another change, or none.
func (p *Publisher) afterConflict(ctx context.Context, mine template.Published, expected uint64, doubt error) (Result, error) {
	current, err := p.read(ctx, mine.Key())
	if err != nil && doubt == nil {
		return Result{}, newConflict(expected, mine.Template, state{})
	}
	if err != nil {
		return Result{}, newUnknown(mine, err)
	}
	found := absent
	if doubt != nil {
		found = current.contains(mine.Template.ChangeID)
	}
	switch {
	case found == present:
		return Result{Template: mine.Template, Settled: true}, nil
	case found == forgotten:
		return Result{}, newUnknown(mine, doubt)
	case current.isRevision(expected):
		return Result{}, errMoved
	default:
		return Result{}, newConflict(expected, mine.Template, current)
	}
}

func newConflict(expected uint64, mine *template.Template, theirs state) error {
	conflict := &ConflictError{Key: mine.Key(), Expected: expected, Mine: mine}
	if theirs.exists() {
		conflict.Theirs = theirs.document.Current.Template
	}
	return conflict
}

func newUnknown(mine template.Published, cause error) error {
	return &UnknownError{
		Key: mine.Key(), ChangeID: mine.Template.ChangeID, Revision: mine.Template.Revision, Cause: cause,
	}
}

// backoff waits after a failed attempt. It returns false if there is no
// further attempt.
func (p *Publisher) backoff(ctx context.Context, attempt int) bool {
	if attempt+1 >= p.options.Attempts {
		return false
	}
	wait := min(p.options.FirstBackoff<<attempt, p.options.MaxBackoff)
	timer := time.NewTimer(wait - time.Duration(rand.Int64N(int64(wait/2)+1)))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
