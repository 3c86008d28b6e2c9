package quota

import (
	"math"
	"slices"
	"time"

	"github.com/bramblemast/bramblemast/pkg/route"
)

// Constants of a node's decisions.
const (
	// recentRateSpan is the span of the estimate of what a node admitted lately. Clients keep
	// their connections, so that it holds for a while when the node is cut off.
	recentRateSpan = 5 * time.Second
	// maxShareAge is how old a share below 1 may be: coordinators repeat it several times in it.
	maxShareAge = 1500 * time.Millisecond
	// unacknowledgedFraction of a tenant's burst and of a second's rate may be admitted by one
	// node before its coordinator has acknowledged it, a tenth of a second later as a rule:
	// so much is lost to the sum when the node is cut off.
	unacknowledgedFraction = 0.2
	// refusedDrawCount is the number of refused requests that are remembered, so that those that
	// are repeated at once count once.
	refusedDrawCount = 32
	// isolatedSavingSpan is the span of its entitlement that a node out of touch may save up while the
	// tenant is at its limit, since requests come unevenly.
	isolatedSavingSpan = 1500 * time.Millisecond
	// maxIsolatedWait bounds the wait that is told by a node out of touch, which lasts for
	// seconds mostly, while other nodes are in touch.
	maxIsolatedWait = 2 * time.Second
	// startupWait is the wait that is told by a process that has just started and is out of touch. Callers come
	// back once or twice: after a loss of all power the coordinators have started by then.
	startupWait = time.Second
)

// maxShareWait is for how long a node that was alone waits for a share at most: by then the coordinators have heard of
// all nodes that returned with it.
const maxShareWait = 2 * time.Second

// Standing is how a node stands to a tenant's coordinators.
type Mode int

// Standings, from a node's start on.
const (
	// Alone: no coordinator answers, or none was reached yet.
	Isolated Mode = iota
	// WithStandIn: the first coordinator does not answer, another one does.
	WithStandIn
	// WithFirst: the first coordinator answers.
	WithFirst
)

// String returns the word for logs.
func (s Mode) String() string {
	return [...]string{Isolated: "alone", WithStandIn: "stand-in", WithFirst: "first"}[s]
}

// Decision is what a node decided about a request.
type Decision struct {
	IsAdmitted bool
	// Refusal is why the request was refused.
	Refusal Refusal
	// RetryAfter is when the tenant's next request is expected to be within its limit.
	RetryAfter time.Duration
	// Share is the admitted share by which it was decided, and Age the time since it was
	// told; zero if it was never told.
	Share    float64
	ShareAge time.Duration
	Mode     Mode
}

// Meter is a node's view of one tenant.
type Meter struct {
	tenant string
	limit  route.RateLimit
	bounds Bounds
	// nodes is the number of nodes of the deployment.
	nodes int
	mode  Mode

	requests uint64
	admitted int64
	// acknowledgedRequests and acknowledgedAdmitted are what a coordinator has counted.
	acknowledgedRequests uint64
	acknowledgedAdmitted int64
	// owned is the part of what is not acknowledged that the node admitted by its entitlement.
	admittedByEntitlement int64
	// isolatedRequests is the part of what is not acknowledged that was asked while the node was out of
	// touch: it says nothing of what is asked now.
	isolatedRequests uint64
	// recent is the rate that coordinators acknowledged: what was admitted in the moment of a
	// failure entitles to nothing.
	acknowledgedRate movingRate
	// countingSince is since when the node counts.
	countingSince time.Time

	// share is the part of the requests to admit as it was told last, at verdictAt; 1 if it never was.
	share     float64
	verdictAt time.Time
	// limitedAt is when a share below 1 was told last: the tenant was at its limit.
	limitedAt time.Time
	wait      time.Duration
	extraRate float64
	// isInDoubt says that a coordinator, of this tenant or of another one, has fallen silent and
	// none has answered since.
	isInDoubt bool
	// awaitsShare says that a coordinator answers again since reconnectedAt and has not told a share that holds: the
	// tenant may have come to its limit meanwhile, and a stand-in must hear first of all nodes that return at once.
	awaitsShare   bool
	reconnectedAt time.Time
	// hasExtraRate says that the first coordinator has told spare.
	hasExtraRate bool
	// entitled is the rate while out of touch with the first coordinator.
	frozenEntitlement float64
	// hasHadContact says that the node has been in touch with coordinators since its start, so
	// that other nodes cannot all have begun with it.
	hasHadContact bool
	// startupUntil is until when the window may hold what an earlier process of the node admitted.
	startupUntil time.Time
	// alone is the bucket while there is no coordinator or its word is too old.
	ownBucket tokenBucket
	// lately are the requests that were admitted in the last window.
	admittedInWindow windowCount
	// place is where the node stands among all, 0 to below 1: which part of a request it
	// needs so that it may admit a whole one.
	offset float64
	// refused are the lots of the last refused requests, a ring; it is made at the first.
	refusedDraws    []uint64
	nextRefusedDraw int
}

