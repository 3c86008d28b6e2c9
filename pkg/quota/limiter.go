package quota

import (
	"context"
	"sync"
	"time"

	"github.com/bramblemast/bramblemast/pkg/peer"
	"github.com/bramblemast/bramblemast/pkg/rendezvous"
	"github.com/bramblemast/bramblemast/pkg/route"
)

// Timing of a Limiter.
const (
	// reportDelay is how long a report waits for further counts, so that one message carries them.
	// It is short because a tenant at many times its limit must be seen before its burst is spent.
	reportDelay = 25 * time.Millisecond
	// callTimeout is the timeout of a report to a coordinator and of a verdict to a node: several
	// times the round trip to a distant region. A coordinator or node that has not answered by then
	// counts as silent.
	callTimeout = 200 * time.Millisecond
	// tickInterval is the time between two checks whether verdicts, probes or a sweep are due.
	tickInterval = 100 * time.Millisecond
	// verdictInterval is how often a share below 1 is sent again.
	verdictInterval = 300 * time.Millisecond
	// silentNodeInterval is how often verdicts are sent to nodes that did not accept the last ones.
	silentNodeInterval = time.Second
	// sweepInterval is how often idle meters and accounts are removed; idleTimeout is the time
	// without use after which they are idle.
	sweepInterval = 5 * time.Second
	idleTimeout   = time.Minute
	// maxTickGap is the time between two ticks beyond which other nodes may have stood in for this
	// coordinator, so that it does not know what they granted.
	maxTickGap = time.Second
)

// Events receives what an operator wants to know. Its methods must not block.
type Events interface {
	// AtLimit is called when a tenant that this node coordinates has reached its limit.
	AtLimit(tenant string, verdict Verdict, stats AccountStats)
	// BelowLimit is called when the tenant is within its limit again, with the time that it was at
	// the limit; also when the tenant has lost the limit given in stats.
	BelowLimit(tenant string, stats AccountStats, span time.Duration)
	// CoordinatorLost and CoordinatorRegained are called when a coordinator that this node reports
	// to stops answering and answers again.
	CoordinatorLost(name string, cause error)
	CoordinatorRegained(name string)
}

// Options configures a Limiter.
type Options struct {
	// Local is the name of this node, Zone its zone.
	Local     string
	Zone      string
	Bounds    Bounds
	Transport peer.Transport
	// LimitOf returns the limit of a tenant in the configuration in force; false if it has no such
	// tenant.
	LimitOf func(tenant string) (route.RateLimit, bool)
	Events  Events
	// KnowsTenants reports whether the node has a configuration in force that contains tenants.
	KnowsTenants func() bool
	// Incarnation identifies this run of the process; it differs for each run.
	Incarnation uint64
	// WasListed reports whether the node list already contained this node when the process started;
	// the list then contains all nodes. Nil means always.
	WasListed func() bool
}

// Limiter enforces the limits of the tenants of one node and coordinates the tenants for which the
// node is a coordinator. It is safe for concurrent use.
type Limiter struct {
	options Options
	// wake signals Run that there is something to report, urgent that a share has fallen.
	wake   chan struct{}
	urgent chan struct{}
	// context ends with Run. Calls that result from the answers of other nodes use it.
	context context.Context
	cancel  context.CancelFunc
	// startedAt is when the Limiter was created, which is taken as the start of the process.
	startedAt time.Time
	// group counts the calls in progress.
	group sync.WaitGroup

	mutex sync.Mutex
	// The fields below are guarded by mutex.
	addresses     map[string]peer.Address
	coordinators  *rendezvous.Set[string]
	isCoordinator map[string]bool
	// rank is the index of this node among the sorted names of all nodes.
	rank int
	// zoneCoordinators are the coordinators of this node's zone.
	zoneCoordinators *rendezvous.Set[string]
	// coordinatorsSince is when the set of coordinators last changed. Before that, other nodes may
	// have kept the accounts.
	coordinatorsSince time.Time
	links             map[string]*link
	meters            map[string]*tenantMeter
	accounts          map[string]*tenantAccount
	// silent holds the nodes that did not accept the last verdicts.
	silent map[string]bool
	// departed holds nodes that have left the node list and until when they count as silent.
	departed map[string]time.Time
	// relisted holds nodes that are listed again and have not been in contact since, and until when
	// they count as silent at a node that coordinates nothing.
	relisted map[string]time.Time
	// isBroadcasting and isProbingSilent are set while verdicts are being sent to nodes in contact
	// and to silent nodes.
	isBroadcasting  bool
	isProbingSilent bool
	// lastReportAt is when another node last reported; receivesReports is set while that is at most
	// reportingSpan ago.
	lastReportAt    time.Time
	receivesReports bool
	// isStopped is set when Run has ended: no further calls may start, since nothing waits for
	// them.
	isStopped bool
	// answeredAt is when a coordinator last answered. isInDoubt is set when a call to a coordinator
	// has failed and none has answered since it started, until one answers.
	answeredAt time.Time
	isInDoubt  bool
	// contactAttempts counts the calls of keepContact, which calls the coordinators in turn.
	contactAttempts int
	// hasHadContact is set once a coordinator has answered since the process started or was
	// resumed.
	hasHadContact bool
	broadcastAt   time.Time
	silentProbeAt time.Time
	sweptAt       time.Time
	tickAt        time.Time
	messagesSent  MessageCounts
	// tallies count the decisions for each tenant since the process started.
	tallies map[string]*tally
}

