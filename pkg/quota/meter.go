package quota

import (
	"math"
	"slices"
	"time"

	"github.com/bramblemast/bramblemast/pkg/route"
)

// Constants of a node's decisions.
const (
	// recentRateSpan is the averaging span of the rate that a node admitted recently. Clients keep
	// their connections, so the rate stays valid for a while when the node becomes isolated.
	recentRateSpan = 5 * time.Second
	// maxShareAge is the maximum age of a share below 1; coordinators repeat it several times in
	// that time.
	maxShareAge = 1500 * time.Millisecond
	// unacknowledgedFraction is the part of a tenant's burst and of a second's rate that one node
	// may admit before its coordinator has acknowledged it, usually a tenth of a second later. If
	// the node is cut off, up to that many requests are missing from the coordinator's count.
	unacknowledgedFraction = 0.2
	// refusedDrawCount is the number of refused requests that are remembered, so that requests that
	// are repeated at once count once.
	refusedDrawCount = 32
	// isolatedSavingSpan is the span of its entitlement that an isolated node may save up while the
	// tenant is at its limit, since requests arrive unevenly.
	isolatedSavingSpan = 1500 * time.Millisecond
	// maxIsolatedWait bounds the retry delay that an isolated node returns: isolation mostly lasts
	// for seconds, and other nodes are in contact meanwhile.
	maxIsolatedWait = 2 * time.Second
	// startupWait is the retry delay returned by a process that has just started and is isolated.
	// Callers retry once or twice; after a power loss of the whole deployment the coordinators have
	// started by then.
	startupWait = time.Second
)

// maxShareWait is how long a node that was isolated waits for a share: by then the coordinators
// have received reports of all nodes that reconnected with it.
const maxShareWait = 2 * time.Second

// Mode states which coordinator of a tenant a node decides with.
type Mode int

// Modes of a node for one tenant, from the node's start on.
const (
	// Isolated means that no coordinator answers, or that none was reached yet.
	Isolated Mode = iota
	// WithStandIn means that the first coordinator does not answer, but another one does.
	WithStandIn
	// WithFirst means that the first coordinator answers.
	WithFirst
)

// String returns the name used in logs and messages.
func (m Mode) String() string {
	return [...]string{Isolated: "alone", WithStandIn: "stand-in", WithFirst: "first"}[m]
}

// Decision is a node's decision about one request.
type Decision struct {
	IsAdmitted bool
	// Refusal is the reason if the request was refused.
	Refusal Refusal
	// RetryAfter is the time until the tenant's next request is expected to be within its limit.
	RetryAfter time.Duration
	// Share is the share in force at the decision, ShareAge its age; zero if none was received yet.
	Share    float64
	ShareAge time.Duration
	Mode     Mode
}

// Meter is a node's state of one tenant. It is not safe for concurrent use.
type Meter struct {
	tenant string
	limit  route.RateLimit
	bounds Bounds
	// nodes is the number of nodes of the deployment.
	nodes int
	mode  Mode

	requests uint64
	admitted int64
	// acknowledgedRequests and acknowledgedAdmitted are the counts that a coordinator has
	// acknowledged.
	acknowledgedRequests uint64
	acknowledgedAdmitted int64
	// admittedByEntitlement is the part of the unacknowledged requests that the node admitted by
	// its entitlement.
	admittedByEntitlement int64
	// isolatedRequests is the part of the unacknowledged requests that arrived while the node was
	// isolated. It says nothing about the current demand.
	isolatedRequests uint64
	// acknowledgedRate is the rate of admitted requests that coordinators acknowledged. Requests
	// admitted at the time of a failure do not raise the entitlement.
	acknowledgedRate movingRate
	// countingSince is when the node started to count the tenant.
	countingSince time.Time

	// share is the part of the requests to admit, as received last at verdictAt; 1 if none was
	// received.
	share     float64
	verdictAt time.Time
	// limitedAt is when a share below 1 was last received: the tenant was at its limit then.
	limitedAt time.Time
	wait      time.Duration
	extraRate float64
	// isInDoubt is set when a coordinator, of this tenant or of another one, has stopped answering
	// and none has answered since.
	isInDoubt bool
	// awaitsShare is set when a coordinator answers again, since reconnectedAt, and has not sent a
	// reliable share yet: the tenant may have reached its limit meanwhile, and a stand-in must
	// first receive reports of all nodes that reconnect at the same time.
	awaitsShare   bool
	reconnectedAt time.Time
	// hasExtraRate is set once the first coordinator has sent extraRate.
	hasExtraRate bool
	// frozenEntitlement is the entitlement at the time when contact with the first coordinator was
	// lost.
	frozenEntitlement float64
	// hasHadContact is set if the node has been in contact with coordinators since its start. Not
	// all nodes can then have started together with it.
	hasHadContact bool
	// startupUntil is until when the window may contain requests that an earlier process of the
	// node admitted.
	startupUntil time.Time
	// ownBucket is used while no coordinator answers, or while its share is too old or awaited.
	ownBucket tokenBucket
	// admittedInWindow counts the requests that were admitted in the last window.
	admittedInWindow windowCount
	// roundingOffset decides which nodes may admit a whole request where each one may admit only a
	// part of it; 0 to below 1.
	roundingOffset float64
	// refusedDraws is a ring of the draws of the last refused requests, allocated with the first
	// one.
	refusedDraws    []uint64
	nextRefusedDraw int
}

