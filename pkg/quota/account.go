package quota

import (
	"math"
	"time"

	"github.com/bramblemast/bramblemast/pkg/route"
)

// Constants of a coordinator's decisions.
const (
	// askedSpan is the span of the estimate of what is asked: short, since a tenant that
	// begins to ask many times its limit spends its burst within a few tenths of a second.
	askedSpan = 300 * time.Millisecond
	// horizon is the time in which the level of the bucket is to be used up or made up for.
	// It is several times the age of what is known of far nodes, so that the share settles.
	horizon = 500 * time.Millisecond
	// aimedRoom is the part of the room beyond the limit that is aimed at: what is refused
	// below the limit is lost for callers, and lots scatter. The rest of the room is for what
	// is admitted before a lower share is known.
	aimedRoom = 0.3
	// leastShare keeps a few requests coming, by which the share is found again.
	leastShare = 0.01
	// entrySpan is for how long a node is remembered that has reported nothing.
	entrySpan = 10 * time.Second
	// standInSpan is for how long a report shows a stand-in that the node has no better
	// coordinator: nodes with few requests report every few seconds.
	standInSpan = 5 * time.Second
	// partialRoom is the part of the room beyond the limit which a coordinator of a part of the nodes may have
	// at least, as its burst and again over a window: small tenants send two or three requests
	// together, and few of their nodes have reported lately. There are two such coordinators
	// as a rule.
	partialRoom = 0.12
	// settlingPart is the part of the limit that a first coordinator holds while lists of nodes differ: there are two
	// at once as a rule, and of the smallest tenants the first requests at each of some more.
	settlingPart = 0.12
	// steadySpan is the span of the estimate by which a tenant counts as beyond its limit
	// rather than as one that sent some requests together.
	steadySpan = 2 * time.Second
	// usedMuch is the part of its limit that a tenant uses when all nodes are to know of it.
	usedMuch = 0.25
	// spareInterval is how often the unused part of the limit is summed up anew.
	spareInterval = 500 * time.Millisecond
)

// Contact is what a coordinator knows of the nodes at a moment.
type DeploymentView struct {
	// IsFirst says that the coordinator is the tenant's first: it holds the limit of the
	// whole deployment less the entitlements of nodes out of touch. A stand-in holds only
	// the entitlements of the nodes that report to it.
	IsFirst bool
	// IsSettling says that nodes may take another one for the first coordinator, since their lists of nodes differ.
	IsSettling bool
	// Nodes is the number of nodes of the deployment, Silent those that did not answer.
	Nodes  int
	Silent map[string]bool
}

// Account is a coordinator's view of one tenant over all nodes that report to it.
type Account struct {
	limit  route.RateLimit
	bounds Bounds
	bucket bucket
	// asked and steady are the rates of requests over askedSpan and over steadySpan.
	asked  movingRate
	steady movingRate
	nodes  map[string]*reported
	spare  float64
	// spareAt is when spare was summed up.
	spareAt time.Time
	// isNew says that the account was never settled.
	isNew bool
	// usedAt is when something was last reported.
	usedAt time.Time
	// cautious is the share by which nodes acted before this account was opened; it bounds
	// the share until cautiousUntil, since what is asked is not known yet.
	cautious      float64
	cautiousUntil time.Time
	// starting is what the tenant may use in the first window after the coordinator's start.
	starting startingWindow
	// reserved is what was taken from the bucket for the first requests of silent nodes, last
	// at reservedAt.
	reserved   float64
	reservedAt time.Time
	// keptBack is the part of the limit's rate that was left to silent nodes when the account was last
	// settled; zero if that was as a stand-in. Nothing is decided by it.
	keptBack float64
}

// cautiousSpan is how long a new account keeps to the share that nodes had: the time until
// all nodes with traffic have reported.
const cautiousSpan = 3 * askedSpan

// reported is what a coordinator last heard from a node.
type reported struct {
	use Usage
	at  time.Time
}

