package configsync

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/pkg/configstore"
	"github.com/bramblemast/bramblemast/pkg/peer"
	"github.com/bramblemast/bramblemast/pkg/publish"
	"github.com/bramblemast/bramblemast/pkg/target"
	"github.com/bramblemast/bramblemast/pkg/template"
)

var measureLarge = flag.Bool("measure", false, "measure with up to 1,000 nodes in one process")

// The load and the bounds of the measurement. Times are virtual.
const (
	measuredTime = 60 * time.Second
	// changeRate is in changes per second: the stated load of 96,000 changes a day.
	changeRate = 96_000.0 / 86_400
	// knownPeersPerZone is the number of nodes of each other zone that a node knows.
	knownPeersPerZone = 5
	// documentSize is in bytes, about the size of the largest example including its comment.
	documentSize = 1000

	// storeLatency is the duration of a read call to the store.
	storeLatency = 3 * time.Millisecond

	maxSpreadHealthy = 2 * time.Second
	maxSpread        = 12 * time.Second
)

// condition is a state of the store during a measurement.
type condition struct {
	name  string
	bound time.Duration
	// before and after run before and after each change.
	before, after func(store *configstore.Memory)
}

func conditions() []condition {
	nothing := func(*configstore.Memory) {}
	return []condition{
		{"healthy", maxSpreadHealthy, nothing, nothing},
		{"limited to 20/s", maxSpread, func(s *configstore.Memory) { s.SetLimit(20, 5) }, nothing},
		{"away after each", maxSpread,
			func(s *configstore.Memory) { s.SetUnavailable(false) },
			func(s *configstore.Memory) { s.SetUnavailable(true) }},
	}
}

// size is the number of nodes, the number of zones that they are spread over, and the number of
// templates in the store before the nodes start.
type size struct{ nodes, zones, templates int }

// TestMeasureSpread measures the time from the acceptance of a change until it is in force at every
// node, and the cost for each node, with changes at changeRate.
func TestMeasureSpread(t *testing.T) {
	sizes := []size{{3, 3, 100}, {30, 3, 100}}
	if *measureLarge {
		sizes = append(sizes, size{100, 17, 100}, size{300, 17, 100}, size{1000, 17, 100}, size{100, 17, 1000}, size{100, 17, 2000})
	}
	for _, size := range sizes {
		for _, condition := range conditions() {
			name := fmt.Sprintf("%d nodes/%d templates/%s", size.nodes, size.templates, condition.name)
			t.Run(name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { measureOne(t, size, condition) })
			})
		}
	}
}

func measureOne(t *testing.T, size size, condition condition) {
	m := newMeasurement(size)
	defer m.close()
	time.Sleep(startTime)
	started := time.Now()
	before, processor, storeCalls, storeBytes := m.traffic(), processorTime(), m.store.Counts(), m.storeBytes()
	m.publishSteadily(condition)
	after, calls := m.traffic(), m.store.Counts()
	processor = processorTime() - processor
	seconds := time.Since(started).Seconds()
	var mean, highest float64
	var messages uint64
	for index := range after {
		used := after[index].Sub(before[index])
		rate := float64(used.BytesIn+used.BytesOut) / seconds
		mean += rate / float64(len(after))
		highest = max(highest, rate)
		messages += used.MessagesIn + used.MessagesOut
	}
	var storeMean, storeHighest float64
	for index, bytes := range m.storeBytes() {
		rate := float64(bytes-storeBytes[index]) / seconds
		storeMean += rate / float64(len(m.nodes))
		storeHighest = max(storeHighest, rate)
	}
	slices.Sort(m.spreads)
	t.Logf("%4d nodes, %2d zones, %4d templates, store %-15s: %d changes; in force median %v, p99 %v, last %v; "+
		"per node %.0f B/s (highest %.0f), store's %.0f B/s (highest %.0f), %.1f messages/s, %.3f%% of a core, %.0f KiB heap; store %.1f reads/s, %.1f writes/s",
		size.nodes, size.zones, size.templates, condition.name, m.changes,
		m.quantile(0.5), m.quantile(0.99), m.quantile(1), mean, highest, storeMean, storeHighest,
		float64(messages)/seconds/float64(size.nodes), 100*processor.Seconds()/seconds/float64(size.nodes), m.heap(),
		float64(calls.Reads-storeCalls.Reads)/seconds, float64(calls.Writes-storeCalls.Writes)/seconds)
	if last := m.quantile(1); last > condition.bound {
		t.Errorf("a change took %v to be in force at every node", last)
	}
	if want := m.changes * size.nodes; len(m.spreads) != want {
		t.Errorf("%d of %d spread times recorded: a node missed a change", len(m.spreads), want)
	}
}

