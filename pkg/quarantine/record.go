package quarantine

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/bramblemast/bramblemast/pkg/exchange"
	"github.com/bramblemast/bramblemast/pkg/fleet"
)

// record is what is known of one request. It is guarded by the mutex of its Guard.
type record struct {
	// crashes are the servers that crashed, or may have crashed, while processing the request.
	crashes map[fleet.Incarnation]*serverCrash
	// trials holds the numbers of the trials that were made.
	trials map[int]bool
	// nextTrialAt is when the next trial after the immediate ones is allowed.
	nextTrialAt time.Time
	// hasMadeLocalTrial says that this node made a trial without the ledger.
	hasMadeLocalTrial bool
	// isAwaitingPeerWrite says that the nodes that announced crashes are being given time to write
	// them to the store.
	isAwaitingPeerWrite bool
	// expiresAt is moved forward by each crash.
	expiresAt time.Time
}

// serverCrash is a crash, or possible crash, of one server.
type serverCrash struct {
	at time.Time
	// address is where the server is probed; empty if another node reported the crash.
	address string
	// isConfirmed says that the server itself crashed, isWritten that the store holds the crash.
	isConfirmed bool
	isWritten   bool
	// isAnnounced says that other nodes were notified of the crash directly, by this node or another
	// one. isFromPeer says that another node announced it first; that node writes it to the store
	// unless the store already holds enough crashes.
	isAnnounced bool
	isFromPeer  bool
}

// hasCrashed reports whether the server itself crashed, rather than only its connection broke.
func (c *serverCrash) hasCrashed() bool { return c.isConfirmed }

// isStored reports whether the store holds the crash.
func (c *serverCrash) isStored() bool { return c.isWritten }

// isKnownToOthers reports whether other nodes were notified of the crash directly.
func (c *serverCrash) isKnownToOthers() bool { return c.isAnnounced }

// isStoredOrExpected reports whether the store holds a crash, or another node is being given time
// to write it.
func (r *record) isStoredOrExpected(c *serverCrash) bool {
	return c.isWritten || c.isFromPeer && r.isAwaitingPeerWrite
}

// newRecord returns an empty record.
func newRecord(now time.Time) *record {
	return &record{crashes: make(map[fleet.Incarnation]*serverCrash), trials: make(map[int]bool), expiresAt: now.Add(lifetime)}
}

// addCrash records a crash of a server, which is only a possible one unless isConfirmed.
func (r *record) addCrash(server fleet.Incarnation, isConfirmed bool, now time.Time) *serverCrash {
	crash := r.crashes[server]
	if crash == nil {
		crash = &serverCrash{at: now}
		r.crashes[server] = crash
		r.expiresAt = now.Add(lifetime + rand.N(lifetimeSpread))
	}
	crash.isConfirmed = crash.isConfirmed || isConfirmed
	return crash
}

// resolve records whether a server crashed, and reports whether this was unknown before.
func (r *record) resolve(server fleet.Incarnation, hasCrashed bool) bool {
	crash := r.crashes[server]
	if crash == nil || crash.isConfirmed {
		return false
	}
	crash.isConfirmed = hasCrashed
	if !hasCrashed {
		delete(r.crashes, server)
	}
	return true
}

// applyNote applies a note that the store holds.
func (r *record) applyNote(note Note, now time.Time) {
	if note.Trial > 0 {
		r.recordTrial(note.Trial, now)
		return
	}
	r.addCrash(note.Server, true, now).isWritten = true
}

// removeNote applies the deletion of a note from the store. Crashes are deleted there when the
// request was answered or has expired, which applies to crashes that were never written too. All
// crashes are therefore dropped along with the last stored one.
func (r *record) removeNote(note Note) {
	if note.Trial > 0 {
		delete(r.trials, note.Trial)
		return
	}
	if crash := r.crashes[note.Server]; crash == nil || !crash.isWritten {
		return
	}
	delete(r.crashes, note.Server)
	if r.countCrashes((*serverCrash).isStored) == 0 {
		clear(r.crashes)
	}
}

// state returns the state of the request.
func (r *record) state(now time.Time) State {
	confirmed := r.countCrashes((*serverCrash).hasCrashed)
	switch {
	case confirmed >= SuspectAfter && r.allowsTrial(now):
		return Suspect
	case confirmed >= SuspectAfter:
		return Quarantined
	case len(r.crashes) >= SuspectAfter:
		return Doubtful
	}
	return Clear
}

// allowsTrial reports whether a trial may be made now: ImmediateTrials without delay, then one at a
// time at growing intervals.
func (r *record) allowsTrial(now time.Time) bool {
	return len(r.trials) < ImmediateTrials || !now.Before(r.nextTrialAt)
}

// nextTrial returns the number of the next trial.
func (r *record) nextTrial() int {
	number := 1
	for r.trials[number] {
		number++
	}
	return number
}

// recordTrial records that a trial was made.
func (r *record) recordTrial(number int, now time.Time) {
	if r.trials[number] {
		return
	}
	r.trials[number] = true
	r.nextTrialAt = now.Add(laterTrialDelay << max(0, len(r.trials)-ImmediateTrials))
}

// countCrashes returns the number of crashes that match.
func (r *record) countCrashes(matches func(*serverCrash) bool) int {
	count := 0
	for _, crash := range r.crashes {
		if matches(crash) {
			count++
		}
	}
	return count
}

// isEmpty reports whether there are neither crashes nor trials.
func (r *record) isEmpty() bool { return len(r.crashes) == 0 && len(r.trials) == 0 }

// crashedServers returns the servers known to have crashed, in the order of the crashes.
func (r *record) crashedServers() []fleet.Incarnation {
	var servers []fleet.Incarnation
	for server, crash := range r.crashes {
		if crash.isConfirmed {
			servers = append(servers, server)
		}
	}
	slices.SortFunc(servers, func(a, b fleet.Incarnation) int { return r.crashes[a].at.Compare(r.crashes[b].at) })
	return servers
}

// missingNotes returns notes for confirmed crashes that the store lacks, up to the SuspectAfter
// that it needs.
func (r *record) missingNotes(fingerprint exchange.Fingerprint) []Note {
	var notes []Note
	for _, server := range r.crashedServers() {
		if r.countCrashes(r.isStoredOrExpected)+len(notes) >= SuspectAfter {
			break
		}
		if !r.isStoredOrExpected(r.crashes[server]) {
			notes = append(notes, Note{Fingerprint: fingerprint, Server: server})
		}
	}
	return notes
}

// hasMissingNotes reports whether the store lacks crashes that it needs.
func (r *record) hasMissingNotes() bool { return len(r.missingNotes(exchange.Fingerprint{})) > 0 }

// holds reports whether a note is among those that the store holds.
func (r *record) holds(note Note) bool {
	crash := r.crashes[note.Server]
	return r.trials[note.Trial] || crash != nil && crash.isWritten
}

// storedNotes returns the notes that the store holds.
func (r *record) storedNotes(fingerprint exchange.Fingerprint) []Note {
	var notes []Note
	for server, crash := range r.crashes {
		if crash.isWritten {
			notes = append(notes, Note{Fingerprint: fingerprint, Server: server})
		}
	}
	for number := range r.trials {
		notes = append(notes, Note{Fingerprint: fingerprint, Trial: number})
	}
	return notes
}
