package quota

import (
	"math"
	"time"

	"github.com/bramblemast/bramblemast/pkg/route"
)

// Constants of a coordinator's decisions.
const (
	// requestRateSpan is the averaging span of the request rate. It is short because a tenant that
	// starts to send many times its limit spends its burst within a few tenths of a second.
	requestRateSpan = 300 * time.Millisecond
	// bucketHorizon is the time in which the tokens of the bucket are to be spent, or its debt paid
	// back. It is several times the age of reports from distant nodes, so that the share converges.
	bucketHorizon = 500 * time.Millisecond
	// targetTolerance is the part of the tolerance that coordinators aim to use, because requests
	// refused below the limit are lost for callers and the admitted number varies by chance. The
	// rest covers requests that are admitted before nodes receive a lower share.
	targetTolerance = 0.3
	// minShare keeps a few requests coming, from which the right share is found again.
	minShare = 0.01
	// reportRetention is how long a node is remembered after its last report.
	reportRetention = 10 * time.Second
	// standInReportSpan is how long a report proves to a stand-in that the node has no better
	// coordinator. Nodes with few requests report only every few seconds.
	standInReportSpan = 5 * time.Second
	// minPartialTolerance is the minimum part of the tolerance that a coordinator of only a part of
	// the nodes may grant, once as its burst and again over each window: small tenants send two or
	// three requests together, and few of their nodes have reported recently. Usually there are two
	// such coordinators.
	minPartialTolerance = 0.12
	// settlingFraction is the part of the limit that a first coordinator grants while node lists
	// differ. Usually two nodes act as first coordinator at the same time then; for the smallest
	// tenants the first requests at each of a few more such nodes add to that.
	settlingFraction = 0.12
	// steadyRateSpan is the averaging span of the rate that decides whether a tenant exceeds its
	// limit or only sent some requests together.
	steadyRateSpan = 2 * time.Second
	// highUsageFraction is the part of its limit from which on a tenant's usage is announced to all
	// nodes.
	highUsageFraction = 0.25
	// extraRateInterval is how often the unused part of the limit is recomputed.
	extraRateInterval = 500 * time.Millisecond
)

// DeploymentView is what a coordinator knows about the nodes at one time.
type DeploymentView struct {
	// IsFirst is set if the coordinator is the tenant's first: it grants the limit of the whole
	// deployment less the entitlements of silent nodes. A stand-in grants only the entitlements of
	// the nodes that report to it.
	IsFirst bool
	// IsSettling is set while other nodes may regard another node as the first coordinator because
	// their node lists differ.
	IsSettling bool
	// Nodes is the number of nodes of the deployment; Silent holds those that did not answer.
	Nodes  int
	Silent map[string]bool
}

// Account is a coordinator's state of one tenant, over all nodes that report to it. It is not safe
// for concurrent use.
type Account struct {
	limit  route.RateLimit
	bounds Bounds
	bucket tokenBucket
	// requestRate and steadyRate are the rates of requests over requestRateSpan and steadyRateSpan.
	requestRate movingRate
	steadyRate  movingRate
	reports     map[string]*nodeReport
	extraRate   float64
	// extraRateAt is when extraRate was computed.
	extraRateAt time.Time
	// isUnsettled is set until the account is settled for the first time.
	isUnsettled bool
	// lastReportAt is when a node last reported the tenant.
	lastReportAt time.Time
	// inheritedShare is the share that nodes applied before this account was opened. It bounds the
	// share until inheritedShareUntil, since the request rate is not known yet.
	inheritedShare      float64
	inheritedShareUntil time.Time
	// startup is what the tenant may use in the first window after the coordinator's process
	// started.
	startup startupWindow
	// isolationReserve is the number of tokens taken from the bucket for what silent nodes may
	// admit beyond their entitlements; isolationReserveAt is when it was last raised.
	isolationReserve   float64
	isolationReserveAt time.Time
	// reservedRate is the part of the limit's rate that was left to silent nodes when the account
	// was last settled; zero for a stand-in. It is for snapshots only and affects no decision.
	reservedRate float64
}

// inheritedShareSpan is how long a new account applies the share that nodes had before: the time
// until all nodes with traffic have reported.
const inheritedShareSpan = 3 * requestRateSpan

// nodeReport is the last report of a node.
type nodeReport struct {
	usage Usage
	at    time.Time
}

