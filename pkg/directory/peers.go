package directory

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/pkg/directory/directorypb"
	"github.com/bramblemast/bramblemast/pkg/peer"
	"github.com/bramblemast/bramblemast/pkg/target"
)

// kindChanges is the kind of the request by which a node asks another one for changes.
const kindChanges peer.Kind = "directory.changes"

// Intervals of the comparison between nodes.
const (
	// compareInterval is how often a node asks another one while the store answers or has not been
	// called yet. urgentInterval is how often it asks while the store does not answer, or after a
	// start until it knows all that others know.
	compareInterval = time.Second
	urgentInterval  = 300 * time.Millisecond
	compareTimeout  = time.Second
	// relayInterval replaces compareInterval at nodes that relay the changes of the readers to
	// others.
	relayInterval = compareInterval / 2
	// initialInterval is how long a node with an empty replica leaves the first load to the store,
	// unless the store fails.
	initialInterval = stallTimeout + 100*time.Millisecond
	// maxReportedAge is the maximum age of a time that nodes report to each other.
	maxReportedAge = time.Minute
	// maxInitialTurn bounds the random number at which a node begins to count its turns.
	maxInitialTurn = 1 << 16
)

// Peers keeps a follower up to date from other nodes: while the store does not answer, and when a
// watch reports nothing although other nodes have seen changes.
type Peers struct {
	follower  *Follower
	transport peer.Transport
	local     Node
	// nodes returns the known nodes.
	nodes func() []Node
	// seeds are the addresses to ask while no node is known.
	seeds atomic.Pointer[[]peer.Address]
	// ahead receives nodes that were found to know more than this one.
	ahead chan target.NodeID
	// turn counts the peers that were contacted, from a random number, so that nodes which start
	// together contact different ones; only Run uses it.
	turn int
	// incomplete says that the last reply could not tell which keys were deleted; only Run uses it.
	incomplete bool
	// needsFullState says that the last reply could not be applied to this node's replica, so that
	// everything is requested next; only Run uses it.
	needsFullState bool
	// readers assigns the nodes that read the store; only Run uses it.
	readers *readers
	// roleChanged is called with a new role.
	roleChanged func(Role)
	// readerEjected is called with a reader that is not contacted for a while, and the cause.
	readerEjected func(name string, cause error)
}

// PeersOptions are the dependencies and settings of Peers.
type PeersOptions struct {
	Follower  *Follower
	Transport peer.Transport
	Local     Node
	// Regions maps each zone to its region. The nodes of a region read the store for each other;
	// where it is empty, those of a zone do.
	Regions map[string]string
	Nodes   func() []Node
	Seeds   []string
	// RoleChanged is called when this node's role changes; may be nil.
	RoleChanged func(Role)
	// ReaderEjected is called when a reader of the region is not contacted for a while because it
	// did not answer or its replica was stale; may be nil.
	ReaderEjected func(name string, cause error)
}

// NewPeers returns the peers of a follower and registers the handler of other nodes' requests.
func NewPeers(options PeersOptions) *Peers {
	peers := &Peers{
		follower: options.Follower, transport: options.Transport, local: options.Local, nodes: options.Nodes,
		ahead: make(chan target.NodeID, 1), turn: rand.IntN(maxInitialTurn),
		readers: newReaders(options.Local, options.Regions), roleChanged: options.RoleChanged, readerEjected: options.ReaderEjected,
	}
	if peers.roleChanged == nil {
		peers.roleChanged = func(Role) {}
	}
	if peers.readerEjected == nil {
		peers.readerEjected = func(string, error) {}
	}
	peers.SetSeeds(options.Seeds)
	options.Follower.peerCount = func() int { return len(peers.others()) }
	options.Transport.Handle(kindChanges, peers.handleChanges)
	return peers
}

// SetSeeds sets the addresses to ask while no node is known. It is safe for concurrent use.
func (p *Peers) SetSeeds(seeds []string) {
	others := make([]peer.Address, 0, len(seeds))
	for _, seed := range seeds {
		if seed != p.local.PeerAddress {
			others = append(others, peer.Address(seed))
		}
	}
	p.seeds.Store(&others)
}

