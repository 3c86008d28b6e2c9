package rhythm

import "time"

// Bounds of what servers have in common.
const (
	// maxIntervals is how many intervals between pauses are kept to compare others with.
	maxIntervals = 16
	// maxMultiple is how many periods the longer of two intervals may have: a pause that meets
	// no request is not seen.
	maxMultiple = 2
	// periodLifetime is for how many periods one is used for further servers after it was
	// last seen.
	periodLifetime = 10
)

// Periods is what the servers that a node asks have in common: servers of one program
// have one period, each with a phase of its own. The zero value knows nothing.
type SharedPeriod struct {
	intervals [maxIntervals]interval
	next      int
	// servers counts those that have shown an interval; a server's number is its place among them.
	serverCount int
	// period is the one that was confirmed last, at confirmedAt; zero if none was.
	period      time.Duration
	confirmedAt time.Time
	// length is how long pauses last.
	pauseLength time.Duration
}

// interval is the time between two pauses of a server.
type interval struct {
	server int
	length time.Duration
	seenAt time.Time
}

// note keeps an interval.
func (p *SharedPeriod) addInterval(server *Server, length time.Duration, now time.Time) {
	if server.number == 0 {
		p.serverCount++
		server.number = p.serverCount
	}
	p.intervals[p.next] = interval{server: server.number, length: length, seenAt: now}
	p.next = (p.next + 1) % maxIntervals
}

// periodWith returns the period that an interval has in common with one of another server.
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

// confirm takes a period that two intervals or a pause that came in time have shown.
func (p *SharedPeriod) confirm(period time.Duration, now time.Time) {
	p.period, p.confirmedAt = period, now
}

// current returns the period in common; zero if there is none.
func (p *SharedPeriod) current(now time.Time) time.Duration {
	if p.period == 0 || now.Sub(p.confirmedAt) > periodLifetime*p.period {
		return 0
	}
	return p.period
}

// common returns the period that two intervals share, if the longer is a small multiple of
// the shorter: the mean of the shorter and of the period by which the longer is that multiple.
func commonPeriod(one, other time.Duration) (time.Duration, bool) {
	shorter, longer := min(one, other), max(one, other)
	if shorter < minPeriod {
		return 0, false
	}
	count, remainder, ok := nearestMultiple(longer, shorter)
	return shorter + remainder/time.Duration(2*max(count, 1)), ok && count <= maxMultiple
}

// multiple returns how many periods an interval has and the rest, which may be below zero. It
// reports false if that is none, or if the rest is more than the tolerance.
func nearestMultiple(elapsed, period time.Duration) (int, time.Duration, bool) {
	count := int((elapsed + period/2) / period)
	remainder := elapsed - time.Duration(count)*period
	return count, remainder, count >= 1 && remainder.Abs() <= tolerance
}
