package configsync

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/bramblemast/bramblemast/pkg/configstore"
	"github.com/bramblemast/bramblemast/pkg/peer"
	"github.com/bramblemast/bramblemast/pkg/policy"
	"github.com/bramblemast/bramblemast/pkg/publish"
	"github.com/bramblemast/bramblemast/pkg/target"
	"github.com/bramblemast/bramblemast/pkg/template"
	"github.com/bramblemast/bramblemast/pkg/template/stored"
)

// detectionTime is how long a stopped node is still listed as alive.
const detectionTime = 3 * time.Second

// cluster is a set of nodes on an in-memory network with one store. It must be used inside a
// synctest bubble.
type cluster struct {
	network *peer.Network
	store   *configstore.Memory
	zones   int
	tune    func(*Options)

	// mutex guards the fields below.
	mutex      sync.Mutex
	nodes      []*testNode
	starts     int
	listed     []Peer
	violations []string
}

// testNode is one machine. Its process may be replaced, which gives it a new ID.
type testNode struct {
	Peer
	replica   *Replica
	publisher *publish.Publisher
	store     *reachableStore
	transport *peer.MemoryTransport
	context   context.Context
	cancel    context.CancelFunc
	done      chan struct{}
}

// reachableStore is a node's connection to the store, which can be cut.
type reachableStore struct {
	*configstore.Memory
	isCut atomic.Bool
	// replyDelay delays the replies to List and Watch.
	replyDelay time.Duration
}

func (s *reachableStore) check(err error) error {
	if s.isCut.Load() {
		return configstore.Failure("reach", "store", configstore.ErrUnavailable, nil)
	}
	return err
}

func (s *reachableStore) Get(ctx context.Context, key string) (configstore.Entry, error) {
	if err := s.check(nil); err != nil {
		return configstore.Entry{}, err
	}
	return s.Memory.Get(ctx, key)
}

func (s *reachableStore) List(ctx context.Context, prefix string) ([]configstore.Entry, uint64, error) {
	if err := s.check(nil); err != nil {
		return nil, 0, err
	}
	defer time.Sleep(s.replyDelay)
	return s.Memory.List(ctx, prefix)
}

func (s *reachableStore) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]configstore.Entry, uint64, error) {
	if err := s.check(nil); err != nil {
		return nil, 0, err
	}
	entries, index, err := s.Memory.Watch(ctx, prefix, after, wait)
	time.Sleep(s.replyDelay)
	return entries, index, s.check(err)
}

func (s *reachableStore) CompareAndSwap(ctx context.Context, key string, value []byte, index uint64) error {
	if err := s.check(nil); err != nil {
		return err
	}
	return s.Memory.CompareAndSwap(ctx, key, value, index)
}

// newCluster starts nodes, spread evenly over zones.
func newCluster(size, zones int, tune func(*Options)) *cluster {
	return newClusterOn(configstore.NewMemory(), size, zones, tune)
}

// newClusterOn starts nodes on a store that may hold templates already.
func newClusterOn(store *configstore.Memory, size, zones int, tune func(*Options)) *cluster {
	c := &cluster{network: peer.NewNetwork(1), store: store, zones: zones, tune: tune}
	c.network.SetLatency(c.latency)
	for index := range size {
		c.nodes = append(c.nodes, &testNode{Peer: Peer{
			Address: peer.Address(fmt.Sprintf("node%d", index)),
			Zone:    target.Zone(fmt.Sprintf("zone%d", index%zones)),
		}})
	}
	for _, node := range c.nodes {
		c.start(node)
	}
	return c
}

// latency returns the one-way latency between two nodes: 1 ms within a zone, which is a region of
// its own here, and 12 ms between zones.
func (c *cluster) latency(from, to peer.Address) time.Duration {
	var source, destination int
	_, _ = fmt.Sscanf(string(from), "node%d", &source)
	_, _ = fmt.Sscanf(string(to), "node%d", &destination)
	if source%c.zones == destination%c.zones {
		return time.Millisecond
	}
	return 12 * time.Millisecond
}

