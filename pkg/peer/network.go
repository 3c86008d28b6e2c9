package peer

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bramblemast/bramblemast/pkg/target"
)

// link is one direction between two nodes.
type link struct{ from, to Address }

// Network is an in-memory network for tests and simulations that
// share a process. It can delay, lose and cut messages and freeze nodes. It is
// safe for concurrent use and works inside testing/synctest bubbles.
type Network struct {
	context context.Context
	cancel  context.CancelFunc
	nextID  atomic.Uint64
	// group counts the messages on their way and the handlers.
	group sync.WaitGroup

	mutex sync.Mutex
	// The fields below are guarded by mutex.
	random     *rand.Rand
	transports map[Address]*MemoryTransport
	latency    LatencyFunc
	loss       float64
	cut        map[link]bool
	// frozen holds, for each frozen node, a channel that is closed when it
	// resumes.
	frozen map[Address]chan struct{}
}

// NewNetwork makes a network without latency or loss. The seed decides which
// messages are lost.
func NewNetwork(seed uint64) *Network {
	ctx, cancel := context.WithCancel(context.Background())
	return &Network{
		context:    ctx,
		cancel:     cancel,
		random:     rand.New(rand.NewPCG(seed, seed)),
		transports: make(map[Address]*MemoryTransport),
		cut:        make(map[link]bool),
		frozen:     make(map[Address]chan struct{}),
	}
}

// Transport adds a node at address whose node id is the address. It replaces an
// earlier transport at the same address.
func (n *Network) Transport(address Address) *MemoryTransport {
	return n.TransportOf(address, target.NodeID(address))
}

// TransportOf adds a node at address. It replaces an earlier transport at the
// same address.
func (n *Network) TransportOf(address Address, node target.NodeID) *MemoryTransport {
	transport := newMemoryTransport(n, address, node)
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.transports[address] = transport
	return transport
}

// Close ends every call, lets go of every frozen node and waits for handlers.
func (n *Network) Close() {
	n.mutex.Lock()
	n.cancel()
	n.mutex.Unlock()
	n.group.Wait()
}

// SetLatency sets the one-way time between nodes.
func (n *Network) SetLatency(latency LatencyFunc) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.latency = latency
}

// SetLoss sets the share of messages, 0 to 1, that never arrive. A request and
// its reply are one message each.
func (n *Network) SetLoss(share float64) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.loss = share
}

// CutOneWay drops every message from any of the one side to any of the other.
// Messages on their way are dropped too.
func (n *Network) CutOneWay(from, to []Address) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for _, source := range from {
		for _, destination := range to {
			n.cut[link{source, destination}] = true
		}
	}
}

// Cut drops every message between the two sides.
func (n *Network) Cut(one, other []Address) {
	n.CutOneWay(one, other)
	n.CutOneWay(other, one)
}

// Heal ends every cut.
func (n *Network) Heal() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	clear(n.cut)
}

// Freeze stops a node as SIGSTOP does: what is sent to it waits, and its own
// calls do not return. Work that the node does without the network is not
// stopped; code under test can wait with WaitThawed.
func (n *Network) Freeze(address Address) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.frozen[address] == nil {
		n.frozen[address] = make(chan struct{})
	}
}

// Thaw resumes a frozen node.
func (n *Network) Thaw(address Address) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if resumed := n.frozen[address]; resumed != nil {
		close(resumed)
		delete(n.frozen, address)
	}
}

// WaitThawed returns when the node is not frozen or the network is closed.
func (n *Network) WaitThawed(address Address) {
	for {
		n.mutex.Lock()
		resumed := n.frozen[address]
		n.mutex.Unlock()
		if resumed == nil {
			return
		}
		select {
		case <-resumed:
		case <-n.context.Done():
			return
		}
	}
}

// travel takes the time of one message; false if the message is lost.
func (n *Network) travel(from, to Address) bool {
	n.mutex.Lock()
	lost := n.loss > 0 && n.random.Float64() < n.loss
	latency := n.latency
	n.mutex.Unlock()
	if latency != nil {
		n.sleep(latency(from, to))
	}
	if lost || n.context.Err() != nil {
		return false
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return !n.cut[link{from, to}]
}

// sleep waits for the duration or until the network is closed.
func (n *Network) sleep(duration time.Duration) {
	if duration <= 0 {
		return
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-n.context.Done():
	}
}

// start runs work in a goroutine that Close waits for; after Close it does
// nothing.
func (n *Network) start(work func()) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.context.Err() != nil {
		return
	}
	n.group.Go(work)
}

// find returns the transport at an address, or nil.
func (n *Network) find(address Address) *MemoryTransport {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.transports[address]
}

// remove takes a transport off the network unless it was replaced.
func (n *Network) remove(transport *MemoryTransport) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.transports[transport.address] == transport {
		delete(n.transports, transport.address)
	}
}
