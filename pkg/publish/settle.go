package publish

import (
	"context"

	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/pkg/configstore"
	"github.com/bramblemast/bramblemast/pkg/template"
	"github.com/bramblemast/bramblemast/pkg/template/stored"
)

// SettledState is what became of a doubtful change.
type SettledState string

// The states.
const (
	// SettledAccepted means that the change was accepted.
	SettledAccepted SettledState = "accepted"
	// SettledRejected means that the change did not commit and never will.
	SettledRejected SettledState = "rejected"
	// SettledForgotten means that the change is older than the kept history.
	SettledForgotten SettledState = "forgotten"
)

// Settlement is what became of a doubtful change.
type Settlement struct {
	State SettledState
	// Change is the accepted document; nil otherwise.
	Change *template.Template
	// Current is the document in the store; nil if there is none.
	Current *template.Template
}

// Settle finds out what became of a change after an UnknownError. If the
// change is not in the store, the key is written once more with the same
// document, which moves its index on: the doubtful write can't commit after
// that. The change id is kept as rejected there, so that a node that was paused
// with the change before it first read the store can't publish it either. A key
// that does not exist gets a tombstone for this.
func (p *Publisher) Settle(ctx context.Context, key template.Key, changeID string) (Settlement, error) {
	for attempt := 0; ; attempt++ {
		current, err := p.read(ctx, key)
		if err != nil {
			return Settlement{}, err
		}
		if current.document.IsRejected(changeID) {
			return Settlement{State: SettledRejected, Current: current.document.Current.Template}, nil
		}
		if found := current.contains(changeID); found != absent {
			return p.settled(current, changeID, found), nil
		}
		fenced, err := p.fence(ctx, key, current, changeID)
		if err == nil {
			return Settlement{State: SettledRejected, Current: fenced}, nil
		}
		if !p.backoff(ctx, attempt) {
			return Settlement{}, errors.WithMessagef(err, "settle change %s of %s", changeID, key)
		}
	}
}

func (p *Publisher) settled(current state, changeID string, found presence) Settlement {
	settlement := Settlement{State: SettledForgotten, Current: current.document.Current.Template}
	if found == present {
		change, _ := current.document.Find(changeID)
		settlement.State, settlement.Change = SettledAccepted, change.Template
		p.options.Accepted(current.document.Current)
	}
	return settlement
}

// fence moves the index of a key on. It returns the document in the store.
func (p *Publisher) fence(ctx context.Context, key template.Key, current state, changeID string) (*template.Template, error) {
	next := current.document.Reject(changeID)
	if !current.exists() {
		tombstone, err := template.Seal(&template.Template{
			Tenant: key.Tenant, Name: key.Name, Revision: 1, ChangeID: p.options.NewChangeID(), Deleted: true,
		})
		if err != nil {
			return nil, err
		}
		next.Current = tombstone
	}
	value, err := next.Encode()
	if err != nil {
		return nil, err
	}
	if err := p.options.Store.CompareAndSwap(ctx, stored.Key(key), value, current.index); err != nil {
		return nil, err
	}
	return next.Current.Template, nil
}

// Repair writes a document that nodes hold back into a store that went back to
// an older state. It returns false if the store's document is as new. Several
// nodes may repair at once: the compare-and-swap lets one of them win, and the
// others find nothing left to do, so the duty needs no lease. What the store
// held is kept in the history.
func (p *Publisher) Repair(ctx context.Context, held template.Published) (bool, error) {
	key := held.Key()
	for attempt := 0; ; attempt++ {
		current, err := p.read(ctx, key)
		if err != nil {
			return false, err
		}
		if held.Version().Compare(current.version()) <= 0 {
			return false, nil
		}
		value, err := current.document.replace(held)
		if err != nil {
			return false, err
		}
		err = p.options.Store.CompareAndSwap(ctx, stored.Key(key), value, current.index)
		if err == nil {
			p.options.Logger.Warn("store repaired", "template", key, "version", held.Version(), "stored", current.version())
			return true, nil
		}
		if !errors.Is(err, configstore.ErrConflict) || !p.backoff(ctx, attempt) {
			return false, errors.WithMessagef(err, "repair %s", key)
		}
	}
}
