package quarantine

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/bramblemast/bramblemast/internal/pause"
)

// Times and bounds of writing.
const (
	// maxNotes is how many notes are written by one call, within the 32 that a
	// transaction of the store may hold.
	maxNotes = 30
	// writeTimeout bounds a call; leastRetry and greatestRetry the wait after one that
	// failed, so that a store that is back knows what was found meanwhile within a second.
	writeTimeout  = time.Second
	leastRetry    = 200 * time.Millisecond
	greatestRetry = time.Second
	// lostRetry is the wait between two looks at whether the ledger is in reach again; it
	// is not called meanwhile.
	lostRetry = 250 * time.Millisecond
	// disputeSpread is within which time nodes remove a note that they know to be wrong, so
	// that one of them does it for all.
	disputeSpread = time.Second
)

// Run finds out whether servers ended that seem to have, tells the other nodes of those that did, and
// writes notes to the ledger, until ctx ends.
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
		g.probeUnsettled()
		g.tellSettled()
		if g.options.LedgerUnavailable() {
			pause.For(ctx, lostRetry)
			g.signal()
			continue
		}
		if err := g.write(ctx); err != nil {
			pause.For(ctx, pause.Doubled(leastRetry, greatestRetry, failures))
			failures++
			g.signal()
			continue
		}
		failures = 0
	}
	return nil
}

// isUrgent reports whether a suspect request has notes to write, which are not kept back for
// noteDelay: the other nodes send it to all its shards until they know.
func (g *Guard) isUrgent() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := time.Now()
	for _, known := range g.records {
		if known.standing(now) > Doubtful && known.hasUnwritten() {
			return true
		}
	}
	return false
}

// write makes at most one call for what is to be added and one for what is to be removed.
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
		g.awaitWritersAgain(additions)
		return err
	}
	g.noteWritten(additions)
	return nil
}

// additions returns notes that the store lacks, those of suspect requests first.
func (g *Guard) additions() []Note {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := time.Now()
	var suspects, others []Note
	for fingerprint, known := range g.records {
		notes := known.unwritten(fingerprint)
		if known.standing(now) > Doubtful {
			suspects = append(suspects, notes...)
		} else {
			others = append(others, notes...)
		}
	}
	all := append(suspects, others...)
	if len(all) > maxNotes {
		g.signal()
	}
	return all[:min(len(all), maxNotes)]
}

// noteWritten takes that the store holds notes.
func (g *Guard) noteWritten(notes []Note) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for _, note := range notes {
		known := g.records[note.Fingerprint]
		if known == nil || known.ends[note.Server] == nil {
			// It was cleared while the note was being written.
			g.removals = append(g.removals, note)
			g.signal()
			continue
		}
		known.ends[note.Server].isWritten = true
	}
}

// dispute removes a note that this node knows to be wrong, unless another one has done so by
// then. The mutex is held.
func (g *Guard) dispute(note Note) {
	if g.disputed[note] {
		return
	}
	g.disputed[note] = true
	time.AfterFunc(rand.N(disputeSpread), func() {
		g.mutex.Lock()
		defer g.mutex.Unlock()
		if g.disputed[note] {
			delete(g.disputed, note)
			g.removals = append(g.removals, note)
			g.signal()
		}
	})
}

// takeRemovals takes as many notes that are to be removed as one call may hold.
func (g *Guard) takeRemovals() []Note {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	count := min(len(g.removals), maxNotes)
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