// NewMeter returns the view of a node that has heard nothing of a tenant; hasHadContact says that
// it has heard of others since its start.
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

// SetNodes takes the number of nodes of the deployment.
func (m *Meter) SetNodes(nodes int) { m.nodes = nodes }

// SetRoundingOffset takes where the node stands among all nodes for this tenant, 0 to below 1. The places
// of all nodes are spread evenly, so that together they admit no more whole requests than there
// are parts of one.
func (m *Meter) SetRoundingOffset(offset float64) { m.offset = offset }

// SetProcessStart takes when the node's process began. What an earlier one admitted in the window before is
// not known, and it may have been all that the node may admit in a window: until that has passed
// the node admits nothing while it is out of touch.
func (m *Meter) SetProcessStart(startedAt time.Time) { m.startupUntil = startedAt.Add(m.bounds.Window) }

// SetInDoubt takes whether the node may be cut off and has not found out yet.
func (m *Meter) SetInDoubt(isInDoubt bool) { m.isInDoubt = isInDoubt }

// SetMode takes which coordinator answers from now on.
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

// enterIsolation begins to decide without a coordinator.
func (m *Meter) enterIsolation(now time.Time) {
	rate := m.entitlement(now)
	m.ownBucket = tokenBucket{rate: rate, cap: m.isolatedCapacity(rate, now), at: now}
	switch {
	case m.verdictAt.IsZero() && !m.hasHadContact:
		// All nodes may have started together, after one burst was spent already.
		m.ownBucket.level = min(1, (m.limit.Burst+m.bounds.tolerance(m.limit)/2)/float64(max(1, m.nodes)))
	case m.isWithinLimit(now):
		// A node that has counted for a part of a window has that part of what it may save up.
		age := now.Sub(m.countingSince).Seconds() / m.bounds.Window.Seconds()
		m.ownBucket.level = min(m.ownBucket.cap, 1+m.ownBucket.cap*age)
	}
	// What no coordinator has counted counts here.
	unacknowledged := m.admitted - m.acknowledgedAdmitted - m.admittedByEntitlement
	m.admittedByEntitlement += unacknowledged
	m.isolatedRequests = m.requests - m.acknowledgedRequests
	m.ownBucket.level = max(m.ownBucket.level-float64(unacknowledged), -rate*m.bounds.Window.Seconds())
}

// recentRate returns the rate that was admitted lately. A node that counts for a few seconds only
// has seen a part of what it would count by then; for less than recentRateSpan it is not made up for
// fully, since chance weighs too much.
func (m *Meter) recentRate(now time.Time) float64 {
	age := max(now.Sub(m.countingSince), recentRateSpan)
	return m.acknowledgedRate.read(now) / (1 - math.Exp(-age.Seconds()/recentRateSpan.Seconds()))
}

// isolatedCapacity returns how many requests the node may save up at a rate while it is out of touch. Within
// the limit it is what a window allows: nobody has spent the burst.
func (m *Meter) isolatedCapacity(rate float64, now time.Time) float64 {
	if !m.isWithinLimit(now) {
		return max(1, rate*isolatedSavingSpan.Seconds())
	}
	return max(1, m.isolatedWindowAllowance(rate, now))
}

// isWithinLimit reports whether the tenant has been within its limit for a window: before that
// nodes may have spent the burst and the room in the same window. A coordinator that has just
// taken over may say so too early, since few nodes have reported to it.
func (m *Meter) isWithinLimit(now time.Time) bool {
	return m.share >= 1 && (m.limitedAt.IsZero() || now.Sub(m.limitedAt) > m.bounds.Window)
}

// isolatedWindowAllowance returns how many requests the node may admit in a window while it is out of touch. All
// nodes together stay within the bound then, also if each of them is alone.
func (m *Meter) isolatedWindowAllowance(rate float64, now time.Time) float64 {
	allowed := rate * m.bounds.Window.Seconds()
	if m.isWithinLimit(now) {
		allowed += m.bounds.isolatedAllowance(m.limit, m.nodes)
	}
	return allowed
}

