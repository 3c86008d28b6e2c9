package quarantine

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bramblemast/bramblemast/internal/pause"
	"github.com/bramblemast/bramblemast/pkg/exchange"
	"github.com/bramblemast/bramblemast/pkg/fleet"
	"github.com/bramblemast/bramblemast/pkg/peer"
	"github.com/bramblemast/bramblemast/pkg/quarantine/quarantinepb"
	"github.com/bramblemast/bramblemast/pkg/relay"
	"github.com/bramblemast/bramblemast/pkg/ring"
	"github.com/bramblemast/bramblemast/pkg/target"
)

// kindUpdates is the message that carries updates.
const kindUpdates peer.Kind = "quarantine.news"

// Bounds and times of sending updates.
const (
	// fanOut bounds the nodes to which a node sends its own updates, so that the connections to
	// owners stay open. Up to that many are delivered to until they acknowledge. If there are more
	// nodes, every node that has an update delivers it to those that follow it on the ring of all
	// nodes, which reaches all. For speed, its origin then also sends it to fanOut others and each
	// receiver to forwardFanOut others, once.
	fanOut        = 24
	forwardFanOut = 2
	// maxNotesPerMessage bounds the notes of one message, and maxQueued those that wait for one: a
	// crash leaves as many as the server had requests. Crashes that do not fit in the queue are
	// sent later; everything else reaches the other nodes through the store.
	maxNotesPerMessage = 64
	maxQueued          = 1024
	// messageInterval is the minimum time between two messages to the same nodes. What is detected
	// in between goes in one message.
	messageInterval = 10 * time.Millisecond
	// messageTimeout bounds a message: several times the round trip to a distant region.
	messageTimeout = 400 * time.Millisecond
	// maxInFlight bounds the messages in flight. It is greater than one so that a silent node does
	// not hold up the next message.
	maxInFlight = 8
	// maxTrialNumber is the greatest number of a trial that is accepted. Far fewer trials are made
	// within the time for which a request is remembered.
	maxTrialNumber = 64
)

// Gossiper sends the updates of a Guard to other nodes, and applies those that it receives. It is
// safe for concurrent use.
type Gossiper struct {
	guard     *Guard
	transport peer.Transport
	// wake holds an element while updates are queued; slots bounds the messages in flight.
	wake  chan struct{}
	slots chan struct{}
	// sent and received count notes, refused those for which the queue had no room.
	sent, received, refused atomic.Uint64

	mutex sync.Mutex
	// peers are the addresses of the other nodes in the order of the ring, guarded by mutex.
	peers []peer.Address
	// local queues the updates of this node, forwarded those received from others; guarded by
	// mutex.
	local, forwarded []Update
	// relay holds the updates to be delivered until they are acknowledged; guarded by mutex.
	relay *relay.Queue[peer.Address, *Update]
}

// relayBatch is updates to be delivered to one node.
type relayBatch = relay.Batch[peer.Address, *Update]

// NewGossiper registers a handler for the updates of other nodes, and takes those of the guard.
func NewGossiper(guard *Guard, transport peer.Transport) *Gossiper {
	gossiper := &Gossiper{
		guard: guard, transport: transport, wake: make(chan struct{}, 1), slots: make(chan struct{}, maxInFlight),
		relay: relay.NewQueue(relay.Config[peer.Address, *Update]{
			Retention: maxUpdateAge,
			MaxItems:  maxQueued,
			MaxBatch:  maxNotesPerMessage,
			Size:      func(*Update) int { return 1 },
		}),
	}
	guard.OnUpdate(gossiper.enqueue)
	transport.Handle(kindUpdates, gossiper.handle)
	return gossiper
}

// SetNodes sets the addresses of all nodes. The address of this node and empty ones are ignored.
func (g *Gossiper) SetNodes(nodes []peer.Address) {
	local := g.transport.Address()
	peers := slices.DeleteFunc(slices.Clone(nodes), func(each peer.Address) bool { return each == local || each == "" })
	ordered := ring.After(peers, local)
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.peers = ordered
}

