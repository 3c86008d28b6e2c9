package quota_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sort"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/semaphore"

	"github.com/bramblemast/bramblemast/pkg/peer"
	"github.com/bramblemast/bramblemast/pkg/quota"
	"github.com/bramblemast/bramblemast/pkg/route"
)

var bounds = quota.Bounds{Window: 5 * time.Second, Overshoot: 0.1, Slack: 20}

// allowedInWindow returns the bound on the requests admitted in a window.
func allowedInWindow(limit route.RateLimit) float64 {
	return (limit.PerSecond*bounds.Window.Seconds()+limit.Burst)*(1+bounds.Overshoot) + bounds.Slack
}

// deployment is a set of limiters on a simulated network under virtual time, and their clients.
type deployment struct {
	network   *peer.Network
	nodes     []*simulatedNode
	random    *rand.Rand
	limits    map[string]route.RateLimit
	startedAt time.Time

	mutex sync.Mutex
	// admitted holds the times at which requests of each tenant were admitted, guarded by mutex.
	admitted map[string][]time.Duration
	refused  map[string]int
	// refusing holds the nodes that refuse connections, guarded by mutex.
	refusing map[peer.Address]bool
	waits    []time.Duration
}

// simulatedNode is one node of a deployment.
type simulatedNode struct {
	name    string
	limiter *quota.Limiter
	stop    context.CancelFunc
	ended   chan struct{}
	// hasNoConfiguration is set while the node knows no configuration.
	hasNoConfiguration atomic.Bool
	// isUnlisted is set if the node list did not contain the node when its process started.
	isUnlisted bool
}

// ignoredEvents ignores all events.
type ignoredEvents struct{}

func (ignoredEvents) AtLimit(string, quota.Verdict, quota.AccountStats)    {}
func (ignoredEvents) BelowLimit(string, quota.AccountStats, time.Duration) {}
func (ignoredEvents) CoordinatorLost(string, error)                        {}
func (ignoredEvents) CoordinatorRegained(string)                           {}

// simulate runs body with a deployment whose nodes are 12 ms apart.
func simulate(t testing.TB, count int, limits map[string]route.RateLimit, body func(d *deployment)) {
	t.Helper()
	simulateSeed(t, defaultSeed, count, limits, body)
}

// defaultSeed is the seed of the requests in all simulations that set no other one.
const defaultSeed = 7

func simulateSeed(t testing.TB, seed uint64, count int, limits map[string]route.RateLimit, body func(d *deployment)) {
	t.Helper()
	runInVirtualTime(t, count, func() {
		d := &deployment{
			network: peer.NewNetwork(1), random: rand.New(rand.NewPCG(seed, seed)), limits: limits, startedAt: time.Now(),
			admitted: make(map[string][]time.Duration), refused: make(map[string]int),
			refusing: make(map[peer.Address]bool),
		}
		d.network.SetLatency(func(_, _ peer.Address) time.Duration { return 12 * time.Millisecond })
		for index := range count {
			d.nodes = append(d.nodes, &simulatedNode{name: fmt.Sprintf("node-%d", index)})
			d.start(index)
		}
		d.setNodes()
		time.Sleep(2 * time.Second)
		body(d)
		for _, node := range d.nodes {
			node.stop()
		}
		d.network.Close()
		for _, node := range d.nodes {
			<-node.ended
		}
	})
}

// maxSimulatedNodes bounds the nodes of all simulations that run at the same time: under the race
// detector each node takes some 25 MB, and as many tests run in parallel as there are processors.
const maxSimulatedNodes = 335

var simulationSlots = semaphore.NewWeighted(maxSimulatedNodes)

// runInVirtualTime runs body, a simulation of the given number of nodes, under virtual time.
// Benchmarks have no virtual time, so body runs in a test started from the benchmark.
func runInVirtualTime(t testing.TB, nodes int, body func()) {
	taken := int64(min(nodes, maxSimulatedNodes))
	if err := simulationSlots.Acquire(context.Background(), taken); err != nil {
		t.Fatal(err)
	}
	defer simulationSlots.Release(taken)
	if test, isTest := t.(*testing.T); isTest {
		synctest.Test(test, func(*testing.T) { body() })
		return
	}
	testing.RunTests(func(_, _ string) (bool, error) { return true, nil }, []testing.InternalTest{{Name: "played", F: func(t *testing.T) {
		synctest.Test(t, func(*testing.T) { body() })
	}}})
}

// start starts or restarts a node.
func (d *deployment) start(index int) {
	node := d.nodes[index]
	isUnlisted := node.isUnlisted
	ctx, cancel := context.WithCancel(context.Background())
	node.limiter = quota.New(quota.Options{
		Local: node.name, Zone: zoneOf(index), Bounds: bounds, Transport: refusingTransport{d.network.Transport(peer.Address(node.name)), d}, Events: ignoredEvents{},
		LimitOf: func(tenant string) (route.RateLimit, bool) {
			d.mutex.Lock()
			defer d.mutex.Unlock()
			found, isKnown := d.limits[tenant]
			return found, isKnown && !node.hasNoConfiguration.Load()
		},
		KnowsTenants: func() bool { return !node.hasNoConfiguration.Load() },
		WasListed:    func() bool { return !isUnlisted },
		Incarnation:  d.random.Uint64(),
	})
	node.stop, node.ended = cancel, make(chan struct{})
	limiter, ended := node.limiter, node.ended
	go func() {
		defer close(ended)
		// Run ends without an error when its context does.
		_ = limiter.Run(ctx)
	}()
}