// NewAccount returns an account of a tenant for which nothing was reported since the given time.
// What was spent before is unknown, so a first coordinator starts without a burst at that time,
// while the rate serves every tenant within its limit. A stand-in starts with the burst of its part
// of the limit.
func NewAccount(limit route.RateLimit, bounds Bounds, since, now time.Time) *Account {
	return &Account{
		limit: limit, bounds: bounds, bucket: tokenBucket{at: since}, requestRate: movingRate{span: requestRateSpan},
		steadyRate: movingRate{span: steadyRateSpan}, isUnsettled: true,
		reports: make(map[string]*nodeReport), lastReportAt: now, inheritedShare: 1, inheritedShareUntil: now.Add(inheritedShareSpan),
	}
}

// AddReport counts a report of a node. A report that arrives twice counts once.
func (a *Account) AddReport(node string, usage Usage, view DeploymentView, now time.Time) {
	a.lastReportAt = now
	a.settle(view, now)
	requests, admitted := usage.NewRequests, usage.NewAdmitted
	// granted is the maximum number of those requests that this coordinator granted.
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
		// The answer to an earlier report may have been lost.
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

// spendBurst takes tokens for requests that the node admitted without this coordinator: by another
// coordinator or by its entitlement. They were within the limit, but the burst is spent.
func (a *Account) spendBurst(count float64) {
	if a.bucket.level > 0 {
		a.bucket.level = max(0, a.bucket.level-max(0, count))
	}
}

// maxDebt returns how far the bucket may fall below zero: what exceeds the limit in a window is
// compensated within that window, but not for longer.
func (a *Account) maxDebt() float64 { return a.bounds.tolerance(a.limit) + a.limit.Burst }

// SetLimit puts a limit into force.
func (a *Account) SetLimit(limit route.RateLimit) { a.limit = limit }

// DropSavedTokens removes the saved tokens, since requests that were not reported here may have
// spent them, as after the coordinator was suspended.
func (a *Account) DropSavedTokens() { a.bucket.level = min(a.bucket.level, 0) }

// settle brings the bucket up to the given time.
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

// updateExtraRate forgets nodes that have not reported for reportRetention and recomputes the
// unused rate.
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
	// While the demand grows, the admitted rate lags behind the request rate. The request that was
	// just reported is not part of a rate.
	used = max(used, a.steadyRate.read(now)-1/steadyRateSpan.Seconds())
	a.extraRate = max(0, a.limit.PerSecond-used) / float64(max(1, view.Nodes))
}

// pooledRate returns the rate that the nodes in contact with this coordinator have together.
func (a *Account) pooledRate(view DeploymentView, now time.Time) float64 {
	if !view.IsFirst {
		entitled := 0.0
		for _, report := range a.reports {
			if now.Sub(report.at) <= standInReportSpan {
				entitled += report.usage.EntitledRate
			}
		}
		return min(entitled, a.limit.PerSecond)
	}
	reserved := 0.0
	for name := range view.Silent {
		if report := a.reports[name]; report != nil {
			reserved += report.usage.EntitledRate
		} else {
			// A new coordinator has no report of that node: an equal part is the mean.
			reserved += a.limit.PerSecond / float64(max(1, view.Nodes))
		}
	}
	pooled := max(0, a.limit.PerSecond-reserved)
	if view.IsSettling {
		pooled *= settlingFraction
	}
	return pooled
}

// Verdict returns what nodes may admit from the given time on.
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

// isHighUsage reports whether the tenant uses so much of its limit that nodes must know of it: a
// node that does not would regard an equal part of the whole limit as unused.
func (a *Account) isHighUsage(now time.Time) bool {
	return a.steadyRate.read(now) >= highUsageFraction*a.limit.PerSecond
}

// updateIsolationReserve reserves what silent nodes may admit in a window in addition to their
// entitlements. A tenant within its limit is not restricted for it. Once the nodes have been back
// for longer than those requests count, the other nodes are not restricted either.
func (a *Account) updateIsolationReserve(view DeploymentView, now time.Time) {
	needed := 0.0
	isMinority := 2*len(view.Silent) > view.Nodes
	if view.IsFirst && !isMinority {
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

// share returns the part of the requests that spends the tokens of the bucket, or pays back its
// debt, within bucketHorizon.
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

// AccountStats are figures of an account for logs and metrics.
type AccountStats struct {
	Limit route.RateLimit
	// RequestRate is the rate over all nodes in requests a second; Tokens are those left in the
	// bucket, below zero for a debt.
	RequestRate float64
	Tokens      float64
	// Nodes is the number of nodes that reported recently.
	Nodes int
}

// Stats returns the figures of the account.
func (a *Account) Stats(now time.Time) AccountStats {
	return AccountStats{Limit: a.limit, RequestRate: a.requestRate.read(now), Tokens: a.bucket.level, Nodes: len(a.reports)}
}
