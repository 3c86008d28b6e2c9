package catalog

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bramblemast/bramblemast/pkg/backend"
	"github.com/bramblemast/bramblemast/pkg/target"
)

// fakeServers are the servers of a test, as seen by probes.
type fakeServers struct {
	// mutex guards the fields below.
	mutex    sync.Mutex
	probes   int
	draining map[target.ServerID]bool
	silent   map[target.ServerID]bool
	numbers  map[target.ServerID]int
	// versions holds the index versions of servers whose version is not 1.
	versions map[target.ServerID]target.Version
}

func newFakeServers(servers int) *fakeServers {
	created := &fakeServers{
		draining: map[target.ServerID]bool{},
		silent:   map[target.ServerID]bool{},
		numbers:  map[target.ServerID]int{},
		versions: map[target.ServerID]target.Version{},
	}
	for number := range servers {
		created.numbers[serverID(number)] = number
	}
	return created
}

// Probe implements backend.Prober. A silent server lets the probe time out.
func (f *fakeServers) Probe(ctx context.Context, server target.ServerID) (*backend.Status, error) {
	f.mutex.Lock()
	f.probes++
	silent, draining, version := f.silent[server], f.draining[server], max(f.versions[server], 1)
	f.mutex.Unlock()
	if silent {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return statusOf(f.numbers[server], "i", draining, version), nil
}

func (f *fakeServers) withLock(run func()) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	run()
}

func (f *fakeServers) probeCount() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.probes
}

// zone is a set of nodes that probe the same servers and send each other updates.
type zone struct {
	backends *fakeServers
	catalogs []*Catalog
	// mutex guards members, random and updatesSent.
	mutex   sync.Mutex
	members []target.NodeID
	random  *rand.Rand
	// updatesSent counts the updates sent by all nodes.
	updatesSent int
	// relayDelay is the maximum delay of an update to a node; zero disables the relay.
	relayDelay time.Duration
	stop       context.CancelFunc
	running    sync.WaitGroup
}

func startZone(t *testing.T, nodes, servers int, relayDelay time.Duration) *zone {
	ctx, cancel := context.WithCancel(t.Context())
	z := &zone{
		backends: newFakeServers(servers), random: rand.New(rand.NewPCG(1, 2)), relayDelay: relayDelay, stop: cancel,
	}
	for number := range nodes {
		z.members = append(z.members, target.NodeID(fmt.Sprintf("node%d", number)))
	}
	for _, node := range z.members {
		created := New(Options{Node: node, Zone: "zone", OnUpdate: func(update Update) { z.relay(node, update) }})
		created.ReplaceMachines(listOf(servers))
		z.catalogs = append(z.catalogs, created)
	}
	for number, c := range z.catalogs {
		loop := NewProbeLoop(ProbeOptions{
			Catalog: c, Prober: z.backends, Members: z.alive, Random: rand.New(rand.NewPCG(3, uint64(number))),
		})
		z.running.Go(func() { _ = loop.Run(ctx) })
	}
	return z
}

// shutdown stops all nodes and waits for updates in transit.
func (z *zone) shutdown() {
	z.stop()
	z.running.Wait()
	time.Sleep(z.relayDelay)
	synctest.Wait()
}

func (z *zone) alive() []target.NodeID {
	z.mutex.Lock()
	defer z.mutex.Unlock()
	return z.members
}

// relay sends an update to all other nodes, each after its own random delay.
func (z *zone) relay(from target.NodeID, update Update) {
	z.mutex.Lock()
	z.updatesSent++
	z.mutex.Unlock()
	if z.relayDelay == 0 {
		return
	}
	for number, c := range z.catalogs {
		if c.options.Node == from {
			continue
		}
		z.mutex.Lock()
		delay := time.Duration(z.random.Int64N(int64(z.relayDelay)))
		z.mutex.Unlock()
		time.AfterFunc(delay, func() { z.catalogs[number].Apply(update) })
	}
}

// timeUntilAll returns how long it takes until a server has a state at all nodes, and fails after
// bound.
func (z *zone) timeUntilAll(t *testing.T, server target.ServerID, state State, bound time.Duration) time.Duration {
	const step = 50 * time.Millisecond
	for passed := time.Duration(0); passed <= bound; passed += step {
		if z.allHave(server, state) {
			return passed
		}
		time.Sleep(step)
	}
	t.Fatalf("%s is not %s at all nodes after %s", server, state, bound)
	return 0
}

func (z *zone) allHave(server target.ServerID, state State) bool {
	for _, c := range z.catalogs {
		if serverOf(c.View(testService), server).State != state {
			return false
		}
	}
	return true
}

