package admission

import (
	"math"
	"time"
)

const (
	// drainMemory is the time after which a measurement counts for a third.
	drainMemory = time.Second
	// leastEvidence is the measured time below which no rate is given.
	leastEvidence = 10 * time.Millisecond
	// leastDrained is the number of requests below which no rate is given.
	leastDrained = 3
)

// drainMeter measures how fast requests leave a queue while somebody waits. At
// other times the rate of leaving is only the rate of arriving. It is not safe
// for concurrent use.
type drainMeter struct {
	// drained and measured are a count and seconds, fading with time.
	drained  float64
	measured float64
	// standing grows while somebody waits and shrinks while nobody does.
	standing time.Duration
	waiting  bool
	advanced time.Time
}

// mostStanding bounds drainMeter.standing, and so the time after which the end
// of an overload is believed.
const mostStanding = time.Second

// advance brings the measurement up to now and tells whether somebody waits
// from now on.
func (m *drainMeter) advance(waiting bool, now time.Time) {
	elapsed := now.Sub(m.advanced)
	fade := math.Exp(-elapsed.Seconds() / drainMemory.Seconds())
	m.drained *= fade
	m.measured *= fade
	if m.waiting {
		m.measured += elapsed.Seconds()
		m.standing = min(m.standing+elapsed, mostStanding)
	} else {
		m.standing = max(m.standing-elapsed, 0)
	}
	m.waiting = waiting
	m.advanced = now
}

// leave counts a request that left while somebody waited.
func (m *drainMeter) leave() {
	if m.waiting {
		m.drained++
	}
}

// rate returns requests per second as of the last advance; zero if unknown.
func (m *drainMeter) rate() float64 {
	if m.measured < leastEvidence.Seconds() || m.drained < leastDrained {
		return 0
	}
	return m.drained / m.measured
}

// refusalBacklog counts the recently refused requests, of which many are going
// to retry. It is not safe for concurrent use.
type refusalBacklog struct {
	count   float64
	updated time.Time
}

// backlogMemory is the time after which a refused request counts for a third.
const backlogMemory = 5 * time.Second

// add counts one more refusal and returns the number before it.
func (b *refusalBacklog) add(now time.Time) float64 {
	elapsed := now.Sub(b.updated)
	b.updated = now
	before := b.count * math.Exp(-elapsed.Seconds()/backlogMemory.Seconds())
	b.count = before + 1
	return before
}
