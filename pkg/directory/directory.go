// Package directory follows what the platform says about a deployment: the
// routing configuration, the servers, the nodes and the operators' templates.
//
// A Source reads the platform's store. The Follower keeps reading it, hands
// every change to a Listener in order, and never lets an older state of a key
// replace a newer one.
package directory

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/pkg/fleet"
	"github.com/bramblemast/bramblemast/pkg/quarantine"
	"github.com/bramblemast/bramblemast/pkg/route"
	"github.com/bramblemast/bramblemast/pkg/template"
)

// Entry is the state of one key, in the product's terms. At most one of the
// pointers is set; none for a key that is gone or means nothing here.
type Entry struct {
	Key string
	// Era and Revision are where the store has written the state; see Position.
	Era      uint64
	Revision uint64
	Gone     bool
	// Value is what the store holds, for other nodes to decode.
	Value []byte
	// Lease is the lease that the key goes with, as the store told it; zero if there is
	// none or another node told of the key.
	Lease uint64
	// ServerID is set for the key of a server, also when it is gone.
	ServerID string
	// EvacuatedZone is set for the key that asks to send nothing to a zone's servers, also
	// when it is gone and that is taken back.
	EvacuatedZone string
	// Note is set for the key of a note on a request that ends servers, also when it is gone.
	Note *quarantine.Note

	Configuration *route.Configuration
	Server        *fleet.Server
	Node          *Node
	Template      *template.Published
	// Problem says why the value could not be read; the last good state of the
	// key stays in force.
	Problem error
}

// end returns the state of the entry's key once it is gone at a revision.
func (e Entry) asGone(revision uint64) Entry {
	return Entry{Key: e.Key, Era: e.Era, Revision: revision, Gone: true, ServerID: e.ServerID, EvacuatedZone: e.EvacuatedZone, Note: e.Note}
}

// Node is one node of the query tier.
type Node struct {
	Name string
	// PeerAddress is where it answers its peers; empty if it does not.
	PeerAddress string
	Zone        string
	// Era is the era of the store in which the node wrote its entry; zero if the store tells none.
	Era uint64 `json:",omitempty"`
}

// SameRegion reports whether two zones are the same or stand in the same region, where
// regions maps each zone to its region. A zone without a region is near to itself only.
func SameRegion(regions map[string]string, zone, other string) bool {
	region := regions[zone]
	return zone == other || region != "" && region == regions[other]
}

// Batch is the answer to one read of the source.
type Batch struct {
	Entries []Entry
	// Era is the era of the store that the batch is of; zero if the store tells none.
	Era uint64
	// Revision is the state of the store up to which the batch is complete.
	Revision uint64
	// gaps are the spans of revisions within which keys may have come and gone
	// without a trace in Entries.
	gaps []gap
}

// Errors of sources, wrapped.
var (
	// ErrHistoryGone means that changes since the asked revision are no longer
	// known, and everything is to be read anew.
	ErrHistoryGone = errors.New("the store's history is gone")
	// ErrRateLimited means that the store refused the call because of its rate
	// limit.
	ErrRateLimited = errors.New("the store limits its callers")
	// ErrStoreBehind means that the store answered with an older state than is known.
	ErrStoreBehind = errors.New("the store is behind what is known of it")
)

// Source reads the platform's store. It is safe for concurrent use.
type Source interface {
	// Load reads everything. Without fresh, the answer may be seconds old.
	Load(ctx context.Context, fresh bool) (Batch, error)
	// Watch waits for changes after a revision, for at most wait.
	Watch(ctx context.Context, after uint64, wait time.Duration) (Batch, error)
	// Decode reads the value of a key.
	Decode(key string, value []byte, revision uint64) Entry
}

// Listener takes the changes, one at a time.
type Listener interface {
	// Changed takes the new state of a key.
	Changed(entry Entry)
	// Restored tells that what was found at the start has been handed to Changed,
	// up to a revision; what Changed gets from now on is news.
	Loaded(revision uint64)
	// Dependency tells that a source of changes was lost or regained. A loss is told again when
	// its cause is of another kind.
	Dependency(name string, connected bool, cause error)
	// EraChanged tells that the store has come back from an older copy. What Changed has told stays
	// in force until Changed tells otherwise.
	EraChanged(change EraChange)
}