const (
	// leavingBound is the time within which a leaving server stops getting new work from every
	// node.
	leavingBound = 3 * time.Second
	// deadBound covers three probe intervals with their time-outs, and the relay.
	deadBound = 6 * time.Second
	// relayBound is the maximum delay of an update over the relay.
	relayBound = time.Second
)

// TestLeavingAndDeadServersAreKnownEverywhere guards against nodes that keep using a server that
// drains or is silent, although only a few nodes probe it. It also checks the rate of probes.
func TestLeavingAndDeadServersAreKnownEverywhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const nodes, servers = 30, 100
		z := startZone(t, nodes, servers, relayBound)
		defer z.shutdown()
		time.Sleep(10 * time.Second)
		before := z.backends.probeCount()
		time.Sleep(20 * time.Second)
		perSecond := float64(z.backends.probeCount()-before) / 20 / servers
		t.Logf("probes of a server per second: %.2f", perSecond)
		if perSecond < 1.7 || perSecond > 2.3 {
			t.Errorf("%.2f probes of a server per second, want about 2", perSecond)
		}
		var slowest time.Duration
		for number := range 20 {
			server := serverID(number)
			z.backends.withLock(func() { z.backends.draining[server] = true })
			slowest = max(slowest, z.timeUntilAll(t, server, Leaving, leavingBound))
			time.Sleep(137 * time.Millisecond)
		}
		t.Logf("leaving servers known to all %d nodes within %s", nodes, slowest)
		z.backends.withLock(func() { z.backends.silent[serverID(30)] = true })
		t.Logf("silent server ejected at all nodes after %s", z.timeUntilAll(t, serverID(30), Ejected, deadBound))
		z.backends.withLock(func() { z.backends.silent[serverID(30)] = false })
		t.Logf("returned after %s", z.timeUntilAll(t, serverID(30), Active, leavingBound))
	})
}

// TestProbersThatFailAreReplaced guards against servers that nobody probes after the nodes that were
// assigned to them have failed.
func TestProbersThatFailAreReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		z := startZone(t, 1, 10, relayBound)
		defer z.shutdown()
		// Two more members never probe and are then found dead.
		z.mutex.Lock()
		z.members = []target.NodeID{"node0", "mute1", "mute2"}
		z.mutex.Unlock()
		time.Sleep(5 * time.Second)
		z.mutex.Lock()
		z.members = []target.NodeID{"node0"}
		z.mutex.Unlock()
		for number := range 10 {
			z.backends.withLock(func() { z.backends.draining[serverID(number)] = true })
		}
		for number := range 10 {
			z.timeUntilAll(t, serverID(number), Leaving, leavingBound)
		}
	})
}

// TestContentsAreKnownWithoutUpdates starts nodes that receive no updates from each other: each one
// must probe every server once by itself.
func TestContentsAreKnownWithoutUpdates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		z := startZone(t, 10, 40, 0)
		defer z.shutdown()
		time.Sleep(3 * time.Second)
		for _, c := range z.catalogs {
			for _, server := range c.View(testService).Servers {
				if len(server.Indexes) == 0 {
					t.Fatalf("%s does not know the contents of %s", c.options.Node, server.ID)
				}
			}
		}
	})
}

// TestProbesAreBoundedForEachNode guards against nodes that exceed their probe rate when there are
// many servers: first fewer nodes probe a server, then each probes less often.
func TestProbesAreBoundedForEachNode(t *testing.T) {
	cases := []struct {
		servers, members, bound, probers int
		interval                         time.Duration
	}{
		{servers: 16, members: 3, bound: 100, probers: 2, interval: time.Second},
		{servers: 90, members: 1, bound: 100, probers: 1, interval: time.Second},
		{servers: 150, members: 1, bound: 100, probers: 1, interval: 1500 * time.Millisecond},
		{servers: 10_600, members: 318, bound: 8, probers: 1, interval: 4167 * time.Millisecond},
	}
	for _, c := range cases {
		loop := NewProbeLoop(ProbeOptions{Catalog: New(Options{Node: "n", Zone: "z"}), ProbesPerSecond: c.bound})
		probers, interval := loop.pace(c.servers, c.members)
		if probers != c.probers || interval.Round(time.Millisecond) != c.interval {
			t.Errorf("%d servers, %d members: got %d probers each %v, want %d each %v",
				c.servers, c.members, probers, interval, c.probers, c.interval)
		}
		sent := float64(probers*c.servers) / float64(c.members) / interval.Seconds()
		if sent > 1.001*float64(c.bound) {
			t.Errorf("%d servers, %d members: %.1f probes a second, want at most %d", c.servers, c.members, sent, c.bound)
		}
	}
}
