package membership

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	pb "github.com/bramblemast/bramblemast/pkg/membership/membershippb"
	"github.com/bramblemast/bramblemast/pkg/target"
)

const (
	// quarantine is the time after a pause in which gossip is not taken in,
	// because it may have waited in socket buffers during the pause.
	gossipQuarantine = time.Second
	// recoveryTimeout is the time after a pause in which the node tries to fetch
	// the list from others before it goes on with its own.
	recoveryTimeout = 3 * time.Second
	// pauseHealthPenalty is how much a pause counts against a node's own health.
	pauseHealthPenalty = 2
	// reapPeriod is the time between two looks for members to forget.
	reapPeriod = 30 * time.Second
)

// Membership keeps the list of nodes. It is safe for concurrent use.
type Membership struct {
	options  Options
	logger   hclog.Logger
	counters counters
	// group counts the goroutines that Run starts.
	group      sync.WaitGroup
	startMutex sync.Mutex
	// ended is guarded by startMutex.
	ended bool
	// gone is set when Run ends; peers get no answer from then on.
	stopped atomic.Bool
	// recovering, joining and summarizing keep a duty from running twice at
	// the same time.
	recovering, joining, syncing, summarizing atomic.Bool

	mutex sync.Mutex
	// The fields below are guarded by mutex.
	random            *rand.Rand
	table             *table
	queue             *queue
	health            health
	probeRound        []target.NodeID
	schedule          schedule
	broadcasts        *broadcastLog
	broadcastSequence uint64
	broadcastHandlers map[string]BroadcastHandler
	contacts          zoneContacts
	seedZones         seedZones
	// stale is set from the end of a pause until the list was fetched anew.
	stale           bool
	staleSince      time.Time
	quarantineUntil time.Time
	// joined is set after the first exchange with a node of the zone.
	joined bool
	// begun is when Run started.
	startedAt        time.Time
	snapshot         []Member
	snapshotVersion  uint64
	publishedVersion uint64
	subscribers      map[chan struct{}]struct{}
}

// schedule holds when timed work is due next.
type schedule struct {
	lastTick time.Time
	probe    time.Time
	sync     time.Time
	rejoin   time.Time
	summary  time.Time
	reap     time.Time
}

// New makes the membership of one node and registers its message handlers. It
// does nothing before Run.
func New(options Options) *Membership {
	options = options.withDefaults()
	m := &Membership{
		options:           options,
		logger:            options.Logger.Named("membership"),
		random:            rand.New(rand.NewPCG(options.Seed, 0)),
		table:             newTable(options.Self, options.MembersPerZone),
		queue:             newQueue(),
		broadcasts:        newBroadcastLog(),
		broadcastHandlers: make(map[string]BroadcastHandler),
		contacts:          make(zoneContacts),
		seedZones:         make(seedZones),
		subscribers:       make(map[chan struct{}]struct{}),
	}
	options.Transport.Handle(kindPing, m.whileRunning(m.handlePing))
	options.Transport.Handle(kindProbe, m.whileRunning(m.handleProbe))
	options.Transport.Handle(kindSync, m.whileRunning(m.handleSync))
	options.Transport.Handle(kindSummary, m.whileRunning(m.handleSummary))
	return m
}

// Run joins the other nodes and keeps the list until ctx ends. After Leave it
// ends by telling some members that this node is gone.
func (m *Membership) Run(ctx context.Context) error {
	defer m.end()
	m.begin(time.Now())
	for {
		m.options.beforeTick()
		m.tick(ctx, time.Now())
		timer := time.NewTimer(m.options.Timing.GossipPeriod)
		select {
		case <-ctx.Done():
			timer.Stop()
			m.stopped.Store(true)
			m.announceDeparture()
			return nil
		case <-timer.C:
		}
	}
}

// begin spreads the first timed work of many nodes that start together.
func (m *Membership) begin(now time.Time) {
	m.mutex.Lock()
	defer m.unlock()
	timing := m.options.Timing
	m.startedAt = now
	m.schedule = schedule{
		lastTick: now,
		probe:    now.Add(m.jitter(timing.ProbePeriod)),
		sync:     now.Add(m.jitter(timing.SyncPeriod)),
		rejoin:   now,
		summary:  now.Add(m.jitter(timing.SummaryPeriod)),
		reap:     now.Add(reapPeriod),
	}
	m.queue.addEntry(entryOf(m.table.self))
}

// jitter returns a random part of a period. The caller holds the mutex.
func (m *Membership) jitter(period time.Duration) time.Duration {
	return time.Duration(m.random.Int64N(int64(period)))
}

// tick does the timed work that is due.
func (m *Membership) tick(ctx context.Context, now time.Time) {
	m.mutex.Lock()
	m.detectPause(now)
	m.schedule.lastTick = now
	if m.stale {
		m.giveUpRecovery(now)
	}
	if m.stale {
		m.unlock()
		m.startOnce(&m.recovering, func() { m.recover(ctx) })
		return
	}
	work := append(m.finalProbes(now), m.due(now)...)
	m.unlock()
	for _, start := range work {
		start(ctx)
	}
}

