package limit_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/pkg/limit"
	"github.com/bramblemast/bramblemast/pkg/target"
)

// The simulated server has 5 slots and 75 connections, as in the deployments that
// the project is designed for.
const (
	simulatedSlots       = 5
	simulatedConnections = 75
	simulatedServer      = target.ServerID("10.0.0.1:9000")
	simulatedNetwork     = time.Millisecond
	simulatedDeadline    = 88 * time.Millisecond
	simulatedSeed        = 7
)

// simulation is one run of many nodes against one server, in virtual time.
type simulation struct {
	nodes int
	// load is the offered load as a multiple of the server's capacity.
	load    float64
	service time.Duration
	// backlog is the number of sub-requests that the server queues before it
	// sheds.
	backlog int
	warmUp  time.Duration
	measure time.Duration
	options limit.Options
	// The server fails everything from downFrom until downUntil.
	downFrom, downUntil time.Duration
}

// simulationResult holds the sub-requests of each kind in the measured time (failed:
// while the server was down), as shares of the server's capacity in that time.
type simulationResult struct {
	goodput, shed, refused, failed float64
	meanLatency                    time.Duration
}

// simServer is a server with a number of slots and a bounded backlog.
type simServer struct {
	mutex       sync.Mutex
	random      *rand.Rand
	slots       chan struct{}
	inFlight    int
	maxInFlight int
	service     time.Duration
	downFrom    time.Time
	downUntil   time.Time
}

// response is the simulated server's response to a sub-request.
type response int

const (
	served response = iota
	shed
	failed
)

// serve runs one sub-request and returns the server's response.
func (s *simServer) serve() response {
	s.mutex.Lock()
	now := time.Now()
	down := !now.Before(s.downFrom) && now.Before(s.downUntil)
	full := s.inFlight >= s.maxInFlight
	if down || full {
		s.mutex.Unlock()
		if down {
			return failed
		}
		return shed
	}
	s.inFlight++
	duration := time.Duration(float64(s.service) * (0.5 + 0.5*s.random.ExpFloat64()))
	s.mutex.Unlock()
	s.slots <- struct{}{}
	time.Sleep(duration)
	<-s.slots
	s.mutex.Lock()
	s.inFlight--
	s.mutex.Unlock()
	return served
}

type counters struct {
	mutex                       sync.Mutex
	measureFrom                 time.Time
	good, shed, refused, failed int
	latency                     time.Duration
}

func (sim simulation) run(t *testing.T) simulationResult {
	var result simulationResult
	synctest.Test(t, func(t *testing.T) { result = sim.runInBubble() })
	t.Logf("nodes=%d load=%.1f backlog=%d service=%v: goodput %.3f shed %.3f refused %.3f failed %.3f of capacity, mean latency %v",
		sim.nodes, sim.load, sim.backlog, sim.service,
		result.goodput, result.shed, result.refused, result.failed, result.meanLatency)
	return result
}

func (sim simulation) runInBubble() simulationResult {
	start := time.Now()
	server := &simServer{
		random:      rand.New(rand.NewPCG(simulatedSeed, 1)),
		slots:       make(chan struct{}, simulatedSlots),
		maxInFlight: simulatedSlots + sim.backlog,
		service:     sim.service,
		downFrom:    start.Add(sim.downFrom),
		downUntil:   start.Add(sim.downUntil),
	}
	count := &counters{measureFrom: start.Add(sim.warmUp)}
	var group sync.WaitGroup
	for node := range sim.nodes {
		group.Go(func() { sim.runNode(node, server, count) })
	}
	group.Wait()
	return simulationResult{
		goodput:     float64(count.good) / sim.capacity(sim.measure),
		shed:        float64(count.shed) / sim.capacity(sim.measure),
		refused:     float64(count.refused) / sim.capacity(sim.measure),
		failed:      float64(count.failed) / max(1, sim.capacity(sim.downUntil-sim.downFrom)),
		meanLatency: count.latency / time.Duration(max(1, count.good)),
	}
}

// capacity returns the number of sub-requests that the server can serve in a duration.
func (sim simulation) capacity(duration time.Duration) float64 {
	return simulatedSlots * float64(duration) / float64(sim.service)
}

