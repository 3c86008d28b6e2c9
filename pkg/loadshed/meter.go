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
	// rateSpan is the time over which rates are averaged: it has tens of requests also of a
	// service with few servers, and is short against an overload.
	rateSpan = 500 * time.Millisecond
	// admittedSpan is the time over which what is let in is averaged: long enough for some
	// requests at a time, and short against the growth of the shares.
	admittedSpan = 200 * time.Millisecond
	// forgottenRate is the work a second, in seconds of a server, below which a class is
	// forgotten.
	forgottenRate = 0.001
	// maxClasses bounds the classes that are measured apart.
	maxClasses = 512
)

// Constants that find a shortage of room.
const (
	// tolerableWait is the part of the time to a request's target that it may wait for a
	// server: the rest is for the server's work and for a second try.
	tolerableWait = 0.25
	// noticeableWait is the part of it from which on the shares do not grow: the servers are full.
	noticeableWait = 0.05
	// leastWaiting is how many requests make a queue: at low rates as many wait while one of a
	// service's servers stands still or is found to be lost.
	leastWaiting = 4
	// leastOutgrown is how many judgements in a row have to find too long a queue that grows
	// although servers work, and leastBehind how many too long a queue whatever servers do:
	// one that stands still for some tenths of a second refuses nobody.
	leastOutgrown = 2
	leastBehind   = 5
)

// Constants of how the capacity is found out while there is a shortage.
const (
	// behindPart of what the servers do is let in while the queue is too long, so that it is
	// served.
	behindPart = 0.8
	// greatestFall is the part of the estimated capacity that one judgement leaves at least:
	// answers that a lost server still owes come from the others a little later.
	greatestFall = 0.9
	// usedPart of the estimated capacity is let in before it grows: otherwise other services
	// hold the requests back, and nothing is found out.
	usedPart = 0.6
	// probeGrowth is by how much it grows with each of the first probeTicks judgements without
	// a queue. After that room has most likely come back: growthStep is added to the growth
	// each time, up to greatestGrowth, which is fivefold in nine judgements.
	probeGrowth    = 0.03
	probeTicks     = 3
	growthStep     = 0.15
	greatestGrowth = 0.5
	// starvedPart of what is asked is let in before the capacity grows slowly: servers that
	// take less than that without a queue have mostly come back from an outage.
	starvedPart = 0.25
	// leastShare is let in at least, so that returned room is noticed, and leastCounted is the
	// least share by which a request of a less urgent kind is counted.
	leastShare   = 0.05
	leastCounted = leastShare * leastPart
)

// Backlog is the requests that wait for a server of a service and could still be answered in
// time by it.
type Backlog struct {
	Waiting int
	// Target is the mean time within which they are to be answered; zero for none.
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
	// servedLast is the work done before the last judgement, and queued the work in the queue then.
	servedLast, queued float64
	// servedRate and admittedRate are averages a second.
	servedRate, admittedRate float64
	// meanWork is the work of a request, averaged.
	meanWork float64
	judgedAt time.Time
	// behind counts judgements in a row that found too long a queue, outgrown those of them
	// that found it growing although servers work. withoutQueue counts those since the last
	// queue that found the estimated capacity in use.
	behind, outgrown, withoutQueue int
	// isLimited says that only a part is let in; capacity is what the servers are taken to
	// bear then, and asked what is asked of them, in work a second.
	isLimited       bool
	capacity, asked float64
	shares          Shares
	demands         []Demand
	// judgements counts those since the service is asked for without a break of shareLife.
	judgements int
	// wasForOthers says that this node has asked on behalf of others since the last judgement,
	// and forOthersAt is the last judgement that found so.
	wasForOthers bool
	forOthersAt  time.Time
}

// rate is work a second, and the work since it was averaged last.
type rate struct{ value, pending float64 }

// NewMeter returns a meter that lets everything in.
func NewMeter(now time.Time) *Meter {
	return &Meter{classes: make(map[Class]*rate), judgedAt: now}
}

// Offered is a request that was let in.
type AdmittedRequest struct {
	Class
	// Work is what it takes of a server, and Share the part of the requests like it for which
	// its node took the service to have room.
	Work  time.Duration
	Share float64
	// ForPeers says that this node asks the servers on behalf of others, so that they are to
	// know what it measures.
	ForPeers bool
}

// Offer notes a request that was let in.
func (m *Meter) RecordAdmitted(offered AdmittedRequest) {
	class, work, share := offered.Class, offered.Work, offered.Share
	m.wasForOthers = m.wasForOthers || offered.ForPeers
	if m.classes[class] == nil && len(m.classes) >= maxClasses {
		class.Tenant = ""
	}
	found := m.classes[class]
	if found == nil {
		found = &rate{}
		m.classes[class] = found
	}
	found.pending += work.Seconds() / max(leastCounted, min(share, 1))
	m.offered++
	m.workOffered += work.Seconds()
}