// Counts returns how many notes were sent and received.
func (g *Gossiper) Counts() (sent, received uint64) { return g.sent.Load(), g.received.Load() }

// Refused returns how often the queue had no room for a note.
func (g *Gossiper) Refused() uint64 { return g.refused.Load() }

// enqueue queues an update of this node until Run sends it, and returns false if the queue is full.
func (g *Gossiper) enqueue(update Update) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.signal()
	if len(g.local) >= maxQueued {
		g.refused.Add(1)
		return false
	}
	g.local = append(g.local, update)
	return true
}

// forward queues updates of another node until Run sends them on, if there are more nodes than that
// one delivers to. The caller does not hold the mutex.
func (g *Gossiper) forward(updates []Update) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if !g.usesRing() || len(updates) == 0 {
		return
	}
	g.addToRelay(updates)
	// What does not fit in the queue reaches the other nodes along the ring.
	g.forwarded = append(g.forwarded, updates[:min(len(updates), maxQueued-len(g.forwarded))]...)
	g.signal()
}

// usesRing reports whether there are more nodes than this one delivers its own updates to. The caller
// holds the mutex.
func (g *Gossiper) usesRing() bool { return len(g.peers) > fanOut }

// addToRelay queues updates for delivery. The caller holds the mutex.
func (g *Gossiper) addToRelay(updates []Update) {
	now := time.Now()
	for index := range updates {
		g.relay.Add(&updates[index], now)
	}
}

// signal tells Run that updates are queued.
func (g *Gossiper) signal() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// Run sends queued updates until ctx ends. It always returns nil.
func (g *Gossiper) Run(ctx context.Context) error {
	var sending sync.WaitGroup
	defer sending.Wait()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-g.wake:
		}
		local, forwarded := g.nextBatches()
		g.send(ctx, &sending, local, fanOut)
		g.send(ctx, &sending, forwarded, forwardFanOut)
		for _, batch := range g.nextRelayBatches() {
			sending.Go(func() { g.deliver(ctx, batch) })
		}
		pause.For(ctx, messageInterval)
	}
}

// nextBatches takes the updates for the next messages out of the queues, and returns those for nodes
// drawn at random.
func (g *Gossiper) nextBatches() (local, forwarded []Update) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	local, g.local = splitBatch(g.local)
	forwarded, g.forwarded = splitBatch(g.forwarded)
	if len(g.local)+len(g.forwarded) > 0 {
		g.signal()
	}
	g.sent.Add(uint64(len(local) + len(forwarded)))
	g.addToRelay(local)
	if !g.usesRing() {
		return nil, nil
	}
	return local, forwarded
}

// nextRelayBatches returns what is to be delivered now: to all other nodes, or to those that follow
// this one on the ring.
func (g *Gossiper) nextRelayBatches() []relayBatch {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := time.Now()
	g.relay.Expire(now)
	wanted := len(g.peers)
	if g.usesRing() {
		wanted = relay.RingSuccessors
	}
	g.relay.Follow(g.peers, wanted, func(peer.Address) bool { return true })
	return g.relay.Take(now)
}

// deliver sends a batch to one node. Run sends what the node did not acknowledge again.
func (g *Gossiper) deliver(ctx context.Context, batch relayBatch) {
	limited, cancel := context.WithTimeout(ctx, messageTimeout)
	defer cancel()
	updates := make([]Update, 0, len(batch.Items))
	for _, each := range batch.Items {
		updates = append(updates, *each)
	}
	err := g.transport.Call(limited, batch.Node, kindUpdates, encodeUpdates(updates, time.Now()), &quarantinepb.Taken{})
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if err == nil {
		g.relay.Acknowledge(batch)
		g.signalIfWaiting()
		return
	}
	// The error shows nothing but that the node does not answer. On a ring, Run tries those behind it.
	backoff := g.relay.Fail(batch, time.Now())
	g.signal()
	time.AfterFunc(backoff, g.signal)
}

