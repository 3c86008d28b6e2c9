package operator

import (
	"context"
	"fmt"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/bramblemast/bramblemast/api/operator"
	"github.com/bramblemast/bramblemast/internal/armstats"
	"github.com/bramblemast/bramblemast/pkg/catalog"
	"github.com/bramblemast/bramblemast/pkg/claim"
	"github.com/bramblemast/bramblemast/pkg/target"
	"github.com/bramblemast/bramblemast/pkg/template"
)

// Templates is what the node has in force. Implementations are safe for
// concurrent use, and what they return is immutable.
type Templates interface {
	// Get returns the newest revision, which may be a tombstone; nil if there
	// is none.
	Get(key template.Key) *template.Template
	// List returns the templates in force, in any order.
	List() []*template.Template
	// Revisions returns the newest revision that the node has of each published
	// template, tombstones included, in any order.
	Revisions() []operator.TemplateRevision
	// Ready reports whether the node has fetched what peers and the store hold.
	Ready() bool
	// StoreContact returns the node's view of the configuration store.
	StoreContact() operator.StoreContact
}

// Intent says which change an operator wants to make.
type Intent struct {
	ChangeID         string
	ExpectedRevision uint64
	Author           string
	Comment          string
}

// Publisher changes templates in the configuration store. A change is accepted
// if the error is nil; then the new revision is returned. Otherwise the error
// is a *ConflictError or an *outcome.Error.
type Publisher interface {
	Publish(ctx context.Context, document *template.Template, intent Intent) (uint64, error)
	Delete(ctx context.Context, key template.Key, intent Intent) (uint64, error)
	// Rollback publishes the content of an earlier revision again.
	Rollback(ctx context.Context, key template.Key, toRevision uint64, intent Intent) (uint64, error)
	// History returns the kept revisions, newest first; empty if the template
	// never existed.
	History(ctx context.Context, key template.Key) ([]*template.Template, error)
	// Settle tells what became of a change.
	Settle(ctx context.Context, key template.Key, changeID string) (operator.Change, error)
}

// ConflictError means that a change certainly did not take effect, because the
// template has another revision than the operator expected.
type ConflictError struct {
	Expected uint64
	// Mine is what the operator wanted; nil for a deletion.
	Mine *template.Template
	// Theirs is what is in force; nil if nothing is.
	Theirs *template.Template
}

// Error implements error.
func (e *ConflictError) Error() string {
	if e.Theirs == nil {
		return fmt.Sprintf("expected revision %d, but the template does not exist", e.Expected)
	}
	return fmt.Sprintf("expected revision %d, but revision %d by change %s is in force",
		e.Expected, e.Theirs.Revision, e.Theirs.ChangeID)
}

// Members is the node's view of the other nodes.
type Members interface {
	// Nodes returns every known node, the serving one included, in any order.
	Nodes() []operator.Node
}

// Backends is the node's view of the back-end servers. *catalog.Catalog
// implements it.
type Backends interface {
	// Reports returns what is known of every server, by service and server.
	Reports() []catalog.ServerReport
	// View returns the servers of a service that may be asked; nil if the
	// service is unknown.
	View(service target.Service) *catalog.View
	// Drain sets or takes back an operator's drain of a server and tells the
	// nodes of the zone. The error is catalog.ErrUnknownServer.
	Drain(server target.ServerID, drained bool, author string) error
}

// Experiments gives the figures of the arms of a template.
type Experiments interface {
	Snapshot(key template.Key) armstats.Snapshot
}

// Claims are the claims of not-repeatable requests in the store.
// *claim.Claimer implements it.
type Claims interface {
	// Lookup returns the claim of a key. The error wraps
	// configstore.ErrNotFound if there is none.
	Lookup(ctx context.Context, tenant, key string) (claim.Record, error)
	// List returns the claims that are not done, in any order.
	List(ctx context.Context) ([]claim.Record, error)
	// Remove gives a key back. A refusal has one of the causes of package
	// claim.
	Remove(ctx context.Context, tenant, key, claimID string) error
}

// Peers asks other nodes, by the addresses of their operators' listeners.
type Peers interface {
	// Revisions returns what a node has in force, without the templates if its
	// digest is unlessDigest.
	Revisions(ctx context.Context, address, unlessDigest string) (*operator.NodeRevisions, error)
	// Experiment returns the figures of one node alone.
	Experiment(ctx context.Context, address string, key template.Key) (*operator.ExperimentReport, error)
	// SetDraining passes an operator's drain on to the zone of another node.
	SetDraining(ctx context.Context, address string, request operator.DrainRequest) (*operator.DrainResult, error)
}

// Limits bound what one request of an operator costs. A zero value stands for
// its default.
type Limits struct {
	// ChangeTimeout bounds the work on the configuration store; default 5 s.
	ChangeTimeout time.Duration
	// PeerTimeout bounds the answer of one peer; default 1 s.
	PeerTimeout time.Duration
	// PeersTimeout bounds the answers of all peers together; default 4 s.
	PeersTimeout time.Duration
	// PeerConcurrency bounds the peers that are asked at once; default 32.
	PeerConcurrency int
	// BodyTimeout bounds the reading of a request's body; default 5 s.
	BodyTimeout time.Duration
	// RequestTimeout bounds a whole request, its answer included; default 30 s.
	RequestTimeout time.Duration
}

// Defaults of Limits.
const (
	defaultChangeTimeout   = 5 * time.Second
	defaultPeerTimeout     = time.Second
	defaultPeersTimeout    = 4 * time.Second
	defaultPeerConcurrency = 32
	defaultBodyTimeout     = 5 * time.Second
	defaultRequestTimeout  = 30 * time.Second
)

// withDefaults replaces zero values.
func (l Limits) withDefaults() Limits {
	return Limits{
		ChangeTimeout:   orDefault(l.ChangeTimeout, defaultChangeTimeout),
		PeerTimeout:     orDefault(l.PeerTimeout, defaultPeerTimeout),
		PeersTimeout:    orDefault(l.PeersTimeout, defaultPeersTimeout),
		PeerConcurrency: orDefault(l.PeerConcurrency, defaultPeerConcurrency),
		BodyTimeout:     orDefault(l.BodyTimeout, defaultBodyTimeout),
		RequestTimeout:  orDefault(l.RequestTimeout, defaultRequestTimeout),
	}
}

func orDefault[Value comparable](value, fallback Value) Value {
	var zero Value
	if value == zero {
		return fallback
	}
	return value
}

// Dependencies are the parts of a node that the operators' interface shows.
// All are required, but Limits and Logger.
type Dependencies struct {
	Node        target.NodeID
	Zone        target.Zone
	Templates   Templates
	Publisher   Publisher
	Members     Members
	Backends    Backends
	Experiments Experiments
	Claims      Claims
	Peers       Peers
	Limits      Limits
	Logger      hclog.Logger
}
