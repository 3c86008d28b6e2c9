package operator

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/api/operator"
	"github.com/bramblemast/bramblemast/pkg/configstore"
	"github.com/bramblemast/bramblemast/pkg/configsync"
	"github.com/bramblemast/bramblemast/pkg/membership"
	"github.com/bramblemast/bramblemast/pkg/outcome"
	"github.com/bramblemast/bramblemast/pkg/publish"
	"github.com/bramblemast/bramblemast/pkg/target"
	"github.com/bramblemast/bramblemast/pkg/template"
)

// storePeer names the configuration store in errors.
const storePeer = "configuration store"

// storeRetryAfter is when to retry after the store refused or was away.
const storeRetryAfter = 2 * time.Second

// ReplicaTemplates implements Templates by a node's replica and the template
// files of its settings, which a published template or tombstone replaces.
type ReplicaTemplates struct {
	Replica *configsync.Replica
	Files   map[template.Key]*template.Compiled
}

// Get implements Templates.
func (t ReplicaTemplates) Get(key template.Key) *template.Template {
	if held, found := t.Replica.Held(key); found {
		return held.Template
	}
	if file := t.Files[key]; file != nil {
		return file.Template
	}
	return nil
}

// List implements Templates.
func (t ReplicaTemplates) List() []*template.Template {
	var documents []*template.Template
	for _, compiled := range t.Replica.List() {
		documents = append(documents, compiled.Template)
	}
	for key, file := range t.Files {
		if _, published := t.Replica.Held(key); !published {
			documents = append(documents, file.Template)
		}
	}
	return documents
}

// Revisions implements Templates.
func (t ReplicaTemplates) Revisions() []operator.TemplateRevision {
	var revisions []operator.TemplateRevision
	for _, held := range t.Replica.Status().Templates {
		revisions = append(revisions, operator.TemplateRevision{
			Tenant:   held.Key.Tenant,
			Name:     held.Key.Name,
			Revision: held.Version.Revision,
			ChangeID: held.Version.ChangeID,
			Deleted:  held.Deleted,
			Invalid:  held.Invalid,
		})
	}
	return revisions
}

// Ready implements Templates.
func (t ReplicaTemplates) Ready() bool { return t.Replica.Ready() }

// StoreContact implements Templates.
func (t ReplicaTemplates) StoreContact() operator.StoreContact {
	status := t.Replica.Status().Store
	contact := operator.StoreContact{
		Watcher:   len(status.WatchedPrefixes) > 0,
		LastError: status.LastError,
		Behind:    status.Behind,
	}
	if !status.ReadAt.IsZero() {
		contact.LastSuccess = &status.ReadAt
	}
	return contact
}

// StorePublisher implements Publisher by pkg/publish.
type StorePublisher struct {
	Publisher *publish.Publisher
}

// Publish implements Publisher.
func (p StorePublisher) Publish(ctx context.Context, document *template.Template, intent Intent) (uint64, error) {
	result, err := p.Publisher.WithChangeID(intent.ChangeID).Publish(ctx, document, intent.ExpectedRevision)
	return revisionOf(result, err, "publish template")
}

// Delete implements Publisher.
func (p StorePublisher) Delete(ctx context.Context, key template.Key, intent Intent) (uint64, error) {
	result, err := p.Publisher.WithChangeID(intent.ChangeID).Delete(ctx, key, intent.ExpectedRevision, intent.Author, intent.Comment)
	return revisionOf(result, err, "delete template")
}

// Rollback implements Publisher.
func (p StorePublisher) Rollback(ctx context.Context, key template.Key, toRevision uint64, intent Intent) (uint64, error) {
	revisions, err := p.History(ctx, key)
	if err != nil {
		return 0, err
	}
	for _, earlier := range revisions {
		if earlier.Revision == toRevision && !earlier.Deleted {
			content := *earlier
			content.Author, content.Comment = intent.Author, intent.Comment
			if content.Comment == "" {
				content.Comment = fmt.Sprintf("rollback to revision %d", toRevision)
			}
			return p.Publish(ctx, &content, intent)
		}
	}
	return 0, notFound("to_revision", fmt.Sprintf("revision %d of %s is not kept, or is a deletion", toRevision, key))
}

// History implements Publisher.
func (p StorePublisher) History(ctx context.Context, key template.Key) ([]*template.Template, error) {
	revisions, err := p.Publisher.History(ctx, key)
	if errors.Is(err, configstore.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, storeError("read history", err)
	}
	return revisions, nil
}

