// Package operatortest provides nodes whose operators' interface is real and
// whose other parts are in memory, with faults that tests switch on.
package operatortest

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	api "github.com/bramblemast/bramblemast/api/operator"
	"github.com/bramblemast/bramblemast/internal/operator"
	"github.com/bramblemast/bramblemast/pkg/outcome"
	"github.com/bramblemast/bramblemast/pkg/template"
)

// RetryAfter is what an unavailable Store tells.
const RetryAfter = 1500 * time.Millisecond

// Fault is how a Store misbehaves.
type Fault int

// The faults.
const (
	Healthy Fault = iota
	// Away refuses every call before it runs.
	Away
	// Forgetful commits changes, but can't tell whether it did, nor settle.
	Forgetful
)

// Store implements operator.Publisher in memory. It is safe for concurrent
// use.
type Store struct {
	mutex sync.Mutex
	// The fields below are guarded by mutex.
	fault   Fault
	history map[template.Key][]*template.Template
}

// NewStore returns an empty Store.
func NewStore() *Store {
	return &Store{history: make(map[template.Key][]*template.Template)}
}

// SetFault switches a fault on, or all off by Healthy.
func (s *Store) SetFault(fault Fault) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.fault = fault
}

// Newest returns the newest revision; nil if there is none.
func (s *Store) Newest(key template.Key) *template.Template {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.newest(key)
}

func (s *Store) newest(key template.Key) *template.Template {
	if revisions := s.history[key]; len(revisions) > 0 {
		return revisions[0]
	}
	return nil
}

// Publish implements operator.Publisher.
func (s *Store) Publish(_ context.Context, document *template.Template, intent operator.Intent) (uint64, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.commit(document.Key(), document, intent)
}

// Delete implements operator.Publisher.
func (s *Store) Delete(_ context.Context, key template.Key, intent operator.Intent) (uint64, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	tombstone := &template.Template{Tenant: key.Tenant, Name: key.Name, Deleted: true, Author: intent.Author, Comment: intent.Comment}
	return s.commit(key, tombstone, intent)
}

// Rollback implements operator.Publisher.
func (s *Store) Rollback(_ context.Context, key template.Key, to uint64, intent operator.Intent) (uint64, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, document := range s.history[key] {
		if document.Revision == to {
			return s.commit(key, document, intent)
		}
	}
	return 0, &outcome.Error{Step: "roll back", Outcome: outcome.NotRun, Reason: api.ReasonNotFound}
}

// History implements operator.Publisher.
func (s *Store) History(_ context.Context, key template.Key) ([]*template.Template, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.history[key], s.refusal("read history")
}

// Settle implements operator.Publisher.
func (s *Store) Settle(_ context.Context, key template.Key, changeID string) (api.Change, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	change := api.Change{Tenant: key.Tenant, Name: key.Name, ChangeID: changeID, Outcome: outcome.NotRun}
	if s.fault == Forgetful {
		change.Outcome = outcome.Unknown
		return change, nil
	}
	for _, document := range s.history[key] {
		if document.ChangeID == changeID {
			change.Outcome, change.Revision = outcome.Completed, document.Revision
		}
	}
	return change, s.refusal("settle")
}

// commit adds a revision. The caller holds the mutex.
func (s *Store) commit(key template.Key, content *template.Template, intent operator.Intent) (uint64, error) {
	if err := s.refusal("write template"); err != nil {
		return 0, err
	}
	theirs, current := s.newest(key), uint64(0)
	if theirs != nil {
		current = theirs.Revision
	}
	if current != intent.ExpectedRevision {
		return 0, &operator.ConflictError{Expected: intent.ExpectedRevision, Mine: content, Theirs: theirs}
	}
	document := *content
	document.Revision, document.ChangeID = current+1, intent.ChangeID
	s.history[key] = append([]*template.Template{&document}, s.history[key]...)
	if s.fault == Forgetful {
		return 0, &outcome.Error{Step: "write template", Peer: "store", Outcome: outcome.Unknown,
			Reason: outcome.ReasonConnectionLost, Cause: errors.New("reply lost")}
	}
	return document.Revision, nil
}

// refusal is the error of a store that is away. The caller holds the mutex.
func (s *Store) refusal(step string) error {
	if s.fault != Away {
		return nil
	}
	return &outcome.Error{Step: step, Peer: "store", Outcome: outcome.NotRun,
		Reason: outcome.ReasonStoreAway, RetryAfter: RetryAfter}
}
