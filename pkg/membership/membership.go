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
	// gossipQuarantine is the time after a pause during which received gossip is ignored, because
	// it may have waited in socket buffers during the pause.
	gossipQuarantine = time.Second
	// recoveryTimeout is the time after a pause during which the node tries to fetch the list from
	// others before it continues with its own.
	recoveryTimeout = 3 * time.Second
	// pauseHealthPenalty is the amount by which a pause raises the node's health score.
	pauseHealthPenalty = 2
	// reapPeriod is the time between two checks for members to forget.
	reapPeriod = 30 * time.Second
)

// Membership maintains the list of nodes. It is safe for concurrent use.
type Membership struct {
	options  Options
	logger   hclog.Logger
	counters counters
	// group counts the goroutines that Run starts.
	group      sync.WaitGroup
	startMutex sync.Mutex
	// ended is guarded by startMutex.
	ended bool
	// stopped is set when Run ends; from then on, requests from peers are rejected.
	stopped atomic.Bool
	// recovering, joining, syncing and summarizing each keep one task from running twice at the
	// same time.
	recovering, joining, syncing, summarizing atomic.Bool

	mutex sync.Mutex
	// The fields below are guarded by mutex.
	random            *rand.Rand
	table             *table
	ring              zoneRing
	queue             *queue
	health            health
	probeRound        []target.NodeID
	schedule          schedule
	broadcasts        *broadcastLog
	broadcastSequence uint64
	broadcastHandlers map[string]BroadcastHandler
	contacts          zoneContacts
	seedZones         seedZones
	// stale is set from the detection of a pause until the list has been fetched again or recovery
	// is given up.
	stale           bool
	staleSince      time.Time
	quarantineUntil time.Time
	// joined is set after the first exchange with a node of this zone.
	joined bool
	// startedAt is when Run started.
	startedAt        time.Time
	snapshot         []Member
	snapshotVersion  uint64
	publishedVersion uint64
	subscribers      map[chan struct{}]struct{}
}

// schedule holds the time of the last tick and when each periodic task is due next.
type schedule struct {
	lastTick time.Time
	probe    time.Time
	sync     time.Time
	rejoin   time.Time
	summary  time.Time
	reap     time.Time
}

// New creates the membership of one node and registers its message handlers. It does nothing else
// before Run.
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

// Run joins the other nodes and maintains the list until ctx ends, and then returns nil. After
// Leave, it first notifies some members that this node has stopped.
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

// begin sets the first due times, with jitter to spread the load of nodes that start together, and
// queues this node's own entry.
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

// jitter returns a random fraction of a period. The caller holds the mutex.
func (m *Membership) jitter(period time.Duration) time.Duration {
	return time.Duration(m.random.Int64N(int64(period)))
}

// tick starts the tasks that are due. After a pause, it only tries to recover the list.
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

// due returns the periodic tasks that are due and schedules them again. The caller holds the mutex.
func (m *Membership) due(now time.Time) []func(ctx context.Context) {
	timing := m.options.Timing
	var work []func(ctx context.Context)
	if elapsed(&m.schedule.probe, now, m.health.stretch(timing.ProbePeriod)) {
		work = append(work, m.startProbe)
	}
	m.queue.relay.Expire(now)
	if m.queue.len() > 0 || m.queue.relay.Waiting() {
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

// elapsed reports whether a due time has come, and if so sets it to one period from now.
func elapsed(moment *time.Time, now time.Time, period time.Duration) bool {
	if now.Before(*moment) {
		return false
	}
	*moment = now.Add(period)
	return true
}

// start runs work in a goroutine that Run waits for. It returns false, without running work, if Run
// has ended.
func (m *Membership) start(work func()) bool {
	m.startMutex.Lock()
	defer m.startMutex.Unlock()
	if m.ended {
		return false
	}
	m.group.Go(work)
	return true
}

// end prevents new goroutines from starting and waits for the running ones.
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

// unlock notifies subscribers if the list changed, then releases the mutex.
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

// Members returns all known members sorted by ID: every member of this node's zone, including dead
// ones until they are forgotten, and some members of each other zone. The caller must not modify
// the slice.
func (m *Membership) Members() []Member {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.snapshot == nil || m.snapshotVersion != m.table.version {
		m.snapshot = m.table.members()
		m.snapshotVersion = m.table.version
	}
	return m.snapshot
}

// Alive returns the members of a zone that are alive or suspected, sorted by ID. For a zone other
// than this node's own, it returns only the members that this node knows.
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

// Self returns this node's own entry as it declares it to peers.
func (m *Membership) Self() Member {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.table.self.member
}

// Subscribe returns a channel that receives a value after the list changed; values that are not
// read are merged into one. Calling stop ends the subscription.
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

// receive applies gossip. It reports whether this node was accused.
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

// applyAll applies entries. Those that change the list are queued as gossip if passOn is set. It
// reports whether this node was accused. The caller holds the mutex.
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

// refute handles an entry about this node. If the entry contradicts this node's declaration or has
// a higher incarnation, the node declares its state again at a higher incarnation, which overrides
// the entry. It reports whether this node was accused. The caller holds the mutex.
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

// declare sets this node's own state and queues it as gossip. The caller holds the mutex.
func (m *Membership) declare(state State, incarnation uint64) {
	self := m.table.self
	m.table.change(self, func() {
		self.member.State = state
		self.member.Incarnation = incarnation
	})
	m.queue.addEntry(entryOf(self))
}