// MessageCounts counts the messages that a Limiter has sent.
type MessageCounts struct {
	Reports, Verdicts uint64
}

// tenantMeter is a tenant that this node serves.
type tenantMeter struct {
	meter *Meter
	// ranked are the tenant's coordinators, best first.
	ranked []string
	usedAt time.Time
	tally  *tally
	// standInVerdict is the last verdict of a coordinator that this node does not report to.
	standInVerdict receivedVerdict
}

// receivedVerdict is a verdict with its sender and its time of arrival.
type receivedVerdict struct {
	from    string
	verdict Verdict
	at      time.Time
}

// tenantAccount is a tenant whose account this node keeps.
type tenantAccount struct {
	account *Account
	isFirst bool
	// sentShare is the share that was last sent to all nodes.
	sentShare float64
	// limitedAt is when the tenant reached its limit, withinLimitSince when its share became 1
	// again; zero if neither applies.
	limitedAt        time.Time
	withinLimitSince time.Time
}

// New returns a Limiter that does not know any other node yet. It registers its handlers at the
// transport.
func New(options Options) *Limiter {
	ctx, cancel := context.WithCancel(context.Background())
	limiter := &Limiter{
		context: ctx, cancel: cancel, options: options, startedAt: time.Now(),
		wake: make(chan struct{}, 1), urgent: make(chan struct{}, 1),
		addresses:    make(map[string]peer.Address),
		coordinators: rendezvous.NewSet[string](nil), zoneCoordinators: rendezvous.NewSet[string](nil),
		links: make(map[string]*link), meters: make(map[string]*tenantMeter), accounts: make(map[string]*tenantAccount),
		silent: make(map[string]bool), departed: make(map[string]time.Time), relisted: make(map[string]time.Time),
		tallies: make(map[string]*tally),
	}
	options.Transport.Handle(kindReport, limiter.handleReport)
	options.Transport.Handle(kindVerdicts, limiter.handleVerdicts)
	return limiter
}

// Admit decides about one request of a tenant without waiting for other nodes.
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

// Refund takes back a request that was admitted and did not run.
func (l *Limiter) Refund(tenant string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if entry := l.meters[tenant]; entry != nil {
		entry.meter.Refund(time.Now())
		entry.tally.admitted--
		l.requestReport()
	}
}

// Coordinator returns the coordinator to which this node reports a tenant; empty if none answers.
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

// meterFor returns a tenant's meter with the given limit and creates it if there is none. The
// caller holds the mutex.
func (l *Limiter) meterFor(tenant string, limit route.RateLimit, now time.Time) *tenantMeter {
	entry := l.meters[tenant]
	if entry == nil {
		entry = &tenantMeter{meter: NewMeter(tenant, limit, l.options.Bounds, l.nodeCount(), l.hasHadContact, now), ranked: l.ranked(tenant)}
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

// signal wakes the reader of a channel that buffers one signal.
func signal(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
		// A signal is already buffered.
	}
}

// Run reports to coordinators and sends verdicts to nodes until ctx ends. It returns nil.
//
// Its timers call functions that signal channels. In a bubble of testing/synctest, a goroutine that
// selects on the channel of a timer that has fired runs that timer itself, at the same time as
// others run theirs, and the race detector of Go 1.26 does not survive that.
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

// stop cancels the calls in progress and waits for them; no new ones start.
func (l *Limiter) stop() {
	l.mutex.Lock()
	l.isStopped = true
	l.mutex.Unlock()
	l.cancel()
	l.group.Wait()
}

// onTick does the periodic work. A long gap between ticks counts as a suspension of the process.
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

// Resumed must be called after the machine was suspended: the verdicts received are outdated, and
// what other coordinators granted meanwhile is unknown.
func (l *Limiter) Resumed() {
	now := time.Now()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.dropSavedTokens()
	l.hasHadContact = false
	for _, entry := range l.meters {
		entry.meter.InvalidateVerdicts(now)
	}
	for _, peerLink := range l.links {
		peerLink.markFailed(now)
		peerLink.nextProbe = now
	}
	l.updateModes(now)
	l.requestReport()
}

// dropSavedTokens removes the saved tokens of all accounts, and treats the coordinators as newly
// chosen. The caller holds the mutex.
func (l *Limiter) dropSavedTokens() {
	l.coordinatorsSince = time.Now()
	for _, entry := range l.accounts {
		entry.account.DropSavedTokens()
	}
}

// sweep removes meters and accounts that were not used for idleTimeout. The caller holds the mutex.
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

// TenantCount returns the number of tenants that this node has a meter for.
func (l *Limiter) TenantCount() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return len(l.meters)
}

// MessagesSent returns how many messages were sent since the Limiter was created.
func (l *Limiter) MessagesSent() MessageCounts {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.messagesSent
}