// maxIsolatedRequests returns the whole requests of isolatedWindowAllowance, by the node's place.
func (m *Meter) maxIsolatedRequests(rate float64, now time.Time) int {
	return int(m.isolatedWindowAllowance(rate, now) + m.offset)
}

// hasIsolatedAllowance reports whether one more request is within isolatedWindowAllowance.
func (m *Meter) hasIsolatedAllowance(rate float64, now time.Time) bool {
	return m.admittedInWindow.read(now)+1 <= float64(m.maxIsolatedRequests(rate, now))
}

// entitlement returns the rate that the node may admit without the first coordinator.
func (m *Meter) entitlement(now time.Time) float64 {
	if !m.hasExtraRate {
		return m.limit.PerSecond / float64(max(1, m.nodes))
	}
	if m.mode != WithFirst {
		return min(m.frozenEntitlement, m.limit.PerSecond)
	}
	return min(m.recentRate(now)+m.extraRate, m.limit.PerSecond)
}

// Admit decides about one request.
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

// isAwaitingShare reports whether the node has returned a moment ago and has not been told a share that holds. It ends
// by itself: of a tenant that is asked for seldom nothing is told until its next request.
func (m *Meter) isAwaitingShare(now time.Time) bool {
	return m.awaitsShare && now.Sub(m.reconnectedAt) < maxShareWait
}

// refusalByEntitlement returns why admitByEntitlement refuses.
func (m *Meter) refusalByEntitlement(now time.Time) Refusal {
	switch {
	case now.Before(m.startupUntil):
		return JustStarted
	case m.mode == Isolated:
		return BeyondEntitlement
	}
	return ShareTooOld
}

// admitByEntitlement takes a token of the node's own bucket, if its window has room.
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

// isNewRefusal reports whether a request was not refused a moment ago, and notes it: one that
// is repeated at once is no further demand, and must not lower the share of others.
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

// Report returns what is to be told to a coordinator, and whether there is anything new.
func (m *Meter) Report(incarnation uint64, now time.Time) (Usage, bool) {
	usage := Usage{
		Incarnation: incarnation, Requests: m.requests, Admitted: m.admitted,
		NewRequests: m.requests - m.acknowledgedRequests - m.isolatedRequests, NewAdmitted: m.admitted - m.acknowledgedAdmitted - m.admittedByEntitlement,
		RecentRate: m.recentRate(now), EntitledRate: m.entitlement(now), Share: m.share,
	}
	if now.Before(m.startupUntil) {
		// Coordinators follow each other while processes start: each counts what is new to it.
		usage.NewAdmitted = m.admitted
	}
	return usage, m.requests != m.acknowledgedRequests || m.admitted != m.acknowledgedAdmitted
}

// Acknowledge takes the answer to a report.
func (m *Meter) Acknowledge(usage Usage, verdict Verdict, now time.Time) {
	if usage.Requests >= m.acknowledgedRequests {
		m.acknowledgedRate.add(float64(max(0, usage.Admitted-m.acknowledgedAdmitted)), now)
		// Of a process that has just started NewAdmitted may hold what was acknowledged before.
		m.admittedByEntitlement -= min(m.admittedByEntitlement, max(0, usage.Admitted-m.acknowledgedAdmitted-usage.NewAdmitted))
		m.isolatedRequests -= min(m.isolatedRequests, usage.Requests-m.acknowledgedRequests-usage.NewRequests)
		m.acknowledgedRequests, m.acknowledgedAdmitted = usage.Requests, usage.Admitted
		// The node may have gone out of touch since it reported, and counted all of this as its own.
		m.admittedByEntitlement = min(m.admittedByEntitlement, max(0, m.admitted-m.acknowledgedAdmitted))
		m.isolatedRequests = min(m.isolatedRequests, m.requests-m.acknowledgedRequests)
	}
	m.ApplyVerdict(verdict, now)
}

// Tell takes what the coordinator says.
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

// Forget treats what coordinators told as out of date, as after a suspension of the machine: the
// node is alone until one answers, and has no saved tokens.
func (m *Meter) InvalidateVerdicts(now time.Time) {
	m.SetMode(Isolated, now)
	m.ownBucket.level = min(m.ownBucket.level, 0)
}