// signalIfWaiting tells Run of updates that were queued for a node while a batch was in flight. The
// caller holds the mutex.
func (g *Gossiper) signalIfWaiting() {
	if g.relay.Waiting() {
		g.signal()
	}
}

// splitBatch cuts off as many updates as fit in one message.
func splitBatch(queued []Update) (batch, rest []Update) {
	count := min(len(queued), maxNotesPerMessage)
	return queued[:count:count], queued[count:]
}

// send sends updates to up to maxPeers other nodes, drawn anew each time.
func (g *Gossiper) send(ctx context.Context, sending *sync.WaitGroup, updates []Update, maxPeers int) {
	if len(updates) == 0 {
		return
	}
	addresses := g.drawPeers(maxPeers)
	if len(addresses) == 0 {
		return
	}
	select {
	case g.slots <- struct{}{}:
	case <-ctx.Done():
		return
	}
	message := encodeUpdates(updates, time.Now())
	sending.Go(func() {
		defer func() { <-g.slots }()
		limited, cancel := context.WithTimeout(ctx, messageTimeout)
		defer cancel()
		// Nodes that do not receive the message learn along the ring or from the store.
		peer.Spread(limited, g.transport, addresses, kindUpdates, message, func() proto.Message { return &quarantinepb.Taken{} })
	})
}

// drawPeers returns up to maxPeers of the other nodes, drawn at random.
func (g *Gossiper) drawPeers(maxPeers int) []peer.Address {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	drawn := make([]peer.Address, 0, min(maxPeers, len(g.peers)))
	for _, index := range rand.Perm(len(g.peers))[:cap(drawn)] {
		drawn = append(drawn, g.peers[index])
	}
	return drawn
}

// handle applies the updates of another node, and forwards those that are new here.
func (g *Gossiper) handle(_ context.Context, _ target.NodeID, body []byte) (proto.Message, error) {
	message := &quarantinepb.News{}
	if err := message.UnmarshalVT(body); err != nil {
		return nil, err
	}
	now := time.Now()
	var newUpdates []Update
	for _, encoded := range message.Notes[:min(len(message.Notes), maxNotesPerMessage)] {
		// Invalid notes are skipped: a node of another version may send notes that this one does not
		// know.
		update, isValid := decodeUpdate(encoded, now)
		if isValid && g.guard.ApplyUpdate(update, now) {
			newUpdates = append(newUpdates, update)
		}
	}
	g.received.Add(uint64(len(newUpdates)))
	g.forward(newUpdates)
	return &quarantinepb.Taken{}, nil
}

// encodeUpdates returns the message for updates. It holds ages rather than times, since the clocks
// of nodes differ.
func encodeUpdates(updates []Update, now time.Time) *quarantinepb.News {
	message := &quarantinepb.News{}
	for _, update := range updates {
		note := update.Note
		message.Notes = append(message.Notes, &quarantinepb.Note{
			Fingerprint: note.Fingerprint[:], Server: note.Server.ID, Start: int64(note.Server.Start), Trial: uint32(note.Trial),
			IsGone: update.IsReleased, AgeMs: uint32(max(0, now.Sub(update.DetectedAt).Milliseconds())),
		})
	}
	return message
}

// decodeUpdate decodes one note, and returns false if it is invalid.
func decodeUpdate(encoded *quarantinepb.Note, now time.Time) (Update, bool) {
	update := Update{
		Note:       Note{Server: fleet.Incarnation{ID: encoded.Server, Start: fleet.Start(encoded.Start)}, Trial: int(encoded.Trial)},
		IsReleased: encoded.IsGone, DetectedAt: now.Add(-time.Duration(encoded.AgeMs) * time.Millisecond),
	}
	if len(encoded.Fingerprint) != len(exchange.Fingerprint{}) || encoded.Trial > maxTrialNumber {
		return Update{}, false
	}
	copy(update.Note.Fingerprint[:], encoded.Fingerprint)
	return update, true
}
