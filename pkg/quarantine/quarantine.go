// Package quarantine keeps requests from servers that end when they run them.
//
// A request is suspect once several servers have ended while they had it and none has
// answered it. From then on it reaches servers only in trials: each asks one server at
// first, and all nodes together make a bounded number of them, which the platform's store
// counts. An answer clears the request; when the trials are used up without one, it is
// refused at once. So a request that shared a server with a deadly one is served by its
// trial, and the deadly one ends a few servers rather than all.
//
// Nodes keep notes in the store: one for each server that ended and one for each trial, so that
// notes of different nodes add up without a conflict. They also tell each other directly, since
// a request that comes again meanwhile ends as many servers once more; see Gossiper.
package quarantine

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/bramblemast/bramblemast/pkg/exchange"
	"github.com/bramblemast/bramblemast/pkg/fleet"
)

// Bounds and times of suspicion.
const (
	// SuspectAfter is how many servers end under a request before it is suspect. Two end
	// under an ordinary request that meets two crashes in a row; the third makes it worth
	// the time of a trial.
	SuspectAfter = 3
	// ImmediateTrials is how many trials all nodes together make at once: one that fails may
	// have met the crash of another request's server, two in a row hardly do.
	ImmediateTrials = 2
	// laterTrial is when a further trial is made after those, and each later one twice as
	// long after the one before: an ordinary request that lost its trials too is cleared,
	// and a deadly one ends three servers more in ten minutes.
	laterTrial = time.Minute
	// lifetime is for how long a request is remembered after its last note: long enough
	// that its clients have given up, short enough that a mended server gets it again.
	lifetime = 10 * time.Minute
	// lifetimeSpread keeps nodes from removing the same old notes at once.
	lifetimeSpread = time.Minute
	// noteDelay is how long a server's end is kept back from the store, since most requests
	// that met one are answered by another server within a few tenths of a second.
	noteDelay = 300 * time.Millisecond
)

// State is what is known of a request.
type State int

// The standings.
const (
	// Clear requests are sent as any other.
	Clear State = iota
	// Doubtful means that connections to enough servers broke, and that it is being found
	// out whether the servers ended.
	Doubtful
	// Suspect requests are sent in trials only.
	Suspect
	// Quarantined requests are not sent.
	Quarantined
)

// String returns the name used in logs.
func (s State) String() string {
	return [...]string{"clear", "doubtful", "suspect", "quarantined"}[s]
}

// Events takes what a Guard finds out. It does not block.
type Events interface {
	// StateChanged tells of a new standing of a request, and of the servers that ended under it.
	StateChanged(fingerprint exchange.Fingerprint, standing State, servers []fleet.Incarnation)
	// LedgerFailed tells that a call to the ledger failed; notes are written later, a trial
	// is not made.
	LedgerFailed(call string, err error)
}

// Options are the parts of a Guard.
type Options struct {
	Ledger Ledger
	// LedgerUnavailable reports whether the ledger has been out of reach for a while. Each node
	// then makes trials on its own.
	LedgerUnavailable func() bool
	Dialer            exchange.Dialer
	Events            Events
}

// Guard is what one node knows of deadly requests. It is safe for concurrent use.
type Guard struct {
	options Options
	// served are the requests that were answered lately.
	served *served
	// known is the number of records, and one more while one may be made, so that nothing is spent
	// while there are none.
	known atomic.Int64
	// hinted is the number of hints.
	hinted atomic.Int64
	// work has an element while there is something to write.
	work chan struct{}
	// tell takes what other nodes are told directly, false if it has no room; nil if there is no way
	// to them.
	tell func(Update) bool

	mutex sync.Mutex
	// The fields below are guarded by mutex.
	records map[exchange.Fingerprint]*record
	// ended are the servers that were found to have ended, and when.
	ended map[fleet.Incarnation]time.Time
	// probed are the servers that are being looked at.
	probed map[fleet.Incarnation]bool
	// removals are notes that are to be removed from the store, and disputed those that will be
	// unless another node removes them first.
	removals []Note
	disputed map[Note]bool
	// leftover are notes in the store of requests that were forgotten for want of memory, and
	// when they are removed.
	leftover map[Note]time.Time
	// hints are first broken connections of requests at one of their services.
	hints map[exchange.Fingerprint]hint
}

// New returns a Guard that knows of no request.
func New(options Options) *Guard {
	return &Guard{
		options: options, served: newServed(), work: make(chan struct{}, 1), records: make(map[exchange.Fingerprint]*record),
		ended: make(map[fleet.Incarnation]time.Time), probed: make(map[fleet.Incarnation]bool), disputed: make(map[Note]bool),
		leftover: make(map[Note]time.Time), hints: make(map[exchange.Fingerprint]hint),
	}
}

// IsIdle reports whether no request is remembered, so that all are clear.
func (g *Guard) IsIdle() bool { return g.known.Load() == 0 }

