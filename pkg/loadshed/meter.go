package loadshed

import (
	"math"
	"time"
)

// Constants for the measurement.
const (
	// evaluationInterval is how often the shares are computed: a few round trips between nodes, and
	// a tenth of the second within which returned capacity has to be used.
	evaluationInterval = 100 * time.Millisecond
	// rateWindow is the time over which rates are averaged: it covers tens of requests even for a
	// service with few servers, and is short compared to an overload.
	rateWindow = 500 * time.Millisecond
	// admittedWindow is the time over which the admitted work is averaged: long enough to cover
	// several requests, and short compared to the growth of the shares.
	admittedWindow = 200 * time.Millisecond
	// minClassRate is the rate, in server seconds a second, below which a class is removed.
	minClassRate = 0.001
	// maxClasses bounds the classes that are measured separately. The requests of further tenants
	// count as requests without a tenant.
	maxClasses = 512
)

// Constants for detecting an overload.
const (
	// tolerableWaitPart is the part of its target time that a request may wait for a server: the
	// rest is for the server's work and for a second try.
	tolerableWaitPart = 0.25
	// noticeableWaitPart is the part of the target time from which on the shares do not grow, since
	// the servers are fully used.
	noticeableWaitPart = 0.05
	// minQueueLength is how many waiting requests count as an overlong queue: at low rates that
	// many may wait while one server of a service pauses, or until it is found to be lost.
	minQueueLength = 4
	// minGrowingCount is how many evaluations have to find an overlong queue that grows although
	// the servers work, and minOverlongCount how many in a row have to find an overlong queue
	// whatever the servers do, before the load is limited: a pause of the servers for some tenths
	// of a second must not cause refusals.
	minGrowingCount  = 2
	minOverlongCount = 5
)

// Constants for estimating the capacity during an overload.
const (
	// drainPart is the part of the estimated capacity that is admitted while the queue is overlong,
	// so that the queue drains.
	drainPart = 0.8
	// minRetainedPart is the minimum part of the estimated capacity that remains after one
	// evaluation: when a server is lost, the answers still expected from it come from the other
	// servers a little later, so that less work is done for a moment.
	minRetainedPart = 0.9
	// usedPart is the part of the estimated capacity that has to be in use before the estimate
	// grows: with less, other services hold the requests back, and the load shows nothing about the
	// capacity.
	usedPart = 0.6
	// probeGrowth is the relative growth of the estimate in each of the first probeEvaluations
	// evaluations without a queue. After that, capacity has most likely returned: growthStep is
	// added to the growth each time, up to maxGrowth, which makes a factor of five in nine
	// evaluations.
	probeGrowth      = 0.03
	probeEvaluations = 3
	growthStep       = 0.15
	maxGrowth        = 0.5
	// starvedPart is the part of the demand below which the estimate grows by maxGrowth from the
	// second evaluation without a queue on: servers that get so little and have no queue have
	// mostly returned from an outage.
	starvedPart = 0.25
	// minAdmittedShare is the part of the demand that is always admitted, so that returned capacity
	// is noticed. minCountedShare is the minimum share by which the work of a request is divided to
	// get the demand: less urgent requests may have this share.
	minAdmittedShare = 0.05
	minCountedShare  = minAdmittedShare * guaranteedPart
)

// Backlog describes the requests that wait for a server of a service and could still be answered
// in time by it.
type Backlog struct {
	Waiting int
	// Target is the mean target time of these requests; zero if there is none.
	Target time.Duration
}

// Meter measures one load and the work that the servers do for it. Work is counted in server
// seconds. It is not safe for concurrent use.
type Meter struct {
	// classes holds the rates of requested work, including the requests that shares refused.
	classes map[Class]*rate
	// admitted and admittedWork are the number and the work of the requests that were admitted
	// since the last evaluation, and servedWork is the work that servers have done since then.
	admitted                 int
	admittedWork, servedWork float64
	// lastServedWork is the work that was done in the interval before the last evaluation, and
	// queuedWork the work in the queue at the last evaluation.
	lastServedWork, queuedWork float64
	// servedRate and admittedRate are averages, in work a second.
	servedRate, admittedRate float64
	// meanWork is the average work of a request.
	meanWork    float64
	evaluatedAt time.Time
	// overlongCount counts the consecutive evaluations that found an overlong queue, growingCount
	// those among them that found it growing although the servers work. noQueueCount counts the
	// evaluations since the last queue that found the estimated capacity in use.
	overlongCount, growingCount, noQueueCount int
	// isLimited is set while only a part of the requests is admitted; capacity is then the
	// estimated capacity of the servers, and totalDemand what is requested of them, in work a
	// second.
	isLimited             bool
	capacity, totalDemand float64
	shares                Shares
	demands               []Demand
	// evaluations counts the evaluations since the service was last without requests for longer
	// than shareTTL.
	evaluations int
	// wasForPeers is set if this node has queried the servers on behalf of other nodes since the
	// last evaluation, and forPeersAt is the time of the last evaluation that found it set.
	wasForPeers bool
	forPeersAt  time.Time
}

