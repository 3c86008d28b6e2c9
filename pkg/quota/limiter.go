package quota

import (
	"context"
	"sync"
	"time"

	"github.com/bramblemast/bramblemast/pkg/peer"
	"github.com/bramblemast/bramblemast/pkg/rendezvous"
	"github.com/bramblemast/bramblemast/pkg/route"
)

// Times of a Limiter.
const (
	// reportDelay is how long counts wait for others, so that one message carries them: a
	// tenant at many times its limit must be seen before its burst is spent.
	reportDelay = 25 * time.Millisecond
	// callTimeout is after how long a coordinator counts as silent, and until when a node
	// has taken a verdict: several times the way to a far region and back.
	callTimeout = 200 * time.Millisecond
	// tick is the time between two checks which verdicts, probes and sweeps are due.
	tick = 100 * time.Millisecond
	// repeatInterval is how often a share below 1 is told again.
	repeatInterval = 300 * time.Millisecond
	// silentInterval is how often nodes that took no verdict are told one.
	silentInterval = time.Second
	// sweepInterval is how often unused meters and accounts are looked for, and idleSpan the
	// time without use after which they are forgotten.
	sweepInterval = 5 * time.Second
	idleSpan      = time.Minute
	// standstill is the time between two ticks beyond which others may have stood in for this
	// node as coordinator, so that it has missed what they granted.
	standstill = time.Second
)

// Events takes what an operator wants to know. Its methods do not block.
type Events interface {
	// TenantsAtLimit tells that a tenant that this node coordinates has come to its limit.
	AtLimit(tenant string, verdict Verdict, figures AccountStats)
	// BelowLimit tells that it is within its limit again, after a span; also if it has lost the
	// limit that the figures name.
	BelowLimit(tenant string, figures AccountStats, span time.Duration)
	// CoordinatorLost and CoordinatorRegained tell of nodes that this one reports to.
	CoordinatorLost(name string, cause error)
	CoordinatorRegained(name string)
}

// Options of a Limiter.
type Options struct {
	// Local is the name of this node, Zone where it is.
	Local     string
	Zone      string
	Bounds    Bounds
	Transport peer.Transport
	// LimitOf returns the limit of a tenant by the configuration in force; false if it has
	// none.
	LimitOf func(tenant string) (route.RateLimit, bool)
	Events  Events
	// KnowsTenants reports whether the configuration in force has tenants.
	KnowsTenants func() bool
	// Start names this run of the process, differently each time.
	Incarnation uint64
	// WasListed reports whether the list of nodes held this one already when the process began, so that it holds
	// all of them. Nil for always.
	WasListed func() bool
}

// Limiter holds the tenants of one node to their limits, and coordinates those for which the
// node is a coordinator.
type Limiter struct {
	options Options
	// wake tells Run that there is something to report, urgent that a share has fallen.
	wake   chan struct{}
	urgent chan struct{}
	// context ends with Run; the calls that answers of others lead to belong to it.
	context context.Context
	cancel  context.CancelFunc
	// startedAt is when the process began, as far as this package knows.
	startedAt time.Time
	// group counts the calls under way.
	group sync.WaitGroup

	mutex sync.Mutex
	// The fields below are guarded by mutex.
	addresses     map[string]peer.Address
	coordinators  *rendezvous.Set[string]
	isCoordinator map[string]bool
	// rank is the number of this node among the sorted names of all.
	rank int
	// zoneCoordinators are those of this node's zone.
	zoneCoordinators *rendezvous.Set[string]
	// coordinatorsSince is since when the coordinators are the same: before it other nodes may
	// have kept the accounts.
	coordinatorsSince time.Time
	links             map[string]*link
	meters            map[string]*metered
	accounts          map[string]*coordinated
	// silent holds the nodes that did not take the last verdicts.
	silent map[string]bool
	// gone holds until when nodes that have left the list count as silent.
	gone map[string]time.Time
	// spreading and probing say that verdicts are on their way to nodes in touch and to
	// silent ones.
	spreading bool
	probing   bool
	// heardAt is when another node last reported, and isHeard says that it was a moment ago.
	heardAt time.Time
	isHeard bool
	// isStopped says that Run has ended, so that nothing waits for further calls.
	isStopped bool
	// answeredAt is when a coordinator answered last, and isInDoubt says that one has not
	// since.
	answeredAt time.Time
	isInDoubt  bool
	// asked counts the times that keepInTouch asked a coordinator; it takes them in turn.
	asked int
	// wasInTouch says that a coordinator has answered since the start.
	wasInTouch bool
	spreadAt   time.Time
	probeAt    time.Time
	sweptAt    time.Time
	tickAt     time.Time
	sent       MessagesSent
	// tallies hold what was decided for each tenant since the start.
	tallies map[string]*tally
}

