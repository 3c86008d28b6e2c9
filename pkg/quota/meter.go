package quota

import (
	"math"
	"slices"
	"time"

	"github.com/bramblemast/bramblemast/pkg/route"
)

// Constants of a node's decisions.
const (
	// recentSpan is the span of the estimate of what a node admitted lately. Clients keep
	// their connections, so that it holds for a while when the node is cut off.
	recentSpan = 5 * time.Second
	// shareAge is how old a share below 1 may be: coordinators repeat it several times in it.
	shareAge = 1500 * time.Millisecond
	// unacknowledgedPart of a tenant's burst and of a second's rate may be admitted by one
	// node before its coordinator has acknowledged it, a tenth of a second later as a rule:
	// so much is lost to the sum when the node is cut off.
	unacknowledgedPart = 0.2
	// refusedKept is the number of refused requests that are remembered, so that those that
	// are repeated at once count once.
	refusedKept = 32
	// aloneSpan is the span of its entitlement that a node out of touch may save up while the
	// tenant is at its limit, since requests come unevenly.
	aloneSpan = 1500 * time.Millisecond
	// greatestAloneWait bounds the wait that is told by a node out of touch, which lasts for
	// seconds mostly, while other nodes are in touch.
	greatestAloneWait = 2 * time.Second
	// startingWait is the wait that is told by a process that has just started and is out of touch. Callers come
	// back once or twice: after a loss of all power the coordinators have started by then.
	startingWait = time.Second
)

// awaitSpan is for how long a node that was alone waits for a share at most: by then the coordinators have heard of
// all nodes that returned with it.
const awaitSpan = 2 * time.Second

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
	nodes    int
	standing Mode

	asked    uint64
	admitted int64
	// acknowledgedAsked and acknowledgedAdmitted are what a coordinator has counted.
	acknowledgedAsked    uint64
	acknowledgedAdmitted int64
	// owned is the part of what is not acknowledged that the node admitted by its entitlement.
	owned int64
	// askedAlone is the part of what is not acknowledged that was asked while the node was out of
	// touch: it says nothing of what is asked now.
	askedAlone uint64
	// recent is the rate that coordinators acknowledged: what was admitted in the moment of a
	// failure entitles to nothing.
	recent movingRate
	// begunAt is since when the node counts.
	begunAt time.Time

	// share is the part of the requests to admit as it was told last, at toldAt; 1 if it never was.
	share  float64
	toldAt time.Time
	// limitedAt is when a share below 1 was told last: the tenant was at its limit.
	limitedAt time.Time
	wait      time.Duration
	spare     float64
	// isInDoubt says that a coordinator, of this tenant or of another one, has fallen silent and
	// none has answered since.
	isInDoubt bool
	// awaitsShare says that a coordinator answers again since returnedAt and has not told a share that holds: the
	// tenant may have come to its limit meanwhile, and a stand-in must hear first of all nodes that return at once.
	awaitsShare bool
	returnedAt  time.Time
	// hasSpare says that the first coordinator has told spare.
	hasSpare bool
	// entitled is the rate while out of touch with the first coordinator.
	entitled float64
	// wasInTouch says that the node has been in touch with coordinators since its start, so
	// that other nodes cannot all have begun with it.
	wasInTouch bool
	// unknownUntil is until when the window may hold what an earlier process of the node admitted.
	unknownUntil time.Time
	// alone is the bucket while there is no coordinator or its word is too old.
	alone bucket
	// lately are the requests that were admitted in the last window.
	lately windowCount
	// place is where the node stands among all, 0 to below 1: which part of a request it
	// needs so that it may admit a whole one.
	place float64
	// refused are the lots of the last refused requests, a ring; it is made at the first.
	refused     []uint64
	nextRefused int
}

