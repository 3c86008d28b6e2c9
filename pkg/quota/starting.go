package quota

import "time"

// startingWindow is what a tenant may use in the first window after its coordinator's process started, granted by
// whatever coordinator. While processes start, as after a loss of all power, one coordinator may follow the other within
// moments: accounts that counted only what they granted themselves would grant the same again.
type startingWindow struct {
	startedAt time.Time
	// level is what is left at a moment. It has no greatest value, since the window bounds it.
	level float64
	at    time.Time
}

// SetProcessStart takes when the process of the coordinator started, if that was within a window.
func (a *Account) SetProcessStart(startedAt time.Time) {
	a.starting = startingWindow{startedAt: startedAt, at: startedAt}
}

// isStarting reports whether the window after the coordinator's start has not passed.
func (a *Account) isStarting() bool { return !a.starting.startedAt.IsZero() }

// startingRate returns the rate that makes the limit of a window within it.
func (a *Account) startingRate() float64 {
	return a.limit.PerSecond + (a.limit.Burst+aimedRoom*a.bounds.room(a.limit))/a.bounds.Window.Seconds()
}

// settleStarting brings the startingWindow up to a moment. When it has passed, the bucket keeps no more of its
// burst than the window has left.
func (a *Account) settleStarting(now time.Time) {
	if !a.isStarting() {
		return
	}
	if passed := now.Sub(a.starting.at).Seconds(); passed > 0 {
		a.starting.level += passed * a.startingRate()
		a.starting.at = now
	}
	if now.Sub(a.starting.startedAt) > a.bounds.Window {
		a.bucket.level = min(a.bucket.level, max(0, a.starting.level))
		a.starting = startingWindow{}
	}
}

// expect takes what a node was asked under earlier coordinators for its rate from now on. Otherwise a new account
// would admit all requests until it has heard of enough of them itself. Only a process that has just started reports more
// as newly admitted than as newly asked, and counts from about the same moment as this one.
func (a *Account) expect(use Usage, now time.Time) {
	if use.NewAdmitted <= int64(use.NewRequests) {
		return
	}
	age := max(askedSpan, now.Sub(a.starting.startedAt))
	a.asked.add(float64(use.Requests-use.NewRequests)*askedSpan.Seconds()/age.Seconds(), now)
}

// spend takes requests that were admitted, at most granted of them by this coordinator.
func (a *Account) spend(admitted, granted float64) {
	granted = min(admitted, granted)
	a.spendBurst(admitted - granted)
	a.bucket.level = max(a.bucket.level-granted, -a.debt())
	a.starting.level -= admitted
}

// granted returns the rate by which what is left is used up, or made up for, within the horizon.
func (a *Account) granted() float64 {
	granted := a.bucket.rate + a.bucket.level/horizon.Seconds()
	if !a.isStarting() {
		return granted
	}
	return min(granted, a.startingRate()+a.starting.level/horizon.Seconds())
}