// Sent counts the messages of a Limiter.
type MessagesSent struct {
	Reports, Verdicts uint64
}

// metered is a tenant at this node.
type metered struct {
	meter *Meter
	// ranked are its coordinators, best first.
	ranked []string
	usedAt time.Time
	tally  *tally
	// standIn is what a coordinator said to which this node does not turn yet.
	standIn hint
}

// hint is a verdict of a coordinator that stands in for a better one.
type hint struct {
	from    string
	verdict Verdict
	at      time.Time
}

// coordinated is a tenant whose account this node keeps.
type coordinated struct {
	account *Account
	isFirst bool
	// told is the share that was last told to all nodes.
	told float64
	// limitedAt is when the tenant came to its limit, fullAt when its share was 1 again;
	// zero if it is not.
	limitedAt time.Time
	fullAt    time.Time
}

// New returns a Limiter that knows no other node yet.
func New(options Options) *Limiter {
	ctx, cancel := context.WithCancel(context.Background())
	limiter := &Limiter{
		context: ctx, cancel: cancel, options: options, startedAt: time.Now(),
		wake: make(chan struct{}, 1), urgent: make(chan struct{}, 1),
		addresses:    make(map[string]peer.Address),
		coordinators: rendezvous.NewSet[string](nil), zoneCoordinators: rendezvous.NewSet[string](nil),
		links: make(map[string]*link), meters: make(map[string]*metered), accounts: make(map[string]*coordinated),
		silent: make(map[string]bool), gone: make(map[string]time.Time),
		tallies: make(map[string]*tally),
	}
	options.Transport.Handle(kindReport, limiter.takeReport)
	options.Transport.Handle(kindVerdicts, limiter.takeVerdicts)
	return limiter
}

// Admit decides about one request of a tenant, at once.
func (l *Limiter) Admit(tenant string, limit route.RateLimit, requestID string, now time.Time) Decision {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	held := l.metered(tenant, limit, now)
	held.usedAt = now
	held.meter.SetInDoubt(l.isInDoubt)
	decision := held.meter.Admit(requestID, now)
	held.tally.count(decision)
	l.requestReport()
	return decision
}

// Refund gives back a request that was admitted and did not run.
func (l *Limiter) Refund(tenant string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if held := l.meters[tenant]; held != nil {
		held.meter.Refund(time.Now())
		held.tally.admitted--
		l.requestReport()
	}
}

// Coordinator returns the node to which this one reports a tenant; empty if none answers.
func (l *Limiter) Coordinator(tenant string) string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.coordinator(l.ranked(tenant))
}

// TenantsAtLimit returns the number of tenants at their limit that this node coordinates.
func (l *Limiter) TenantsAtLimit() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	count := 0
	for _, kept := range l.accounts {
		if !kept.limitedAt.IsZero() {
			count++
		}
	}
	return count
}

// metered returns a tenant's meter with its limit in force. The caller holds the mutex.
func (l *Limiter) metered(tenant string, limit route.RateLimit, now time.Time) *metered {
	held := l.meters[tenant]
	if held == nil {
		held = &metered{meter: NewMeter(tenant, limit, l.options.Bounds, l.nodeCount(), l.wasInTouch, now), ranked: l.ranked(tenant)}
		held.meter.SetProcessStart(l.startedAt)
		held.meter.SetRoundingOffset(l.place(tenant))
		held.meter.SetMode(l.standing(held.ranked), now)
		held.tally = l.tallyOf(tenant)
		l.meters[tenant] = held
	}
	held.meter.SetLimit(limit)
	return held
}

