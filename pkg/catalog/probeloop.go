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
	// probeTick is how often the loop looks for probes that are due.
	probeTick = 50 * time.Millisecond
	// refreshEvery is how often the loop calls Catalog.Refresh.
	refreshEvery = 500 * time.Millisecond
	// intervalJitter is the share by which the interval is varied.
	intervalJitter = 0.1
)

// ProbeOptions sets up a ProbeLoop. Catalog and Prober are required.
type ProbeOptions struct {
	Catalog *Catalog
	Prober  backend.Prober
	// Members returns the live nodes of this node's zone, itself included.
	// Nil, or an empty result, means that this node is alone and probes all.
	Members func() []target.NodeID
	// Interval is the mean time between two probes of a server by one node.
	Interval time.Duration
	// Timeout bounds a probe.
	Timeout time.Duration
	// Probers is the number of nodes that probe a server. It falls to one when
	// this node would have to send more than ProbesPerSecond, and Interval
	// grows when it would have to even then.
	Probers         int
	ProbesPerSecond int
	// MaxConcurrentProbes bounds the probes that run at once.
	MaxConcurrentProbes int
	// Random is the source of jitter; nil means a random seed.
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

// ProbeLoop probes this node's share of the servers. Each server is probed by
// few nodes of a zone, chosen by rendezvous hashing over the live ones; the
// others hear of changes as news. Nobody is told who probes what: every node
// works it out from the same membership.
type ProbeLoop struct {
	options ProbeOptions
	// slots bounds the probes that run at once.
	slots chan struct{}
	// running waits for the probes when the loop ends.
	running sync.WaitGroup

	// The fields below belong to the goroutine of Run.
	schedule   map[target.ServerID]*scheduled
	members    []target.NodeID
	nodes      *rendezvous.Set[target.NodeID]
	membership uint64
	refreshAt  time.Time
	probers    int
	// interval is Options.Interval, or longer; see ProbeOptions.Probers.
	interval time.Duration
}

// scheduled is one server that this node probes.
type scheduled struct {
	next time.Time
	// busy is set while a probe runs.
	busy atomic.Bool
}

// NewProbeLoop returns a loop; Run starts it.
func NewProbeLoop(options ProbeOptions) *ProbeLoop {
	options = options.withDefaults()
	return &ProbeLoop{
		options:  options,
		slots:    make(chan struct{}, options.MaxConcurrentProbes),
		schedule: make(map[target.ServerID]*scheduled),
	}
}

// Run probes until ctx ends, waits for the probes that run, and returns the
// error of ctx.
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

// startRequested begins the single probes that are asked for by now. A server that
// this node probes anyhow gets one ahead of time if its contents are doubted.
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

// tells reports whether this node tells of other contents that a wanted probe
// finds: not if they were doubted and enough other nodes will.
func (l *ProbeLoop) announces(requested requestedProbe) bool {
	if !requested.suspectedStale || len(l.members) == 0 {
		return true
	}
	return l.nodes.InTop(string(requested.server), l.options.Catalog.options.Node, staleAnnouncers)
}

// retryAfter returns when to try a probe again that could not be sent.
func (l *ProbeLoop) retryAfter(requested requestedProbe) time.Duration {
	if requested.suspectedStale {
		return probeTick
	}
	return l.options.Interval
}

func (l *ProbeLoop) jitter(interval time.Duration) time.Duration {
	return time.Duration(float64(interval) * (1 + intervalJitter*(2*l.options.Random.Float64()-1)))
}

// reconcile works out this node's share again if the nodes or the servers
// changed.
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

// pace returns how many nodes probe each server, and how often each does, so
// that this node sends no more than ProbesPerSecond.
func (l *ProbeLoop) pace(servers, members int) (probers int, interval time.Duration) {
	own := float64(servers) / float64(max(members, 1))
	bound := float64(l.options.ProbesPerSecond)
	if own*float64(l.options.Probers)/l.options.Interval.Seconds() <= bound {
		return l.options.Probers, l.options.Interval
	}
	minInterval := time.Duration(own / bound * float64(time.Second))
	return 1, max(l.options.Interval, minInterval)
}

// start begins a probe unless too many run or one of this server does; it then
// is tried again at the next tick.
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
