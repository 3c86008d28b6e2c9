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

// Repairer writes a document back into a store that went back to an older
// state. publish.Publisher implements it.
type Repairer interface {
	// Repair returns false if the store's document is as new as held.
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

// Options sets up a Replica. Self, Peers, Transport and Store are required; the
// zero value of another field stands for its default.
type Options struct {
	// Self is this node.
	Self Peer
	// Peers returns the nodes that this node knows: all of its zone and some of
	// each other zone, with or without itself. It is called often and must not
	// block.
	Peers     func() []Peer
	Transport peer.Transport
	Store     configstore.Store
	// Repairer repairs the store; it is not repaired if nil.
	Repairer Repairer
	Logger   hclog.Logger
	// Seed starts the random numbers.
	Seed uint64

	// WatchersPerZone is the number of nodes of each zone that watch the same
	// prefix of the store.
	WatchersPerZone int
	// MaxBytesPerWatch bounds the documents, in bytes, that one watch should read
	// with each change. The templates are watched by 1, 16 or 256 prefixes as it
	// demands, so that the reading is spread over more nodes.
	MaxBytesPerWatch int
	// StoreCallsPerSecond bounds the calls of all watchers of all nodes
	// together; each keeps to its share.
	StoreCallsPerSecond float64
	// WatchWait is how long the store may hold a watch that sees no change, at
	// the least: where there are many watches they wait longer, to keep to
	// StoreCallsPerSecond.
	WatchWait time.Duration
	// ExchangePeriod is the time between two comparisons that this node starts
	// with a random peer.
	ExchangePeriod time.Duration
	// Fanout is the number of members that a node passes a document on to.
	Fanout int
	// PushTimeout bounds one push, CallTimeout one call of a comparison.
	PushTimeout time.Duration
	CallTimeout time.Duration

	// BootstrapPeers is the number of peers that a new node asks.
	BootstrapPeers int
	// PeerWait is how long a new node waits for a first peer before it takes
	// the store's word alone.
	PeerWait time.Duration
	// StandaloneAfter lets a new node that reaches neither the store nor a ready
	// peer become ready, without templates, after this time. Zero means never,
	// which is right wherever the store holds templates.
	StandaloneAfter time.Duration

	// onReplace, set by tests, is called under the table's mutex with each
	// document that replaces another.
	onReplace func(template.Published)
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
