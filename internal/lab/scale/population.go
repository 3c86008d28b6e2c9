package scale

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/internal/pause"
	"github.com/bramblemast/bramblemast/pkg/configstore"
	"github.com/bramblemast/bramblemast/pkg/membership"
	"github.com/bramblemast/bramblemast/pkg/peer"
	"github.com/bramblemast/bramblemast/pkg/target"
)

// seedsPerZone is the number of nodes of each zone that the settings name.
const seedsPerZone = 3

// population is a number of hollow nodes with a store and a network.
type population struct {
	network   *peer.Network
	store     *configstore.Memory
	nodes     []*hollowNode
	zones     int
	templates int
	random    *rand.Rand
}

// startPopulation starts size nodes, spread evenly over the zones.
func startPopulation(options Options, size int) (*population, error) {
	p := &population{
		network:   peer.NewNetwork(options.Seed),
		store:     configstore.NewMemory(),
		zones:     options.Zones,
		templates: options.Templates,
		random:    rand.New(rand.NewPCG(options.Seed, 0)),
	}
	p.network.SetLatency(p.latency)
	if err := p.seedTemplates(options.Templates); err != nil {
		return nil, err
	}
	for number := range size {
		node := &hollowNode{
			id:   target.NodeID(fmt.Sprintf("zone%02d-host%04d-%08x", number%p.zones, number, p.random.Uint32())),
			zone: target.Zone(fmt.Sprintf("zone%02d", number%p.zones)),
		}
		if err := node.newTransport(options.Transport, p.network, fmt.Sprintf("10.1.%d.%d:7000", number/250, number%250)); err != nil {
			return nil, err
		}
		p.nodes = append(p.nodes, node)
	}
	seeds := p.seeds()
	for number, node := range p.nodes {
		if err := node.build(p.store, func() []membership.Seed { return seeds }, uint64(number)); err != nil {
			return nil, err
		}
	}
	for _, node := range p.nodes {
		node.run()
	}
	return p, nil
}

// seeds names the first nodes of each zone.
func (p *population) seeds() []membership.Seed {
	var seeds []membership.Seed
	for _, node := range p.nodes[:min(len(p.nodes), seedsPerZone*p.zones)] {
		seeds = append(seeds, membership.Seed{Address: node.transport.Address(), Zone: node.zone})
	}
	return seeds
}

// latency is 1 ms, as between the zones of a region.
func (p *population) latency(_, _ peer.Address) time.Duration { return time.Millisecond }

// settle waits until every node knows its zone and holds all templates.
func (p *population) settle(ctx context.Context) error {
	deadline := time.Now().Add(settleLimit)
	for {
		text := p.incomplete()
		if text == "" {
			return nil
		}
		if time.Now().After(deadline) {
			return errors.Errorf("after %v: %s", settleLimit, text)
		}
		if !pause.For(ctx, pollPeriod) {
			return ctx.Err()
		}
	}
}

// incomplete describes what nodes do not hold yet; empty if nothing is missing.
func (p *population) incomplete() string {
	var members, templates int
	var example string
	zoneNodes := p.zoneNodes()
	for _, node := range p.nodes {
		held := len(node.members.Alive(node.zone))
		if held != zoneNodes[node.zone] {
			members++
			example = fmt.Sprintf("%s holds %d of %d members", node.id, held, zoneNodes[node.zone])
		}
		if !node.replica.Ready() || len(node.replica.List()) != p.templates {
			templates++
		}
	}
	if members == 0 && templates == 0 {
		return ""
	}
	pauses := p.memberStats().Pauses
	return fmt.Sprintf("%d nodes lack members (%s), %d lack templates, %d pauses were noticed", members, example, templates, pauses)
}

// zoneNodes counts the running nodes of each zone.
func (p *population) zoneNodes() map[target.Zone]int {
	counts := make(map[target.Zone]int)
	for _, node := range p.nodes {
		if !node.stopped {
			counts[node.zone]++
		}
	}
	return counts
}

