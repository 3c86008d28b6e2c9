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
	tickInterval = 100 * time.Millisecond
	// verdictInterval is how often a share below 1 is told again.
	verdictInterval = 300 * time.Millisecond
	// silentNodeInterval is how often nodes that took no verdict are told one.
	silentNodeInterval = time.Second
	// sweepInterval is how often unused meters and accounts are looked for, and idleTimeout the
	// time without use after which they are forgotten.
	sweepInterval = 5 * time.Second
	idleTimeout   = time.Minute
	// standstill is the time between two ticks beyond which others may have stood in for this
	// node as coordinator, so that it has missed what they granted.
	maxTickGap = time.Second
)

// Events takes what an operator wants to know. Its methods do not block.
type Events interface {
	// TenantsAtLimit tells that a tenant that this node coordinates has come to its limit.
	AtLimit(tenant string, verdict Verdict, stats AccountStats)
	// BelowLimit tells that it is within its limit again, after a span; also if it has lost the
	// limit that the figures name.
	BelowLimit(tenant string, stats AccountStats, span time.Duration)
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
	meters            map[string]*meterFor
	accounts          map[string]*tenantAccount
	// silent holds the nodes that did not take the last verdicts.
	silent map[string]bool
	// gone holds until when nodes that have left the list count as silent.
	departed map[string]time.Time
	// spreading and probing say that verdicts are on their way to nodes in touch and to
	// silent ones.
	isBroadcasting  bool
	isProbingSilent bool
	// lastReportAt is when another node last reported, and receivesReports says that it was a moment ago.
	lastReportAt    time.Time
	receivesReports bool
	// isStopped says that Run has ended, so that nothing waits for further calls.
	isStopped bool
	// answeredAt is when a coordinator answered last, and isInDoubt says that one has not
	// since.
	answeredAt time.Time
	isInDoubt  bool
	// asked counts the times that keepInTouch asked a coordinator; it takes them in turn.
	contactAttempts int
	// hasHadContact says that a coordinator has answered since the start.
	hasHadContact bool
	broadcastAt   time.Time
	silentProbeAt time.Time
	sweptAt       time.Time
	tickAt        time.Time
	messagesSent  MessageCounts
	// tallies hold what was decided for each tenant since the start.
	tallies map[string]*tally
}

// Sent counts the messages of a Limiter.
type MessageCounts struct {
	Reports, Verdicts uint64
}

// metered is a tenant at this node.
type meterFor struct {
	meter *Meter
	// ranked are its coordinators, best first.
	ranked []string
	usedAt time.Time
	tally  *tally
	// standInVerdict is what a coordinator said to which this node does not turn yet.
	standInVerdict receivedVerdict
}

// hint is a verdict of a coordinator that stands in for a better one.
type receivedVerdict struct {
	from    string
	verdict Verdict
	at      time.Time
}

// coordinated is a tenant whose account this node keeps.
type tenantAccount struct {
	account *Account
	isFirst bool
	// told is the share that was last told to all nodes.
	sentShare float64
	// limitedAt is when the tenant came to its limit, withinLimitSince when its share was 1 again;
	// zero if it is not.
	limitedAt        time.Time
	withinLimitSince time.Time
}

// New returns a Limiter that knows no other node yet.
func New(options Options) *Limiter {
	ctx, cancel := context.WithCancel(context.Background())
	limiter := &Limiter{
		context: ctx, cancel: cancel, options: options, startedAt: time.Now(),
		wake: make(chan struct{}, 1), urgent: make(chan struct{}, 1),
		addresses:    make(map[string]peer.Address),
		coordinators: rendezvous.NewSet[string](nil), zoneCoordinators: rendezvous.NewSet[string](nil),
		links: make(map[string]*link), meters: make(map[string]*meterFor), accounts: make(map[string]*tenantAccount),
		silent: make(map[string]bool), departed: make(map[string]time.Time),
		tallies: make(map[string]*tally),
	}
	options.Transport.Handle(kindReport, limiter.handleReport)
	options.Transport.Handle(kindVerdicts, limiter.handleVerdicts)
	return limiter
}

