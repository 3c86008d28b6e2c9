package quota

import "time"

// startupWindow is what a tenant may use in the first window after its coordinator's process started, granted by
// whatever coordinator. While processes start, as after a loss of all power, one coordinator may follow the other within
// moments: accounts that counted only what they granted themselves would grant the same again.
type startupWindow struct {
	startedAt time.Time
	// level is what is left at a moment. It has no greatest value, since the window bounds it.
	level float64
	at    time.Time
}

// SetProcessStart takes when the process of the coordinator started, if that was within a window.
func (a *Account) SetProcessStart(startedAt time.Time) {
	a.startup = startupWindow{startedAt: startedAt, at: startedAt}
}

// isInStartup reports whether the window after the coordinator's start has not passed.
func (a *Account) isInStartup() bool { return !a.startup.startedAt.IsZero() }

// startupRate returns the rate that makes the limit of a window within it.
func (a *Account) startupRate() float64 {
	return a.limit.PerSecond + (a.limit.Burst+targetTolerance*a.bounds.tolerance(a.limit))/a.bounds.Window.Seconds()
}

// settleStartup brings the startupWindow up to a moment. When it has passed, the bucket keeps no more of its
// burst than the window has left.
func (a *Account) settleStartup(now time.Time) {
	if !a.isInStartup() {
		return
	}
	if passed := now.Sub(a.startup.at).Seconds(); passed > 0 {
		a.startup.level += passed * a.startupRate()
		a.startup.at = now
	}
	if now.Sub(a.startup.startedAt) > a.bounds.Window {
		a.bucket.level = min(a.bucket.level, max(0, a.startup.level))
		a.startup = startupWindow{}
	}
}

// expect takes what a node was asked under earlier coordinators for its rate from now on. Otherwise a new account
// would admit all requests until it has heard of enough of them itself. Only a process that has just started reports more
// as newly admitted than as newly asked, and counts from about the same moment as this one.
func (a *Account) seedRequestRate(usage Usage, now time.Time) {
	if usage.NewAdmitted <= int64(usage.NewRequests) {
		return
	}
	age := max(requestRateSpan, now.Sub(a.startup.startedAt))
	a.requestRate.add(float64(usage.Requests-usage.NewRequests)*requestRateSpan.Seconds()/age.Seconds(), now)
}

// spend takes requests that were admitted, at most granted of them by this coordinator.
func (a *Account) spend(admitted, granted float64) {
	granted = min(admitted, granted)
	a.spendBurst(admitted - granted)
	a.bucket.level = max(a.bucket.level-granted, -a.maxDebt())
	a.startup.level -= admitted
}

// granted returns the rate by which what is left is used up, or made up for, within the horizon.
func (a *Account) grantedRate() float64 {
	perSecond := a.bucket.rate + a.bucket.level/bucketHorizon.Seconds()
	if !a.isInStartup() {
		return perSecond
	}
	return min(perSecond, a.startupRate()+a.startup.level/bucketHorizon.Seconds())
}
