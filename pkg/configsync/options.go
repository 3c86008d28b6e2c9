package configsync

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/internal/defaults"
	"github.com/bramblemast/bramblemast/pkg/configstore"
	"github.com/bramblemast/bramblemast/pkg/peer"
	"github.com/bramblemast/bramblemast/pkg/target"
	"github.com/bramblemast/bramblemast/pkg/template"
)

// Peer is a node of the query tier as membership sees it.
type Peer struct {
	ID      target.NodeID
	Address peer.Address
	Zone    target.Zone
	Region  target.Region
	Alive   bool
}

// Repairer writes a document back into a store that was rolled back to an older state.
// publish.Publisher implements it.
type Repairer interface {
	// Repair returns false, without writing, if the store's document is at least as new as held.
	Repair(ctx context.Context, held template.Published) (bool, error)
}

// Defaults of Options.
const (
	DefaultWatchersPerZone  = 2
	DefaultMaxBytesPerWatch = 32 << 10
	DefaultStoreCallsPerSec = 100.0
	DefaultWatchWait        = 20 * time.Second
	DefaultExchangePeriod   = 5 * time.Second
	DefaultFanout           = 4
	DefaultPushTimeout      = time.Second
	DefaultCallTimeout      = 3 * time.Second
	DefaultPeerWait         = 2 * time.Second
	DefaultBootstrapPeers   = 3
)

// Options configures a Replica. Self, Peers, Transport and Store are required; a zero value of a
// field that has a default selects that default.
type Options struct {
	// Self is this node.
	Self Peer
	// Peers returns the nodes that this node knows: all of its zone and some of each other zone. The
	// node itself may be included. It is called often and must not block.
	Peers     func() []Peer
	Transport peer.Transport
	Store     configstore.Store
	// Repairer repairs a store that was rolled back; if nil, the store is not repaired.
	Repairer Repairer
	Logger   hclog.Logger
	// Seed seeds the random number generator, together with the id of the node.
	Seed uint64

	// WatchersPerZone is the number of nodes of each zone that watch the same prefix of the store.
	WatchersPerZone int
	// MaxBytesPerWatch is the target bound on the bytes of documents that one watch reads with each
	// change. The templates are watched under 1, 16 or 256 prefixes, depending on their total size,
	// so that reads are spread over more nodes.
	MaxBytesPerWatch int
	// StoreCallsPerSecond bounds the rate of store calls by the watchers of all nodes together; each
	// watcher limits itself to its share.
	StoreCallsPerSecond float64
	// WatchWait is the minimum time that the store may hold a watch that sees no change. With many
	// watches the wait is longer, to stay within StoreCallsPerSecond.
	WatchWait time.Duration
	// ExchangePeriod is the mean time between two comparisons that this node starts with a random
	// peer.
	ExchangePeriod time.Duration
	// Fanout is the number of parts into which a node divides the members that it passes a document
	// on to.
	Fanout int
	// PushTimeout bounds one push, CallTimeout one call of a comparison or a survey.
	PushTimeout time.Duration
	CallTimeout time.Duration

	// BootstrapPeers is the number of peers that a new node compares with in each attempt.
	BootstrapPeers int
	// PeerWait is how long a new node waits for a first peer before it relies on the store alone.
	PeerWait time.Duration
	// StandaloneAfter is the time after which a new node that reaches neither the store nor a ready
	// peer becomes ready without templates. Zero means never, which is right wherever the store
	// holds templates.
	StandaloneAfter time.Duration

	// onAccept is a hook for tests. It is called under the table's mutex with each document that
	// the table accepts.
	onAccept func(template.Published)
}

// withDefaults checks the options and fills in defaults.
func (o Options) withDefaults() (Options, error) {
	if o.Peers == nil || o.Transport == nil || o.Store == nil || o.Self.ID == "" {
		return o, errors.New("configsync: Self, Peers, Transport and Store are required")
	}
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
	o.Logger = o.Logger.Named("configsync")
	defaults.Set(&o.WatchersPerZone, DefaultWatchersPerZone)
	defaults.Set(&o.MaxBytesPerWatch, DefaultMaxBytesPerWatch)
	defaults.Set(&o.StoreCallsPerSecond, DefaultStoreCallsPerSec)
	defaults.Set(&o.WatchWait, DefaultWatchWait)
	defaults.Set(&o.ExchangePeriod, DefaultExchangePeriod)
	defaults.Set(&o.Fanout, DefaultFanout)
	defaults.Set(&o.PushTimeout, DefaultPushTimeout)
	defaults.Set(&o.CallTimeout, DefaultCallTimeout)
	defaults.Set(&o.BootstrapPeers, DefaultBootstrapPeers)
	defaults.Set(&o.PeerWait, DefaultPeerWait)
	return o, nil
}