// Admit decides about one request of a tenant, at once.
func (l *Limiter) Admit(tenant string, limit route.RateLimit, requestID string, now time.Time) Decision {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	entry := l.meterFor(tenant, limit, now)
	entry.usedAt = now
	entry.meter.SetInDoubt(l.isInDoubt)
	decision := entry.meter.Admit(requestID, now)
	entry.tally.count(decision)
	l.requestReport()
	return decision
}

// Refund gives back a request that was admitted and did not run.
func (l *Limiter) Refund(tenant string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if entry := l.meters[tenant]; entry != nil {
		entry.meter.Refund(time.Now())
		entry.tally.admitted--
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
	for _, entry := range l.accounts {
		if !entry.limitedAt.IsZero() {
			count++
		}
	}
	return count
}

// metered returns a tenant's meter with its limit in force. The caller holds the mutex.
func (l *Limiter) meterFor(tenant string, limit route.RateLimit, now time.Time) *meterFor {
	entry := l.meters[tenant]
	if entry == nil {
		entry = &meterFor{meter: NewMeter(tenant, limit, l.options.Bounds, l.nodeCount(), l.hasHadContact, now), ranked: l.ranked(tenant)}
		entry.meter.SetProcessStart(l.startedAt)
		entry.meter.SetRoundingOffset(l.roundingOffset(tenant))
		entry.meter.SetMode(l.mode(entry.ranked), now)
		entry.tally = l.tallyOf(tenant)
		l.meters[tenant] = entry
	}
	entry.meter.SetLimit(limit)
	return entry
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
	ticks, reportDue := make(chan struct{}, 1), make(chan struct{}, 1)
	ticker := time.AfterFunc(tickInterval, func() { signal(ticks) })
	defer ticker.Stop()
	delay := time.AfterFunc(reportDelay, func() { signal(reportDue) })
	defer delay.Stop()
	isReportPending := true
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-l.wake:
			if !isReportPending {
				isReportPending = true
				delay.Reset(reportDelay)
			}
		case <-reportDue:
			isReportPending = false
			l.report(ctx, time.Now())
			l.seekFirstContact(ctx, time.Now())
		case <-l.urgent:
			l.broadcast(ctx, time.Now())
		case <-ticks:
			ticker.Reset(tickInterval)
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
	if !l.tickAt.IsZero() && now.Sub(l.tickAt) > maxTickGap {
		l.dropSavedTokens()
	}
	l.tickAt = now
	l.forgetDeparted(now)
	l.updateReceivesReports(now)
	if now.Sub(l.sweptAt) >= sweepInterval {
		l.sweep(now)
	}
	l.mutex.Unlock()
	if l.options.KnowsTenants() {
		l.probeLinks(ctx, now)
	}
	l.broadcast(ctx, now)
}

// Resumed makes up for a suspension of the machine: what others told is old, and what they
// granted meanwhile is unknown.
func (l *Limiter) Resumed() {
	now := time.Now()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.dropSavedTokens()
	l.hasHadContact = false
	for _, entry := range l.meters {
		entry.meter.InvalidateVerdicts(now)
	}
	for _, found := range l.links {
		found.markFailed(now)
		found.nextProbe = now
	}
	l.updateModes(now)
	l.requestReport()
}

// dropSavedTokens takes the saved tokens from all accounts. The caller holds the mutex.
func (l *Limiter) dropSavedTokens() {
	l.coordinatorsSince = time.Now()
	for _, entry := range l.accounts {
		entry.account.DropSavedTokens()
	}
}

// sweep forgets meters and accounts that were not used for idleTimeout. The caller holds the mutex.
func (l *Limiter) sweep(now time.Time) {
	l.sweptAt = now
	for tenant, entry := range l.meters {
		if _, isNew := entry.meter.Report(l.options.Incarnation, now); !isNew && now.Sub(entry.usedAt) > idleTimeout {
			delete(l.meters, tenant)
		}
	}
	l.forgetTallies()
	for tenant, coordinated := range l.accounts {
		if coordinated.limitedAt.IsZero() && now.Sub(coordinated.account.lastReportAt) > idleTimeout {
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
func (l *Limiter) MessagesSent() MessageCounts {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.messagesSent
}