// runNode offers the node's part of the load as an open loop (without waiting for
// answers) until the end of the measured time.
func (sim simulation) runNode(node int, server *simServer, count *counters) {
	random := rand.New(rand.NewPCG(simulatedSeed, uint64(node)+100))
	servers := limit.NewServers(sim.options)
	servers.Configure(simulatedServer, limit.Share{
		Slots:       simulatedSlots / float64(sim.nodes),
		Connections: simulatedConnections / sim.nodes,
	})
	interval := float64(sim.service) * float64(sim.nodes) / (simulatedSlots * sim.load)
	end := count.measureFrom.Add(sim.measure)
	var group sync.WaitGroup
	for time.Now().Before(end) {
		time.Sleep(time.Duration(interval * random.ExpFloat64()))
		group.Go(func() { request(servers, server, count) })
	}
	group.Wait()
}

func request(servers *limit.Servers, server *simServer, count *counters) {
	ctx, cancel := context.WithTimeout(context.Background(), simulatedDeadline)
	defer cancel()
	arrived := time.Now()
	permit, err := servers.Acquire(ctx, simulatedServer)
	if err != nil {
		count.recordRefused(arrived)
		return
	}
	sent := time.Now()
	time.Sleep(simulatedNetwork)
	answer := server.serve()
	time.Sleep(simulatedNetwork)
	permit.Release(limit.Result{Latency: time.Since(sent), Shed: answer == shed, Failed: answer == failed})
	count.record(arrived, answer, time.Since(sent))
}

func (c *counters) record(arrived time.Time, answer response, latency time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	switch {
	case answer == failed:
		c.failed++
	case arrived.Before(c.measureFrom):
	case answer == shed:
		c.shed++
	default:
		c.good++
		c.latency += latency
	}
}

func (c *counters) recordRefused(arrived time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !arrived.Before(c.measureFrom) {
		c.refused++
	}
}

// TestGoodputBelowAndAboveCapacity checks that nodes which do not see each other
// converge near the capacity of a shared server: at twice its capacity it stays
// busy and sheds little, and below capacity nearly nothing is refused.
func TestGoodputBelowAndAboveCapacity(t *testing.T) {
	for _, service := range []time.Duration{900 * time.Microsecond, 5 * time.Millisecond} {
		for _, nodes := range []int{1, 3, 75} {
			g := NewWithT(t)
			base := simulation{nodes: nodes, service: service, backlog: 10, warmUp: 2 * time.Second, measure: 2 * time.Second}
			low, high := base, base
			low.load, high.load = 0.6, 2
			below, above := low.run(t), high.run(t)
			g.Expect(below.goodput).To(BeNumerically(">=", 0.9*low.load))
			g.Expect(below.shed).To(BeNumerically("<=", 0.01))
			g.Expect(above.goodput).To(BeNumerically(">=", 0.9))
			g.Expect(above.shed).To(BeNumerically("<=", 0.1), "shed sub-requests, as a share of capacity; each costs an attempt")
		}
	}
}

// TestQueueingServerIsNotOverloaded checks that latency alone bounds the load of
// a server that queues without bound and never sheds.
func TestQueueingServerIsNotOverloaded(t *testing.T) {
	for _, nodes := range []int{1, 3} {
		g := NewWithT(t)
		sim := simulation{
			nodes: nodes, load: 2, service: 5 * time.Millisecond, backlog: 1000,
			warmUp: 2 * time.Second, measure: 2 * time.Second,
		}
		result := sim.run(t)
		unloaded := sim.service + 2*simulatedNetwork
		g.Expect(result.goodput).To(BeNumerically(">=", 0.9))
		g.Expect(result.meanLatency).To(BeNumerically("<=", 3*unloaded))
	}
}

// TestServerRecovery checks that the limit is low while a server fails, and
// that nodes use the server again within a second of its recovery.
func TestServerRecovery(t *testing.T) {
	for _, nodes := range []int{1, 3, 75} {
		g := NewWithT(t)
		sim := simulation{
			nodes: nodes, load: 0.8, service: 900 * time.Microsecond, backlog: 10,
			warmUp: 5 * time.Second, measure: 2 * time.Second,
			downFrom: 2 * time.Second, downUntil: 4 * time.Second,
		}
		result := sim.run(t)
		g.Expect(result.failed).To(BeNumerically("<=", 0.25), "sub-requests sent to the failed server, as a share of its capacity")
		g.Expect(result.goodput).To(BeNumerically(">=", 0.9*sim.load))
	}
}