// NewMeter returns the view of a node that has heard nothing of a tenant; wasInTouch says that
// it has heard of others since its start.
func NewMeter(tenant string, limit route.RateLimit, bounds Bounds, nodes int, wasInTouch bool, now time.Time) *Meter {
	meter := &Meter{
		tenant: tenant, limit: limit, bounds: bounds, nodes: nodes, wasInTouch: wasInTouch,
		recent: movingRate{span: recentSpan}, begunAt: now, share: 1, lately: newWindowCount(bounds.Window, now),
	}
	meter.goAlone(now)
	return meter
}

// SetLimit puts a limit into force.
func (m *Meter) SetLimit(limit route.RateLimit) { m.limit = limit }

// SetNodes takes the number of nodes of the deployment.
func (m *Meter) SetNodes(nodes int) { m.nodes = nodes }

// SetRoundingOffset takes where the node stands among all nodes for this tenant, 0 to below 1. The places
// of all nodes are spread evenly, so that together they admit no more whole requests than there
// are parts of one.
func (m *Meter) SetRoundingOffset(place float64) { m.place = place }

// SetProcessStart takes when the node's process began. What an earlier one admitted in the window before is
// not known, and it may have been all that the node may admit in a window: until that has passed
// the node admits nothing while it is out of touch.
func (m *Meter) SetProcessStart(startedAt time.Time) { m.unknownUntil = startedAt.Add(m.bounds.Window) }

// SetInDoubt takes whether the node may be cut off and has not found out yet.
func (m *Meter) SetInDoubt(isInDoubt bool) { m.isInDoubt = isInDoubt }

// SetMode takes which coordinator answers from now on.
func (m *Meter) SetMode(standing Mode, now time.Time) {
	if standing == m.standing {
		return
	}
	if m.standing == WithFirst {
		m.entitled = m.entitlement(now)
	}
	if isReturning := m.wasInTouch || !m.toldAt.IsZero(); isReturning && m.standing == Isolated && now.After(m.begunAt) {
		m.awaitsShare, m.returnedAt = true, now
	}
	m.standing = standing
	if standing == Isolated {
		m.goAlone(now)
	}
}

// goAlone begins to decide without a coordinator.
func (m *Meter) goAlone(now time.Time) {
	rate := m.entitlement(now)
	m.alone = bucket{rate: rate, cap: m.savedAlone(rate, now), at: now}
	switch {
	case m.toldAt.IsZero() && !m.wasInTouch:
		// All nodes may have started together, after one burst was spent already.
		m.alone.level = min(1, (m.limit.Burst+m.bounds.room(m.limit)/2)/float64(max(1, m.nodes)))
	case m.isWithinLimit(now):
		// A node that has counted for a part of a window has that part of what it may save up.
		age := now.Sub(m.begunAt).Seconds() / m.bounds.Window.Seconds()
		m.alone.level = min(m.alone.cap, 1+m.alone.cap*age)
	}
	// What no coordinator has counted counts here.
	unacknowledged := m.admitted - m.acknowledgedAdmitted - m.owned
	m.owned += unacknowledged
	m.askedAlone = m.asked - m.acknowledgedAsked
	m.alone.level = max(m.alone.level-float64(unacknowledged), -rate*m.bounds.Window.Seconds())
}

// recentRate returns the rate that was admitted lately. A node that counts for a few seconds only
// has seen a part of what it would count by then; for less than recentSpan it is not made up for
// fully, since chance weighs too much.
func (m *Meter) recentRate(now time.Time) float64 {
	age := max(now.Sub(m.begunAt), recentSpan)
	return m.recent.read(now) / (1 - math.Exp(-age.Seconds()/recentSpan.Seconds()))
}

// savedAlone returns how many requests the node may save up at a rate while it is out of touch. Within
// the limit it is what a window allows: nobody has spent the burst.
func (m *Meter) savedAlone(rate float64, now time.Time) float64 {
	if !m.isWithinLimit(now) {
		return max(1, rate*aloneSpan.Seconds())
	}
	return max(1, m.windowAlone(rate, now))
}

