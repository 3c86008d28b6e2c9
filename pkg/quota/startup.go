package quota

import "time"

// startupWindow is what a tenant may use in the first window after its coordinator's process
// started, no matter which coordinator granted it. While processes start, as after a power loss of
// the whole deployment, coordinators may replace each other within moments. Accounts that counted
// only their own grants would grant the same tokens again.
type startupWindow struct {
	startedAt time.Time
	// level is the number of tokens left at the time at. It has no upper bound, since the window
	// bounds it.
	level float64
	at    time.Time
}

// SetProcessStart sets when the process of the coordinator started. Callers set it only within the
// first window after that.
func (a *Account) SetProcessStart(startedAt time.Time) {
	a.startup = startupWindow{startedAt: startedAt, at: startedAt}
}

// isInStartup reports whether the first window after the coordinator's start is still running.
func (a *Account) isInStartup() bool { return !a.startup.startedAt.IsZero() }

// startupRate returns the rate that adds up to the limit of a window within the window.
func (a *Account) startupRate() float64 {
	return a.limit.PerSecond + (a.limit.Burst+targetTolerance*a.bounds.tolerance(a.limit))/a.bounds.Window.Seconds()
}

// settleStartup brings the startupWindow up to the given time. At its end, the bucket keeps no more
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

// seedRequestRate derives the tenant's request rate from the requests that a node received under
// earlier coordinators. Otherwise a new account would admit all requests until enough of them have
// been reported to it. Only a process that has just started reports a higher NewAdmitted than
// NewRequests, and it counts from about the same time as this coordinator.
func (a *Account) seedRequestRate(usage Usage, now time.Time) {
	if usage.NewAdmitted <= int64(usage.NewRequests) {
		return
	}
	age := max(requestRateSpan, now.Sub(a.startup.startedAt))
	a.requestRate.add(float64(usage.Requests-usage.NewRequests)*requestRateSpan.Seconds()/age.Seconds(), now)
}

// spend takes tokens for admitted requests, of which this coordinator granted at most the given
// number.
func (a *Account) spend(admitted, granted float64) {
	granted = min(admitted, granted)
	a.spendBurst(admitted - granted)
	a.bucket.level = max(a.bucket.level-granted, -a.maxDebt())
	a.startup.level -= admitted
}

// grantedRate returns the rate that spends the remaining tokens, or pays back the debt, within
// bucketHorizon.
func (a *Account) grantedRate() float64 {
	perSecond := a.bucket.rate + a.bucket.level/bucketHorizon.Seconds()
	if !a.isInStartup() {
		return perSecond
	}
	return min(perSecond, a.startupRate()+a.startup.level/bucketHorizon.Seconds())
}
