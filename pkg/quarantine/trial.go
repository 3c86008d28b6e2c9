package quarantine

import (
	"context"
	"time"

	"github.com/bramblemast/bramblemast/pkg/exchange"
)

// Trial is a permit to send a suspect request to one server.
type Trial struct {
	guard *Guard
	note  Note
	// isLocal says that it was claimed without the ledger, which does not hold its note.
	isLocal bool
}

// ClaimTrial returns a permit to try a suspect request, or nil if none is available or if the call
// to the ledger failed. All nodes together get ImmediateTrials, and then one at a time at growing
// intervals. While the ledger is unavailable, each node gets one trial for itself.
func (g *Guard) ClaimTrial(ctx context.Context, fingerprint exchange.Fingerprint) *Trial {
	for {
		note, ok := g.nextTrial(fingerprint)
		if !ok {
			return nil
		}
		isClaimed, err := g.options.Ledger.ClaimNote(ctx, note)
		if err != nil {
			g.options.Events.LedgerFailed("claim trial", err)
			return g.claimLocalTrial(fingerprint)
		}
		g.recordTrial(note, isClaimed)
		if isClaimed {
			return &Trial{guard: g, note: note}
		}
	}
}

// nextTrial returns the note of the trial that may be made now, and false if there is none.
func (g *Guard) nextTrial(fingerprint exchange.Fingerprint) (Note, bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	rec := g.records[fingerprint]
	if rec == nil || !rec.allowsTrial(time.Now()) {
		return Note{}, false
	}
	return Note{Fingerprint: fingerprint, Trial: rec.nextTrial()}, true
}

// claimLocalTrial returns the permit for the one trial that a node makes for itself while the
// ledger is unavailable, when the bound over all nodes cannot be enforced.
func (g *Guard) claimLocalTrial(fingerprint exchange.Fingerprint) *Trial {
	if !g.options.LedgerUnavailable() {
		return nil
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	rec := g.records[fingerprint]
	now := time.Now()
	if rec == nil || rec.hasMadeLocalTrial || !rec.allowsTrial(now) {
		return nil
	}
	before := rec.state(now)
	note := Note{Fingerprint: fingerprint, Trial: rec.nextTrial()}
	rec.hasMadeLocalTrial = true
	rec.recordTrial(note.Trial, now)
	g.announce(Update{Note: note, DetectedAt: now})
	g.reportChange(fingerprint, before, now)
	return &Trial{guard: g, note: note, isLocal: true}
}

// recordTrial records that a trial was made, by this node if it was claimed here.
func (g *Guard) recordTrial(note Note, isClaimed bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	rec := g.records[note.Fingerprint]
	if rec == nil {
		// The request was cleared meanwhile.
		g.removals = append(g.removals, note)
		g.signal()
		return
	}
	now := time.Now()
	before := rec.state(now)
	rec.recordTrial(note.Trial, now)
	if isClaimed {
		g.announce(Update{Note: note, DetectedAt: now})
	}
	g.reportChange(note.Fingerprint, before, now)
}

// Release ends a trial in which nothing reached a server, so that it may be made again. It does
// nothing for a nil Trial.
func (t *Trial) Release() {
	if t == nil {
		return
	}
	g := t.guard
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if rec := g.records[t.note.Fingerprint]; rec != nil {
		now := time.Now()
		before := rec.state(now)
		delete(rec.trials, t.note.Trial)
		rec.hasMadeLocalTrial = rec.hasMadeLocalTrial && !t.isLocal
		g.announce(Update{Note: t.note, IsReleased: true, DetectedAt: now})
		g.reportChange(t.note.Fingerprint, before, now)
	}
	if t.isLocal {
		// If the ledger holds a note with this number, another node may have claimed it there.
		return
	}
	g.removals = append(g.removals, t.note)
	g.signal()
}
