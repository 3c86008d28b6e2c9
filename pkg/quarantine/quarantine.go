// Package quarantine protects servers from requests that crash them.
//
// A request becomes suspect once several servers have crashed while processing it and none has
// answered it. From then on it is sent only in trials: a trial goes to one server at first, and all
// nodes together make a bounded number of trials, which are counted in the platform's store. An
// answer clears the request. Once the trials are used up without an answer, the request is
// quarantined: it is rejected immediately. A request that merely shared a server with a deadly one
// is thus answered by its trial, and the deadly one crashes a few servers rather than all of them.
//
// A server counts as crashed if its address refuses connections, or if another process has replaced
// it.
//
// Nodes write one note to the store for each crashed server and one for each trial, so that notes
// of different nodes add up without conflicts. They also notify each other directly, because each
// repetition of the request in the meantime crashes as many servers again; see Gossiper.
package quarantine

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/bramblemast/bramblemast/pkg/exchange"
	"github.com/bramblemast/bramblemast/pkg/fleet"
)

// Thresholds and times of suspicion.
const (
	// SuspectAfter is the number of servers that crash under a request before it is suspect. Two
	// crash under an ordinary request that meets two unrelated crashes in a row; a third one
	// justifies the delay of a trial.
	SuspectAfter = 3
	// ImmediateTrials is the number of trials that all nodes together make without delay. One trial
	// may fail because another request crashed its server; two in a row hardly ever do.
	ImmediateTrials = 2
	// laterTrialDelay is the wait before the first trial after the immediate ones; each further
	// trial waits twice as long as the one before. This clears an ordinary request that lost its
	// immediate trials too, and a deadly one crashes only three more servers in ten minutes.
	laterTrialDelay = time.Minute
	// lifetime is how long a request is remembered after its last recorded crash: long enough that
	// its clients have given up, short enough that a repaired server receives it again.
	lifetime = 10 * time.Minute
	// lifetimeSpread is the maximum random addition to lifetime. It keeps nodes from removing the
	// same expired notes at once.
	lifetimeSpread = time.Minute
	// noteDelay is how long a possible crash is held back from probes and from the store, since
	// most requests that meet one are answered by another server within a few tenths of a second.
	noteDelay = 300 * time.Millisecond
)

// State says whether and how a request may be sent.
type State int

