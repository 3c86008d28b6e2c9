package scale

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/internal/node"
	"github.com/bramblemast/bramblemast/pkg/configstore"
	"github.com/bramblemast/bramblemast/pkg/configsync"
	"github.com/bramblemast/bramblemast/pkg/membership"
	"github.com/bramblemast/bramblemast/pkg/peer"
	"github.com/bramblemast/bramblemast/pkg/publish"
	"github.com/bramblemast/bramblemast/pkg/target"
)

// countingTransport is a transport that counts its messages by kind.
type countingTransport interface {
	peer.Transport
	StatsByKind() map[peer.Kind]peer.Stats
}

// hollowNode is the control part of one node.
type hollowNode struct {
	id        target.NodeID
	zone      target.Zone
	transport countingTransport
	tcp       *peer.TCP
	memory    *peer.MemoryTransport
	members   *membership.Membership
	replica   *configsync.Replica
	publisher *publish.Publisher
	cancel    context.CancelFunc
	group     sync.WaitGroup
	stopped   bool
}

// newTransport makes the transport of a node.
func (n *hollowNode) newTransport(kind TransportKind, network *peer.Network, name string) error {
	if kind != TransportTCP {
		n.memory = network.TransportOf(peer.Address(name), n.id)
		n.transport = n.memory
		return nil
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	n.tcp = peer.NewTCP(peer.TCPOptions{Node: n.id, Listener: listener, MaxConnections: maxConnections})
	n.transport = n.tcp
	return nil
}

// build makes the node's parts.
func (n *hollowNode) build(store configstore.Store, seeds func() []membership.Seed, seed uint64) error {
	self := membership.Member{
		ID:              n.id,
		Address:         n.transport.Address(),
		CallerAddress:   fmt.Sprintf("10.0.%d.%d:8080", seed/250, seed%250),
		OperatorAddress: fmt.Sprintf("10.0.%d.%d:8081", seed/250, seed%250),
		Zone:            n.zone,
		Region:          "region",
	}
	n.members = membership.New(membership.Options{Self: self, Transport: n.transport, Seeds: seeds, Seed: seed})
	var err error
	n.publisher, err = publish.New(publish.Options{
		Store:    store,
		Held:     n.held,
		Accepted: n.accepted,
	})
	if err != nil {
		return err
	}
	n.replica, err = configsync.New(configsync.Options{
		Self:      configsync.Peer{ID: n.id, Address: self.Address, Zone: n.zone, Region: self.Region, Alive: true},
		Peers:     func() []configsync.Peer { return node.ConfigPeers(n.members.Members()) },
		Transport: n.transport,
		Store:     store,
		Repairer:  n.publisher,
		Seed:      seed,
	})
	return err
}

// run starts the node's loops.
func (n *hollowNode) run() {
	var ctx context.Context
	ctx, n.cancel = context.WithCancel(context.Background())
	n.group.Go(func() { n.members.Run(ctx) })
	n.group.Go(func() { n.replica.Run(ctx) })
	if n.tcp != nil {
		n.group.Go(func() { n.tcp.Run(ctx) })
	}
}

// kill ends the node without a word to others.
func (n *hollowNode) kill() {
	if n.memory != nil {
		n.memory.Close()
	}
	if n.tcp != nil {
		n.tcp.Close()
	}
	n.cancel()
	n.group.Wait()
	n.stopped = true
}

// memberState returns the state of a member as this node sees it.
func (n *hollowNode) memberState(id target.NodeID) membership.State {
	for _, member := range n.members.Members() {
		if member.ID == id {
			return member.State
		}
	}
	return membership.Dead
}

// usage is what a node has sent and received by subsystem.
type usage struct{ membership, config peer.Stats }

func (n *hollowNode) usage() usage {
	var used usage
	for kind, stats := range n.transport.StatsByKind() {
		if len(kind) >= len(membershipPrefix) && kind[:len(membershipPrefix)] == membershipPrefix {
			used.membership = used.membership.Add(stats)
		} else {
			used.config = used.config.Add(stats)
		}
	}
	return used
}

// maxConnections bounds the connections that a hollow node opens, so that some
// hundred nodes stay within the file descriptors of one process.
const maxConnections = 32

// membershipPrefix begins the kinds of membership's messages.
const membershipPrefix = "membership."

func bytesOf(stats peer.Stats) float64 { return float64(stats.BytesIn + stats.BytesOut) }

// pollPeriod is the time between two looks at a condition.
const pollPeriod = 100 * time.Millisecond