// NewMeter returns the meter of a node that has received no verdict about a tenant. hasHadContact
// tells whether any coordinator has answered the node since its start.
func NewMeter(tenant string, limit route.RateLimit, bounds Bounds, nodes int, hasHadContact bool, now time.Time) *Meter {
	meter := &Meter{
		tenant: tenant, limit: limit, bounds: bounds, nodes: nodes, hasHadContact: hasHadContact,
		acknowledgedRate: movingRate{span: recentRateSpan}, countingSince: now, share: 1, admittedInWindow: newWindowCount(bounds.Window, now),
	}
	meter.enterIsolation(now)
	return meter
}

// SetLimit puts a limit into force.
func (m *Meter) SetLimit(limit route.RateLimit) { m.limit = limit }

// SetNodes sets the number of nodes of the deployment.
func (m *Meter) SetNodes(nodes int) { m.nodes = nodes }

// SetRoundingOffset sets the offset, from 0 to below 1, that is added before the number of allowed
// requests is rounded down. The offsets of all nodes are spread evenly, so that together they admit
// no more whole requests than their fractions add up to.
func (m *Meter) SetRoundingOffset(offset float64) { m.roundingOffset = offset }

// SetProcessStart sets when the node's process started. What an earlier process admitted in the
// window before is unknown and may be all that the node may admit in a window. The node therefore
// admits nothing while isolated until a window has passed.
func (m *Meter) SetProcessStart(startedAt time.Time) { m.startupUntil = startedAt.Add(m.bounds.Window) }

// SetInDoubt sets whether the node may be cut off without having detected it yet.
func (m *Meter) SetInDoubt(isInDoubt bool) { m.isInDoubt = isInDoubt }

// SetMode sets which coordinator answers from now on.
func (m *Meter) SetMode(mode Mode, now time.Time) {
	if mode == m.mode {
		return
	}
	if m.mode == WithFirst {
		m.frozenEntitlement = m.entitlement(now)
	}
	if isReconnecting := m.hasHadContact || !m.verdictAt.IsZero(); isReconnecting && m.mode == Isolated && now.After(m.countingSince) {
		m.awaitsShare, m.reconnectedAt = true, now
	}
	m.mode = mode
	if mode == Isolated {
		m.enterIsolation(now)
	}
}

// enterIsolation starts to decide without a coordinator.
func (m *Meter) enterIsolation(now time.Time) {
	rate := m.entitlement(now)
	m.ownBucket = tokenBucket{rate: rate, cap: m.isolatedCapacity(rate, now), at: now}
	switch {
	case m.verdictAt.IsZero() && !m.hasHadContact:
		// All nodes may have started together, after one burst was already spent.
		m.ownBucket.level = min(1, (m.limit.Burst+m.bounds.tolerance(m.limit)/2)/float64(max(1, m.nodes)))
	case m.isWithinLimit(now):
		// A node that has counted for a part of a window may have saved up that part of its
		// capacity.
		age := now.Sub(m.countingSince).Seconds() / m.bounds.Window.Seconds()
		m.ownBucket.level = min(m.ownBucket.cap, 1+m.ownBucket.cap*age)
	}
	// Requests that no coordinator has counted are charged to the node's own bucket.
	unacknowledged := m.admitted - m.acknowledgedAdmitted - m.admittedByEntitlement
	m.admittedByEntitlement += unacknowledged
	m.isolatedRequests = m.requests - m.acknowledgedRequests
	m.ownBucket.level = max(m.ownBucket.level-float64(unacknowledged), -rate*m.bounds.Window.Seconds())
}

// recentRate returns the rate that was admitted recently. A node that has counted for a few seconds
// only has seen only a part of its traffic, which is scaled up. For less than recentRateSpan it is
// not scaled up fully, since chance would have too much weight.
func (m *Meter) recentRate(now time.Time) float64 {
	age := max(now.Sub(m.countingSince), recentRateSpan)
	return m.acknowledgedRate.read(now) / (1 - math.Exp(-age.Seconds()/recentRateSpan.Seconds()))
}