// due returns the work that is due and sets when it is due again. The caller
// holds the mutex.
func (m *Membership) due(now time.Time) []func(ctx context.Context) {
	timing := m.options.Timing
	var work []func(ctx context.Context)
	if elapsed(&m.schedule.probe, now, m.health.stretch(timing.ProbePeriod)) {
		work = append(work, m.startProbe)
	}
	if m.queue.len() > 0 {
		work = append(work, m.startGossip)
	}
	if elapsed(&m.schedule.sync, now, timing.SyncPeriod) {
		work = append(work, m.startSync)
	}
	if elapsed(&m.schedule.rejoin, now, m.rejoinPeriod()) {
		work = append(work, m.startRejoin)
	}
	if elapsed(&m.schedule.summary, now, timing.SummaryPeriod) {
		work = append(work, m.startSummaries)
	}
	if elapsed(&m.schedule.reap, now, reapPeriod) {
		m.table.reap(now, timing.DeadRetention)
	}
	return work
}

// elapsed reports whether a moment has come, and moves it on by period.
func elapsed(moment *time.Time, now time.Time, period time.Duration) bool {
	if now.Before(*moment) {
		return false
	}
	*moment = now.Add(period)
	return true
}

// start runs work in a goroutine that Run waits for; false if Run has ended and
// the work is not done.
func (m *Membership) start(work func()) bool {
	m.startMutex.Lock()
	defer m.startMutex.Unlock()
	if m.ended {
		return false
	}
	m.group.Go(work)
	return true
}

// end waits for the goroutines and lets no more start.
func (m *Membership) end() {
	m.startMutex.Lock()
	m.ended = true
	m.startMutex.Unlock()
	m.group.Wait()
}

// startOnce runs work unless it is still running.
func (m *Membership) startOnce(running *atomic.Bool, work func()) {
	if !running.CompareAndSwap(false, true) {
		return
	}
	started := m.start(func() {
		defer running.Store(false)
		work()
	})
	if !started {
		running.Store(false)
	}
}

// unlock releases the mutex after telling subscribers of changes.
func (m *Membership) unlock() {
	changed := m.publishedVersion != m.table.version
	m.publishedVersion = m.table.version
	if changed {
		for subscriber := range m.subscribers {
			select {
			case subscriber <- struct{}{}:
			default:
			}
		}
	}
	m.mutex.Unlock()
}

// Members returns all known members sorted by ID: every member of this node's
// zone, dead ones for a while, and some of each other zone. The slice must not
// be changed.
func (m *Membership) Members() []Member {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.snapshot == nil || m.snapshotVersion != m.table.version {
		m.snapshot = m.table.members()
		m.snapshotVersion = m.table.version
	}
	return m.snapshot
}

// Alive returns the members of a zone that are alive or suspected, sorted by
// ID. For another zone than this node's own it returns some of them.
func (m *Membership) Alive(zone target.Zone) []Member {
	var living []Member
	for _, member := range m.Members() {
		if member.Zone == zone && member.Living() {
			living = append(living, member)
		}
	}
	return living
}

// Zones returns the zones of which this node knows members, sorted.
func (m *Membership) Zones() []target.Zone {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.table.zones()
}

// Self returns this node as its peers see it.
func (m *Membership) Self() Member {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.table.self.member
}

// Subscribe returns a channel that gets a value after the list changed; values
// that are not read are merged. Stop ends the subscription.
func (m *Membership) Subscribe() (changes <-chan struct{}, stop func()) {
	subscriber := make(chan struct{}, 1)
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.subscribers[subscriber] = struct{}{}
	return subscriber, func() {
		m.mutex.Lock()
		defer m.mutex.Unlock()
		delete(m.subscribers, subscriber)
	}
}

// receive takes in gossip; it reports whether this node was accused.
func (m *Membership) receive(gossip *pb.Gossip) bool {
	if gossip == nil {
		return false
	}
	now := time.Now()
	m.mutex.Lock()
	m.detectPause(now)
	if now.Before(m.quarantineUntil) {
		m.unlock()
		return false
	}
	accused := m.applyAll(gossip.Entries, now, true)
	deliveries := m.receiveBroadcasts(gossip.News, now)
	m.unlock()
	m.deliver(deliveries)
	return accused
}

// applyAll takes in entries; those that are news are passed on if passOn is
// set. It reports whether this node was accused. The caller holds the mutex.
func (m *Membership) applyAll(entries []*pb.Entry, now time.Time, passOn bool) bool {
	accused := false
	for _, entry := range entries {
		if !valid(entry) {
			continue
		}
		if target.NodeID(entry.Id) == m.options.Self.ID {
			accused = m.refute(entry) || accused
			continue
		}
		if m.table.apply(entry, now) && passOn {
			m.queue.addEntry(entry)
		}
	}
	return accused
}

// refute answers an entry about this node: if the entry contradicts what this
// node declares, a higher incarnation overrides it. The caller holds the mutex.
func (m *Membership) refute(entry *pb.Entry) bool {
	self := m.table.self
	accused := claimsNotRunning(entry)
	fromFuture := entry.Incarnation > self.member.Incarnation
	if !fromFuture && !(accused && entry.Incarnation == self.member.Incarnation) {
		return accused
	}
	m.counters.refutations.Add(1)
	m.health.degrade(1)
	m.declare(self.member.State, entry.Incarnation+1)
	return true
}

// declare sets this node's own state and spreads it. The caller holds the
// mutex.
func (m *Membership) declare(state State, incarnation uint64) {
	self := m.table.self
	m.table.change(self, func() {
		self.member.State = state
		self.member.Incarnation = incarnation
	})
	m.queue.addEntry(entryOf(self))
}
