package membership

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/bramblemast/bramblemast/pkg/peer"
	"github.com/bramblemast/bramblemast/pkg/target"
)

// testNode is one node of a cluster in virtual time.
type testNode struct {
	*Membership
	address   peer.Address
	transport *peer.MemoryTransport
	cancel    context.CancelFunc
	done      chan struct{}
	frozen    bool
}

// cluster runs nodes on an in-memory network. Its methods must be called from one goroutine.
type cluster struct {
	t       testing.TB
	network *peer.Network
	nodes   map[peer.Address]*testNode
	// seeds are given to every node.
	seeds  atomic.Pointer[[]Seed]
	starts int
	timing Timing
	trace  messageTrace
	// ended is the traffic of replaced processes.
	ended peer.Stats
}

func newCluster(t testing.TB, seed uint64) *cluster {
	network := peer.NewNetwork(seed)
	network.SetLatency(func(_, _ peer.Address) time.Duration { return time.Millisecond })
	c := &cluster{t: t, network: network, nodes: make(map[peer.Address]*testNode)}
	c.seeds.Store(&[]Seed{})
	return c
}

// addressOf returns the address of a node of a zone.
func addressOf(zone string, number int) peer.Address {
	return peer.Address(fmt.Sprintf("%s-%03d:7000", zone, number))
}

// start starts a new process at the address of a node.
func (c *cluster) start(zone string, number int) *testNode {
	address := addressOf(zone, number)
	c.starts++
	id := target.NodeID(fmt.Sprintf("%s-%03d-%04x", zone, number, c.starts))
	node := &testNode{address: address, transport: c.network.TransportOf(address, id), done: make(chan struct{})}
	node.Membership = New(Options{
		Self:       Member{ID: id, Address: address, Zone: target.Zone(zone), Region: "region"},
		Transport:  &tracedTransport{MemoryTransport: node.transport, trace: &c.trace},
		Seeds:      func() []Seed { return *c.seeds.Load() },
		Seed:       uint64(c.starts),
		Timing:     c.timing,
		beforeTick: func() { c.network.WaitThawed(address) },
	})
	var ctx context.Context
	ctx, node.cancel = context.WithCancel(context.Background())
	go func() {
		defer close(node.done)
		node.Run(ctx)
	}()
	c.nodes[address] = node
	return node
}

// startAt starts a new process at an address made by addressOf.
func (c *cluster) startAt(address peer.Address) {
	var number int
	zone, rest, _ := strings.Cut(string(address), "-")
	fmt.Sscanf(rest, "%d", &number)
	c.start(zone, number)
}

// startZone starts count nodes; the first two are seeds.
func (c *cluster) startZone(zone string, count int) {
	seeds := slices.Clone(*c.seeds.Load())
	for number := range min(count, 2) {
		seeds = append(seeds, Seed{Address: addressOf(zone, number), Zone: target.Zone(zone)})
	}
	c.seeds.Store(&seeds)
	for number := range count {
		c.start(zone, number)
	}
}

// kill ends a process without any announcement.
func (c *cluster) kill(address peer.Address) {
	node := c.nodes[address]
	node.transport.Close()
	node.cancel()
	c.network.Thaw(address)
	<-node.done
	delete(c.nodes, address)
}

func (c *cluster) freeze(address peer.Address) {
	c.nodes[address].frozen = true
	c.network.Freeze(address)
}

func (c *cluster) thaw(address peer.Address) {
	c.nodes[address].frozen = false
	c.network.Thaw(address)
}

// stop ends every process.
func (c *cluster) stop() {
	for _, node := range c.nodes {
		node.cancel()
		c.network.Thaw(node.address)
	}
	c.network.Close()
	for _, node := range c.nodes {
		<-node.done
	}
}

// addresses returns the addresses of all running processes, sorted.
func (c *cluster) addresses() []peer.Address {
	var addresses []peer.Address
	for address := range c.nodes {
		addresses = append(addresses, address)
	}
	slices.Sort(addresses)
	return addresses
}

