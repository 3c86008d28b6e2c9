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
	// ends are the servers that ended, or seem to have ended, while they had the request.
	ends map[fleet.Incarnation]*end
	// trials are the numbers of the trials that were made.
	trials map[int]bool
	// nextTrialAt is when a further trial is made after the prompt ones.
	nextTrialAt time.Time
	// hasTriedAlone says that this node made a trial without the ledger.
	hasTriedAlone bool
	// isAwaitingWriters says that the nodes that told of ends are given time to write them.
	isAwaitingWriters bool
	// expiresAt is put off by every server that ends.
	expiresAt time.Time
}

// end is one server that ended, or seems to have.
type end struct {
	at time.Time
	// address is where the server is looked for; empty if another node told of it.
	address string
	// isConfirmed says that the server itself ended, isWritten that the store holds it.
	isConfirmed bool
	isWritten   bool
	// isTold says that other nodes know it directly, from this node or another one. isHeard says
	// that another one told it first, and writes it to the store unless that holds enough ends.
	isTold  bool
	isHeard bool
}

// hasEnded reports whether the server itself ended, rather than its connection alone.
func (e *end) hasEnded() bool { return e.isConfirmed }

// isStored reports whether the store holds it.
func (e *end) isStored() bool { return e.isWritten }

// isKnownToOthers reports whether other nodes were told of it directly.
func (e *end) isKnownToOthers() bool { return e.isTold }

// isKept reports whether the store holds an end, or another node is given time to see to that.
func (r *record) isKept(e *end) bool { return e.isWritten || e.isHeard && r.isAwaitingWriters }

// newRecord returns the record of a request of which nothing is known.
func newRecord(now time.Time) *record {
	return &record{ends: make(map[fleet.Incarnation]*end), trials: make(map[int]bool), expiresAt: now.Add(lifetime)}
}

// add takes that a server seems to have ended, or has if that is confirmed.
func (r *record) add(server fleet.Incarnation, isConfirmed bool, now time.Time) *end {
	known := r.ends[server]
	if known == nil {
		known = &end{at: now}
		r.ends[server] = known
		r.expiresAt = now.Add(lifetime + rand.N(lifetimeSpread))
	}
	known.isConfirmed = known.isConfirmed || isConfirmed
	return known
}

// settle takes whether a server ended, and reports whether that is news here.
func (r *record) settle(server fleet.Incarnation, hasEnded bool) bool {
	known := r.ends[server]
	if known == nil || known.isConfirmed {
		return false
	}
	known.isConfirmed = hasEnded
	if !hasEnded {
		delete(r.ends, server)
	}
	return true
}

// learn takes a note that the store holds.
func (r *record) learn(note Note, now time.Time) {
	if note.Trial > 0 {
		r.noteTrial(note.Trial, now)
		return
	}
	r.add(note.Server, true, now).isWritten = true
}

// forget takes that a note is gone from the store. Its ends go when a request was answered or is too
// old, which holds for those too that the store was not told: with the last one all are forgotten.
func (r *record) forget(note Note) {
	if note.Trial > 0 {
		delete(r.trials, note.Trial)
		return
	}
	if known := r.ends[note.Server]; known == nil || !known.isWritten {
		return
	}
	delete(r.ends, note.Server)
	if r.count((*end).isStored) == 0 {
		clear(r.ends)
	}
}

// standing returns what is known of the request.
func (r *record) standing(now time.Time) State {
	confirmed := r.count((*end).hasEnded)
	switch {
	case confirmed >= SuspectAfter && r.mayTry(now):
		return Suspect
	case confirmed >= SuspectAfter:
		return Quarantined
	case len(r.ends) >= SuspectAfter:
		return Doubtful
	}
	return Clear
}

// mayTry reports whether a trial may be made now: two at once, then one now and then.
func (r *record) mayTry(now time.Time) bool {
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

// noteTrial takes that a trial was made.
func (r *record) noteTrial(number int, now time.Time) {
	if r.trials[number] {
		return
	}
	r.trials[number] = true
	r.nextTrialAt = now.Add(laterTrial << max(0, len(r.trials)-ImmediateTrials))
}

// count returns for how many servers something holds.
func (r *record) count(holds func(*end) bool) int {
	count := 0
	for _, each := range r.ends {
		if holds(each) {
			count++
		}
	}
	return count
}

// isEmpty reports whether nothing is known of the request.
func (r *record) isEmpty() bool { return len(r.ends) == 0 && len(r.trials) == 0 }

// servers returns the servers that ended, in their order.
func (r *record) servers() []fleet.Incarnation {
	var names []fleet.Incarnation
	for name, each := range r.ends {
		if each.isConfirmed {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b fleet.Incarnation) int { return r.ends[a].at.Compare(r.ends[b].at) })
	return names
}

// unwritten returns the servers that the store lacks, as many as it needs to know.
func (r *record) unwritten(fingerprint exchange.Fingerprint) []Note {
	var notes []Note
	for _, name := range r.servers() {
		if r.count(r.isKept)+len(notes) >= SuspectAfter {
			break
		}
		if !r.isKept(r.ends[name]) {
			notes = append(notes, Note{Fingerprint: fingerprint, Server: name})
		}
	}
	return notes
}

// hasUnwritten reports whether the store lacks a server that it needs to know.
func (r *record) hasUnwritten() bool { return len(r.unwritten(exchange.Fingerprint{})) > 0 }

// holds reports whether a note is among those that the store holds.
func (r *record) holds(note Note) bool {
	known := r.ends[note.Server]
	return r.trials[note.Trial] || known != nil && known.isWritten
}

// written returns the notes that the store holds.
func (r *record) written(fingerprint exchange.Fingerprint) []Note {
	var notes []Note
	for name, each := range r.ends {
		if each.isWritten {
			notes = append(notes, Note{Fingerprint: fingerprint, Server: name})
		}
	}
	for number := range r.trials {
		notes = append(notes, Note{Fingerprint: fingerprint, Trial: number})
	}
	return notes
}