// NewAccount returns an account of a tenant of which nothing was reported since a moment. What
// was spent before is unknown, so that a first coordinator has no burst to give at that moment,
// while the rate serves every tenant within its limit. A stand-in begins with its part.
func NewAccount(limit route.RateLimit, bounds Bounds, since, now time.Time) *Account {
	return &Account{
		limit: limit, bounds: bounds, bucket: bucket{at: since}, asked: movingRate{span: askedSpan},
		steady: movingRate{span: steadySpan}, isNew: true,
		nodes: make(map[string]*reported), usedAt: now, cautious: 1, cautiousUntil: now.Add(cautiousSpan),
	}
}

// Take counts a report of a node. Told twice, it counts once.
func (a *Account) AddReport(node string, use Usage, contact DeploymentView, now time.Time) {
	a.usedAt = now
	a.settle(contact, now)
	asked, admitted := use.NewRequests, use.NewAdmitted
	// granted is how many of them this coordinator has granted at most.
	granted := float64(asked)
	before := a.nodes[node]
	if before == nil && a.isStarting() {
		granted *= use.Share
		a.expect(use, now)
	}
	if before != nil && before.use.Incarnation == use.Incarnation {
		if use.Requests < before.use.Requests {
			return
		}
		// The answer to a report may have been lost.
		asked = min(asked, use.Requests-before.use.Requests)
		admitted = min(admitted, use.Admitted-before.use.Admitted)
		a.spendBurst(float64(use.Admitted - before.use.Admitted - admitted))
	}
	a.nodes[node] = &reported{use: use, at: now}
	a.asked.add(float64(asked), now)
	a.steady.add(float64(asked), now)
	a.spend(float64(admitted), granted)
	if now.Before(a.cautiousUntil) && use.Share > 0 {
		a.cautious = min(a.cautious, use.Share)
	}
}

// spendBurst takes what was admitted while the node was out of touch: by another coordinator
// or by its entitlement. It was within the limit, but the burst is spent.
func (a *Account) spendBurst(count float64) {
	if a.bucket.level > 0 {
		a.bucket.level = max(0, a.bucket.level-max(0, count))
	}
}

// debt returns how far the bucket may fall below zero: what goes beyond the limit in a window
// must be made up for in it, but not for longer.
func (a *Account) debt() float64 { return a.bounds.room(a.limit) + a.limit.Burst }

// SetLimit puts a limit into force.
func (a *Account) SetLimit(limit route.RateLimit) { a.limit = limit }

// DropSavedTokens gives up the tokens that were saved, since requests that nobody reported may have
// spent them, as after the coordinator stood still.
func (a *Account) DropSavedTokens() { a.bucket.level = min(a.bucket.level, 0) }

// settle brings the bucket up to a moment.
func (a *Account) settle(contact DeploymentView, now time.Time) {
	if a.spareAt.IsZero() || now.Sub(a.spareAt) >= spareInterval {
		a.sumUp(contact, now)
	}
	rate := a.pooled(contact, now)
	a.keptBack = 0
	if contact.IsFirst {
		a.keptBack = a.limit.PerSecond - rate
	}
	room := a.bounds.room(a.limit)
	part := 0.0
	if a.limit.PerSecond > 0 {
		part = rate / a.limit.PerSecond
	}
	a.bucket.rate = rate + part*aimedRoom*room/a.bounds.Window.Seconds()
	a.bucket.cap = a.limit.Burst * part
	if part < 1 {
		a.bucket.rate = max(a.bucket.rate, partialRoom*room/a.bounds.Window.Seconds())
		a.bucket.cap = min(a.limit.Burst, max(a.bucket.cap, partialRoom*room))
	}
	if a.isNew {
		a.isNew = false
		if !contact.IsFirst {
			a.bucket.level = a.bucket.cap
		}
	}
	a.bucket.settle(now)
	a.settleStarting(now)
}

