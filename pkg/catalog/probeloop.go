package catalog

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bramblemast/bramblemast/pkg/backend"
	"github.com/bramblemast/bramblemast/pkg/rendezvous"
	"github.com/bramblemast/bramblemast/pkg/target"
)

// Defaults of ProbeOptions.
const (
	DefaultProbeInterval       = time.Second
	DefaultProbeTimeout        = 500 * time.Millisecond
	DefaultProbers             = 2
	DefaultProbesPerSecond     = 100
	DefaultMaxConcurrentProbes = 64
)

const (
	// probeTick is the interval at which the loop checks for due probes.
	probeTick = 50 * time.Millisecond
	// refreshEvery is the interval between calls of Catalog.Refresh.
	refreshEvery = 500 * time.Millisecond
	// intervalJitter is the maximum relative deviation from the interval.
	intervalJitter = 0.1
)

// ProbeOptions configures a ProbeLoop. Catalog and Prober are required.
type ProbeOptions struct {
	Catalog *Catalog
	Prober  backend.Prober
	// Members returns the live nodes of this node's zone, including this node. If it is nil or
	// returns nothing, this node probes all servers.
	Members func() []target.NodeID
	// Interval is the mean time between two probes of a server by the same node.
	Interval time.Duration
	// Timeout is the time limit of a probe.
	Timeout time.Duration
	// Probers is the number of nodes that probe each server. It is reduced to one if this node
	// would otherwise exceed ProbesPerSecond; if that does not suffice, Interval is extended.
	Probers         int
	ProbesPerSecond int
	// MaxConcurrentProbes is the maximum number of concurrent probes.
	MaxConcurrentProbes int
	// Random is the source of jitter. Nil means a randomly seeded one.
	Random *rand.Rand
}

func (o ProbeOptions) withDefaults() ProbeOptions {
	setDuration(&o.Interval, DefaultProbeInterval)
	setDuration(&o.Timeout, DefaultProbeTimeout)
	if o.Members == nil {
		o.Members = func() []target.NodeID { return nil }
	}
	if o.Probers <= 0 {
		o.Probers = DefaultProbers
	}
	if o.ProbesPerSecond <= 0 {
		o.ProbesPerSecond = DefaultProbesPerSecond
	}
	if o.MaxConcurrentProbes <= 0 {
		o.MaxConcurrentProbes = DefaultMaxConcurrentProbes
	}
	if o.Random == nil {
		o.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	return o
}

// ProbeLoop probes this node's share of the servers. Each server is probed by a few nodes of the
// zone, chosen by rendezvous hashing over the live ones; the others receive changes as updates.
// There is no coordination: every node computes the assignment from the same membership.
type ProbeLoop struct {
	options ProbeOptions
	// slots limits the number of concurrent probes.
	slots chan struct{}
	// running tracks the probes in flight.
	running sync.WaitGroup

	// The fields below are used only by the goroutine of Run.
	schedule   map[target.ServerID]*scheduled
	members    []target.NodeID
	nodes      *rendezvous.Set[target.NodeID]
	membership uint64
	refreshAt  time.Time
	probers    int
	// interval is ProbeOptions.Interval, or longer; see ProbeOptions.Probers.
	interval time.Duration
}

// scheduled is one server that this node probes regularly.
type scheduled struct {
	next time.Time
	// busy is set while a probe of the server is in flight.
	busy atomic.Bool
}

// NewProbeLoop returns a ProbeLoop. Run starts it.
func NewProbeLoop(options ProbeOptions) *ProbeLoop {
	options = options.withDefaults()
	return &ProbeLoop{
		options:  options,
		slots:    make(chan struct{}, options.MaxConcurrentProbes),
		schedule: make(map[target.ServerID]*scheduled),
	}
}

// Run probes until ctx ends, waits for the probes in flight, and returns the error of ctx.
func (l *ProbeLoop) Run(ctx context.Context) error {
	defer l.running.Wait()
	ticker := time.NewTicker(probeTick)
	defer ticker.Stop()
	l.step(ctx, time.Now())
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			l.step(ctx, time.Now())
		case <-l.options.Catalog.probeWakeup:
			l.startRequested(ctx, time.Now())
		}
	}
}

