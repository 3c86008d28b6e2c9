package rhythm

import "time"

// Constants for the period that servers share.
const (
	// maxIntervals is how many intervals between pauses are kept for comparison with new ones.
	maxIntervals = 16
	// maxMultiple is how many periods the longer of two compared intervals may span: a pause during
	// which no request is sent is not seen.
	maxMultiple = 2
	// periodLifetime is the number of periods for which a shared period or an interval is used after
	// it was last confirmed.
	periodLifetime = 10
)

// SharedPeriod learns the period of pauses that the servers of a node have in common: servers of
// one program pause with the same period, each with a phase of its own. The zero value has no
// period. It is not safe for concurrent use.
type SharedPeriod struct {
	intervals [maxIntervals]interval
	next      int
	// serverCount counts the servers that have shown an interval; they are numbered from 1 in the
	// order of their first interval.
	serverCount int
	// period is the period that was last confirmed, at confirmedAt; zero if there is none.
	period      time.Duration
	confirmedAt time.Time
	// pauseLength is the expected length of a pause.
	pauseLength time.Duration
}

// interval is the time between two pauses of a server.
type interval struct {
	server int
	length time.Duration
	seenAt time.Time
}

// addInterval stores an interval, in place of the oldest one.
func (p *SharedPeriod) addInterval(server *Server, length time.Duration, now time.Time) {
	if server.number == 0 {
		p.serverCount++
		server.number = p.serverCount
	}
	p.intervals[p.next] = interval{server: server.number, length: length, seenAt: now}
	p.next = (p.next + 1) % maxIntervals
}

// periodWith returns the period that an interval has in common with a recent interval of another
// server, and whether there is one.
func (p *SharedPeriod) periodWith(server *Server, length time.Duration, now time.Time) (time.Duration, bool) {
	for _, each := range p.intervals {
		if each.server == 0 || each.server == server.number || now.Sub(each.seenAt) > periodLifetime*each.length {
			continue
		}
		if period, ok := commonPeriod(length, each.length); ok {
			return period, true
		}
	}
	return 0, false
}

// confirm stores a period that was shown by two intervals or by a pause at the predicted time.
func (p *SharedPeriod) confirm(period time.Duration, now time.Time) {
	p.period, p.confirmedAt = period, now
}

// current returns the shared period, or zero if there is none or it was not confirmed recently.
func (p *SharedPeriod) current(now time.Time) time.Duration {
	if p.period == 0 || now.Sub(p.confirmedAt) > periodLifetime*p.period {
		return 0
	}
	return p.period
}

// commonPeriod returns the period of two intervals if the longer one is a multiple of the shorter
// one, up to maxMultiple. It is the mean of the shorter interval and of the longer one divided by
// the multiple.
func commonPeriod(one, other time.Duration) (time.Duration, bool) {
	shorter, longer := min(one, other), max(one, other)
	if shorter < minPeriod {
		return 0, false
	}
	count, remainder, ok := nearestMultiple(longer, shorter)
	return shorter + remainder/time.Duration(2*max(count, 1)), ok && count <= maxMultiple
}

// nearestMultiple returns the nearest number of periods in elapsed and the remainder, which may be
// negative. It reports false if the number is zero or the remainder exceeds the tolerance.
func nearestMultiple(elapsed, period time.Duration) (int, time.Duration, bool) {
	count := int((elapsed + period/2) / period)
	remainder := elapsed - time.Duration(count)*period
	return count, remainder, count >= 1 && remainder.Abs() <= tolerance
}