// Serve notes that a server has answered a request that took so much work.
func (m *Meter) RecordServed(work time.Duration) { m.served += work.Seconds() }

// isForOthers reports whether this node has asked on behalf of others lately, so that it sees more
// than its own requests.
func (m *Meter) isForOthers() bool {
	return !m.forOthersAt.IsZero() && m.judgedAt.Sub(m.forOthersAt) <= shareLife
}

// NeedsEvaluation reports whether the shares are to be judged anew.
func (m *Meter) NeedsEvaluation(now time.Time) bool { return now.Sub(m.judgedAt) >= tickSpan }

// Shares returns what is let in by the last judgement, and when that was.
func (m *Meter) Shares() (Shares, time.Time) { return m.shares, m.judgedAt }

// Judge takes the queue of a moment and judges the shares anew.
func (m *Meter) Evaluate(backlog Backlog, now time.Time) {
	elapsed := now.Sub(m.judgedAt).Seconds()
	if elapsed <= 0 {
		return
	}
	m.average(elapsed)
	if now.Sub(m.judgedAt) > shareLife {
		m.judgements = 0
	}
	m.judgedAt = now
	m.judgements++
	if m.wasForOthers {
		m.forOthersAt, m.wasForOthers = now, false
	}
	queued := float64(backlog.Waiting) * m.meanWork
	isWorking, isGrowing := m.servedLast > 0, queued > m.queued
	m.queued = queued
	switch {
	case backlog.Waiting >= leastWaiting && m.waitsFor(queued, tolerableWait*backlog.Target.Seconds()):
		m.behind, m.withoutQueue = m.behind+1, 0
		if isWorking && isGrowing {
			m.outgrown++
		}
	case m.waitsFor(queued, noticeableWait*backlog.Target.Seconds()):
		m.behind, m.outgrown, m.withoutQueue = 0, 0, 0
	case m.isUsed():
		m.behind, m.outgrown, m.withoutQueue = 0, 0, m.withoutQueue+1
	default:
		m.behind, m.outgrown = 0, 0
	}
	m.limit(m.estimate(elapsed))
}

// hasMeasured reports whether the meter can tell if there is room: it has found a shortage, or
// would have by now.
func (m *Meter) hasMeasured() bool { return m.isLimited || m.judgements >= leastBehind }

// average takes what was noted since the last judgement into the rates.
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
	m.servedLast = m.served
	m.offered, m.workOffered, m.served = 0, 0, 0
}

// waitsFor reports whether the last of the queue waits for longer than some seconds.
func (m *Meter) waitsFor(queued, seconds float64) bool {
	return queued > 0 && queued > m.servedRate*seconds
}

// isUsed reports whether the estimated capacity is in use or is nearly what is asked for.
func (m *Meter) isUsed() bool {
	return m.admittedRate >= usedPart*m.capacity || m.capacity >= usedPart*m.asked
}

// growth returns by how much more is let in after a judgement without a queue.
func (m *Meter) growth() float64 {
	if m.withoutQueue > 1 && m.isStarved() {
		return greatestGrowth
	}
	return min(greatestGrowth, max(probeGrowth, growthStep*float64(m.withoutQueue-probeTicks)))
}

// isStarved reports whether so little is let in that servers have mostly come back from an outage
// if there is no queue.
func (m *Meter) isStarved() bool { return m.capacity < starvedPart*m.asked }

// leastCapacity is what servers without a queue can do at least: what they do. One that is
// starved grows faster by itself.
func (m *Meter) leastCapacity() float64 {
	if m.isStarved() {
		return leastShare * m.asked
	}
	return max(m.servedRate, leastShare*m.asked)
}

// estimate estimates the capacity from the queue, and returns the work a second that is to be
// let in by it.
func (m *Meter) estimate(elapsed float64) float64 {
	switch {
	case m.outgrown >= leastOutgrown || m.behind >= leastBehind || m.isLimited && m.behind > 0:
		if m.isLimited {
			m.capacity = max(m.servedRate, greatestFall*m.capacity)
		} else {
			// The average is behind a load that has just begun.
			m.isLimited, m.capacity = true, max(m.servedRate, m.servedLast/elapsed)
		}
		return behindPart * m.capacity
	case m.isLimited && m.queued > 0 && m.withoutQueue == 0:
		// With a queue the servers are busy, so what they do is all that they can do.
		m.capacity = min(m.capacity, max(m.servedRate, greatestFall*m.capacity))
	case m.isLimited && m.withoutQueue > 0 && m.isUsed():
		m.capacity = max(m.capacity, m.leastCapacity()) * (1 + m.growth()*elapsed/tickSpan.Seconds())
	}
	return m.capacity
}

// limit sets the shares by the work a second that is to be let in, while there is a shortage.
func (m *Meter) limit(allowed float64) {
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
