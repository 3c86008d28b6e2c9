package quarantine

import (
	"context"
	"time"

	"github.com/bramblemast/bramblemast/pkg/exchange"
)

// Trial is leave to send a suspect request to one server.
type Trial struct {
	guard *Guard
	note  Note
	// isAlone says that it was claimed without the ledger, which does not hold its note.
	isAlone bool
}

// ClaimTrial returns leave to try a suspect request, or nil if none is left, or if the ledger
// could not be asked. All nodes together get ImmediateTrials, and then one now and then.
func (g *Guard) ClaimTrial(ctx context.Context, fingerprint exchange.Fingerprint) *Trial {
	for {
		note, ok := g.nextTrial(fingerprint)
		if !ok {
			return nil
		}
		isClaimed, err := g.options.Ledger.ClaimNote(ctx, note)
		if err != nil {
			g.options.Events.LedgerFailed("claim trial", err)
			return g.claimAlone(fingerprint)
		}
		g.noteTrial(note, isClaimed)
		if isClaimed {
			return &Trial{guard: g, note: note}
		}
	}
}

// nextTrial returns the note of the trial that may be made now.
func (g *Guard) nextTrial(fingerprint exchange.Fingerprint) (Note, bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	known := g.records[fingerprint]
	if known == nil || !known.mayTry(time.Now()) {
		return Note{}, false
	}
	return Note{Fingerprint: fingerprint, Trial: known.nextTrial()}, true
}

// claimAlone returns leave for the one trial that a node makes by itself while the ledger is
// out of reach, where its bound on all nodes cannot be kept.
func (g *Guard) claimAlone(fingerprint exchange.Fingerprint) *Trial {
	if !g.options.LedgerUnavailable() {
		return nil
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	known := g.records[fingerprint]
	now := time.Now()
	if known == nil || known.hasTriedAlone || !known.mayTry(now) {
		return nil
	}
	before := known.standing(now)
	note := Note{Fingerprint: fingerprint, Trial: known.nextTrial()}
	known.hasTriedAlone = true
	known.noteTrial(note.Trial, now)
	g.tellOther(Update{Note: note, DetectedAt: now})
	g.changed(fingerprint, before, now)
	return &Trial{guard: g, note: note, isAlone: true}
}

// noteTrial takes that a trial was made, by this node if it was claimed here.
func (g *Guard) noteTrial(note Note, isClaimed bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	known := g.records[note.Fingerprint]
	if known == nil {
		// It was cleared meanwhile.
		g.removals = append(g.removals, note)
		g.signal()
		return
	}
	now := time.Now()
	before := known.standing(now)
	known.noteTrial(note.Trial, now)
	if isClaimed {
		g.tellOther(Update{Note: note, DetectedAt: now})
	}
	g.changed(note.Fingerprint, before, now)
}

// Release ends a trial in which nothing reached a server: it may be made again. It does
// nothing for nil.
func (t *Trial) Release() {
	if t == nil {
		return
	}
	g := t.guard
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if known := g.records[t.note.Fingerprint]; known != nil {
		now := time.Now()
		before := known.standing(now)
		delete(known.trials, t.note.Trial)
		known.hasTriedAlone = known.hasTriedAlone && !t.isAlone
		g.tellOther(Update{Note: t.note, IsReleased: true, DetectedAt: now})
		g.changed(t.note.Fingerprint, before, now)
	}
	if t.isAlone {
		// If the ledger holds a note of this number, another node may have claimed it there.
		return
	}
	g.removals = append(g.removals, t.note)
	g.signal()
}