// runningIDs returns the IDs of the running processes of a zone, sorted.
func (c *cluster) runningIDs(zone target.Zone) []target.NodeID {
	var ids []target.NodeID
	for _, node := range c.nodes {
		if node.options.Self.Zone == zone {
			ids = append(ids, node.options.Self.ID)
		}
	}
	slices.Sort(ids)
	return ids
}

// disagreement describes the first node whose list differs from the set of running processes. It
// returns an empty text if all lists agree.
func (c *cluster) disagreement() string {
	for _, address := range c.addresses() {
		node := c.nodes[address]
		own := node.options.Self.Zone
		if held, running := idsIn(node, own, Alive), c.runningIDs(own); !slices.Equal(held, running) {
			return fmt.Sprintf("%s holds %v as alive, running are %v", address, held, running)
		}
		for _, zone := range c.zones() {
			if text := c.remoteZoneProblem(node, zone); zone != own && text != "" {
				return text
			}
		}
	}
	return ""
}

// remoteZoneProblem describes what is wrong in a node's list of another zone. The node must hold as
// many members as it should know, and only running ones.
func (c *cluster) remoteZoneProblem(node *testNode, zone target.Zone) string {
	held, running := idsIn(node, zone, Alive), c.runningIDs(zone)
	wanted := min(len(running), DefaultMembersPerZone)
	if len(held) != wanted {
		return fmt.Sprintf("%s holds %v of zone %s as alive, running are %v", node.address, held, zone, running)
	}
	for _, id := range held {
		if !slices.Contains(running, id) {
			return fmt.Sprintf("%s holds %s of zone %s as alive, but it is not running", node.address, id, zone)
		}
	}
	return ""
}

func (c *cluster) zones() []target.Zone {
	var zones []target.Zone
	for _, node := range c.nodes {
		if !slices.Contains(zones, node.options.Self.Zone) {
			zones = append(zones, node.options.Self.Zone)
		}
	}
	return zones
}

// idsIn returns the members of a zone that a node lists in the given state.
func idsIn(node *testNode, zone target.Zone, state State) []target.NodeID {
	var ids []target.NodeID
	for _, member := range node.Members() {
		if member.Zone == zone && member.State == state {
			ids = append(ids, member.ID)
		}
	}
	return ids
}

// holds reports whether a node lists a member in any state.
func (c *cluster) holds(node *testNode, id target.NodeID) bool {
	return slices.ContainsFunc(node.Members(), func(member Member) bool { return member.ID == id })
}

// stateAt returns the state of a member in a node's list, or Dead if it is not listed.
func (c *cluster) stateAt(node *testNode, id target.NodeID) State {
	for _, member := range node.Members() {
		if member.ID == id {
			return member.State
		}
	}
	return Dead
}

// settle waits until all lists agree with the running processes and returns how long that took. The
// test fails if it takes longer than bound.
func (c *cluster) settle(bound time.Duration) time.Duration {
	c.t.Helper()
	started := time.Now()
	if text := c.settleWithin(bound); text != "" {
		c.t.Fatal(text)
	}
	return time.Since(started)
}

// settleWithin waits until all lists agree with the running processes. If they still differ after
// bound, it returns a description of the difference.
func (c *cluster) settleWithin(bound time.Duration) string {
	started := time.Now()
	for {
		text := c.disagreement()
		if text == "" {
			return ""
		}
		if time.Since(started) > bound {
			return fmt.Sprintf("after %v: %s", bound, text)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// total sums a counter over all running nodes.
func (c *cluster) total(counter func(Stats) uint64) uint64 {
	var sum uint64
	for _, node := range c.nodes {
		sum += counter(node.Stats())
	}
	return sum
}

func removed(stats Stats) uint64 { return stats.Removed }