// The states of a request.
const (
	// Clear requests are sent without restrictions.
	Clear State = iota
	// Doubtful means that connections to at least SuspectAfter servers broke, and that the servers
	// are being probed to see whether they crashed.
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

// Events receives what a Guard detects. Its methods must neither block nor call the Guard, whose
// mutex may be held.
type Events interface {
	// StateChanged reports the new state of a request and the servers that crashed under it, in the
	// order of the crashes.
	StateChanged(fingerprint exchange.Fingerprint, state State, servers []fleet.Incarnation)
	// LedgerFailed reports that a call to the ledger failed. Notes are written later. A trial is
	// not made, except for the one that a node makes by itself while the ledger is unavailable.
	LedgerFailed(call string, err error)
}

// Options configures a Guard.
type Options struct {
	Ledger Ledger
	// LedgerUnavailable reports whether the ledger has been unreachable for a while. Each node then
	// makes trials on its own.
	LedgerUnavailable func() bool
	Dialer            exchange.Dialer
	Events            Events
}

// Guard tracks the requests of one node that may crash servers. It is safe for concurrent use.
type Guard struct {
	options Options
	// answers holds the requests that were answered recently.
	answers *recentAnswers
	// recordCount is the number of records, plus one while another may be added, so that requests
	// cost nothing extra while there are none.
	recordCount atomic.Int64
	// hintCount is the number of hints.
	hintCount atomic.Int64
	// work holds an element while Run has something to do.
	work chan struct{}
	// notify sends an update to other nodes directly, and returns false if its queue is full. It is
	// nil if there is no way to reach other nodes directly.
	notify func(Update) bool

	mutex sync.Mutex
	// The fields below are guarded by mutex.
	records map[exchange.Fingerprint]*record
	// crashed maps servers that were found to have crashed to the time when this was found.
	crashed map[fleet.Incarnation]time.Time
	// probing holds the servers that are being probed.
	probing map[fleet.Incarnation]bool
	// removals are notes to be removed from the store. delayedRemovals are notes that will be
	// removed unless another node removes them first.
	removals        []Note
	delayedRemovals map[Note]bool
	// orphans are notes in the store whose requests were evicted from records, with the times when
	// they expire.
	orphans map[Note]time.Time
	// hints holds the first broken connection of requests at one of their services.
	hints map[exchange.Fingerprint]hint
}

// New returns a Guard without any records.
func New(options Options) *Guard {
	return &Guard{
		options: options, answers: newRecentAnswers(), work: make(chan struct{}, 1), records: make(map[exchange.Fingerprint]*record),
		crashed: make(map[fleet.Incarnation]time.Time), probing: make(map[fleet.Incarnation]bool), delayedRemovals: make(map[Note]bool),
		orphans: make(map[Note]time.Time), hints: make(map[exchange.Fingerprint]hint),
	}
}

// IsIdle reports whether there are no records, so that all requests are clear.
func (g *Guard) IsIdle() bool { return g.recordCount.Load() == 0 }

// State returns the state of a request.
func (g *Guard) State(fingerprint exchange.Fingerprint) State {
	if g.IsIdle() {
		return Clear
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.state(fingerprint, time.Now())
}

// RetryAfter returns the time until a quarantined request may be tried again, or zero if nothing is
// known of the request.
func (g *Guard) RetryAfter(fingerprint exchange.Fingerprint, now time.Time) time.Duration {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if rec := g.records[fingerprint]; rec != nil {
		return max(0, min(rec.nextTrialAt.Sub(now), rec.expiresAt.Sub(now)))
	}
	return 0
}

// CrashedServers returns the servers known to have crashed under a request, in the order of the
// crashes.
func (g *Guard) CrashedServers(fingerprint exchange.Fingerprint) []fleet.Incarnation {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if rec := g.records[fingerprint]; rec != nil {
		return rec.crashedServers()
	}
	return nil
}

// RecordBrokenConnection records that a server broke the connection of a request that no server has
// answered. Whether the server crashed is then determined by connecting to it: immediately if the
// crash would make the request suspect, otherwise after noteDelay, by which time most requests have
// been answered. A request that was answered recently does not crash servers, so nothing is
// recorded for it.
func (g *Guard) RecordBrokenConnection(fingerprint exchange.Fingerprint, server fleet.Incarnation, address string, now time.Time) {
	isAnswered := g.lock(fingerprint, now)
	defer g.unlock()
	if isAnswered {
		return
	}
	_, hasCrashed := g.crashed[server]
	before := g.state(fingerprint, now)
	rec := g.ensureRecord(fingerprint, now)
	rec.addCrash(server, hasCrashed, now).address = address
	if len(rec.crashes) >= SuspectAfter {
		g.probeServers(rec)
	}
	g.reportChange(fingerprint, before, now)
	g.signal()
}

// RecordCrashes records the servers that another node has seen crash under a request.
func (g *Guard) RecordCrashes(fingerprint exchange.Fingerprint, servers []fleet.Incarnation, now time.Time) {
	if len(servers) == 0 {
		return
	}
	isAnswered := g.lock(fingerprint, now)
	defer g.unlock()
	if isAnswered {
		return
	}
	before := g.state(fingerprint, now)
	rec := g.ensureRecord(fingerprint, now)
	for _, server := range servers {
		rec.addCrash(server, true, now)
	}
	g.reportChange(fingerprint, before, now)
}

// RecordAnswer records that a server has answered a request, which shows that the request does not
// crash servers.
func (g *Guard) RecordAnswer(fingerprint exchange.Fingerprint, now time.Time) {
	g.answers.add(fingerprint, now)
	if g.IsIdle() {
		return
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if rec := g.records[fingerprint]; rec != nil && rec.countCrashes((*serverCrash).isKnownToOthers) > 0 {
		g.announce(Update{Note: Note{Fingerprint: fingerprint}, DetectedAt: now})
	}
	g.clear(fingerprint, now)
}

// clear deletes the record of a request that a server has answered, and its notes in the store. The
// mutex is held.
func (g *Guard) clear(fingerprint exchange.Fingerprint, now time.Time) {
	rec := g.records[fingerprint]
	if rec == nil {
		return
	}
	before := rec.state(now)
	g.removals = append(g.removals, rec.storedNotes(fingerprint)...)
	g.deleteRecord(fingerprint)
	if before == Suspect || before == Quarantined {
		g.options.Events.StateChanged(fingerprint, Clear, rec.crashedServers())
	}
	g.signal()
}

// ApplyNote applies a note that was added to the store, or that was deleted from it. An added note
// for a request that was answered here recently is removed from the store: the node that wrote it
// did not know of the answer.
func (g *Guard) ApplyNote(note Note, isDeleted bool, now time.Time) {
	isAnswered := g.lock(note.Fingerprint, now)
	defer g.unlock()
	if isAnswered && !isDeleted {
		g.removeLater(note)
		return
	}
	if isDeleted {
		delete(g.delayedRemovals, note)
		delete(g.orphans, note)
	}
	if isDeleted && g.records[note.Fingerprint] == nil {
		return
	}
	before := g.state(note.Fingerprint, now)
	rec := g.ensureRecord(note.Fingerprint, now)
	if isDeleted {
		rec.removeNote(note)
	} else {
		rec.applyNote(note, now)
	}
	g.reportChange(note.Fingerprint, before, now)
}

// lock takes the mutex to record something for a request, and reports whether the request was
// answered recently. It raises recordCount before it reads answers, while RecordAnswer writes
// answers before it reads recordCount. RecordAnswer therefore never misses a record that is being
// added: it waits for the mutex and clears the record.
func (g *Guard) lock(fingerprint exchange.Fingerprint, now time.Time) (isAnswered bool) {
	g.mutex.Lock()
	g.recordCount.Add(1)
	return g.answers.has(fingerprint, now)
}

// unlock reverses lock.
func (g *Guard) unlock() {
	g.recordCount.Add(-1)
	g.mutex.Unlock()
}

// Sweep removes expired entries. It must be called about once a second.
func (g *Guard) Sweep(now time.Time) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for server, at := range g.crashed {
		if now.Sub(at) > crashRetention {
			delete(g.crashed, server)
		}
	}
	for fingerprint, rec := range g.records {
		if now.After(rec.expiresAt) {
			g.removals = append(g.removals, rec.storedNotes(fingerprint)...)
			g.deleteRecord(fingerprint)
			g.signal()
		}
	}
	g.sweepOrphans(now)
	g.sweepHints(now)
}

// ensureRecord returns the record of a request, and adds it if there is none. The mutex is held.
func (g *Guard) ensureRecord(fingerprint exchange.Fingerprint, now time.Time) *record {
	rec := g.records[fingerprint]
	if rec == nil {
		g.evictRecord(now)
		rec = newRecord(now)
		g.records[fingerprint] = rec
		g.recordCount.Add(1)
	}
	return rec
}

// deleteRecord deletes the record of a request. The mutex is held.
func (g *Guard) deleteRecord(fingerprint exchange.Fingerprint) {
	delete(g.records, fingerprint)
	g.recordCount.Add(-1)
}

// state is State for callers that hold the mutex.
func (g *Guard) state(fingerprint exchange.Fingerprint, now time.Time) State {
	if rec := g.records[fingerprint]; rec != nil {
		return rec.state(now)
	}
	return Clear
}

// reportChange acts on a change of a request's record: it deletes an empty record, reports a new
// state, announces the crashes of a suspect request and wakes Run if the store lacks notes. The
// mutex is held.
func (g *Guard) reportChange(fingerprint exchange.Fingerprint, before State, now time.Time) {
	rec := g.records[fingerprint]
	if rec.isEmpty() {
		g.deleteRecord(fingerprint)
	}
	after := rec.state(now)
	if after != before && max(after, before) > Doubtful {
		g.options.Events.StateChanged(fingerprint, after, rec.crashedServers())
	}
	if after > Doubtful {
		g.announceCrashes(fingerprint, rec)
	}
	if rec.hasMissingNotes() {
		g.signal()
	}
}

// signal wakes Run.
func (g *Guard) signal() {
	select {
	case g.work <- struct{}{}:
	default:
	}
}