// requestReport makes Run report after reportDelay.
func (l *Limiter) requestReport() { signal(l.wake) }

// signal wakes the reader of a channel that holds one signal.
func signal(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
		// It has a signal already.
	}
}

// Run reports and tells until ctx ends.
//
// Its timers call functions that signal channels. In a bubble of testing/synctest a goroutine
// that selects on the channel of a due timer runs that timer itself, at the same time as
// others do theirs, and the race detector of Go 1.26 does not survive that.
func (l *Limiter) Run(ctx context.Context) error {
	defer l.stop()
	ticks, due := make(chan struct{}, 1), make(chan struct{}, 1)
	ticker := time.AfterFunc(tick, func() { signal(ticks) })
	defer ticker.Stop()
	delay := time.AfterFunc(reportDelay, func() { signal(due) })
	defer delay.Stop()
	isWaiting := true
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-l.wake:
			if !isWaiting {
				isWaiting = true
				delay.Reset(reportDelay)
			}
		case <-due:
			isWaiting = false
			l.report(ctx, time.Now())
			l.seekContact(ctx, time.Now())
		case <-l.urgent:
			l.spread(ctx, time.Now())
		case <-ticks:
			ticker.Reset(tick)
			l.onTick(ctx, time.Now())
		}
	}
}

// stop ends the calls under way and waits for them; none begins any more.
func (l *Limiter) stop() {
	l.mutex.Lock()
	l.isStopped = true
	l.mutex.Unlock()
	l.cancel()
	l.group.Wait()
}

// onTick does what is due by time; a span without ticks counts as a suspension of the process.
func (l *Limiter) onTick(ctx context.Context, now time.Time) {
	l.mutex.Lock()
	if !l.tickAt.IsZero() && now.Sub(l.tickAt) > standstill {
		l.dropBursts()
	}
	l.tickAt = now
	l.forgetGone(now)
	l.noteHeard(now)
	if now.Sub(l.sweptAt) >= sweepInterval {
		l.sweep(now)
	}
	l.mutex.Unlock()
	if l.options.KnowsTenants() {
		l.probeLinks(ctx, now)
	}
	l.spread(ctx, now)
}

// Resumed makes up for a suspension of the machine: what others told is old, and what they
// granted meanwhile is unknown.
func (l *Limiter) Resumed() {
	now := time.Now()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.dropBursts()
	l.wasInTouch = false
	for _, held := range l.meters {
		held.meter.InvalidateVerdicts(now)
	}
	for _, found := range l.links {
		found.lose(now)
		found.nextProbe = now
	}
	l.setStandings(now)
	l.requestReport()
}

// dropBursts takes the saved tokens from all accounts. The caller holds the mutex.
func (l *Limiter) dropBursts() {
	l.coordinatorsSince = time.Now()
	for _, kept := range l.accounts {
		kept.account.DropSavedTokens()
	}
}

// sweep forgets meters and accounts that were not used for idleSpan. The caller holds the mutex.
func (l *Limiter) sweep(now time.Time) {
	l.sweptAt = now
	for tenant, held := range l.meters {
		if _, isNew := held.meter.Report(l.options.Incarnation, now); !isNew && now.Sub(held.usedAt) > idleSpan {
			delete(l.meters, tenant)
		}
	}
	l.forgetTallies()
	for tenant, kept := range l.accounts {
		if kept.limitedAt.IsZero() && now.Sub(kept.account.usedAt) > idleSpan {
			delete(l.accounts, tenant)
		}
	}
}

// Tenants returns the number of tenants that this node remembers.
func (l *Limiter) TenantCount() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return len(l.meters)
}

// Sent returns how many messages were sent so far.
func (l *Limiter) MessagesSent() MessagesSent {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.sent
}