// isWithinLimit reports whether the tenant has been within its limit for a window: before that
// nodes may have spent the burst and the room in the same window. A coordinator that has just
// taken over may say so too early, since few nodes have reported to it.
func (m *Meter) isWithinLimit(now time.Time) bool {
	return m.share >= 1 && (m.limitedAt.IsZero() || now.Sub(m.limitedAt) > m.bounds.Window)
}

// windowAlone returns how many requests the node may admit in a window while it is out of touch. All
// nodes together stay within the bound then, also if each of them is alone.
func (m *Meter) windowAlone(rate float64, now time.Time) float64 {
	allowed := rate * m.bounds.Window.Seconds()
	if m.isWithinLimit(now) {
		allowed += m.bounds.aloneExtra(m.limit, m.nodes)
	}
	return allowed
}

// mostAlone returns the whole requests of windowAlone, by the node's place.
func (m *Meter) mostAlone(rate float64, now time.Time) int {
	return int(m.windowAlone(rate, now) + m.place)
}

// hasRoomAlone reports whether one more request is within windowAlone.
func (m *Meter) hasRoomAlone(rate float64, now time.Time) bool {
	return m.lately.read(now)+1 <= float64(m.mostAlone(rate, now))
}

// entitlement returns the rate that the node may admit without the first coordinator.
func (m *Meter) entitlement(now time.Time) float64 {
	if !m.hasSpare {
		return m.limit.PerSecond / float64(max(1, m.nodes))
	}
	if m.standing != WithFirst {
		return min(m.entitled, m.limit.PerSecond)
	}
	return min(m.recentRate(now)+m.spare, m.limit.PerSecond)
}

// Admit decides about one request.
func (m *Meter) Admit(requestID string, now time.Time) Decision {
	drawn := drawLot(m.tenant, requestID, now)
	decision := Decision{Share: m.share, Mode: m.standing}
	if !m.toldAt.IsZero() {
		decision.ShareAge = now.Sub(m.toldAt)
	}
	isAlone := m.standing == Isolated || m.isAwaitingShare(now) || m.share < 1 && decision.ShareAge > shareAge
	switch {
	case isAlone:
		decision.IsAdmitted, decision.RetryAfter = m.admitAlone(now)
		if !decision.IsAdmitted {
			decision.Refusal = m.refusalAlone(now)
		}
	case !drawn.isWithin(m.share):
		decision.Refusal, decision.RetryAfter = BeyondShare, max(drawn.ends, m.wait)
	case float64(m.admitted-m.acknowledgedAdmitted-m.owned) >= greatestUnacknowledged(m.limit):
		decision.Refusal, decision.RetryAfter = Unacknowledged, max(reportDelay, m.wait)
	case m.isInDoubt && !m.hasRoomAlone(m.entitlement(now), now):
		decision.Refusal, decision.RetryAfter = InDoubt, max(reportDelay, m.wait)
	default:
		decision.IsAdmitted = true
	}
	if decision.IsAdmitted {
		m.admitted++
		m.lately.add(1, now)
		if isAlone {
			m.owned++
		}
	}
	if decision.IsAdmitted || m.isNewRefusal(drawn.hash) {
		m.asked++
		if isAlone {
			m.askedAlone++
		}
	}
	return decision
}

// isAwaitingShare reports whether the node has returned a moment ago and has not been told a share that holds. It ends
// by itself: of a tenant that is asked for seldom nothing is told until its next request.
func (m *Meter) isAwaitingShare(now time.Time) bool {
	return m.awaitsShare && now.Sub(m.returnedAt) < awaitSpan
}

// refusalAlone returns why admitAlone refuses.
func (m *Meter) refusalAlone(now time.Time) Refusal {
	switch {
	case now.Before(m.unknownUntil):
		return JustStarted
	case m.standing == Isolated:
		return BeyondEntitlement
	}
	return ShareTooOld
}

