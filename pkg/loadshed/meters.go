package loadshed

import (
	"sync"
	"time"
)

// Constants of what is told.
const (
	// significantChange is the part by which a share has to change to be told before its time: less
	// than that is within what a service can bear for a moment.
	significantChange = 0.2
	// minPublishInterval is the least time between two messages to all nodes, so that they do not
	// grow with the load; republishInterval is how often shares are told again while they matter.
	minPublishInterval = 200 * time.Millisecond
	republishInterval  = 500 * time.Millisecond
)

// Queues tells which requests wait for servers; *fleet.Fleet implements it.
type Queues interface {
	// Backlog returns those of a load that wait for a service at a moment.
	Backlog(key Key, now time.Time) Backlog
}

// Measured are the shares of one load.
type Measurement struct {
	Key
	Shares     Shares
	MeasuredAt time.Time
}

// Meters are the meters of the services whose servers this node asks, for itself or on behalf
// of others. The requests that come drive them: without requests nothing changes.
type Meters struct {
	queues   Queues
	admitter *Admitter

	mutex sync.Mutex
	// The fields below are guarded by mutex.
	// tell takes what all nodes are to be told; nil where there are none.
	publish func([]Measurement)
	meters  map[Key]*Meter
	// lastPublished are the shares that all nodes were told last and publishedAt is when.
	lastPublished map[Key]Shares
	publishedAt   time.Time
}

// NewMeters returns meters that note what they find on this node's own board too.
func NewMeters(queues Queues, admitter *Admitter) *Meters {
	return &Meters{queues: queues, admitter: admitter, meters: make(map[Key]*Meter), lastPublished: make(map[Key]Shares)}
}

// Tell sets what takes what all nodes are to be told. It does not block.
func (m *Meters) SetPublisher(publish func([]Measurement)) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.publish = publish
}

// Offer notes a request that was let in.
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

// Serve notes that a server of a service has answered.
func (m *Meters) RecordServed(key Key, work time.Duration) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if meter := m.meters[key]; meter != nil {
		meter.RecordServed(work)
	}
}

// Of returns the shares of a service and when they were judged; full ones if it is not
// measured here or was not asked for lately.
func (m *Meters) CurrentShares(key Key, now time.Time) (Shares, time.Time) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	meter := m.meters[key]
	if meter == nil || now.Sub(meter.evaluatedAt) > shareTTL {
		return Shares{}, now
	}
	return meter.Shares()
}

// Measured returns the shares of a service, and whether this node has measured them lately. One that
// has just begun to ask its servers has nothing to tell: others may know more.
func (m *Meters) Measurement(key Key, now time.Time) (Measurement, bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.measurement(key, now)
}

// measured is Measured. The mutex is held.
func (m *Meters) measurement(key Key, now time.Time) (Measurement, bool) {
	meter := m.meters[key]
	if meter == nil || now.Sub(meter.evaluatedAt) > shareTTL || !meter.hasMeasured() {
		return Measurement{}, false
	}
	shares, at := meter.Shares()
	return Measurement{Key: key, Shares: shares, MeasuredAt: at}, true
}

// publishIfChanged tells all nodes the shares if they have changed or matter still. The mutex is
// held.
func (m *Meters) publishIfChanged(now time.Time) {
	sinceLast := now.Sub(m.publishedAt)
	if sinceLast < minPublishInterval {
		return
	}
	isChanged, isLimited := false, false
	for key, each := range m.meters {
		measured, ok := m.measurement(key, now)
		if !ok {
			// What was told last is too old to be known.
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

// Sweep forgets services that are not asked for any more. It is called every second or so.
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