// observe measures what the nodes spend while work runs and for at least
// duration.
func (p *population) observe(ctx context.Context, duration time.Duration, work func()) Rates {
	started := time.Now()
	processor := processorTime()
	calls := storeCalls(p.store)
	membersBefore := p.memberStats()
	before := make([]usage, len(p.nodes))
	for index, node := range p.nodes {
		before[index] = node.usage()
	}
	work()
	pause.For(ctx, duration-time.Since(started))
	seconds := time.Since(started).Seconds()
	count := float64(len(p.nodes))
	membersAfter := p.memberStats()
	rates := Rates{
		Seconds:             seconds,
		CoreShare:           (processorTime() - processor).Seconds() / seconds / count,
		StoreCallsPerSecond: float64(storeCalls(p.store)-calls) / seconds,
		Suspicions:          membersAfter.Suspicions - membersBefore.Suspicions,
		Removed:             membersAfter.Removed - membersBefore.Removed,
		Pauses:              membersAfter.Pauses - membersBefore.Pauses,
	}
	for index, node := range p.nodes {
		after := node.usage()
		members := after.membership.Sub(before[index].membership)
		config := after.config.Sub(before[index].config)
		spent := (bytesOf(members) + bytesOf(config)) / seconds
		rates.MembershipBytesPerSecond += bytesOf(members) / seconds / count
		rates.ConfigBytesPerSecond += bytesOf(config) / seconds / count
		rates.BytesPerSecond += spent / count
		rates.MaxBytesPerSecond = max(rates.MaxBytesPerSecond, spent)
		both := members.Add(config)
		rates.MessagesPerSecond += float64(both.MessagesIn+both.MessagesOut) / seconds / count
	}
	return rates
}

// memberStats adds up the counters of all nodes that a report shows.
func (p *population) memberStats() membership.Stats {
	var sum membership.Stats
	for _, node := range p.nodes {
		stats := node.members.Stats()
		sum.Suspicions += stats.Suspicions
		sum.Removed += stats.Removed
		sum.Pauses += stats.Pauses
	}
	return sum
}

// killSome kills nodes one after the other. It returns, over all kills and all
// other nodes of the zone, the time until the node was no longer alive for
// certain and until it was dead.
func (p *population) killSome(ctx context.Context, kills int) (suspected, removed []time.Duration, err error) {
	for range kills {
		victim := p.randomNode()
		watching, stop := context.WithTimeout(ctx, spreadLimit)
		started := time.Now()
		var mutex sync.Mutex
		var watchers sync.WaitGroup
		missing := 0
		for _, node := range p.nodes {
			if node == victim || node.stopped || node.zone != victim.zone {
				continue
			}
			watchers.Go(func() {
				first, last, ok := node.awaitDeath(watching, victim.id)
				mutex.Lock()
				defer mutex.Unlock()
				if !ok {
					missing++
					return
				}
				suspected = append(suspected, first.Sub(started))
				removed = append(removed, last.Sub(started))
			})
		}
		victim.kill()
		watchers.Wait()
		stop()
		if missing > 0 {
			return suspected, removed, errors.Errorf("%d nodes still hold a killed node after %v", missing, spreadLimit)
		}
		if !pause.For(ctx, killPause) {
			return suspected, removed, ctx.Err()
		}
	}
	return suspected, removed, nil
}

// awaitDeath returns when a node first held a member as not alive for certain,
// and when as dead; false if ctx ended before.
func (n *hollowNode) awaitDeath(ctx context.Context, id target.NodeID) (suspected, removed time.Time, ok bool) {
	changed, stop := n.members.Subscribe()
	defer stop()
	for {
		state := n.memberState(id)
		now := time.Now()
		if state != membership.Alive && suspected.IsZero() {
			suspected = now
		}
		if state == membership.Dead {
			return suspected, now, true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return suspected, removed, false
		}
	}
}

// randomNode returns a running node of a zone with at least two.
func (p *population) randomNode() *hollowNode {
	for {
		node := p.nodes[p.random.IntN(len(p.nodes))]
		if !node.stopped && p.zoneNodes()[node.zone] > 1 {
			return node
		}
	}
}

// stop ends all nodes.
func (p *population) stop() {
	for _, node := range p.nodes {
		if node.cancel != nil {
			node.cancel()
		}
	}
	p.network.Close()
	for _, node := range p.nodes {
		node.group.Wait()
		if node.tcp != nil {
			node.tcp.Close()
		}
	}
}

// processorTime returns the processor time of this process.
func processorTime() time.Duration {
	var used syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &used); err != nil {
		return 0
	}
	return time.Duration(used.Utime.Nano() + used.Stime.Nano())
}

// memoryInUse returns the bytes of heap and stacks after a collection.
func memoryInUse() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc + stats.StackInuse)
}

func storeCalls(store *configstore.Memory) uint64 {
	counts := store.Counts()
	return counts.Reads + counts.Writes
}
