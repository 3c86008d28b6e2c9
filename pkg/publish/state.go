package publish

import (
	"context"

	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/pkg/configstore"
	"github.com/bramblemast/bramblemast/pkg/template"
	"github.com/bramblemast/bramblemast/pkg/template/stored"
)

// document is a stored.Document, or none.
type document struct {
	stored.Document
}

// replace returns the value of the key with next in force.
func (d document) replace(next template.Published) ([]byte, error) {
	if d.Current.Template == nil {
		return stored.Document{Current: next}.Encode()
	}
	return d.Replace(next).Encode()
}

// state is what the store holds under a key. Index is zero if the key is
// absent.
type state struct {
	document document
	index    uint64
}

func (s state) exists() bool { return s.index != 0 }

// version returns the version in the store; zero if the key is absent.
func (s state) version() template.Version {
	if !s.exists() {
		return template.Version{}
	}
	return s.document.Current.Version()
}

// isRevision reports whether a change that is based on a revision may replace
// this state. A deleted template counts as absent too.
func (s state) isRevision(expected uint64) bool {
	if expected == 0 && s.exists() {
		return s.document.Current.Template.Deleted
	}
	return s.version().Revision == expected
}

// presence is what a state tells about an earlier change.
type presence int

const (
	absent presence = iota
	present
	// forgotten means that the kept history does not reach back to the change.
	forgotten
)

// find returns the revision that a change published, if it is still kept.
func (s state) find(changeID string) (template.Published, bool) {
	if !s.exists() {
		return template.Published{}, false
	}
	return s.document.Find(changeID)
}

// contains looks for a change. Change ids are ordered by time, which tells
// whether the change would be older than the kept history.
func (s state) contains(changeID string) presence {
	if !s.exists() {
		return absent
	}
	if _, isKept := s.find(changeID); isKept {
		return present
	}
	history := s.document.History
	if len(history) >= stored.HistoryLength && changeID < history[len(history)-1].Template.ChangeID {
		return forgotten
	}
	return absent
}

// read returns the state of a key, with bounded retries.
func (p *Publisher) read(ctx context.Context, key template.Key) (state, error) {
	for attempt := 0; ; attempt++ {
		entry, err := p.options.Store.Get(ctx, stored.Key(key))
		switch {
		case err == nil:
			decoded, err := stored.Decode(key, entry.Value)
			return state{document: document{decoded}, index: entry.Index}, err
		case errors.Is(err, configstore.ErrNotFound):
			return state{}, nil
		case !p.backoff(ctx, attempt):
			return state{}, errors.WithMessagef(err, "read %s", key)
		}
	}
}

// Get returns the template in the store. The error is configstore.ErrNotFound
// if it does not exist; a tombstone is returned as it is.
func (p *Publisher) Get(ctx context.Context, key template.Key) (*template.Template, error) {
	history, err := p.History(ctx, key)
	if err != nil {
		return nil, err
	}
	return history[0], nil
}

// History returns the template in the store and its earlier revisions that are
// kept, newest first.
func (p *Publisher) History(ctx context.Context, key template.Key) ([]*template.Template, error) {
	current, err := p.read(ctx, key)
	if err != nil {
		return nil, err
	}
	if !current.exists() {
		return nil, errors.WithMessagef(configstore.ErrNotFound, "template %s", key)
	}
	revisions := []*template.Template{current.document.Current.Template}
	for _, earlier := range current.document.History {
		revisions = append(revisions, earlier.Template)
	}
	return revisions, nil
}

// List returns every template in the store, tombstones included, by key. An
// entry that cannot be read, which another writer may have left, is logged and
// left out.
func (p *Publisher) List(ctx context.Context) ([]*template.Template, error) {
	entries, _, err := p.options.Store.List(ctx, stored.Root)
	if err != nil {
		return nil, errors.WithMessage(err, "list templates")
	}
	templates := make([]*template.Template, 0, len(entries))
	for _, entry := range entries {
		key, err := stored.ParseKey(entry.Key)
		if err != nil {
			p.options.Logger.Warn("entry left out", "key", entry.Key, "error", err)
			continue
		}
		current, err := stored.DecodeCurrent(key, entry.Value)
		if err != nil {
			p.options.Logger.Warn("entry left out", "key", entry.Key, "error", err)
			continue
		}
		templates = append(templates, current.Template)
	}
	return templates, nil
}
