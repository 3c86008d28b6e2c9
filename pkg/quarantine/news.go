package quarantine

import (
	"math/rand/v2"
	"time"

	"github.com/bramblemast/bramblemast/pkg/exchange"
)

// News is what nodes tell each other directly of a request, beside what they note in the store:
// notes reach the others through it a second later, and not at all while it is away.
type Update struct {
	// Note says that a server ended or a trial was made; with neither, that a server has
	// answered the request.
	Note Note
	// IsReleased says that a trial reached no server, so that it may be made again.
	IsReleased bool
	// At is when it was found out.
	DetectedAt time.Time
}

// isAnswer reports whether the news is that a server has answered the request.
func (n Update) isAnswer() bool { return n.Note.Trial == 0 && n.Note.Server.ID == "" }

// maxNewsAge is how old news may be that is still taken: nodes tell it within a second, and what
// stood still in a suspended process meanwhile is known from the store.
const maxNewsAge = 10 * time.Second

// OnUpdate sets the function that takes what this node finds out and reports whether it had room
// for it; a server that ended is told again otherwise. The function must neither block nor call
// the Guard, whose mutex is held. OnUpdate is called before the Guard is used.
func (g *Guard) OnUpdate(tell func(Update) bool) { g.tell = tell }

// Times after which a node writes to the store what it has heard, if the store does not hold it by
// then: the node that told it has ended, or leaves the writing to another one from which it heard it.
const (
	// heardDelay is several times what a note takes to the store and back.
	heardDelay = 3 * time.Second
	// heardSpread lets one node write it and most of the others learn that before their turn.
	heardSpread = 10 * time.Second
)

// Hear takes what another node has found out, and reports whether it was new here. What was
// heard is left to the node that told it to write to the store, for heardDelay and more.
func (g *Guard) ApplyUpdate(news Update, now time.Time) bool {
	if now.Sub(news.DetectedAt) > maxNewsAge {
		return false
	}
	fingerprint := news.Note.Fingerprint
	isServed := g.lock(fingerprint, now)
	defer g.unlock()
	if isServed {
		return false
	}
	if news.isAnswer() {
		g.served.add(fingerprint, now)
		g.clear(fingerprint, now)
		return true
	}
	before := g.standing(fingerprint, now)
	if news.IsReleased && g.records[fingerprint] == nil {
		return false
	}
	known := g.record(fingerprint, now)
	isNew := known.hear(news, now)
	if isNew && news.Note.Trial == 0 {
		g.awaitWriters(fingerprint, known)
	}
	g.changed(fingerprint, before, now)
	return isNew
}

// awaitWriters gives the nodes that told of ends time to write them. The mutex is held.
func (g *Guard) awaitWriters(fingerprint exchange.Fingerprint, known *record) {
	if known.isAwaitingWriters {
		return
	}
	known.isAwaitingWriters = true
	time.AfterFunc(heardDelay+rand.N(heardSpread), func() { g.endAwait(fingerprint, known) })
}

// endAwait writes what was heard and is not in the store. While that is out of reach, other nodes
// cannot write either, and are given the same time again.
func (g *Guard) endAwait(fingerprint exchange.Fingerprint, known *record) {
	isLost := g.options.LedgerUnavailable()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.records[fingerprint] != known {
		return
	}
	known.isAwaitingWriters = false
	if isLost {
		g.awaitWriters(fingerprint, known)
	} else if known.hasUnwritten() {
		g.signal()
	}
}

// awaitWritersAgain gives the nodes that told of notes time once more, after this node could not
// write them itself. The mutex is not held.
func (g *Guard) awaitWritersAgain(notes []Note) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for _, note := range notes {
		known := g.records[note.Fingerprint]
		if known == nil {
			continue
		}
		if ended := known.ends[note.Server]; ended != nil && ended.isHeard {
			g.awaitWriters(note.Fingerprint, known)
		}
	}
}

// mostEndsTold bounds the servers of one request that nodes tell each other of: where a trial may be
// made depends on which have ended, and a request of many shards ends one of each.
const mostEndsTold = 64

// tellEnded tells the other nodes of servers that ended under a request. The mutex is held.
func (g *Guard) tellEnded(fingerprint exchange.Fingerprint, known *record) {
	if g.tell == nil {
		return
	}
	for _, name := range known.servers() {
		if known.count((*end).isKnownToOthers) >= mostEndsTold {
			return
		}
		each := known.ends[name]
		if each.isTold {
			continue
		}
		each.isTold = g.tell(Update{Note: Note{Fingerprint: fingerprint, Server: name}, DetectedAt: each.at})
		if !each.isTold {
			// Run tells it again, once some of what waits has gone.
			g.signal()
			return
		}
	}
}

// tellSettled tells of the servers that ended under requests which no other server has answered
// meanwhile.
func (g *Guard) tellSettled() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for fingerprint, known := range g.records {
		g.tellEnded(fingerprint, known)
	}
}

// tellOther tells of a trial or an answer. What finds no room the others learn from the store. The
// mutex is held.
func (g *Guard) tellOther(news Update) {
	if g.tell != nil {
		g.tell(news)
	}
}

// hear takes news from another node and reports whether it was new.
func (r *record) hear(news Update, now time.Time) bool {
	note := news.Note
	switch {
	case note.Trial > 0 && news.IsReleased:
		wasMade := r.trials[note.Trial]
		delete(r.trials, note.Trial)
		return wasMade
	case note.Trial > 0:
		isNew := !r.trials[note.Trial]
		r.noteTrial(note.Trial, now)
		return isNew
	}
	known := r.ends[note.Server]
	isNew := known == nil || !known.isConfirmed
	known = r.add(note.Server, true, now)
	known.isTold, known.isHeard = true, known.isHeard || isNew
	return isNew
}