// State returns what is known of a request.
func (g *Guard) State(fingerprint exchange.Fingerprint) State {
	if g.IsIdle() {
		return Clear
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.standing(fingerprint, time.Now())
}

// Until returns the time until a quarantined request may be tried again.
func (g *Guard) RetryAfter(fingerprint exchange.Fingerprint, now time.Time) time.Duration {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if known := g.records[fingerprint]; known != nil {
		return max(0, min(known.nextTrialAt.Sub(now), known.expiresAt.Sub(now)))
	}
	return 0
}

// Servers returns the servers that ended under a request, as far as it is known.
func (g *Guard) CrashedServers(fingerprint exchange.Fingerprint) []fleet.Incarnation {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if known := g.records[fingerprint]; known != nil {
		return known.servers()
	}
	return nil
}

// RecordBrokenConnection takes that a server ended its connection while it had a request that no server
// has answered. Whether the server itself ended is found out by a connection to it: at once
// if the request would be suspect, else after noteDelay, when most have been answered. A
// request that was answered lately is not what ends servers.
func (g *Guard) RecordBrokenConnection(fingerprint exchange.Fingerprint, server fleet.Incarnation, address string, now time.Time) {
	isServed := g.lock(fingerprint, now)
	defer g.unlock()
	if isServed {
		return
	}
	_, hasEnded := g.ended[server]
	before := g.standing(fingerprint, now)
	known := g.record(fingerprint, now)
	known.add(server, hasEnded, now).address = address
	if len(known.ends) >= SuspectAfter {
		g.probeAll(known)
	}
	g.changed(fingerprint, before, now)
	g.signal()
}

// RecordCrashes takes the servers that another node has seen end under a request.
func (g *Guard) RecordCrashes(fingerprint exchange.Fingerprint, servers []fleet.Incarnation, now time.Time) {
	if len(servers) == 0 {
		return
	}
	isServed := g.lock(fingerprint, now)
	defer g.unlock()
	if isServed {
		return
	}
	before := g.standing(fingerprint, now)
	known := g.record(fingerprint, now)
	for _, server := range servers {
		known.add(server, true, now)
	}
	g.changed(fingerprint, before, now)
}

// RecordAnswer takes that a server has answered a request: it is not what ends servers.
func (g *Guard) RecordAnswer(fingerprint exchange.Fingerprint, now time.Time) {
	g.served.add(fingerprint, now)
	if g.IsIdle() {
		return
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if known := g.records[fingerprint]; known != nil && known.count((*end).isKnownToOthers) > 0 {
		g.tellOther(Update{Note: Note{Fingerprint: fingerprint}, DetectedAt: now})
	}
	g.clear(fingerprint, now)
}

// clear forgets a request that a server has answered, also in the store. The mutex is held.
func (g *Guard) clear(fingerprint exchange.Fingerprint, now time.Time) {
	known := g.records[fingerprint]
	if known == nil {
		return
	}
	before := known.standing(now)
	g.removals = append(g.removals, known.written(fingerprint)...)
	g.drop(fingerprint)
	if before == Suspect || before == Quarantined {
		g.options.Events.StateChanged(fingerprint, Clear, known.servers())
	}
	g.signal()
}

// Learn takes a note of the store, or that it is gone. One on a request that was answered
// here lately is removed: the node that wrote it had not seen that.
func (g *Guard) ApplyNote(note Note, isGone bool, now time.Time) {
	isServed := g.lock(note.Fingerprint, now)
	defer g.unlock()
	if isServed && !isGone {
		g.dispute(note)
		return
	}
	if isGone {
		delete(g.disputed, note)
		delete(g.leftover, note)
	}
	if isGone && g.records[note.Fingerprint] == nil {
		return
	}
	before := g.standing(note.Fingerprint, now)
	known := g.record(note.Fingerprint, now)
	if isGone {
		known.forget(note)
	} else {
		known.learn(note, now)
	}
	g.changed(note.Fingerprint, before, now)
}

// lock takes the mutex to record something of a request, and reports whether it was answered
// lately. The guard is not idle from before that look on, so that RecordAnswer, which looks at both the
// other way round, waits and clears what is recorded.
func (g *Guard) lock(fingerprint exchange.Fingerprint, now time.Time) (isServed bool) {
	g.mutex.Lock()
	g.known.Add(1)
	return g.served.has(fingerprint, now)
}

// unlock ends what lock began.
func (g *Guard) unlock() {
	g.known.Add(-1)
	g.mutex.Unlock()
}

// Sweep forgets what is old. It is called every second or so.
func (g *Guard) Sweep(now time.Time) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for server, at := range g.ended {
		if now.Sub(at) > endedSpan {
			delete(g.ended, server)
		}
	}
	for fingerprint, known := range g.records {
		if now.After(known.expiresAt) {
			g.removals = append(g.removals, known.written(fingerprint)...)
			g.drop(fingerprint)
			g.signal()
		}
	}
	g.sweepLeftover(now)
	g.sweepHints(now)
}

// record returns the record of a request, and makes it if there is none. The mutex is held.
func (g *Guard) record(fingerprint exchange.Fingerprint, now time.Time) *record {
	known := g.records[fingerprint]
	if known == nil {
		g.makeRoom(now)
		known = newRecord(now)
		g.records[fingerprint] = known
		g.known.Add(1)
	}
	return known
}

// drop forgets a request. The mutex is held.
func (g *Guard) drop(fingerprint exchange.Fingerprint) {
	delete(g.records, fingerprint)
	g.known.Add(-1)
}

// standing is State. The mutex is held.
func (g *Guard) standing(fingerprint exchange.Fingerprint, now time.Time) State {
	if known := g.records[fingerprint]; known != nil {
		return known.standing(now)
	}
	return Clear
}

// changed tells of a request's new standing, and of work for Run. The mutex is held.
func (g *Guard) changed(fingerprint exchange.Fingerprint, before State, now time.Time) {
	known := g.records[fingerprint]
	if known.isEmpty() {
		g.drop(fingerprint)
	}
	after := known.standing(now)
	if after != before && max(after, before) > Doubtful {
		g.options.Events.StateChanged(fingerprint, after, known.servers())
	}
	if after > Doubtful {
		g.tellEnded(fingerprint, known)
	}
	if known.hasUnwritten() {
		g.signal()
	}
}

// signal tells Run that there is work.
func (g *Guard) signal() {
	select {
	case g.work <- struct{}{}:
	default:
	}
}
