package quarantine

import (
	"math/rand/v2"
	"time"

	"github.com/bramblemast/bramblemast/pkg/exchange"
)

// Update is what nodes send each other directly about a request, in addition to the notes in the
// store. Notes reach the other nodes through the store a second later, and not at all while it is
// unavailable.
type Update struct {
	// Note is a crash of a server or a trial; with neither, the update says that a server has
	// answered the request.
	Note Note
	// IsReleased says that the trial reached no server, so that it may be made again.
	IsReleased bool
	// DetectedAt is when the sending node detected it, by the clock of this node.
	DetectedAt time.Time
}

// isAnswer reports whether the update says that a server has answered the request.
func (u Update) isAnswer() bool { return u.Note.Trial == 0 && u.Note.Server.ID == "" }

// maxUpdateAge is the age up to which updates are accepted. Nodes send them within a second; what
// was held up in a suspended process for longer is known from the store.
const maxUpdateAge = 10 * time.Second

// OnUpdate sets the function that sends updates of this node to others and reports whether it had
// room for them. A crash that it had no room for is sent again later. The function must neither
// block nor call the Guard, whose mutex is held. OnUpdate must be called before the Guard is used.
func (g *Guard) OnUpdate(notify func(Update) bool) { g.notify = notify }

// Delays before a node writes crashes to the store that another node announced, if the store does
// not hold them by then. The announcing node may have stopped, or it may leave the writing to another
// node that announced them to it.
const (
	// peerWriteDelay is several times what a note takes to the store and back.
	peerWriteDelay = 3 * time.Second
	// peerWriteSpread is the maximum random addition to peerWriteDelay. It lets one node write the
	// crashes, and most of the others see them in the store before their own delay has passed.
	peerWriteSpread = 10 * time.Second
)

// ApplyUpdate applies an update of another node, and reports whether it was new here. For
// peerWriteDelay or longer, writing it to the store is left to the node that announced it.
func (g *Guard) ApplyUpdate(update Update, now time.Time) bool {
	if now.Sub(update.DetectedAt) > maxUpdateAge {
		return false
	}
	fingerprint := update.Note.Fingerprint
	isAnswered := g.lock(fingerprint, now)
	defer g.unlock()
	if isAnswered {
		return false
	}
	if update.isAnswer() {
		g.answers.add(fingerprint, now)
		g.clear(fingerprint, now)
		return true
	}
	before := g.state(fingerprint, now)
	if update.IsReleased && g.records[fingerprint] == nil {
		return false
	}
	rec := g.ensureRecord(fingerprint, now)
	isNew := rec.applyUpdate(update, now)
	if isNew && update.Note.Trial == 0 {
		g.awaitPeerWrite(fingerprint, rec)
	}
	g.reportChange(fingerprint, before, now)
	return isNew
}

// awaitPeerWrite gives the nodes that announced crashes time to write them. The mutex is held.
func (g *Guard) awaitPeerWrite(fingerprint exchange.Fingerprint, rec *record) {
	if rec.isAwaitingPeerWrite {
		return
	}
	rec.isAwaitingPeerWrite = true
	time.AfterFunc(peerWriteDelay+rand.N(peerWriteSpread), func() { g.peerWriteExpired(fingerprint, rec) })
}

// peerWriteExpired has Run write announced crashes that the store still lacks. While the store is
// unavailable, other nodes cannot write either, and are given the same time again.
func (g *Guard) peerWriteExpired(fingerprint exchange.Fingerprint, rec *record) {
	isUnavailable := g.options.LedgerUnavailable()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.records[fingerprint] != rec {
		return
	}
	rec.isAwaitingPeerWrite = false
	if isUnavailable {
		g.awaitPeerWrite(fingerprint, rec)
	} else if rec.hasMissingNotes() {
		g.signal()
	}
}

// awaitPeerWriteAgain gives the announcing nodes time once more, after this node could not write
// the notes itself. The mutex must not be held.
func (g *Guard) awaitPeerWriteAgain(notes []Note) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for _, note := range notes {
		rec := g.records[note.Fingerprint]
		if rec == nil {
			continue
		}
		if crash := rec.crashes[note.Server]; crash != nil && crash.isFromPeer {
			g.awaitPeerWrite(note.Fingerprint, rec)
		}
	}
}

// maxAnnouncedCrashes bounds the crashed servers of one request that nodes announce to each other.
// The others need to know which servers have crashed, since that determines where a trial may be
// made. A request of many shards crashes one server of each.
const maxAnnouncedCrashes = 64

// announceCrashes announces the servers that crashed under a request to the other nodes. The mutex
// is held.
func (g *Guard) announceCrashes(fingerprint exchange.Fingerprint, rec *record) {
	if g.notify == nil {
		return
	}
	for _, server := range rec.crashedServers() {
		if rec.countCrashes((*serverCrash).isKnownToOthers) >= maxAnnouncedCrashes {
			return
		}
		crash := rec.crashes[server]
		if crash.isAnnounced {
			continue
		}
		crash.isAnnounced = g.notify(Update{Note: Note{Fingerprint: fingerprint, Server: server}, DetectedAt: crash.at})
		if !crash.isAnnounced {
			// Run announces it again, once there is room in the queue.
			g.signal()
			return
		}
	}
}

// announceAllCrashes announces the servers that crashed under requests which no other server has
// answered meanwhile.
func (g *Guard) announceAllCrashes() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for fingerprint, rec := range g.records {
		g.announceCrashes(fingerprint, rec)
	}
}

// announce sends an update on a trial or an answer. If there is no room for it, the others learn of
// it from the store. The mutex is held.
func (g *Guard) announce(update Update) {
	if g.notify != nil {
		g.notify(update)
	}
}

// applyUpdate applies an update of another node, and reports whether it was new.
func (r *record) applyUpdate(update Update, now time.Time) bool {
	note := update.Note
	switch {
	case note.Trial > 0 && update.IsReleased:
		wasMade := r.trials[note.Trial]
		delete(r.trials, note.Trial)
		return wasMade
	case note.Trial > 0:
		isNew := !r.trials[note.Trial]
		r.recordTrial(note.Trial, now)
		return isNew
	}
	crash := r.crashes[note.Server]
	isNew := crash == nil || !crash.isConfirmed
	crash = r.addCrash(note.Server, true, now)
	crash.isAnnounced, crash.isFromPeer = true, crash.isFromPeer || isNew
	return isNew
}
