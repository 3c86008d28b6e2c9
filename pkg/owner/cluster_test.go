package owner_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/pkg/directory"
	"github.com/bramblemast/bramblemast/pkg/exchange"
	"github.com/bramblemast/bramblemast/pkg/exchange/exchangetest"
	"github.com/bramblemast/bramblemast/pkg/fanout"
	"github.com/bramblemast/bramblemast/pkg/fleet"
	"github.com/bramblemast/bramblemast/pkg/loadshed"
	"github.com/bramblemast/bramblemast/pkg/owner"
	"github.com/bramblemast/bramblemast/pkg/peer"
	"github.com/bramblemast/bramblemast/pkg/policy"
	"github.com/bramblemast/bramblemast/pkg/quarantine"
	"github.com/bramblemast/bramblemast/pkg/route"
)

const (
	shardCount = 9
	// groupCount is the square root of shardCount.
	groupCount = 3
	nodeCount  = 8
	// maxAttempts is how many servers may run a request for each shard.
	maxAttempts = 2
)

// budget allows any extra sub-request and counts it. It is safe for concurrent use.
type budget struct {
	mutex  sync.Mutex
	earned int
	spent  int
}

func (b *budget) Earn(string, time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.earned++
}

func (b *budget) TrySpend(string, float64, time.Time) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.spent++
	return true
}

// node is one node with its own view of the servers.
type node struct {
	directory.Node
	transport *peer.MemoryTransport
	fleet     *fleet.Fleet
	budget    *budget
	roster    *owner.Roster
	client    *owner.Client
	runner    *fanout.Runner
	draining  bool
	// regions is where this node's own configuration allows requests to be served; nil if it is not
	// newer than that of the asking node.
	regions atomic.Pointer[route.Regions]
	mutex   sync.Mutex
	// records and lost are guarded by mutex.
	records []owner.Record
	lost    map[string]int
}

// OwnerLost implements owner.Events.
func (n *node) OwnerLost(name string, _ error) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.lost[name]++
}

// OwnerRegained implements owner.Events.
func (n *node) OwnerRegained(name string, _ time.Duration) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.lost[name] = 0
}

func (n *node) hasLost(name string) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.lost[name] > 0
}

// recorded returns the records of the questions that this node has finished.
func (n *node) recorded() []owner.Record {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return slices.Clone(n.records)
}

func (n *node) record(record owner.Record) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.records = append(n.records, record)
}

// cluster has several nodes in one zone, and two servers for each shard.
type cluster struct {
	t        *testing.T
	network  *peer.Network
	servers  *exchangetest.Network
	nodes    []*node
	services []string
	// regions is where requests may be served.
	regions route.Regions
	// answers holds the answer of each server by its name; guarded by mutex.
	mutex   sync.Mutex
	answers map[string]exchangetest.Answer
	byName  map[string]*exchangetest.Server
	cancel  context.CancelFunc
	stopped sync.WaitGroup
	// required is the number of shards that a request needs.
	required int
	claims   *claims
}

// inCluster runs a test with a cluster in virtual time.
func inCluster(t *testing.T, test func(g *WithT, c *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		test(NewWithT(t), c)
		c.cancel()
		c.stopped.Wait()
		time.Sleep(time.Minute)
		c.network.Close()
		for _, each := range c.nodes {
			each.fleet.Sweep(time.Now())
		}
	})
}

func newCluster(t *testing.T) *cluster {
	c := &cluster{
		t: t, network: peer.NewNetwork(1), servers: exchangetest.NewNetwork(),
		answers: map[string]exchangetest.Answer{}, byName: map[string]*exchangetest.Server{},
		required: shardCount - 1, claims: &claims{taken: make(map[quarantine.Note]bool)},
	}
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	c.network.SetLatency(func(_, _ peer.Address) time.Duration { return 200 * time.Microsecond })
	for number := range shardCount {
		c.services = append(c.services, fmt.Sprint("shard", number))
		for _, place := range []string{"near", "far"} {
			c.addServer(number, place)
		}
	}
	for number := range nodeCount {
		c.addNode(ctx, fmt.Sprint("node", number))
	}
	var known []directory.Node
	for _, each := range c.nodes {
		known = append(known, each.Node)
	}
	for _, each := range c.nodes {
		each.roster.SetNodes(known)
		each.fleet.SetCallers(fleet.Callers{Total: nodeCount, ByZone: map[string]int{"z": nodeCount}})
	}
	return c
}

func serverName(shard int, place string) string { return fmt.Sprint(place, shard) }

// addServer adds a server to a shard. The servers of a shard answer with the shard's record.
func (c *cluster) addServer(shard int, place string) {
	name := serverName(shard, place)
	answer := exchangetest.Whole(fmt.Sprintf("record-of-shard%d", shard))
	answer.Delay = 10 * time.Millisecond
	answer.Header = map[string]string{"Mark": "mark of " + name}
	c.answers[name] = answer
	c.byName[name] = c.servers.Add(name, func(exchangetest.Request) exchangetest.Answer {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		return c.answers[name]
	})
}