// admitAlone takes a token of the node's own bucket, if its window has room.
func (m *Meter) admitAlone(now time.Time) (bool, time.Duration) {
	if now.Before(m.unknownUntil) {
		return false, min(startingWait, m.unknownUntil.Sub(now))
	}
	if m.standing != Isolated {
		m.alone.rate = m.entitlement(now)
		m.alone.cap = m.savedAlone(m.alone.rate, now)
	}
	m.alone.settle(now)
	if !m.hasRoomAlone(m.alone.rate, now) {
		return false, min(greatestAloneWait, m.lately.until(m.mostAlone(m.alone.rate, now), now))
	}
	if m.alone.level >= 1 {
		m.alone.level--
		return true, 0
	}
	wait := greatestAloneWait
	if m.alone.rate > 0 {
		wait = min(wait, time.Duration((1-m.alone.level)/m.alone.rate*float64(time.Second)))
	}
	return false, wait
}

// isNewRefusal reports whether a request was not refused a moment ago, and notes it: one that
// is repeated at once is no further demand, and must not lower the share of others.
func (m *Meter) isNewRefusal(hash uint64) bool {
	if slices.Contains(m.refused, hash) {
		return false
	}
	if len(m.refused) < refusedKept {
		m.refused = append(m.refused, hash)
		return true
	}
	m.refused[m.nextRefused] = hash
	m.nextRefused = (m.nextRefused + 1) % refusedKept
	return true
}

// Refund takes back a request that was admitted and did not run.
func (m *Meter) Refund(now time.Time) {
	m.admitted--
	m.lately.add(-1, now)
}

// Report returns what is to be told to a coordinator, and whether there is anything new.
func (m *Meter) Report(start uint64, now time.Time) (Usage, bool) {
	use := Usage{
		Incarnation: start, Requests: m.asked, Admitted: m.admitted,
		NewRequests: m.asked - m.acknowledgedAsked - m.askedAlone, NewAdmitted: m.admitted - m.acknowledgedAdmitted - m.owned,
		RecentRate: m.recentRate(now), EntitledRate: m.entitlement(now), Share: m.share,
	}
	if now.Before(m.unknownUntil) {
		// Coordinators follow each other while processes start: each counts what is new to it.
		use.NewAdmitted = m.admitted
	}
	return use, m.asked != m.acknowledgedAsked || m.admitted != m.acknowledgedAdmitted
}

// Acknowledge takes the answer to a report.
func (m *Meter) Acknowledge(use Usage, verdict Verdict, now time.Time) {
	if use.Requests >= m.acknowledgedAsked {
		m.recent.add(float64(max(0, use.Admitted-m.acknowledgedAdmitted)), now)
		// Of a process that has just started NewAdmitted may hold what was acknowledged before.
		m.owned -= min(m.owned, max(0, use.Admitted-m.acknowledgedAdmitted-use.NewAdmitted))
		m.askedAlone -= min(m.askedAlone, use.Requests-m.acknowledgedAsked-use.NewRequests)
		m.acknowledgedAsked, m.acknowledgedAdmitted = use.Requests, use.Admitted
		// The node may have gone out of touch since it reported, and counted all of this as its own.
		m.owned = min(m.owned, max(0, m.admitted-m.acknowledgedAdmitted))
		m.askedAlone = min(m.askedAlone, m.asked-m.acknowledgedAsked)
	}
	m.ApplyVerdict(verdict, now)
}

// Tell takes what the coordinator says.
func (m *Meter) ApplyVerdict(verdict Verdict, now time.Time) {
	m.share, m.wait, m.toldAt = verdict.Share, verdict.Wait, now
	if verdict.IsFirst || now.Sub(m.returnedAt) >= cautiousSpan {
		m.awaitsShare = false
	}
	if verdict.Share < 1 {
		m.limitedAt = now
	}
	if verdict.IsFirst {
		m.spare, m.hasSpare = verdict.ExtraRate, true
	}
}

// Forget treats what coordinators told as out of date, as after a suspension of the machine: the
// node is alone until one answers, and has no saved tokens.
func (m *Meter) InvalidateVerdicts(now time.Time) {
	m.SetMode(Isolated, now)
	m.alone.level = min(m.alone.level, 0)
}