// isolatedCapacity returns how many requests the node may save up at a rate while isolated. Within
// the limit it is the allowance of a window, since the burst has not been spent.
func (m *Meter) isolatedCapacity(rate float64, now time.Time) float64 {
	if !m.isWithinLimit(now) {
		return max(1, rate*isolatedSavingSpan.Seconds())
	}
	return max(1, m.isolatedWindowAllowance(rate, now))
}

// isWithinLimit reports whether the tenant has been within its limit for a whole window. Before
// that, nodes may have spent the burst and the tolerance in the same window. A coordinator that has
// just taken over may report the tenant as within its limit too early, since few nodes have
// reported to it.
func (m *Meter) isWithinLimit(now time.Time) bool {
	return m.share >= 1 && (m.limitedAt.IsZero() || now.Sub(m.limitedAt) > m.bounds.Window)
}

// isolatedWindowAllowance returns how many requests the node may admit in a window while isolated.
// All nodes together then stay within the bound, even if each of them is isolated.
func (m *Meter) isolatedWindowAllowance(rate float64, now time.Time) float64 {
	allowed := rate * m.bounds.Window.Seconds()
	if m.isWithinLimit(now) {
		allowed += m.bounds.isolatedAllowance(m.limit, m.nodes)
	}
	return allowed
}

// maxIsolatedRequests returns isolatedWindowAllowance as a number of whole requests, rounded with
// the node's rounding offset.
func (m *Meter) maxIsolatedRequests(rate float64, now time.Time) int {
	return int(m.isolatedWindowAllowance(rate, now) + m.roundingOffset)
}

// hasIsolatedAllowance reports whether one more request is within isolatedWindowAllowance.
func (m *Meter) hasIsolatedAllowance(rate float64, now time.Time) bool {
	return m.admittedInWindow.read(now)+1 <= float64(m.maxIsolatedRequests(rate, now))
}

// entitlement returns the rate, in requests a second, that the node may admit without the first
// coordinator.
func (m *Meter) entitlement(now time.Time) float64 {
	if !m.hasExtraRate {
		return m.limit.PerSecond / float64(max(1, m.nodes))
	}
	if m.mode != WithFirst {
		return min(m.frozenEntitlement, m.limit.PerSecond)
	}
	return min(m.recentRate(now)+m.extraRate, m.limit.PerSecond)
}

// Admit decides about one request and counts it.
func (m *Meter) Admit(requestID string, now time.Time) Decision {
	drawn := drawFor(m.tenant, requestID, now)
	decision := Decision{Share: m.share, Mode: m.mode}
	if !m.verdictAt.IsZero() {
		decision.ShareAge = now.Sub(m.verdictAt)
	}
	isByEntitlement := m.mode == Isolated || m.isAwaitingShare(now) || m.share < 1 && decision.ShareAge > maxShareAge
	switch {
	case isByEntitlement:
		decision.IsAdmitted, decision.RetryAfter = m.admitByEntitlement(now)
		if !decision.IsAdmitted {
			decision.Refusal = m.refusalByEntitlement(now)
		}
	case !drawn.isWithin(m.share):
		decision.Refusal, decision.RetryAfter = BeyondShare, max(drawn.expiresIn, m.wait)
	case float64(m.admitted-m.acknowledgedAdmitted-m.admittedByEntitlement) >= maxUnacknowledged(m.limit):
		decision.Refusal, decision.RetryAfter = Unacknowledged, max(reportDelay, m.wait)
	case m.isInDoubt && !m.hasIsolatedAllowance(m.entitlement(now), now):
		decision.Refusal, decision.RetryAfter = InDoubt, max(reportDelay, m.wait)
	default:
		decision.IsAdmitted = true
	}
	if decision.IsAdmitted {
		m.admitted++
		m.admittedInWindow.add(1, now)
		if isByEntitlement {
			m.admittedByEntitlement++
		}
	}
	if decision.IsAdmitted || m.isNewRefusal(drawn.hash) {
		m.requests++
		if isByEntitlement {
			m.isolatedRequests++
		}
	}
	return decision
}

// isAwaitingShare reports whether the node has reconnected a moment ago and has not received a
// reliable share yet. It ends by itself, since nothing is sent about a tenant with few requests
// until its next request.
func (m *Meter) isAwaitingShare(now time.Time) bool {
	return m.awaitsShare && now.Sub(m.reconnectedAt) < maxShareWait
}

// refusalByEntitlement returns why admitByEntitlement refuses a request.
func (m *Meter) refusalByEntitlement(now time.Time) Refusal {
	switch {
	case now.Before(m.startupUntil):
		return JustStarted
	case m.mode == Isolated:
		return BeyondEntitlement
	}
	return ShareTooOld
}

