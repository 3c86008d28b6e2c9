package loadshed

import (
	"math"
	"time"
)

// Constants of the measurement.
const (
	// tickSpan is how often shares are judged anew: a few round trips between nodes, and a
	// tenth of the second within which returned room is to be used.
	tickSpan = 100 * time.Millisecond
	// rateSpan is the time over which rates are averaged: some twenty requests of a region
	// at the rates at which a service of three servers is full.
	rateSpan = 500 * time.Millisecond
	// tolerableWait is the part of the time to a request's target that it may wait for a
	// server: the rest is for the server's work and for a second try.
	tolerableWait = 0.25
	// leastBehind is how many judgements in a row have to find too long a wait, so that one
	// server that stands still for a moment refuses nobody.
	leastBehind = 3
	// behindPart of what the servers do is let in while the queue is too long, so that it is
	// served.
	behindPart = 0.85
	// greatestFall bounds how fast the estimated capacity falls: answers that a lost server
	// still owes come from the others a little later.
	greatestFall = 0.9
	// probeGrowth is by how much more is let in with each of the first probeTicks judgements
	// without a queue, which finds the capacity out. After that room has come back, and
	// growthStep is added to the growth each time: in nine judgements it is fourfold.
	// admittedSpan is the time over which what is let in is averaged: long enough for some
	// requests at a time, and short against the growth.
	admittedSpan = 200 * time.Millisecond
	// usedPart of the estimated capacity is let in before more is let in: otherwise other
	// services hold the requests back, and nothing is found out.
	usedPart       = 0.6
	probeGrowth    = 0.03
	probeTicks     = 3
	growthStep     = 0.1
	greatestGrowth = 0.5
	// starvedPart of what is asked is let in before more is added carefully: servers that take
	// less than that without a queue have mostly come back from an outage.
	starvedPart = 0.25
	// leastShare is let in at least, so that returned room is noticed.
	leastShare = 0.05
	// forgottenRate is the work a second below which a class is forgotten, 1 ms.
	forgottenRate = 0.001
	// maxClasses bounds the classes that are measured apart.
	maxClasses = 512
)

// Backlog is the requests that wait for a server of a service and could still be answered in
// time by it.
type Backlog struct {
	Waiting int
	// Target is the mean time within which their answers are of full value; zero for none.
	Target time.Duration
}

// Meter measures the load of one service and what its servers do.
type Meter struct {
	// classes are the rates at which work is asked for, as it would be without shares.
	classes map[Class]*rate
	// offered and served are the requests and the work since the last judgement; workOffered
	// is the work of those that were let in.
	offered             int
	workOffered, served float64
	// servedRate and admittedRate are averages a second.
	servedRate, admittedRate float64
	// meanWork is the work of a request, averaged.
	meanWork float64
	judgedAt time.Time
	// behind counts judgements in a row that found too long a queue, calm those that did not.
	behind, calm int
	// isLimited says that only a part is let in; capacity is what the servers are taken to
	// bear then, and asked what is asked of them, in work a second.
	isLimited       bool
	capacity, asked float64
	shares          Shares
	demands         []Demand
}

// rate is work a second, and the work since it was averaged last.
type rate struct{ value, pending float64 }

// NewMeter returns a meter that lets everything in.
func NewMeter(now time.Time) *Meter {
	return &Meter{classes: make(map[Class]*rate), judgedAt: now}
}

// Offer notes a request that was let in with a share, and the work of a server that it takes.
func (m *Meter) Offer(class Class, work time.Duration, share float64) {
	found := m.classes[class]
	if found == nil {
		if len(m.classes) >= maxClasses {
			class.Tenant = ""
			found = m.classes[class]
		}
		if found == nil {
			found = &rate{}
			m.classes[class] = found
		}
	}
	found.pending += work.Seconds() / max(leastShare/2, min(share, 1))
	m.offered++
	m.workOffered += work.Seconds()
}

// Serve notes that a server has answered a request that took so much work.
func (m *Meter) Serve(work time.Duration) { m.served += work.Seconds() }

// IsDue reports whether the shares are to be judged anew.
func (m *Meter) IsDue(now time.Time) bool { return now.Sub(m.judgedAt) >= tickSpan }

// Shares returns what is let in by the last judgement, and when that was.
func (m *Meter) Shares() (Shares, time.Time) { return m.shares, m.judgedAt }

// Judge takes the queue of a moment and judges the shares anew.
func (m *Meter) Judge(backlog Backlog, now time.Time) {
	elapsed := now.Sub(m.judgedAt).Seconds()
	if elapsed <= 0 {
		return
	}
	m.average(elapsed)
	m.judgedAt = now
	queued := float64(backlog.Waiting) * m.meanWork
	switch {
	case m.isBehind(queued, backlog.Target):
		m.behind, m.calm = m.behind+1, 0
	case m.isUsed():
		m.behind, m.calm = 0, m.calm+1
	default:
		m.behind, m.calm = 0, min(m.calm, probeTicks)
	}
	m.limit(elapsed)
}

// average moves what was noted since the last judgement into the rates.
func (m *Meter) average(elapsed float64) {
	gain := 1 - math.Exp(-elapsed/rateSpan.Seconds())
	for class, each := range m.classes {
		each.value += gain * (each.pending/elapsed - each.value)
		each.pending = 0
		if each.value < forgottenRate {
			delete(m.classes, class)
		}
	}
	m.servedRate += gain * (m.served/elapsed - m.servedRate)
	m.admittedRate += (1 - math.Exp(-elapsed/admittedSpan.Seconds())) * (m.workOffered/elapsed - m.admittedRate)
	if m.offered > 0 {
		m.meanWork += gain * (m.workOffered/float64(m.offered) - m.meanWork)
	}
	m.offered, m.workOffered, m.served = 0, 0, 0
}

// isBehind reports whether the last of the queue waits for longer than is tolerable.
func (m *Meter) isBehind(queued float64, target time.Duration) bool {
	return queued > 0 && target > 0 && queued > m.servedRate*tolerableWait*target.Seconds()
}

// isUsed reports whether the estimated capacity is in use or is nearly what is asked for.
func (m *Meter) isUsed() bool {
	return m.admittedRate >= usedPart*m.capacity || m.capacity >= usedPart*m.asked
}

// growth returns by how much more is let in after a judgement without a queue.
func (m *Meter) growth() float64 {
	if m.calm > 1 && m.capacity < starvedPart*m.asked {
		return greatestGrowth
	}
	return min(greatestGrowth, max(probeGrowth, growthStep*float64(m.calm-probeTicks)))
}

// limit sets the shares by the queue.
func (m *Meter) limit(elapsed float64) {
	allowed := m.capacity
	switch {
	case m.behind >= leastBehind || m.isLimited && m.behind > 0:
		if m.isLimited {
			m.capacity = max(m.servedRate, greatestFall*m.capacity)
		} else {
			m.isLimited, m.capacity = true, m.servedRate
		}
		allowed = behindPart * m.capacity
	case m.isLimited && m.isUsed():
		m.capacity = max(m.capacity, leastShare*m.asked) * (1 + m.growth()*elapsed/tickSpan.Seconds())
		allowed = m.capacity
	}
	if !m.isLimited {
		return
	}
	m.demands = m.demands[:0]
	for class, each := range m.classes {
		m.demands = append(m.demands, Demand{Class: class, Rate: each.value})
	}
	m.asked = sum(m.demands)
	m.shares = Divide(max(allowed, leastShare*m.asked), m.demands)
	if m.shares.IsFull() {
		m.isLimited = false
	}
}
