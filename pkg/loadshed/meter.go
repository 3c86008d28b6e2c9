package loadshed

import (
	"math"
	"time"
)

// Constants of the measurement.
const (
	// evaluationInterval is how often shares are judged anew: a few round trips between nodes, and a
	// tenth of the second within which returned room is to be used.
	evaluationInterval = 100 * time.Millisecond
	// rateWindow is the time over which rates are averaged: it has tens of requests also of a
	// service with few servers, and is short against an overload.
	rateWindow = 500 * time.Millisecond
	// admittedWindow is the time over which what is let in is averaged: long enough for some
	// requests at a time, and short against the growth of the shares.
	admittedWindow = 200 * time.Millisecond
	// minClassRate is the work a second, in seconds of a server, below which a class is
	// forgotten.
	minClassRate = 0.001
	// maxClasses bounds the classes that are measured apart.
	maxClasses = 512
)

// Constants that find a shortage of room.
const (
	// tolerableWaitPart is the part of the time to a request's target that it may wait for a
	// server: the rest is for the server's work and for a second try.
	tolerableWaitPart = 0.25
	// noticeableWaitPart is the part of it from which on the shares do not grow: the servers are full.
	noticeableWaitPart = 0.05
	// minQueueLength is how many requests make a queue: at low rates as many wait while one of a
	// service's servers stands still or is found to be lost.
	minQueueLength = 4
	// minGrowingCount is how many judgements in a row have to find too long a queue that grows
	// although servers work, and minOverlongCount how many too long a queue whatever servers do:
	// one that stands still for some tenths of a second refuses nobody.
	minGrowingCount  = 2
	minOverlongCount = 5
)

// Constants of how the capacity is found out while there is a shortage.
const (
	// drainPart of what the servers do is let in while the queue is too long, so that it is
	// served.
	drainPart = 0.8
	// minRetainedPart is the part of the estimated capacity that one judgement leaves at least:
	// answers that a lost server still owes come from the others a little later.
	minRetainedPart = 0.9
	// usedPart of the estimated capacity is let in before it grows: otherwise other services
	// hold the requests back, and nothing is found out.
	usedPart = 0.6
	// probeGrowth is by how much it grows with each of the first probeEvaluations judgements without
	// a queue. After that room has most likely come back: growthStep is added to the growth
	// each time, up to maxGrowth, which is fivefold in nine judgements.
	probeGrowth      = 0.03
	probeEvaluations = 3
	growthStep       = 0.15
	maxGrowth        = 0.5
	// starvedPart of what is asked is let in before the capacity grows slowly: servers that
	// take less than that without a queue have mostly come back from an outage.
	starvedPart = 0.25
	// minAdmittedShare is let in at least, so that returned room is noticed, and minCountedShare is the
	// least share by which a request of a less urgent kind is counted.
	minAdmittedShare = 0.05
	minCountedShare  = minAdmittedShare * guaranteedPart
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
	// offered and served are the requests and the work since the last judgement; admittedWork
	// is the work of those that were let in.
	admitted                 int
	admittedWork, servedWork float64
	// lastServedWork is the work done before the last judgement, and queued the work in the queue then.
	lastServedWork, queuedWork float64
	// servedRate and admittedRate are averages a second.
	servedRate, admittedRate float64
	// meanWork is the work of a request, averaged.
	meanWork    float64
	evaluatedAt time.Time
	// behind counts judgements in a row that found too long a queue, outgrown those of them
	// that found it growing although servers work. noQueueCount counts those since the last
	// queue that found the estimated capacity in use.
	overlongCount, growingCount, noQueueCount int
	// isLimited says that only a part is let in; capacity is what the servers are taken to
	// bear then, and asked what is asked of them, in work a second.
	isLimited             bool
	capacity, totalDemand float64
	shares                Shares
	demands               []Demand
	// judgements counts those since the service is asked for without a break of shareTTL.
	evaluations int
	// wasForPeers says that this node has asked on behalf of others since the last judgement,
	// and forPeersAt is the last judgement that found so.
	wasForPeers bool
	forPeersAt  time.Time
}

// rate is work a second, and the work since it was averaged last.
type rate struct{ value, pending float64 }