// Settle implements Publisher.
func (p StorePublisher) Settle(ctx context.Context, key template.Key, changeID string) (operator.Change, error) {
	settlement, err := p.Publisher.Settle(ctx, key, changeID)
	if err != nil {
		return operator.Change{}, storeError("settle change", err)
	}
	change := operator.Change{Tenant: key.Tenant, Name: key.Name, ChangeID: changeID}
	switch settlement.State {
	case publish.SettledAccepted:
		change.Outcome = outcome.Completed
		change.Revision = settlement.Change.Revision
	case publish.SettledRejected:
		change.Outcome = outcome.NotRun
		change.Detail = "the change was not accepted and never will be"
	default:
		change.Detail = "the change is older than the kept history"
	}
	return change, nil
}

// revisionOf turns the result of a change into that of Publisher.
func revisionOf(result publish.Result, err error, step string) (uint64, error) {
	if err != nil {
		return 0, changeError(step, err)
	}
	return result.Template.Revision, nil
}

// changeError turns an error of pkg/publish into that of Publisher.
func changeError(step string, err error) error {
	var race *publish.ConflictError
	var unknown *publish.UnknownError
	var faults template.FieldErrors
	switch {
	case errors.As(err, &race):
		return &ConflictError{Expected: race.Expected, Mine: mineOf(race), Theirs: race.Theirs}
	case errors.As(err, &unknown):
		return unknownError(step, unknown)
	case errors.As(err, &faults):
		return faults
	case errors.Is(err, publish.ErrRejected):
		return &outcome.Error{Step: step, Outcome: outcome.NotRun, Reason: operator.ReasonRejected, Cause: publish.ErrRejected}
	default:
		return storeError(step, err)
	}
}

// unknownError keeps the step and the peer of the call to the store.
func unknownError(step string, unknown *publish.UnknownError) error {
	failed := &outcome.Error{
		Step: step, Peer: storePeer, Outcome: outcome.Unknown, Reason: outcome.ReasonStoreAway, Cause: unknown.Cause,
	}
	var call *outcome.Error
	if errors.As(unknown.Cause, &call) {
		failed.Step, failed.Peer, failed.Cause = step+": "+call.Step, call.Peer, call.Cause
	}
	return failed
}

// mineOf returns what the operator wanted, without the revision and id that it
// did not get; nil for a deletion.
func mineOf(race *publish.ConflictError) *template.Template {
	if race.Mine == nil || race.Mine.Deleted {
		return nil
	}
	mine := *race.Mine
	mine.Revision, mine.ChangeID = 0, ""
	return &mine
}

// storeError classifies a failure after which nothing was written. It keeps
// the step and the peer of the call to the store, if that is where it arose.
func storeError(step string, err error) error {
	failed := &outcome.Error{Step: step, Peer: storePeer, Outcome: outcome.NotRun, Cause: err}
	var call *outcome.Error
	if errors.As(err, &call) {
		failed.Step, failed.Peer, failed.Cause = step+": "+call.Step, call.Peer, call.Cause
	}
	switch {
	case errors.Is(err, publish.ErrStoreBehind):
		failed.Reason, failed.RetryAfter = operator.ReasonStoreBehind, storeRetryAfter
	case errors.Is(err, configstore.ErrLimited):
		failed.Reason, failed.RetryAfter = operator.ReasonStoreLimited, storeRetryAfter
	case errors.Is(err, configstore.ErrUnavailable), errors.Is(err, configstore.ErrUnknown),
		errors.Is(err, context.DeadlineExceeded):
		failed.Reason, failed.RetryAfter = outcome.ReasonStoreAway, storeRetryAfter
	default:
		failed.Reason = outcome.ReasonInternal
	}
	return failed
}

// MembershipNodes implements Members by pkg/membership.
type MembershipNodes struct {
	Membership *membership.Membership
}

// Nodes implements Members.
func (m MembershipNodes) Nodes() []operator.Node {
	self := m.Membership.Self().ID
	var nodes []operator.Node
	for _, member := range m.Membership.Members() {
		nodes = append(nodes, nodeOf(member, self))
	}
	return nodes
}

func nodeOf(member membership.Member, self target.NodeID) operator.Node {
	return operator.Node{
		ID:              member.ID,
		Zone:            member.Zone,
		Region:          member.Region,
		State:           member.State.String(),
		Incarnation:     member.Incarnation,
		PeerAddress:     string(member.Address),
		OperatorAddress: member.OperatorAddress,
		Self:            member.ID == self,
	}
}
