package loadshed

import (
	"sync"
	"time"
)

// Constants for the messages to all nodes.
const (
	// significantChange is the relative change of a share that is published without waiting for
	// republishInterval: a service can tolerate smaller differences for a moment.
	significantChange = 0.2
	// minPublishInterval is the minimum time between two messages to all nodes, so that their number
	// does not grow with the load. republishInterval is how often shares are repeated while a load
	// is limited.
	minPublishInterval = 200 * time.Millisecond
	republishInterval  = 500 * time.Millisecond
)

// Queues reports which requests wait for servers; *fleet.Fleet implements it.
type Queues interface {
	// Backlog returns the requests of a load that wait for a server at now.
	Backlog(key Key, now time.Time) Backlog
}

// Measurement holds the shares of one load and when they were computed.
type Measurement struct {
	Key
	Shares     Shares
	MeasuredAt time.Time
}

// Meters holds the meters of the loads whose servers this node queries, for itself or on behalf of
// other nodes. Evaluations run when requests are recorded: without requests nothing changes. It is
// safe for concurrent use.
type Meters struct {
	queues   Queues
	admitter *Admitter

	mutex sync.Mutex
	// The fields below are guarded by mutex.
	// publish sends measurements to all nodes; nil if there are no others.
	publish func([]Measurement)
	meters  map[Key]*Meter
	// lastPublished holds the shares that were last sent to all nodes, and publishedAt the time of
	// the last message.
	lastPublished map[Key]Shares
	publishedAt   time.Time
}

// NewMeters returns meters that also store their results in this node's own admitter.
func NewMeters(queues Queues, admitter *Admitter) *Meters {
	return &Meters{queues: queues, admitter: admitter, meters: make(map[Key]*Meter), lastPublished: make(map[Key]Shares)}
}

// SetPublisher sets the function that sends measurements to all nodes. It is called with a lock
// held and must not block.
func (m *Meters) SetPublisher(publish func([]Measurement)) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.publish = publish
}

// RecordAdmitted records a request that was admitted. It evaluates the load if that is necessary,
// stores the result in the admitter and publishes changes.
func (m *Meters) RecordAdmitted(key Key, request AdmittedRequest, now time.Time) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	meter := m.meters[key]
	if meter == nil {
		meter = NewMeter(now)
		m.meters[key] = meter
	}
	meter.RecordAdmitted(request)
	if !meter.NeedsEvaluation(now) {
		return
	}
	meter.Evaluate(m.queues.Backlog(key, now), now)
	if !meter.hasMeasured() {
		return
	}
	shares, _ := meter.Shares()
	if !meter.isForPeers() {
		m.admitter.UpdateLocal(key, shares, now)
		return
	}
	m.admitter.Update(key, shares, now)
	if m.publish != nil {
		m.publishIfChanged(now)
	}
}

// RecordServed records that a server has answered a request of a load.
func (m *Meters) RecordServed(key Key, work time.Duration) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if meter := m.meters[key]; meter != nil {
		meter.RecordServed(work)
	}
}

// CurrentShares returns the shares of a load and when they were computed. They are full if the load
// is not measured here or had no requests recently.
func (m *Meters) CurrentShares(key Key, now time.Time) (Shares, time.Time) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	meter := m.meters[key]
	if meter == nil || now.Sub(meter.evaluatedAt) > shareTTL {
		return Shares{}, now
	}
	return meter.Shares()
}

// Measurement returns the shares of a load, and whether this node has measured them recently. A
// node that has just begun to query the servers has no measurement: other nodes may know more.
func (m *Meters) Measurement(key Key, now time.Time) (Measurement, bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.measurement(key, now)
}

// measurement implements Measurement. The mutex must be held.
func (m *Meters) measurement(key Key, now time.Time) (Measurement, bool) {
	meter := m.meters[key]
	if meter == nil || now.Sub(meter.evaluatedAt) > shareTTL || !meter.hasMeasured() {
		return Measurement{}, false
	}
	shares, at := meter.Shares()
	return Measurement{Key: key, Shares: shares, MeasuredAt: at}, true
}

// publishIfChanged publishes the shares if they have changed significantly, or if a load is limited
// and republishInterval has passed. The mutex must be held.
func (m *Meters) publishIfChanged(now time.Time) {
	sinceLast := now.Sub(m.publishedAt)
	if sinceLast < minPublishInterval {
		return
	}
	isChanged, isLimited := false, false
	for key, each := range m.meters {
		measured, ok := m.measurement(key, now)
		if !ok {
			// The shares that were last published have expired at the receivers.
			delete(m.lastPublished, key)
		}
		if !ok || !each.isForPeers() {
			continue
		}
		isChanged = isChanged || measured.Shares.differsFrom(m.lastPublished[key], significantChange)
		isLimited = isLimited || !measured.Shares.IsFull()
	}
	if !isChanged && (!isLimited || sinceLast < republishInterval) {
		return
	}
	var message []Measurement
	for key, each := range m.meters {
		measured, ok := m.measurement(key, now)
		if !ok || !each.isForPeers() || measured.Shares.IsFull() && m.lastPublished[key].IsFull() {
			continue
		}
		message = append(message, measured)
		m.lastPublished[key] = measured.Shares
	}
	m.publishedAt = now
	m.publish(message)
}

// Sweep removes the meters of loads that have no requests any more. It has to be called about every
// second.
func (m *Meters) Sweep(now time.Time) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for key, each := range m.meters {
		if now.Sub(each.evaluatedAt) > 2*shareTTL {
			delete(m.meters, key)
			delete(m.lastPublished, key)
		}
	}
}