// Run compares with other nodes until ctx ends.
func (p *Peers) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		ahead := p.awaitNext(ctx)
		if ctx.Err() != nil {
			return nil
		}
		loads := p.follower.loadCount.Load()
		p.assumeRole(p.readers.role(p.nodes(), p.follower.stalenessBound(), time.Now()), loads)
		if ahead == "" && p.follower.Role() == PeerPoller {
			p.pollReaders(ctx)
			continue
		}
		if address, ok := p.choosePeer(ahead); ok {
			// A peer that does not answer needs no handling: another one is contacted next.
			_, _ = p.compare(ctx, address)
		}
	}
	return nil
}

// assumeRole sets the node's role, as decided from the nodes that were known after a number of
// loads. A new role interrupts the pending watch, which goes on under it.
func (p *Peers) assumeRole(role Role, loads int64) {
	if p.follower.setRole(role, loads) {
		p.follower.interruptWatch()
		p.roleChanged(role)
	}
}

// pollReaders compares with a reader of the region, and with the next one if the first does not
// answer or its replica is stale.
func (p *Peers) pollReaders(ctx context.Context) {
	p.turn++
	for attempt := range readersPerRegion {
		reader, ok := p.readers.choose(p.nodes(), p.turn+attempt, time.Now())
		if !ok {
			return
		}
		confirmedAt, err := p.compare(ctx, peer.Address(reader.PeerAddress))
		if ctx.Err() != nil {
			return
		}
		isStale := err == nil && time.Since(confirmedAt) >= p.follower.stalenessBound()
		p.follower.setOutage(isStale)
		switch {
		case err != nil && p.follower.ConfirmedAt().IsZero():
			// Nodes that start together are not all up yet; the reader is polled again soon.
		case err != nil:
			p.ejectReader(reader, err)
		case !isStale:
			return
		case time.Since(p.follower.ConfirmedAt()) < p.follower.stalenessBound():
			p.ejectReader(reader, errReaderStale)
		}
	}
}

// ejectReader stops polling a reader for a while.
func (p *Peers) ejectReader(reader Node, cause error) {
	p.readers.eject(reader.Name, time.Now())
	p.readerEjected(reader.Name, cause)
}

// errReaderStale means that a reader's replica was not confirmed within the staleness bound
// although this node's was. Where both are stale, as in an outage of the store, no reader is
// ejected; otherwise all nodes would begin to read the store.
var errReaderStale = errors.New("reader's replica of the store is older than the staleness bound")

// awaitNext waits until it is time to ask a node. If the wait ends because a node was found to know
// more than this one, it returns that node.
func (p *Peers) awaitNext(ctx context.Context) target.NodeID {
	began := time.Now()
	for time.Since(began) < p.interval() {
		wait := p.interval() - time.Since(began)
		if p.follower.isStoreUntried() {
			wait = min(wait, urgentInterval)
		}
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			return ""
		case <-timer.C:
		case ahead := <-p.ahead:
			timer.Stop()
			return ahead
		case <-p.follower.loadDone:
			// Other nodes may have been found.
			timer.Stop()
			return ""
		}
	}
	return ""
}

// interval returns how long to wait between two requests, depending on the state of the store.
func (p *Peers) interval() time.Duration {
	switch {
	case p.follower.IsStoreLost():
		return urgentInterval
	case p.follower.isStoreUntried():
		return initialInterval
	case p.follower.Role() == PeerPoller && p.follower.ConfirmedAt().IsZero(), p.follower.AwaitsPeers():
		return urgentInterval
	case p.follower.Role() == PeerPoller && (p.readers.isRelay || p.readers.usesRelay && !p.allowsSlowRelay()):
		return relayInterval
	}
	return compareInterval
}

// allowsSlowRelay reports whether changes that come through a relaying node arrive within the
// staleness bound although this node asks for them only every compareInterval.
func (p *Peers) allowsSlowRelay() bool {
	const callSlack = 200 * time.Millisecond
	return p.follower.readerPause()+relayInterval+compareInterval+callSlack <= p.follower.stalenessBound()
}

