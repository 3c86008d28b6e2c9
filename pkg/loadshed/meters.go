package loadshed

import (
	"sync"
	"time"
)

// Constants of what is told.
const (
	// toldChange is the part by which a share has to change to be told before its time: less
	// than that is within what a service can bear for a moment.
	toldChange = 0.2
	// leastPause is the least time between two messages to all nodes, so that they do not
	// grow with the load; repeatSpan is how often shares are told again while they matter.
	leastPause = 200 * time.Millisecond
	repeatSpan = 500 * time.Millisecond
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
	queues Queues
	board  *Admitter

	mutex sync.Mutex
	// The fields below are guarded by mutex.
	// tell takes what all nodes are to be told; nil where there are none.
	tell   func([]Measurement)
	meters map[Key]*Meter
	// lastTold are the shares that all nodes were told last and toldAt is when.
	lastTold map[Key]Shares
	toldAt   time.Time
}

// NewMeters returns meters that note what they find on this node's own board too.
func NewMeters(queues Queues, board *Admitter) *Meters {
	return &Meters{queues: queues, board: board, meters: make(map[Key]*Meter), lastTold: make(map[Key]Shares)}
}

// Tell sets what takes what all nodes are to be told. It does not block.
func (m *Meters) SetPublisher(tell func([]Measurement)) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.tell = tell
}

// Offer notes a request that was let in.
func (m *Meters) RecordAdmitted(key Key, offered AdmittedRequest, now time.Time) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	found := m.meters[key]
	if found == nil {
		found = NewMeter(now)
		m.meters[key] = found
	}
	found.RecordAdmitted(offered)
	if !found.NeedsEvaluation(now) {
		return
	}
	found.Evaluate(m.queues.Backlog(key, now), now)
	if !found.hasMeasured() {
		return
	}
	shares, _ := found.Shares()
	if !found.isForOthers() {
		m.board.UpdateLocal(key, shares, now)
		return
	}
	m.board.Update(key, shares, now)
	if m.tell != nil {
		m.tellIfChanged(now)
	}
}

// Serve notes that a server of a service has answered.
func (m *Meters) RecordServed(key Key, work time.Duration) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if found := m.meters[key]; found != nil {
		found.RecordServed(work)
	}
}

// Of returns the shares of a service and when they were judged; full ones if it is not
// measured here or was not asked for lately.
func (m *Meters) CurrentShares(key Key, now time.Time) (Shares, time.Time) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	found := m.meters[key]
	if found == nil || now.Sub(found.judgedAt) > shareLife {
		return Shares{}, now
	}
	return found.Shares()
}

// Measured returns the shares of a service, and whether this node has measured them lately. One that
// has just begun to ask its servers has nothing to tell: others may know more.
func (m *Meters) Measurement(key Key, now time.Time) (Measurement, bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.measured(key, now)
}

// measured is Measured. The mutex is held.
func (m *Meters) measured(key Key, now time.Time) (Measurement, bool) {
	found := m.meters[key]
	if found == nil || now.Sub(found.judgedAt) > shareLife || !found.hasMeasured() {
		return Measurement{}, false
	}
	shares, at := found.Shares()
	return Measurement{Key: key, Shares: shares, MeasuredAt: at}, true
}

// tellIfChanged tells all nodes the shares if they have changed or matter still. The mutex is
// held.
func (m *Meters) tellIfChanged(now time.Time) {
	pause := now.Sub(m.toldAt)
	if pause < leastPause {
		return
	}
	isChanged, matters := false, false
	for key, each := range m.meters {
		measured, ok := m.measured(key, now)
		if !ok {
			// What was told last is too old to be known.
			delete(m.lastTold, key)
		}
		if !ok || !each.isForOthers() {
			continue
		}
		isChanged = isChanged || measured.Shares.differsFrom(m.lastTold[key], toldChange)
		matters = matters || !measured.Shares.IsFull()
	}
	if !isChanged && (!matters || pause < repeatSpan) {
		return
	}
	var message []Measurement
	for key, each := range m.meters {
		measured, ok := m.measured(key, now)
		if !ok || !each.isForOthers() || measured.Shares.IsFull() && m.lastTold[key].IsFull() {
			continue
		}
		message = append(message, measured)
		m.lastTold[key] = measured.Shares
	}
	m.toldAt = now
	m.tell(message)
}

// Sweep forgets services that are not asked for any more. It is called every second or so.
func (m *Meters) Sweep(now time.Time) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for key, each := range m.meters {
		if now.Sub(each.judgedAt) > 2*shareLife {
			delete(m.meters, key)
			delete(m.lastTold, key)
		}
	}
}