// rate is an average in work a second, and the work since the average was last updated.
type rate struct{ value, pending float64 }

// NewMeter returns a meter whose shares admit everything.
func NewMeter(now time.Time) *Meter {
	return &Meter{classes: make(map[Class]*rate), evaluatedAt: now}
}

// AdmittedRequest describes a request that was admitted.
type AdmittedRequest struct {
	Class
	// Work is the server time that it needs, and Share the part of the requests like it that its
	// node admitted for the service.
	Work  time.Duration
	Share float64
	// ForPeers is set if this node queries the servers on behalf of other nodes, so that its
	// measurements have to be sent to them.
	ForPeers bool
}

// RecordAdmitted records a request that was admitted.
func (m *Meter) RecordAdmitted(request AdmittedRequest) {
	class, work, share := request.Class, request.Work, request.Share
	m.wasForPeers = m.wasForPeers || request.ForPeers
	if m.classes[class] == nil && len(m.classes) >= maxClasses {
		class.Tenant = ""
	}
	classRate := m.classes[class]
	if classRate == nil {
		classRate = &rate{}
		m.classes[class] = classRate
	}
	classRate.pending += work.Seconds() / max(minCountedShare, min(share, 1))
	m.admitted++
	m.admittedWork += work.Seconds()
}

// RecordServed records that a server has answered a request that needed the given work.
func (m *Meter) RecordServed(work time.Duration) { m.servedWork += work.Seconds() }

// isForPeers reports whether this node has recently queried the servers on behalf of other nodes,
// so that it sees more than its own requests.
func (m *Meter) isForPeers() bool {
	return !m.forPeersAt.IsZero() && m.evaluatedAt.Sub(m.forPeersAt) <= shareTTL
}

// NeedsEvaluation reports whether evaluationInterval has passed since the last evaluation.
func (m *Meter) NeedsEvaluation(now time.Time) bool {
	return now.Sub(m.evaluatedAt) >= evaluationInterval
}

// Shares returns the shares from the last evaluation and the time of that evaluation.
func (m *Meter) Shares() (Shares, time.Time) { return m.shares, m.evaluatedAt }

// Evaluate computes the shares from the backlog at now and from what was recorded since the last
// evaluation.
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

// hasMeasured reports whether the shares are meaningful: the meter has detected an overload, or
// would have done so by now.
func (m *Meter) hasMeasured() bool { return m.isLimited || m.evaluations >= minOverlongCount }

// average updates the rates with what was recorded in the elapsed seconds since the last
// evaluation.
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

// waitExceeds reports whether the last request in the queue has to wait longer than the given
// seconds.
func (m *Meter) waitExceeds(queuedWork, seconds float64) bool {
	return queuedWork > 0 && queuedWork > m.servedRate*seconds
}

// isCapacityUsed reports whether the estimated capacity is in use or is close to the demand.
func (m *Meter) isCapacityUsed() bool {
	return m.admittedRate >= usedPart*m.capacity || m.capacity >= usedPart*m.totalDemand
}

// growth returns the relative growth of the capacity estimate after an evaluation without a queue.
func (m *Meter) growth() float64 {
	if m.noQueueCount > 1 && m.isStarved() {
		return maxGrowth
	}
	return min(maxGrowth, max(probeGrowth, growthStep*float64(m.noQueueCount-probeEvaluations)))
}

// isStarved reports whether so little is admitted that servers without a queue have mostly returned
// from an outage.
func (m *Meter) isStarved() bool { return m.capacity < starvedPart*m.totalDemand }

// minCapacity returns a lower bound of the capacity of servers without a queue: the work that they
// do. A starved service does without this bound, since its estimate grows faster anyway.
func (m *Meter) minCapacity() float64 {
	if m.isStarved() {
		return minAdmittedShare * m.totalDemand
	}
	return max(m.servedRate, minAdmittedShare*m.totalDemand)
}

// estimate updates the capacity estimate from the queue and returns the rate to admit, in work a
// second.
func (m *Meter) estimate(elapsed float64) float64 {
	switch {
	case m.growingCount >= minGrowingCount || m.overlongCount >= minOverlongCount || m.isLimited && m.overlongCount > 0:
		if m.isLimited {
			m.capacity = max(m.servedRate, minRetainedPart*m.capacity)
		} else {
			// The average lags behind a load that has just begun.
			m.isLimited, m.capacity = true, max(m.servedRate, m.lastServedWork/elapsed)
		}
		return drainPart * m.capacity
	case m.isLimited && m.queuedWork > 0 && m.noQueueCount == 0:
		// With a queue the servers are fully used, so that the work they do is their capacity.
		m.capacity = min(m.capacity, max(m.servedRate, minRetainedPart*m.capacity))
	case m.isLimited && m.noQueueCount > 0 && m.isCapacityUsed():
		m.capacity = max(m.capacity, m.minCapacity()) * (1 + m.growth()*elapsed/evaluationInterval.Seconds())
	}
	return m.capacity
}

// updateShares computes the shares from the rate to admit, in work a second, while the load is
// limited.
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
