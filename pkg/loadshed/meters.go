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
	// Backlog returns those that wait for a service at a moment.
	Backlog(service string, now time.Time) Backlog
}

// Measured are the shares of one service.
type Measured struct {
	Service string
	Shares  Shares
	At      time.Time
}

// Meters are the meters of the services whose servers this node asks on behalf of others. The
// requests that come drive them: without requests nothing changes.
type Meters struct {
	queues Queues
	board  *Board
	// tell takes what all nodes are to be told; it does not block.
	tell func([]Measured)

	mutex sync.Mutex
	// The fields below are guarded by mutex.
	meters map[string]*Meter
	// lastTold are the shares that all nodes were told last and toldAt is when.
	lastTold map[string]Shares
	toldAt   time.Time
}

// NewMeters returns meters that note what they find on this node's own board too.
func NewMeters(queues Queues, board *Board, tell func([]Measured)) *Meters {
	return &Meters{queues: queues, board: board, tell: tell, meters: make(map[string]*Meter), lastTold: make(map[string]Shares)}
}

// Offer notes a request for a service that was let in with a share.
func (m *Meters) Offer(service string, class Class, work time.Duration, share float64, now time.Time) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	found := m.meters[service]
	if found == nil {
		found = NewMeter(now)
		m.meters[service] = found
	}
	found.Offer(class, work, share)
	if !found.IsDue(now) {
		return
	}
	found.Judge(m.queues.Backlog(service, now), now)
	shares, _ := found.Shares()
	m.board.Take(service, shares, now)
	m.tellIfChanged(now)
}

// Serve notes that a server of a service has answered.
func (m *Meters) Serve(service string, work time.Duration) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if found := m.meters[service]; found != nil {
		found.Serve(work)
	}
}

// Of returns the shares of a service and when they were judged; full ones if it is not
// measured here or was not asked for lately.
func (m *Meters) Of(service string, now time.Time) (Shares, time.Time) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.of(service, now)
}

// of is Of. The mutex is held.
func (m *Meters) of(service string, now time.Time) (Shares, time.Time) {
	found := m.meters[service]
	if found == nil || now.Sub(found.judgedAt) > shareLife {
		return Shares{}, now
	}
	return found.Shares()
}

// tellIfChanged tells all nodes the shares if they have changed or matter still. The mutex is
// held.
func (m *Meters) tellIfChanged(now time.Time) {
	pause := now.Sub(m.toldAt)
	if pause < leastPause {
		return
	}
	isChanged, matters := false, false
	for service := range m.meters {
		shares, _ := m.of(service, now)
		isChanged = isChanged || shares.differsFrom(m.lastTold[service], toldChange)
		matters = matters || !shares.IsFull()
	}
	if !isChanged && (!matters || pause < repeatSpan) {
		return
	}
	var message []Measured
	for service := range m.meters {
		shares, at := m.of(service, now)
		if shares.IsFull() && m.lastTold[service].IsFull() {
			continue
		}
		message = append(message, Measured{Service: service, Shares: shares, At: at})
		m.lastTold[service] = shares
	}
	m.toldAt = now
	m.tell(message)
}

// Sweep forgets services that are not asked for any more. It is called every second or so.
func (m *Meters) Sweep(now time.Time) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for service, each := range m.meters {
		if now.Sub(each.judgedAt) > 2*shareLife {
			delete(m.meters, service)
			delete(m.lastTold, service)
		}
	}
}
