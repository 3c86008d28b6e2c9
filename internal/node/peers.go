package node

import (
	"context"
	"slices"
	"time"

	"github.com/bramblemast/bramblemast/pkg/catalog"
	"github.com/bramblemast/bramblemast/pkg/configsync"
	"github.com/bramblemast/bramblemast/pkg/membership"
	"github.com/bramblemast/bramblemast/pkg/peer"
	"github.com/bramblemast/bramblemast/pkg/rendezvous"
	"github.com/bramblemast/bramblemast/pkg/target"
)

// newsKind is the kind of broadcast that carries news of back ends.
const newsKind = "catalog.news"

// nodeService is the service label of nodes in the machine list; the target is
// the node's peer address.
const nodeService target.Service = "bramblemast"

// seeds returns where other nodes may be found.
func (n *Node) seeds() []membership.Seed {
	seeds := make([]membership.Seed, 0, len(n.settings.Peers.Seeds))
	for _, address := range n.settings.Peers.Seeds {
		seeds = append(seeds, membership.Seed{Address: address})
	}
	if n.machines == nil {
		return seeds
	}
	for _, entry := range n.machines.Status().List {
		if entry.Service == nodeService {
			seeds = append(seeds, membership.Seed{Address: peer.Address(entry.Server), Zone: entry.Zone})
		}
	}
	return seeds
}

// zoneMembers returns the living nodes of this node's zone, itself included.
// Leaving nodes are left out: their duties pass on before they stop.
func (n *Node) zoneMembers() []target.NodeID {
	var ids []target.NodeID
	for _, member := range n.members.Alive(n.settings.Node.Zone) {
		ids = append(ids, member.ID)
	}
	return ids
}

// sweepDuty is the key by whose rank the node is chosen that sweeps expired
// claims. Several sweepers at once do no harm.
const sweepDuty = "claim.sweep"

// isSweeper reports whether this node ranks first for sweeping expired claims,
// among the nodes that it knows.
func (n *Node) isSweeper() bool {
	var ids []target.NodeID
	for _, member := range n.members.Members() {
		if member.Living() {
			ids = append(ids, member.ID)
		}
	}
	return slices.Contains(rendezvous.Top(sweepDuty, ids, 1), n.id)
}

// sharingNodes returns the nodes that may send to the same back ends.
func (n *Node) sharingNodes() []target.NodeID {
	var ids []target.NodeID
	for _, member := range n.members.Members() {
		if member.State != membership.Dead {
			ids = append(ids, member.ID)
		}
	}
	return ids
}

// ConfigPeers returns members as the configuration sees them.
func ConfigPeers(members []membership.Member) []configsync.Peer {
	peers := make([]configsync.Peer, 0, len(members))
	for _, member := range members {
		peers = append(peers, configsync.Peer{
			ID:      member.ID,
			Address: member.Address,
			Zone:    member.Zone,
			Region:  member.Region,
			Alive:   member.Living(),
		})
	}
	return peers
}

// remotePerZone is the number of nodes of each other zone that operators' marks
// are forwarded to.
const remotePerZone = 2

// catchUpPoll is how often a starting node looks for a first peer of its zone.
const catchUpPoll = 200 * time.Millisecond

// zonePeers returns the addresses of the other living nodes of the zone.
func (n *Node) zonePeers() []peer.Address {
	var addresses []peer.Address
	for _, member := range n.members.Alive(n.settings.Node.Zone) {
		if member.ID != n.id {
			addresses = append(addresses, member.Address)
		}
	}
	return addresses
}

// remotePeers returns the addresses of a few living nodes of each other zone.
func (n *Node) remotePeers() []peer.Address {
	var addresses []peer.Address
	for _, zone := range n.members.Zones() {
		if zone == n.settings.Node.Zone {
			continue
		}
		members := n.members.Alive(zone)
		for _, member := range members[:min(remotePerZone, len(members))] {
			addresses = append(addresses, member.Address)
		}
	}
	return addresses
}

// catchUp takes what peers know of the back ends as soon as this node has found
// one, so that a replacement does not wait for the first comparison to learn
// of operators' drains. It then waits for the end of ctx.
func (n *Node) catchUp(ctx context.Context) error {
	ticker := time.NewTicker(catchUpPoll)
	defer ticker.Stop()
	for !n.pullOnce(ctx) {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	<-ctx.Done()
	return ctx.Err()
}

// pullOnce reports whether some peer's knowledge of the back ends was taken,
// from the own zone or else from another.
func (n *Node) pullOnce(ctx context.Context) bool {
	for _, address := range append(n.zonePeers(), n.remotePeers()...) {
		if n.exchange.Pull(ctx, address) == nil {
			return true
		}
	}
	return false
}

// spreadNews tells what this node found out about a back end: all of it to the
// zone, and operators' marks to the other zones as well.
func (n *Node) spreadNews(news catalog.Update) {
	n.tellZone(news)
	n.exchange.Forward(context.Background(), news)
}

// tellZone broadcasts news of a back end to the nodes of the zone.
func (n *Node) tellZone(news catalog.Update) { n.news.Submit(news) }

// broadcastNews broadcasts encoded news of back ends to the nodes of the zone.
func (n *Node) broadcastNews(encoded []byte) error { return n.members.Broadcast(newsKind, encoded) }

// receiveNews applies what another node found out. The broadcast reaches every
// node of the zone by itself, so nothing is passed on here.
func (n *Node) receiveNews(from target.NodeID, payload []byte) {
	batch, err := catalog.DecodeUpdates(payload)
	if err != nil {
		n.logger.Warn("news of a back end can't be read", "peer", string(from), "error", err)
		return
	}
	n.news.DropReceived(batch)
	n.catalog.Apply(batch...)
}
