package quarantine

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/bramblemast/bramblemast/internal/pause"
)

// Times and bounds of writing.
const (
	// maxNotesPerCall is the maximum number of notes written by one call, within the 32 operations
	// that a transaction of the store may hold.
	maxNotesPerCall = 30
	// writeTimeout bounds a call. minRetryDelay and maxRetryDelay bound the wait after a failed
	// one, so that a store that is available again holds within a second what was detected
	// meanwhile.
	writeTimeout  = time.Second
	minRetryDelay = 200 * time.Millisecond
	maxRetryDelay = time.Second
	// unavailableRetryDelay is the interval of checks whether the ledger is available again; the
	// ledger is not called meanwhile.
	unavailableRetryDelay = 250 * time.Millisecond
	// delayedRemovalSpread is the maximum random delay before a node removes a note that it knows
	// to be wrong, so that one node does so for all.
	delayedRemovalSpread = time.Second
)

// Run probes servers that may have crashed, announces those that did to the other nodes, and writes
// notes to the ledger, until ctx ends. It always returns nil.
func (g *Guard) Run(ctx context.Context) error {
	failures := 0
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return nil
		case <-g.work:
		}
		if !g.isUrgent() {
			pause.For(ctx, noteDelay)
		}
		g.probeUnconfirmed()
		g.announceAllCrashes()
		if g.options.LedgerUnavailable() {
			pause.For(ctx, unavailableRetryDelay)
			g.signal()
			continue
		}
		if err := g.write(ctx); err != nil {
			pause.For(ctx, pause.Doubled(minRetryDelay, maxRetryDelay, failures))
			failures++
			g.signal()
			continue
		}
		failures = 0
	}
	return nil
}

// isUrgent reports whether a suspect request has notes to write. These are not held back for
// noteDelay, since the other nodes send the request to all its shards until they know.
func (g *Guard) isUrgent() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := time.Now()
	for _, rec := range g.records {
		if rec.state(now) > Doubtful && rec.hasMissingNotes() {
			return true
		}
	}
	return false
}

// write makes at most one call to remove notes and one to add notes.
func (g *Guard) write(ctx context.Context) error {
	limited, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if removals := g.takeRemovals(); len(removals) > 0 {
		if err := g.options.Ledger.RemoveNotes(limited, removals); err != nil {
			g.options.Events.LedgerFailed("remove notes", err)
			g.returnRemovals(removals)
			return err
		}
	}
	additions := g.additions()
	if len(additions) == 0 {
		return nil
	}
	if err := g.options.Ledger.AddNotes(limited, additions); err != nil {
		g.options.Events.LedgerFailed("add notes", err)
		g.awaitPeerWriteAgain(additions)
		return err
	}
	g.markWritten(additions)
	return nil
}

// additions returns notes that the store lacks, those of suspect requests first.
func (g *Guard) additions() []Note {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := time.Now()
	var suspects, others []Note
	for fingerprint, rec := range g.records {
		notes := rec.missingNotes(fingerprint)
		if rec.state(now) > Doubtful {
			suspects = append(suspects, notes...)
		} else {
			others = append(others, notes...)
		}
	}
	all := append(suspects, others...)
	if len(all) > maxNotesPerCall {
		g.signal()
	}
	return all[:min(len(all), maxNotesPerCall)]
}

// markWritten records that the store holds notes.
func (g *Guard) markWritten(notes []Note) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for _, note := range notes {
		rec := g.records[note.Fingerprint]
		if rec == nil || rec.crashes[note.Server] == nil {
			// The request was cleared while the note was being written.
			g.removals = append(g.removals, note)
			g.signal()
			continue
		}
		rec.crashes[note.Server].isWritten = true
	}
}

// removeLater removes a note that this node knows to be wrong after a random delay, unless another
// node has removed it by then. The mutex is held.
func (g *Guard) removeLater(note Note) {
	if g.delayedRemovals[note] {
		return
	}
	g.delayedRemovals[note] = true
	time.AfterFunc(rand.N(delayedRemovalSpread), func() {
		g.mutex.Lock()
		defer g.mutex.Unlock()
		if g.delayedRemovals[note] {
			delete(g.delayedRemovals, note)
			g.removals = append(g.removals, note)
			g.signal()
		}
	})
}

// takeRemovals takes as many of the notes to be removed as one call may hold.
func (g *Guard) takeRemovals() []Note {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	count := min(len(g.removals), maxNotesPerCall)
	taken := g.removals[:count:count]
	g.removals = g.removals[count:]
	if len(g.removals) > 0 {
		g.signal()
	}
	return taken
}

// returnRemovals puts back notes that could not be removed.
func (g *Guard) returnRemovals(notes []Note) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.removals = append(g.removals, notes...)
}