// setNodes gives every node the list of all nodes.
func (d *deployment) setNodes() {
	for _, node := range d.nodes {
		node.limiter.SetNodes(d.list())
	}
}

// zoneOf returns the zone of a node; each zone has eleven nodes.
func zoneOf(index int) string { return fmt.Sprint("zone-", index/11) }

func (d *deployment) list() []quota.Node {
	var list []quota.Node
	for index, node := range d.nodes {
		list = append(list, quota.Node{Name: node.name, Zone: zoneOf(index), Address: peer.Address(node.name)})
	}
	return list
}

// load is the traffic of one tenant, distributed over nodes by weights that add up to 1.
type load struct {
	tenant    string
	perSecond float64
	weights   []float64
}

// even distributes a tenant's requests evenly over all nodes.
func (d *deployment) even(tenant string, perSecond float64) load {
	weights := make([]float64, len(d.nodes))
	for index := range weights {
		weights[index] = 1 / float64(len(weights))
	}
	return load{tenant, perSecond, weights}
}

// skewed distributes requests as with few connections: three in ten arrive at one node.
func (d *deployment) skewed(tenant string, perSecond float64) load {
	spread := d.even(tenant, perSecond)
	for index := range spread.weights {
		spread.weights[index] *= 0.7
	}
	spread.weights[d.random.IntN(len(spread.weights))] += 0.3
	return spread
}

// run sends the loads for a span: Poisson arrivals, in steps of a millisecond.
func (d *deployment) run(span time.Duration, loads ...load) {
	cumulative := make([][]float64, len(loads))
	for index, traffic := range loads {
		sum := 0.0
		for _, weight := range traffic.weights {
			sum += weight
			cumulative[index] = append(cumulative[index], sum)
		}
	}
	next := make([]float64, len(loads))
	for index := range next {
		next[index] = d.random.ExpFloat64() / loads[index].perSecond
	}
	for begun := time.Now(); time.Since(begun) < span; time.Sleep(time.Millisecond) {
		for index, traffic := range loads {
			for ; next[index] <= time.Since(begun).Seconds(); next[index] += d.random.ExpFloat64() / traffic.perSecond {
				node := sort.SearchFloat64s(cumulative[index], d.random.Float64()*cumulative[index][len(cumulative[index])-1])
				d.request(min(node, len(d.nodes)-1), traffic.tenant, fmt.Sprint(d.random.Uint64()))
			}
		}
	}
}

// request sends one request to a node and reports whether it was admitted.
func (d *deployment) request(node int, tenant, id string) bool {
	d.mutex.Lock()
	limit := d.limits[tenant]
	d.mutex.Unlock()
	decision := d.nodes[node].limiter.Admit(tenant, limit, id, time.Now())
	if !decision.IsAdmitted {
		d.refused[tenant]++
		d.waits = append(d.waits, decision.RetryAfter)
		return false
	}
	d.admitted[tenant] = append(d.admitted[tenant], time.Since(d.startedAt))
	return true
}

// elapsed returns the time since the deployment started.
func (d *deployment) elapsed() time.Duration { return time.Since(d.startedAt) }

// maxInWindow returns the maximum number of admitted requests in any window.
func (d *deployment) maxInWindow(tenant string) int {
	admitted, highest, first := d.admitted[tenant], 0, 0
	for index, at := range admitted {
		for admitted[first] <= at-bounds.Window {
			first++
		}
		highest = max(highest, index-first+1)
	}
	return highest
}

// minInWindow returns the minimum number of admitted requests in the windows that lie between two
// times.
func (d *deployment) minInWindow(tenant string, from, to time.Duration) int {
	lowest := -1
	for begin := from; begin+bounds.Window <= to; begin += 50 * time.Millisecond {
		count := d.admittedBetween(tenant, begin, begin+bounds.Window)
		if lowest < 0 || count < lowest {
			lowest = count
		}
	}
	return lowest
}

// admittedBetween returns the number of requests admitted between two times.
func (d *deployment) admittedBetween(tenant string, from, to time.Duration) int {
	admitted := d.admitted[tenant]
	return sort.Search(len(admitted), func(i int) bool { return admitted[i] >= to }) -
		sort.Search(len(admitted), func(i int) bool { return admitted[i] >= from })
}

// addresses returns the addresses of a range of nodes.
func (d *deployment) addresses(from, to int) []peer.Address {
	var found []peer.Address
	for _, node := range d.nodes[from:to] {
		found = append(found, peer.Address(node.name))
	}
	return found
}

// sent returns the number of messages that all nodes have sent.
func (d *deployment) sent() quota.MessageCounts {
	var sum quota.MessageCounts
	for _, node := range d.nodes {
		sent := node.limiter.MessagesSent()
		sum.Reports += sent.Reports
		sum.Verdicts += sent.Verdicts
	}
	return sum
}