// hang makes a server accept requests and never answer them.
func (c *cluster) hang(name string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.answers[name] = exchangetest.Answer{Hang: true}
}

func (c *cluster) addNode(ctx context.Context, name string) {
	created := &node{
		Node:      directory.Node{Name: name, Zone: "z", PeerAddress: name},
		transport: c.network.Transport(peer.Address(name)), budget: &budget{}, lost: map[string]int{},
	}
	created.fleet = fleet.New(fleet.Settings{
		Local: fleet.Place{Zone: "z", Region: "r"}, Regions: map[string]string{"z": "r", "y": "q"}, LeaveGrace: time.Second,
		Dialer: c.servers, Random: rand.New(rand.NewPCG(1, uint64(len(c.nodes)))),
	})
	connections := map[string]int{}
	for number, service := range c.services {
		// Scarce: half of a server's connections are not enough for one from each node.
		connections[service] = 2*nodeCount - 1
		for place, zone := range map[string]string{"near": "z", "far": "y"} {
			server := serverName(number, place)
			created.fleet.Apply(fleet.Server{ID: server, Service: service, Address: server, Zone: zone, Slots: 5}, time.Now())
		}
	}
	created.fleet.SetConnections(connections)
	created.roster = owner.NewRoster(created.Node, map[string]string{"z": "r", "y": "q"}, created.fleet)
	created.client = owner.NewClient(created.roster, created.transport, loadshed.NewAdmitter(), created)
	runner := fanout.Runner{
		Fleet: created.fleet, Budget: created.budget, Dialect: &exchangetest.Dialect, Linger: 350 * time.Millisecond,
		IsUsable: func(answer *exchange.Response) bool { return answer.Status == http.StatusOK && answer.Evidence != "" },
	}
	runner.Quarantine = quarantine.New(quarantine.Options{
		Ledger: c.claims, LedgerUnavailable: func() bool { return false }, Dialer: c.servers, Events: c.claims,
	})
	collector := runner
	runner.Owners = created.client
	created.runner = &runner
	owner.NewServer(owner.ServerOptions{
		Transport: created.transport, Runner: &collector, Servers: created.fleet, Draining: func() bool { return created.draining },
		Policies: func(string, string) (policy.HedgePolicy, float64) { return hedge, 1 }, Recorder: created.record,
		Regions: func(scope owner.RequestScope) route.Regions {
			if newer := created.regions.Load(); newer != nil {
				return *newer
			}
			return scope.Regions
		},
	})
	c.stopped.Go(func() { _ = created.client.Run(ctx) })
	c.nodes = append(c.nodes, created)
}

var hedge = func() policy.HedgePolicy {
	set, err := policy.Build(policy.Spec{Hedge: policy.HedgeSpec{Policy: policy.HedgeTypical, Factor: 2.5}})
	if err != nil {
		panic(err)
	}
	return set.Hedge
}()

// ask sends a request through a node.
func (c *cluster) ask(ctx context.Context, via *node) (fanout.Result, time.Duration) {
	start := time.Now()
	plan := fanout.Plan{
		Kind: "k", Services: c.services, Required: c.required, Repeatable: true, MaxAttempts: maxAttempts, TopRecords: 2 * shardCount,
		Target: start.Add(200 * time.Millisecond), Deadline: start.Add(time.Second), Assumed: 10 * time.Millisecond,
		MaxServerWait: time.Second, Hedge: hedge, ExtraShare: 1,
	}
	request := &exchange.Request{Method: "GET", Target: "/", ID: "r", Header: http.Header{"Name": {"value"}}}
	// Attempts that nobody waits for may still call Regions when the next request is sent, so it
	// uses a copy of c.regions.
	if bound := c.regions; bound.IsBound() {
		plan.Regions = func() route.Regions { return bound }
	}
	result := via.runner.Run(ctx, plan, request)
	return result, time.Since(start)
}

// nonOwner returns a node that owns nothing, and the names of the owners.
func (c *cluster) nonOwner() (*node, []string) {
	c.t.Helper()
	for _, each := range c.nodes {
		groups := each.roster.Divide(c.services, route.Regions{})
		var owners []string
		for _, group := range groups {
			if group.Owner != "" {
				owners = append(owners, group.Owner)
			}
		}
		if len(owners) == groupCount {
			return each, owners
		}
	}
	c.t.Fatal("no node without shards of its own")
	return nil, nil
}

func (c *cluster) node(name string) *node {
	for _, each := range c.nodes {
		if each.Name == name {
			return each
		}
	}
	return nil
}

// maxExecutions returns the highest number of requests that the servers of any one shard received.
func (c *cluster) maxExecutions() int {
	highest := 0
	for number := range shardCount {
		count := len(c.byName[serverName(number, "near")].Requests()) + len(c.byName[serverName(number, "far")].Requests())
		highest = max(highest, count)
	}
	return highest
}