// compare asks one node for the changes that this one lacks, and returns when that node was known
// to be up to date with the store; zero if the reply does not say. After a reply that cannot tell
// which keys were deleted the node asks the store again, or, if the store does not answer it or it
// has only read a copy, requests everything from the next peer.
func (p *Peers) compare(ctx context.Context, address peer.Address) (time.Time, error) {
	began := time.Now()
	limited, cancel := context.WithTimeout(ctx, compareTimeout)
	defer cancel()
	known := p.follower.replica.position()
	after := known.Revision
	if p.needsFullState || p.incomplete && (p.follower.IsStoreLost() || p.follower.ConfirmedAt().IsZero()) {
		after, p.needsFullState = 0, false
	}
	request := &directorypb.ChangesRequest{After: after, Era: known.Era, EarlierDigest: p.follower.replica.retainedDigest()}
	reply := &directorypb.ChangesReply{}
	if err := p.transport.Call(limited, address, kindChanges, request, reply); err != nil {
		return time.Time{}, errors.WithMessage(err, "ask a peer for changes")
	}
	p.learnOutage(reply, began)
	confirmedAt, isBehind := p.applyReply(request, reply, known, began)
	p.applyRetained(reply, began)
	if isBehind && p.follower.inContact() {
		p.follower.interruptWatch()
	}
	return confirmedAt, nil
}

// applyReply applies the reply to a request sent at sentAt. It returns when the other node was
// known to be up to date with the store, zero if the reply does not say, and whether the store
// knows more than this node.
func (p *Peers) applyReply(request *directorypb.ChangesRequest, reply *directorypb.ChangesReply, known Position, sentAt time.Time) (time.Time, bool) {
	if current := p.follower.replica.position(); reply.Era < current.Era {
		// The other node has not learned of the restore yet and will ask this node in turn, or this
		// node learned of the restore in the meantime.
		return time.Time{}, false
	}
	p.incomplete = reply.Era == known.Era && isNewerOnly(reply, request.After)
	confirmedAt := p.confirmedAtFrom(reply, sentAt)
	if reply.Era == known.Era && reply.Revision <= known.Revision && !p.incomplete {
		p.follower.confirm(confirmedAt)
		return confirmedAt, false
	}
	batch := Batch{Era: reply.Era, Revision: reply.Revision}
	for _, each := range reply.Gaps {
		batch.gaps = append(batch.gaps, gap{from: each.From, to: each.To})
	}
	for _, item := range reply.Items {
		batch.Entries = append(batch.Entries, p.decode(item))
	}
	covered := p.coverageOf(reply)
	if reply.Continues {
		whole, isKnown := p.follower.replica.mergeDiff(batch, known)
		if !isKnown {
			// Everything is requested next, unless this node learned of the era in the meantime.
			p.needsFullState = p.follower.replica.position().Era == known.Era
			return time.Time{}, false
		}
		batch, covered = whole, wholeState
	}
	changes := p.follower.applyBatch(batch, covered)
	if !p.incomplete && p.follower.replica.position().Era == reply.Era {
		p.follower.confirm(confirmedAt)
	}
	return confirmedAt, changes > 0 || p.incomplete
}

// choosePeer returns the node to ask: the one that was found to know more, or else each other node
// in turn. That way the knowledge of one node reaches all in a number of steps that is logarithmic
// in the number of nodes, also where a whole zone lacks it.
func (p *Peers) choosePeer(ahead target.NodeID) (peer.Address, bool) {
	others := p.others()
	for _, node := range others {
		if target.NodeID(node.Name) == ahead {
			return peer.Address(node.PeerAddress), true
		}
	}
	p.turn++
	if len(others) > 0 {
		return peer.Address(others[p.turn%len(others)].PeerAddress), true
	}
	if seeds := *p.seeds.Load(); len(seeds) > 0 {
		return seeds[p.turn%len(seeds)], true
	}
	return "", false
}

// others returns the other nodes in ring order, starting behind this one, so that at any time
// the nodes ask different ones.
func (p *Peers) others() []Node {
	var others []Node
	for _, node := range p.nodes() {
		if node.PeerAddress != "" && node.Name != p.local.Name {
			others = append(others, node)
		}
	}
	slices.SortFunc(others, func(a, b Node) int {
		if before := cmp.Compare(a.Name, p.local.Name) - cmp.Compare(b.Name, p.local.Name); before != 0 {
			return -before
		}
		return cmp.Compare(a.Name, b.Name)
	})
	return others
}