// NewMeter returns a meter that lets everything in.
func NewMeter(now time.Time) *Meter {
	return &Meter{classes: make(map[Class]*rate), evaluatedAt: now}
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
func (m *Meter) RecordAdmitted(request AdmittedRequest) {
	class, work, share := request.Class, request.Work, request.Share
	m.wasForPeers = m.wasForPeers || request.ForPeers
	if m.classes[class] == nil && len(m.classes) >= maxClasses {
		class.Tenant = ""
	}
	found := m.classes[class]
	if found == nil {
		found = &rate{}
		m.classes[class] = found
	}
	found.pending += work.Seconds() / max(minCountedShare, min(share, 1))
	m.admitted++
	m.admittedWork += work.Seconds()
}

// Serve notes that a server has answered a request that took so much work.
func (m *Meter) RecordServed(work time.Duration) { m.servedWork += work.Seconds() }

// isForPeers reports whether this node has asked on behalf of others lately, so that it sees more
// than its own requests.
func (m *Meter) isForPeers() bool {
	return !m.forPeersAt.IsZero() && m.evaluatedAt.Sub(m.forPeersAt) <= shareTTL
}

// NeedsEvaluation reports whether the shares are to be judged anew.
func (m *Meter) NeedsEvaluation(now time.Time) bool {
	return now.Sub(m.evaluatedAt) >= evaluationInterval
}

// Shares returns what is let in by the last judgement, and when that was.
func (m *Meter) Shares() (Shares, time.Time) { return m.shares, m.evaluatedAt }

// Judge takes the queue of a moment and judges the shares anew.
func (m *Meter) Evaluate(backlog Backlog, now time.Time) {
	elapsed := now.Sub(m.evaluatedAt).Seconds()
	if elapsed <= 0 {
		return
	}
	m.average(elapsed)
	if now.Sub(m.evaluatedAt) > shareTTL {
		m.evaluations = 0
	}
	m.evaluatedAt = now
	m.evaluations++
	if m.wasForPeers {
		m.forPeersAt, m.wasForPeers = now, false
	}
	queuedWork := float64(backlog.Waiting) * m.meanWork
	isWorking, isGrowing := m.lastServedWork > 0, queuedWork > m.queuedWork
	m.queuedWork = queuedWork
	switch {
	case backlog.Waiting >= minQueueLength && m.waitExceeds(queuedWork, tolerableWaitPart*backlog.Target.Seconds()):
		m.overlongCount, m.noQueueCount = m.overlongCount+1, 0
		if isWorking && isGrowing {
			m.growingCount++
		}
	case m.waitExceeds(queuedWork, noticeableWaitPart*backlog.Target.Seconds()):
		m.overlongCount, m.growingCount, m.noQueueCount = 0, 0, 0
	case m.isCapacityUsed():
		m.overlongCount, m.growingCount, m.noQueueCount = 0, 0, m.noQueueCount+1
	default:
		m.overlongCount, m.growingCount = 0, 0
	}
	m.updateShares(m.estimate(elapsed))
}

// hasMeasured reports whether the meter can tell if there is room: it has found a shortage, or
// would have by now.
func (m *Meter) hasMeasured() bool { return m.isLimited || m.evaluations >= minOverlongCount }

// average takes what was noted since the last judgement into the rates.
func (m *Meter) average(elapsed float64) {
	gain := 1 - math.Exp(-elapsed/rateWindow.Seconds())
	for class, each := range m.classes {
		each.value += gain * (each.pending/elapsed - each.value)
		each.pending = 0
		if each.value < minClassRate {
			delete(m.classes, class)
		}
	}
	m.servedRate += gain * (m.servedWork/elapsed - m.servedRate)
	m.admittedRate += (1 - math.Exp(-elapsed/admittedWindow.Seconds())) * (m.admittedWork/elapsed - m.admittedRate)
	if m.admitted > 0 {
		m.meanWork += gain * (m.admittedWork/float64(m.admitted) - m.meanWork)
	}
	m.lastServedWork = m.servedWork
	m.admitted, m.admittedWork, m.servedWork = 0, 0, 0
}

// waitExceeds reports whether the last of the queue waits for longer than some seconds.
func (m *Meter) waitExceeds(queuedWork, seconds float64) bool {
	return queuedWork > 0 && queuedWork > m.servedRate*seconds
}

// isCapacityUsed reports whether the estimated capacity is in use or is nearly what is asked for.
func (m *Meter) isCapacityUsed() bool {
	return m.admittedRate >= usedPart*m.capacity || m.capacity >= usedPart*m.totalDemand
}

// growth returns by how much more is let in after a judgement without a queue.
func (m *Meter) growth() float64 {
	if m.noQueueCount > 1 && m.isStarved() {
		return maxGrowth
	}
	return min(maxGrowth, max(probeGrowth, growthStep*float64(m.noQueueCount-probeEvaluations)))
}

// isStarved reports whether so little is let in that servers have mostly come back from an outage
// if there is no queue.
func (m *Meter) isStarved() bool { return m.capacity < starvedPart*m.totalDemand }

// minCapacity is what servers without a queue can do at least: what they do. One that is
// starved grows faster by itself.
func (m *Meter) minCapacity() float64 {
	if m.isStarved() {
		return minAdmittedShare * m.totalDemand
	}
	return max(m.servedRate, minAdmittedShare*m.totalDemand)
}

// estimate estimates the capacity from the queue, and returns the work a second that is to be
// let in by it.
func (m *Meter) estimate(elapsed float64) float64 {
	switch {
	case m.growingCount >= minGrowingCount || m.overlongCount >= minOverlongCount || m.isLimited && m.overlongCount > 0:
		if m.isLimited {
			m.capacity = max(m.servedRate, minRetainedPart*m.capacity)
		} else {
			// The average is behind a load that has just begun.
			m.isLimited, m.capacity = true, max(m.servedRate, m.lastServedWork/elapsed)
		}
		return drainPart * m.capacity
	case m.isLimited && m.queuedWork > 0 && m.noQueueCount == 0:
		// With a queue the servers are busy, so what they do is all that they can do.
		m.capacity = min(m.capacity, max(m.servedRate, minRetainedPart*m.capacity))
	case m.isLimited && m.noQueueCount > 0 && m.isCapacityUsed():
		m.capacity = max(m.capacity, m.minCapacity()) * (1 + m.growth()*elapsed/evaluationInterval.Seconds())
	}
	return m.capacity
}

// limit sets the shares by the work a second that is to be let in, while there is a shortage.
func (m *Meter) updateShares(allowedRate float64) {
	if !m.isLimited {
		return
	}
	m.demands = m.demands[:0]
	for class, each := range m.classes {
		m.demands = append(m.demands, Demand{Class: class, Rate: each.value})
	}
	m.totalDemand = sum(m.demands)
	m.shares = Divide(max(allowedRate, minAdmittedShare*m.totalDemand), m.demands)
	if m.shares.IsFull() {
		m.isLimited = false
	}
}
