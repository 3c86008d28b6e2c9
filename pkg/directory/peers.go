package directory

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/bramblemast/bramblemast/pkg/directory/directorypb"
	"github.com/bramblemast/bramblemast/pkg/peer"
	"github.com/bramblemast/bramblemast/pkg/target"
)

// kindChanges is the message by which a node asks what another one has read.
const kindChanges peer.Kind = "directory.changes"

// Times of the comparison between nodes.
const (
	// compareInterval is how often a node asks another one while the store
	// answers, urgentInterval how often it asks while the store does not.
	compareInterval = time.Second
	urgentInterval  = 300 * time.Millisecond
	compareTimeout  = time.Second
)

// Peers keeps a follower up to date from other nodes: while the store does not
// answer, and when a watch says nothing although others have heard more.
type Peers struct {
	follower  *Follower
	transport peer.Transport
	local     Node
	// nodes returns the nodes that are known.
	nodes func() []Node
	// seeds are asked while no node is known.
	seeds []peer.Address
}

// PeersOptions are the parts of Peers.
type PeersOptions struct {
	Follower  *Follower
	Transport peer.Transport
	Local     Node
	Nodes     func() []Node
	Seeds     []string
}

// NewPeers registers the handler of other nodes' questions.
func NewPeers(options PeersOptions) *Peers {
	peers := &Peers{
		follower: options.Follower, transport: options.Transport, local: options.Local, nodes: options.Nodes,
	}
	for _, seed := range options.Seeds {
		if seed != options.Local.PeerAddress {
			peers.seeds = append(peers.seeds, peer.Address(seed))
		}
	}
	options.Transport.Handle(kindChanges, peers.answer)
	return peers
}

// Run compares with other nodes until ctx ends.
func (p *Peers) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		interval := compareInterval
		if !p.follower.inContact() {
			interval = urgentInterval
		}
		sleep(ctx, interval)
		if ctx.Err() != nil {
			return nil
		}
		if address, ok := p.choose(); ok {
			// A peer that does not answer is no loss: another one is asked next.
			_ = p.compare(ctx, address)
		}
	}
	return nil
}

// compare asks one node for what this one does not know.
func (p *Peers) compare(ctx context.Context, address peer.Address) error {
	limited, cancel := context.WithTimeout(ctx, compareTimeout)
	defer cancel()
	known := p.follower.replica.revision()
	reply := &directorypb.ChangesReply{}
	err := p.transport.Call(limited, address, kindChanges, &directorypb.ChangesRequest{After: known}, reply)
	if err != nil {
		return errors.WithMessage(err, "ask a peer for changes")
	}
	if reply.Revision <= known {
		return nil
	}
	batch := Batch{Revision: reply.Revision}
	for _, item := range reply.Items {
		batch.Entries = append(batch.Entries, p.decode(item))
	}
	news := p.follower.replica.apply(batch, reply.Full, time.Now())
	if news > 0 && p.follower.inContact() {
		p.follower.askAgain()
	}
	return nil
}

func (p *Peers) decode(item *directorypb.Item) Entry {
	entry := p.follower.source.Decode(item.Key, item.Value, item.Revision)
	if item.Gone {
		return Entry{Key: item.Key, ServerID: entry.ServerID, Revision: item.Revision, Gone: true}
	}
	return entry
}

// answer tells another node what it does not know.
func (p *Peers) answer(_ context.Context, _ target.NodeID, body []byte) (proto.Message, error) {
	request := &directorypb.ChangesRequest{}
	if err := request.UnmarshalVT(body); err != nil {
		return nil, errors.Wrap(err, "decode question for changes")
	}
	batch, full := p.follower.replica.since(request.After)
	reply := &directorypb.ChangesReply{Revision: batch.Revision, Full: full}
	for _, entry := range batch.Entries {
		reply.Items = append(reply.Items, &directorypb.Item{
			Key: entry.Key, Value: entry.Value, Revision: entry.Revision, Gone: entry.Gone,
		})
	}
	return reply, nil
}

// choose returns the node to ask: any other one, so that what one node knows
// reaches all in a number of steps that grows with the logarithm of their
// number, also where a whole zone knows nothing of it.
func (p *Peers) choose() (peer.Address, bool) {
	var candidates []peer.Address
	for _, node := range p.nodes() {
		if node.PeerAddress != "" && node.Name != p.local.Name {
			candidates = append(candidates, peer.Address(node.PeerAddress))
		}
	}
	if len(candidates) == 0 {
		candidates = p.seeds
	}
	if len(candidates) == 0 {
		return "", false
	}
	return candidates[rand.IntN(len(candidates))], true
}