// admitByEntitlement takes a token of the node's own bucket if the window allows it. Otherwise it
// returns the time until the next attempt.
func (m *Meter) admitByEntitlement(now time.Time) (bool, time.Duration) {
	if now.Before(m.startupUntil) {
		return false, min(startupWait, m.startupUntil.Sub(now))
	}
	if m.mode != Isolated {
		m.ownBucket.rate = m.entitlement(now)
		m.ownBucket.cap = m.isolatedCapacity(m.ownBucket.rate, now)
	}
	m.ownBucket.settle(now)
	if !m.hasIsolatedAllowance(m.ownBucket.rate, now) {
		return false, min(maxIsolatedWait, m.admittedInWindow.timeUntilBelow(m.maxIsolatedRequests(m.ownBucket.rate, now), now))
	}
	if m.ownBucket.level >= 1 {
		m.ownBucket.level--
		return true, 0
	}
	wait := maxIsolatedWait
	if m.ownBucket.rate > 0 {
		wait = min(wait, time.Duration((1-m.ownBucket.level)/m.ownBucket.rate*float64(time.Second)))
	}
	return false, wait
}

// isNewRefusal reports whether a request was not among the last refused ones, and records it. A
// request that is repeated at once is not additional demand and must not lower the share of others.
func (m *Meter) isNewRefusal(hash uint64) bool {
	if slices.Contains(m.refusedDraws, hash) {
		return false
	}
	if len(m.refusedDraws) < refusedDrawCount {
		m.refusedDraws = append(m.refusedDraws, hash)
		return true
	}
	m.refusedDraws[m.nextRefusedDraw] = hash
	m.nextRefusedDraw = (m.nextRefusedDraw + 1) % refusedDrawCount
	return true
}

// Refund takes back a request that was admitted and did not run.
func (m *Meter) Refund(now time.Time) {
	m.admitted--
	m.admittedInWindow.add(-1, now)
}

// Report returns the usage to report to a coordinator and whether any of it is new.
func (m *Meter) Report(incarnation uint64, now time.Time) (Usage, bool) {
	usage := Usage{
		Incarnation: incarnation, Requests: m.requests, Admitted: m.admitted,
		NewRequests: m.requests - m.acknowledgedRequests - m.isolatedRequests, NewAdmitted: m.admitted - m.acknowledgedAdmitted - m.admittedByEntitlement,
		RecentRate: m.recentRate(now), EntitledRate: m.entitlement(now), Share: m.share,
	}
	if now.Before(m.startupUntil) {
		// Coordinators may replace each other while processes start: each one counts what is new to
		// it.
		usage.NewAdmitted = m.admitted
	}
	return usage, m.requests != m.acknowledgedRequests || m.admitted != m.acknowledgedAdmitted
}

// Acknowledge applies the answer to a report.
func (m *Meter) Acknowledge(usage Usage, verdict Verdict, now time.Time) {
	if usage.Requests >= m.acknowledgedRequests {
		m.acknowledgedRate.add(float64(max(0, usage.Admitted-m.acknowledgedAdmitted)), now)
		// For a process that has just started, NewAdmitted may contain requests that were
		// acknowledged before.
		m.admittedByEntitlement -= min(m.admittedByEntitlement, max(0, usage.Admitted-m.acknowledgedAdmitted-usage.NewAdmitted))
		m.isolatedRequests -= min(m.isolatedRequests, usage.Requests-m.acknowledgedRequests-usage.NewRequests)
		m.acknowledgedRequests, m.acknowledgedAdmitted = usage.Requests, usage.Admitted
		// The node may have become isolated since it reported and counted all of this as admitted
		// by its entitlement.
		m.admittedByEntitlement = min(m.admittedByEntitlement, max(0, m.admitted-m.acknowledgedAdmitted))
		m.isolatedRequests = min(m.isolatedRequests, m.requests-m.acknowledgedRequests)
	}
	m.ApplyVerdict(verdict, now)
}

// ApplyVerdict applies a verdict of the coordinator.
func (m *Meter) ApplyVerdict(verdict Verdict, now time.Time) {
	m.share, m.wait, m.verdictAt = verdict.Share, verdict.Wait, now
	if verdict.IsFirst || now.Sub(m.reconnectedAt) >= inheritedShareSpan {
		m.awaitsShare = false
	}
	if verdict.Share < 1 {
		m.limitedAt = now
	}
	if verdict.IsFirst {
		m.extraRate, m.hasExtraRate = verdict.ExtraRate, true
	}
}

// InvalidateVerdicts treats all verdicts as outdated, as after a suspension of the machine: the
// node is isolated until a coordinator answers, and has no saved tokens.
func (m *Meter) InvalidateVerdicts(now time.Time) {
	m.SetMode(Isolated, now)
	m.ownBucket.level = min(m.ownBucket.level, 0)
}