// measurement records when each change was in force at each node.
type measurement struct {
	*cluster
	size    size
	random  *rand.Rand
	views   atomic.Pointer[map[target.Zone][]Peer]
	changes int
	// recordsMutex guards acceptedAt and inForceAt, which are keyed by change id.
	recordsMutex sync.Mutex
	acceptedAt   map[string]time.Time
	inForceAt    map[string][]time.Time
	spreads      []time.Duration
}

func newMeasurement(size size) *measurement {
	m := &measurement{
		size: size, random: rand.New(rand.NewPCG(1, 1)),
		acceptedAt: map[string]time.Time{}, inForceAt: map[string][]time.Time{},
	}
	var all []Peer
	m.views.Store(&map[target.Zone][]Peer{})
	m.cluster = newClusterOn(m.newPopulatedStore(), size.nodes, size.zones, func(options *Options) {
		self := options.Self
		all = append(all, self)
		options.Peers = func() []Peer { return (*m.views.Load())[self.Zone] }
		options.Store.(*reachableStore).replyDelay = storeLatency
		options.onAccept = func(next template.Published) { m.recordInForce(next.Template.ChangeID) }
	})
	views := viewsOf(all)
	m.views.Store(&views)
	return m
}

// newPopulatedStore returns a store that holds the templates in their first revision.
func (m *measurement) newPopulatedStore() *configstore.Memory {
	store := configstore.NewMemory()
	publisher, err := publish.New(publish.Options{Store: store})
	if err != nil {
		panic(err)
	}
	for number := range m.size.templates {
		if _, err := publisher.Publish(context.Background(), m.document(number), 0); err != nil {
			panic(err)
		}
	}
	return store
}

// document returns the content of one template, of about documentSize bytes.
func (m *measurement) document(number int) *template.Template {
	document := content(template.Key{Tenant: "tenant", Name: fmt.Sprint("template", number%m.size.templates)}, "operator")
	document.Comment = strings.Repeat("x", documentSize-200)
	return document
}

// viewsOf returns the peers known in each zone: all of its own members and up to knownPeersPerZone
// of each other zone.
func viewsOf(all []Peer) map[target.Zone][]Peer {
	views, zones := map[target.Zone][]Peer{}, map[target.Zone][]Peer{}
	for _, node := range all {
		zones[node.Zone] = append(zones[node.Zone], node)
	}
	for own := range zones {
		for zone, members := range zones {
			if zone != own {
				members = members[:min(len(members), knownPeersPerZone)]
			}
			views[own] = append(views[own], members...)
		}
	}
	return views
}

func (m *measurement) recordInForce(changeID string) {
	m.recordsMutex.Lock()
	defer m.recordsMutex.Unlock()
	m.inForceAt[changeID] = append(m.inForceAt[changeID], time.Now())
}

// publishSteadily publishes changes through random nodes at changeRate for measuredTime, and then
// collects the spread times.
func (m *measurement) publishSteadily(condition condition) {
	interval := time.Duration(float64(time.Second) / changeRate)
	deadline := time.Now().Add(measuredTime)
	for ; time.Now().Before(deadline); m.changes++ {
		condition.before(m.store)
		m.publishOne(m.document(m.changes))
		condition.after(m.store)
		time.Sleep(interval)
	}
	time.Sleep(maxSpread)
	m.recordsMutex.Lock()
	defer m.recordsMutex.Unlock()
	for changeID, acceptedAt := range m.acceptedAt {
		for _, enforcedAt := range m.inForceAt[changeID] {
			m.spreads = append(m.spreads, max(enforcedAt.Sub(acceptedAt), 0))
		}
	}
}

func (m *measurement) publishOne(document *template.Template) {
	for {
		node := m.nodes[m.random.IntN(len(m.nodes))]
		held, _ := node.replica.Held(document.Key())
		expected := uint64(0)
		if held.Template != nil {
			expected = held.Template.Revision
		}
		result, err := node.publisher.Publish(node.context, document, expected)
		if err == nil {
			m.recordsMutex.Lock()
			m.acceptedAt[result.Template.ChangeID] = time.Now()
			m.recordsMutex.Unlock()
			return
		}
		if !errors.Is(err, configstore.ErrLimited) {
			panic(err)
		}
	}
}

func (m *measurement) quantile(share float64) time.Duration {
	if len(m.spreads) == 0 {
		return 0
	}
	return m.spreads[int(share*float64(len(m.spreads)-1))].Round(100 * time.Microsecond)
}

func (m *measurement) traffic() []peer.Stats {
	var all []peer.Stats
	for _, node := range m.nodes {
		all = append(all, node.transport.Stats())
	}
	return all
}

// storeBytes returns the bytes that each node has read from the store.
func (m *measurement) storeBytes() []uint64 {
	var all []uint64
	for _, node := range m.nodes {
		all = append(all, node.replica.Stats().StoreBytes)
	}
	return all
}

// heap returns the live heap of the whole process, in KiB for each node.
func (m *measurement) heap() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc) / 1024 / float64(m.size.nodes)
}

// processorTime returns the user and system processor time of this process.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