// sumUp forgets nodes that are silent for long and sums up what nobody used lately.
func (a *Account) sumUp(contact DeploymentView, now time.Time) {
	a.spareAt = now
	used := 0.0
	for name, node := range a.nodes {
		age := now.Sub(node.at)
		if age > entrySpan && !contact.Silent[name] {
			delete(a.nodes, name)
			continue
		}
		used += node.use.RecentRate * math.Exp(-age.Seconds()/recentSpan.Seconds())
	}
	// What was used lately falls behind what is asked while that grows. The request that has just
	// been reported is no part of a rate.
	used = max(used, a.steady.read(now)-1/steadySpan.Seconds())
	a.spare = max(0, a.limit.PerSecond-used) / float64(max(1, contact.Nodes))
}

// pooled returns the rate that the nodes in touch with this coordinator have together.
func (a *Account) pooled(contact DeploymentView, now time.Time) float64 {
	if !contact.IsFirst {
		entitled := 0.0
		for _, node := range a.nodes {
			if now.Sub(node.at) <= standInSpan {
				entitled += node.use.EntitledRate
			}
		}
		return min(entitled, a.limit.PerSecond)
	}
	reserved := 0.0
	for name := range contact.Silent {
		if node := a.nodes[name]; node != nil {
			reserved += node.use.EntitledRate
		} else {
			// A coordinator that is new has not heard of it: an equal part is the mean.
			reserved += a.limit.PerSecond / float64(max(1, contact.Nodes))
		}
	}
	pooled := max(0, a.limit.PerSecond-reserved)
	if contact.IsSettling {
		pooled *= settlingPart
	}
	return pooled
}

// Verdict returns what nodes are to do at a moment.
func (a *Account) Verdict(contact DeploymentView, now time.Time) Verdict {
	a.settle(contact, now)
	if a.steady.read(now) > a.limit.PerSecond {
		a.reserve(contact, now)
	}
	verdict := Verdict{Share: a.share(now), ExtraRate: a.spare, IsFirst: contact.IsFirst}
	if a.bucket.rate > 0 {
		wait := max(1, 1-a.bucket.level) / a.bucket.rate
		verdict.Wait = time.Duration(min(wait, a.bounds.Window.Seconds()) * float64(time.Second))
	}
	return verdict
}

// isUsedMuch reports whether the tenant uses so much of its limit that nodes must know of it: those
// that have not heard of it would take an equal part of all for unused.
func (a *Account) isUsedMuch(now time.Time) bool {
	return a.steady.read(now) >= usedMuch*a.limit.PerSecond
}

// reserve keeps back what silent nodes may admit in a window beside their entitlements. A tenant
// within its limit is not held back for it, and when the nodes are back for longer than those
// requests count, neither are the others.
func (a *Account) reserve(contact DeploymentView, now time.Time) {
	needed := 0.0
	isCutOff := 2*len(contact.Silent) > contact.Nodes
	if contact.IsFirst && !isCutOff {
		needed = float64(len(contact.Silent)) * a.bounds.aloneExtra(a.limit, contact.Nodes)
	}
	switch {
	case needed > a.reserved:
		a.bucket.level = max(a.bucket.level-(needed-a.reserved), -a.debt())
		a.reservedAt = now
	case a.bucket.level < 0 && now.Sub(a.reservedAt) > a.bounds.Window:
		a.bucket.level = min(0, a.bucket.level+a.reserved-needed)
	default:
		return
	}
	a.reserved = needed
}

// share returns the part of the requests by which the bucket is used up, or made up for,
// within the horizon.
func (a *Account) share(now time.Time) float64 {
	granted := a.granted()
	asked := a.asked.read(now)
	share := 1.0
	if asked > granted {
		share = max(leastShare, granted/asked)
	}
	if now.Before(a.cautiousUntil) {
		share = min(share, a.cautious)
	}
	return share
}

// Figures of an account, for logs and metrics.
type AccountStats struct {
	Limit route.RateLimit
	// Asked is the rate of requests over all nodes, Level the tokens that are left.
	RequestRate float64
	Tokens      float64
	// Nodes is the number of nodes that reported lately.
	Nodes int
}

// Figures returns the state of the account.
func (a *Account) Stats(now time.Time) AccountStats {
	return AccountStats{Limit: a.limit, RequestRate: a.asked.read(now), Tokens: a.bucket.level, Nodes: len(a.nodes)}
}
