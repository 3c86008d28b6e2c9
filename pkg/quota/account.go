package quota

import (
	"math"
	"time"

	"github.com/bramblemast/bramblemast/pkg/route"
)

// Constants of a coordinator's decisions.
const (
	// requestRateSpan is the span of the estimate of what is asked: short, since a tenant that
	// begins to ask many times its limit spends its burst within a few tenths of a second.
	requestRateSpan = 300 * time.Millisecond
	// horizon is the time in which the level of the bucket is to be used up or made up for.
	// It is several times the age of what is known of far nodes, so that the share settles.
	bucketHorizon = 500 * time.Millisecond
	// targetTolerance is the part of the room beyond the limit that is aimed at: what is refused
	// below the limit is lost for callers, and lots scatter. The rest of the room is for what
	// is admitted before a lower share is known.
	targetTolerance = 0.3
	// minShare keeps a few requests coming, by which the share is found again.
	minShare = 0.01
	// reportRetention is for how long a node is remembered that has reported nothing.
	reportRetention = 10 * time.Second
	// standInReportSpan is for how long a report shows a stand-in that the node has no better
	// coordinator: nodes with few requests report every few seconds.
	standInReportSpan = 5 * time.Second
	// minPartialTolerance is the part of the room beyond the limit which a coordinator of a part of the nodes may have
	// at least, as its burst and again over a window: small tenants send two or three requests
	// together, and few of their nodes have reported lately. There are two such coordinators
	// as a rule.
	minPartialTolerance = 0.12
	// settlingFraction is the part of the limit that a first coordinator holds while lists of nodes differ: there are two
	// at once as a rule, and of the smallest tenants the first requests at each of some more.
	settlingFraction = 0.12
	// steadyRateSpan is the span of the estimate by which a tenant counts as beyond its limit
	// rather than as one that sent some requests together.
	steadyRateSpan = 2 * time.Second
	// highUsageVerdicts is the part of its limit that a tenant uses when all nodes are to know of it.
	highUsageFraction = 0.25
	// extraRateInterval is how often the unused part of the limit is summed up anew.
	extraRateInterval = 500 * time.Millisecond
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
	bucket tokenBucket
	// asked and steady are the rates of requests over requestRateSpan and over steadyRateSpan.
	requestRate movingRate
	steadyRate  movingRate
	reports     map[string]*nodeReport
	extraRate   float64
	// extraRateAt is when spare was summed up.
	extraRateAt time.Time
	// isUnsettled says that the account was never settled.
	isUnsettled bool
	// lastReportAt is when something was last reported.
	lastReportAt time.Time
	// cautious is the share by which nodes acted before this account was opened; it bounds
	// the share until inheritedShareUntil, since what is asked is not known yet.
	inheritedShare      float64
	inheritedShareUntil time.Time
	// starting is what the tenant may use in the first window after the coordinator's start.
	startup startupWindow
	// reserved is what was taken from the bucket for the first requests of silent nodes, last
	// at isolationReserveAt.
	isolationReserve   float64
	isolationReserveAt time.Time
	// reservedRate is the part of the limit's rate that was left to silent nodes when the account was last
	// settled; zero if that was as a stand-in. Nothing is decided by it.
	reservedRate float64
}

// inheritedShareSpan is how long a new account keeps to the share that nodes had: the time until
// all nodes with traffic have reported.
const inheritedShareSpan = 3 * requestRateSpan

// reported is what a coordinator last heard from a node.
type nodeReport struct {
	usage Usage
	at    time.Time
}

// NewAccount returns an account of a tenant of which nothing was reported since a moment. What
// was spent before is unknown, so that a first coordinator has no burst to give at that moment,
// while the rate serves every tenant within its limit. A stand-in begins with its part.
func NewAccount(limit route.RateLimit, bounds Bounds, since, now time.Time) *Account {
	return &Account{
		limit: limit, bounds: bounds, bucket: tokenBucket{at: since}, requestRate: movingRate{span: requestRateSpan},
		steadyRate: movingRate{span: steadyRateSpan}, isUnsettled: true,
		reports: make(map[string]*nodeReport), lastReportAt: now, inheritedShare: 1, inheritedShareUntil: now.Add(inheritedShareSpan),
	}
}

