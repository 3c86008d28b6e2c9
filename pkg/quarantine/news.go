package quarantine

import (
	"time"

	"github.com/bramblemast/bramblemast/pkg/exchange"
)

// News is what nodes tell each other directly of a request, beside what they note in the store:
// notes reach the others through it a second later, and not at all while it is away.
type News struct {
	// Note says that a server ended or a trial was made; with neither, that a server has
	// answered the request.
	Note Note
	// IsGone says that a trial reached no server, so that it may be made again.
	IsGone bool
	// At is when it was found out.
	At time.Time
}

// isAnswer reports whether the news is that a server has answered the request.
func (n News) isAnswer() bool { return n.Note.Trial == 0 && n.Note.Server.ID == "" }

// maxNewsAge is how old news may be that is still taken: nodes tell it within a second, and what
// stood still in a suspended process meanwhile is known from the store.
const maxNewsAge = 10 * time.Second

// TellNews sets the function that takes what this node finds out. The function must neither block
// nor call the Guard, whose mutex is held. TellNews is called before the Guard is used.
func (g *Guard) TellNews(tell func(News)) { g.tell = tell }

// Hear takes what another node has found out, and reports whether it was new here. What was
// heard is not written to the store: the node that told it does that.
func (g *Guard) Hear(news News, now time.Time) bool {
	if now.Sub(news.At) > maxNewsAge {
		return false
	}
	fingerprint := news.Note.Fingerprint
	if g.served.has(fingerprint, now) {
		return false
	}
	if news.isAnswer() {
		g.served.add(fingerprint, now)
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if news.isAnswer() {
		g.clear(fingerprint, now)
		return true
	}
	before := g.standing(fingerprint, now)
	if news.IsGone && g.records[fingerprint] == nil {
		return false
	}
	isNew := g.record(fingerprint, now).hear(news, now)
	g.changed(fingerprint, before, now)
	return isNew
}

// mostEndsTold bounds the servers of one request that nodes tell each other of: where a trial may be made
// depends on which have ended, and a request of many shards ends one of each.
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
		if each := known.ends[name]; !each.isTold {
			each.isTold = true
			g.tell(News{Note: Note{Fingerprint: fingerprint, Server: name}, At: each.at})
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

// tellOther tells of a trial or an answer. The mutex is held.
func (g *Guard) tellOther(news News) {
	if g.tell != nil {
		g.tell(news)
	}
}

// hear takes news from another node and reports whether it was new.
func (r *record) hear(news News, now time.Time) bool {
	note := news.Note
	switch {
	case note.Trial > 0 && news.IsGone:
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
