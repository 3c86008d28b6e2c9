package front

import (
	"sync"
	"time"
)

// overloadQuietPeriod is the time without a refusal after which an overload has ended.
const overloadQuietPeriod = time.Second

// overloadTracker records, by service, since when requests have been refused for lack of capacity.
// It is safe for concurrent use.
type overloadTracker struct {
	mutex sync.Mutex
	// periods is guarded by mutex.
	periods map[string]overloadPeriod
}

// overloadPeriod is the time span of one overload.
type overloadPeriod struct{ startedAt, lastRefusal time.Time }

func newOverloadTracker() *overloadTracker {
	return &overloadTracker{periods: make(map[string]overloadPeriod)}
}

// recordRefusal records the refusal of a request received at receivedAt and returns how long the
// overload has lasted. It is expected to last about as long again: a client that may retry once must
// not run into the same overload.
func (e *overloadTracker) recordRefusal(service string, receivedAt, now time.Time) time.Duration {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	period := e.periods[service]
	if now.Sub(period.lastRefusal) > overloadQuietPeriod {
		period.startedAt = receivedAt
	}
	period.lastRefusal = now
	e.periods[service] = period
	return now.Sub(period.startedAt)
}