// start starts a process on a machine.
func (c *cluster) start(node *testNode) {
	c.mutex.Lock()
	c.starts++
	node.ID = target.NodeID(fmt.Sprintf("%s-%d", node.Address, c.starts))
	node.Alive = true
	c.mutex.Unlock()
	node.transport = c.network.TransportOf(node.Address, node.ID)
	node.store = &reachableStore{Memory: c.store}
	last := map[template.Key]template.Version{}
	options := Options{
		Self: node.Peer, Peers: c.peers, Transport: node.transport, Store: node.store, Seed: uint64(c.starts),
		onAccept: func(next template.Published) {
			if next.Version().Compare(last[next.Key()]) <= 0 {
				c.violation("%s: version went down from %v to %v", node.ID, last[next.Key()], next.Version())
			}
			last[next.Key()] = next.Version()
		},
	}
	publisher, err := publish.New(publish.Options{
		Store:    node.store,
		Held:     func(key template.Key) (template.Published, bool) { return node.replica.Held(key) },
		Accepted: func(change template.Published) { node.replica.Announce(change) },
	})
	if err != nil {
		panic(err)
	}
	options.Repairer = publisher
	if c.tune != nil {
		c.tune(&options)
	}
	node.publisher = publisher
	node.replica, err = New(options)
	if err != nil {
		panic(err)
	}
	c.run(node)
}

func (c *cluster) run(node *testNode) {
	ctx, cancel := context.WithCancel(context.Background())
	done, replica := make(chan struct{}), node.replica
	node.context, node.cancel, node.done = ctx, cancel, done
	go func() {
		defer close(done)
		_ = replica.Run(ctx)
	}()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.listed = append(c.listed, node.Peer)
}

// stop kills a process. The other nodes list it as alive for another detectionTime.
func (c *cluster) stop(node *testNode) {
	node.cancel()
	node.transport.Close()
	<-node.done
	stopped := node.ID
	time.AfterFunc(detectionTime, func() { c.unlist(stopped) })
}

func (c *cluster) unlist(stopped target.NodeID) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var remaining []Peer
	for _, listed := range c.listed {
		if listed.ID != stopped {
			remaining = append(remaining, listed)
		}
	}
	c.listed = remaining
}

func (c *cluster) restart(node *testNode) {
	c.stop(node)
	c.start(node)
}

func (c *cluster) peers() []Peer {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.listed
}

func (c *cluster) violation(format string, arguments ...any) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.violations = append(c.violations, fmt.Sprintf(format, arguments...))
}

// close stops all nodes and waits until nothing runs, so that the bubble can end.
func (c *cluster) close() {
	c.network.Heal()
	for _, node := range c.nodes {
		node.cancel()
	}
	c.network.Close()
	for _, node := range c.nodes {
		<-node.done
	}
	time.Sleep(detectionTime + configstore.LateCommitDelay)
}

func (c *cluster) addresses(nodes ...*testNode) []peer.Address {
	var all []peer.Address
	for _, node := range nodes {
		all = append(all, node.Address)
	}
	return all
}

func content(key template.Key, author string) *template.Template {
	return &template.Template{
		Tenant: key.Tenant, Name: key.Name, Author: author,
		Service: "resultatside", Class: policy.ClassTicker, Deadline: policy.Duration(time.Second),
	}
}

// publish publishes a revision on top of the one that the node holds.
func (n *testNode) publish(key template.Key, author string) (publish.Result, error) {
	held, _ := n.replica.Held(key)
	expected := uint64(0)
	if held.Template != nil {
		expected = held.Template.Revision
	}
	return n.publisher.Publish(n.context, content(key, author), expected)
}

// storedVersion returns the version in the store, bypassing injected faults.
func (c *cluster) storedVersion(key template.Key) template.Version {
	for entryKey, entry := range c.store.Entries() {
		if entryKey != stored.Key(key) {
			continue
		}
		current, err := stored.DecodeCurrent(key, entry.Value)
		if err != nil {
			panic(err)
		}
		return current.Version()
	}
	return template.Version{}
}

func (n *testNode) version(key template.Key) template.Version {
	held, isHeld := n.replica.Held(key)
	if !isHeld {
		return template.Version{}
	}
	return held.Version()
}

// ticker is the template that most tests publish.
var ticker = template.Key{Tenant: "valgsok", Name: "ticker"}

func mustPublish(t *testing.T, node *testNode, author string) template.Version {
	t.Helper()
	result, err := node.publish(ticker, author)
	if err != nil {
		t.Fatalf("publish: %v", err)
	}
	return template.Version{Revision: result.Template.Revision, ChangeID: result.Template.ChangeID}
}

// wantEverywhere checks that every node holds the wanted version of ticker and that no violation
// was recorded.
func (c *cluster) wantEverywhere(t *testing.T, want template.Version) {
	t.Helper()
	for _, node := range c.nodes {
		if got := node.version(ticker); got != want {
			t.Errorf("%s holds %v, want %v", node.ID, got, want)
		}
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, violation := range c.violations {
		t.Error(violation)
	}
}