// Take counts a report of a node. Told twice, it counts once.
func (a *Account) AddReport(node string, usage Usage, view DeploymentView, now time.Time) {
	a.lastReportAt = now
	a.settle(view, now)
	requests, admitted := usage.NewRequests, usage.NewAdmitted
	// granted is how many of them this coordinator has granted at most.
	granted := float64(requests)
	previous := a.reports[node]
	if previous == nil && a.isInStartup() {
		granted *= usage.Share
		a.seedRequestRate(usage, now)
	}
	if previous != nil && previous.usage.Incarnation == usage.Incarnation {
		if usage.Requests < previous.usage.Requests {
			return
		}
		// The answer to a report may have been lost.
		requests = min(requests, usage.Requests-previous.usage.Requests)
		admitted = min(admitted, usage.Admitted-previous.usage.Admitted)
		a.spendBurst(float64(usage.Admitted - previous.usage.Admitted - admitted))
	}
	a.reports[node] = &nodeReport{usage: usage, at: now}
	a.requestRate.add(float64(requests), now)
	a.steadyRate.add(float64(requests), now)
	a.spend(float64(admitted), granted)
	if now.Before(a.inheritedShareUntil) && usage.Share > 0 {
		a.inheritedShare = min(a.inheritedShare, usage.Share)
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
func (a *Account) maxDebt() float64 { return a.bounds.tolerance(a.limit) + a.limit.Burst }

// SetLimit puts a limit into force.
func (a *Account) SetLimit(limit route.RateLimit) { a.limit = limit }

// DropSavedTokens gives up the tokens that were saved, since requests that nobody reported may have
// spent them, as after the coordinator stood still.
func (a *Account) DropSavedTokens() { a.bucket.level = min(a.bucket.level, 0) }

// settle brings the bucket up to a moment.
func (a *Account) settle(view DeploymentView, now time.Time) {
	if a.extraRateAt.IsZero() || now.Sub(a.extraRateAt) >= extraRateInterval {
		a.updateExtraRate(view, now)
	}
	rate := a.pooledRate(view, now)
	a.reservedRate = 0
	if view.IsFirst {
		a.reservedRate = a.limit.PerSecond - rate
	}
	tolerance := a.bounds.tolerance(a.limit)
	fraction := 0.0
	if a.limit.PerSecond > 0 {
		fraction = rate / a.limit.PerSecond
	}
	a.bucket.rate = rate + fraction*targetTolerance*tolerance/a.bounds.Window.Seconds()
	a.bucket.cap = a.limit.Burst * fraction
	if fraction < 1 {
		a.bucket.rate = max(a.bucket.rate, minPartialTolerance*tolerance/a.bounds.Window.Seconds())
		a.bucket.cap = min(a.limit.Burst, max(a.bucket.cap, minPartialTolerance*tolerance))
	}
	if a.isUnsettled {
		a.isUnsettled = false
		if !view.IsFirst {
			a.bucket.level = a.bucket.cap
		}
	}
	a.bucket.settle(now)
	a.settleStartup(now)
}

// updateExtraRate forgets nodes that are silent for long and sums up what nobody used lately.
func (a *Account) updateExtraRate(view DeploymentView, now time.Time) {
	a.extraRateAt = now
	used := 0.0
	for name, report := range a.reports {
		age := now.Sub(report.at)
		if age > reportRetention && !view.Silent[name] {
			delete(a.reports, name)
			continue
		}
		used += report.usage.RecentRate * math.Exp(-age.Seconds()/recentRateSpan.Seconds())
	}
	// What was used lately falls behind what is asked while that grows. The request that has just
	// been reported is no part of a rate.
	used = max(used, a.steadyRate.read(now)-1/steadyRateSpan.Seconds())
	a.extraRate = max(0, a.limit.PerSecond-used) / float64(max(1, view.Nodes))
}

// pooled returns the rate that the nodes in touch with this coordinator have together.
func (a *Account) pooledRate(view DeploymentView, now time.Time) float64 {
	if !view.IsFirst {
		entitled := 0.0
		for _, node := range a.reports {
			if now.Sub(node.at) <= standInReportSpan {
				entitled += node.usage.EntitledRate
			}
		}
		return min(entitled, a.limit.PerSecond)
	}
	reserved := 0.0
	for name := range view.Silent {
		if node := a.reports[name]; node != nil {
			reserved += node.usage.EntitledRate
		} else {
			// A coordinator that is new has not heard of it: an equal part is the mean.
			reserved += a.limit.PerSecond / float64(max(1, view.Nodes))
		}
	}
	pooled := max(0, a.limit.PerSecond-reserved)
	if view.IsSettling {
		pooled *= settlingFraction
	}
	return pooled
}

// Verdict returns what nodes are to do at a moment.
func (a *Account) Verdict(view DeploymentView, now time.Time) Verdict {
	a.settle(view, now)
	if a.steadyRate.read(now) > a.limit.PerSecond {
		a.updateIsolationReserve(view, now)
	}
	verdict := Verdict{Share: a.share(now), ExtraRate: a.extraRate, IsFirst: view.IsFirst}
	if a.bucket.rate > 0 {
		wait := max(1, 1-a.bucket.level) / a.bucket.rate
		verdict.Wait = time.Duration(min(wait, a.bounds.Window.Seconds()) * float64(time.Second))
	}
	return verdict
}

// isHighUsage reports whether the tenant uses so much of its limit that nodes must know of it: those
// that have not heard of it would take an equal part of all for unused.
func (a *Account) isHighUsage(now time.Time) bool {
	return a.steadyRate.read(now) >= highUsageFraction*a.limit.PerSecond
}

// reserve keeps back what silent nodes may admit in a window beside their entitlements. A tenant
// within its limit is not held back for it, and when the nodes are back for longer than those
// requests count, neither are the others.
func (a *Account) updateIsolationReserve(view DeploymentView, now time.Time) {
	needed := 0.0
	isCutOff := 2*len(view.Silent) > view.Nodes
	if view.IsFirst && !isCutOff {
		needed = float64(len(view.Silent)) * a.bounds.isolatedAllowance(a.limit, view.Nodes)
	}
	switch {
	case needed > a.isolationReserve:
		a.bucket.level = max(a.bucket.level-(needed-a.isolationReserve), -a.maxDebt())
		a.isolationReserveAt = now
	case a.bucket.level < 0 && now.Sub(a.isolationReserveAt) > a.bounds.Window:
		a.bucket.level = min(0, a.bucket.level+a.isolationReserve-needed)
	default:
		return
	}
	a.isolationReserve = needed
}

// share returns the part of the requests by which the bucket is used up, or made up for,
// within the horizon.
func (a *Account) share(now time.Time) float64 {
	grantedRate := a.grantedRate()
	requestRate := a.requestRate.read(now)
	share := 1.0
	if requestRate > grantedRate {
		share = max(minShare, grantedRate/requestRate)
	}
	if now.Before(a.inheritedShareUntil) {
		share = min(share, a.inheritedShare)
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
	return AccountStats{Limit: a.limit, RequestRate: a.requestRate.read(now), Tokens: a.bucket.level, Nodes: len(a.reports)}
}