func (l *ProbeLoop) step(ctx context.Context, now time.Time) {
	if !now.Before(l.refreshAt) {
		l.options.Catalog.Refresh()
		l.refreshAt = now.Add(refreshEvery)
	}
	l.reconcile(now)
	for server, entry := range l.schedule {
		if !now.Before(entry.next) && l.start(ctx, server, entry, true) {
			entry.next = now.Add(l.jitter(l.interval))
		}
	}
	l.startRequested(ctx, now)
}

// startRequested starts the requested single probes that are due. A server that this node probes
// regularly is probed ahead of schedule only if its contents are suspected to be stale.
func (l *ProbeLoop) startRequested(ctx context.Context, now time.Time) {
	for _, requested := range l.options.Catalog.takeRequestedProbes() {
		entry, own := l.schedule[requested.server]
		if own && !requested.suspectedStale {
			continue
		}
		if !own {
			entry = &scheduled{}
		}
		if l.start(ctx, requested.server, entry, l.announces(requested)) {
			entry.next = now.Add(l.jitter(l.interval))
			continue
		}
		l.options.Catalog.requestProbeAgain(requested, now.Add(l.retryAfter(requested)))
	}
}

// announces reports whether this node announces changed contents that a requested probe finds. It
// does not if they were suspected to be stale and enough other nodes announce them; see
// staleAnnouncers.
func (l *ProbeLoop) announces(requested requestedProbe) bool {
	if !requested.suspectedStale || len(l.members) == 0 {
		return true
	}
	return l.nodes.InTop(string(requested.server), l.options.Catalog.options.Node, staleAnnouncers)
}

// retryAfter returns the delay before the retry of a probe that could not be sent.
func (l *ProbeLoop) retryAfter(requested requestedProbe) time.Duration {
	if requested.suspectedStale {
		return probeTick
	}
	return l.options.Interval
}

func (l *ProbeLoop) jitter(interval time.Duration) time.Duration {
	return time.Duration(float64(interval) * (1 + intervalJitter*(2*l.options.Random.Float64()-1)))
}

// reconcile recomputes this node's share if the nodes or the servers changed.
func (l *ProbeLoop) reconcile(now time.Time) {
	members := l.options.Members()
	membership := l.options.Catalog.membership.Load()
	if membership == l.membership && slices.Equal(members, l.members) && l.probers > 0 {
		return
	}
	l.members = slices.Clone(members)
	l.membership = membership
	scope := l.options.Catalog.probeScope()
	l.probers, l.interval = l.pace(len(scope), len(members))
	own := l.options.Catalog.options.Node
	l.nodes = rendezvous.NewSet(members)
	kept := make(map[target.ServerID]*scheduled, len(l.schedule))
	for _, server := range scope {
		if len(members) > 0 && !l.nodes.InTop(string(server), own, l.probers) {
			continue
		}
		entry := l.schedule[server]
		if entry == nil {
			entry = &scheduled{next: now}
		}
		kept[server] = entry
	}
	l.schedule = kept
}

// pace returns the number of nodes that probe each server and the interval of each, such that this
// node sends at most ProbesPerSecond.
func (l *ProbeLoop) pace(servers, members int) (probers int, interval time.Duration) {
	own := float64(servers) / float64(max(members, 1))
	bound := float64(l.options.ProbesPerSecond)
	if own*float64(l.options.Probers)/l.options.Interval.Seconds() <= bound {
		return l.options.Probers, l.options.Interval
	}
	minInterval := time.Duration(own / bound * float64(time.Second))
	return 1, max(l.options.Interval, minInterval)
}

// start starts a probe. It returns false if MaxConcurrentProbes probes, or one of the same server,
// are already in flight. The caller then retries.
func (l *ProbeLoop) start(ctx context.Context, server target.ServerID, entry *scheduled, announceContents bool) bool {
	if !entry.busy.CompareAndSwap(false, true) {
		return false
	}
	select {
	case l.slots <- struct{}{}:
	default:
		entry.busy.Store(false)
		return false
	}
	l.running.Go(func() {
		defer entry.busy.Store(false)
		l.probe(ctx, server, announceContents)
		<-l.slots
	})
	return true
}

func (l *ProbeLoop) probe(ctx context.Context, server target.ServerID, announceContents bool) {
	sentAt := l.options.Catalog.options.Now()
	bounded, cancel := context.WithTimeout(ctx, l.options.Timeout)
	defer cancel()
	status, err := l.options.Prober.Probe(bounded, server)
	if ctx.Err() != nil {
		return
	}
	l.options.Catalog.reportProbe(server, sentAt, status, err, announceContents)
}
