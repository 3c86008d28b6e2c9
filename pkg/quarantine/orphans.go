package quarantine

import (
	"time"

	"github.com/bramblemast/bramblemast/pkg/exchange"
)

// Bounds of what is kept in memory.
const (
	// maxRecords bounds the requests with a record: one crash of a server leaves a record for each
	// request of this node that it was processing.
	maxRecords = 1024
	// maxOrphans bounds the orphaned notes. It allows three crashes and one trial for as many
	// requests as there are records, in half a megabyte.
	maxOrphans = 4 * maxRecords
)

// evictRecord makes room for a record if there are maxRecords. It prefers one that is not suspect.
// The mutex is held.
func (g *Guard) evictRecord(now time.Time) {
	if len(g.records) < maxRecords {
		return
	}
	var chosen exchange.Fingerprint
	for fingerprint, rec := range g.records {
		chosen = fingerprint
		if rec.state(now) <= Doubtful {
			break
		}
	}
	g.keepOrphans(chosen, g.records[chosen])
	g.deleteRecord(chosen)
}

// keepOrphans remembers the stored notes of an evicted record. Other nodes may still need them, and
// if all nodes evict the record, nobody else removes them from the store. The mutex is held.
func (g *Guard) keepOrphans(fingerprint exchange.Fingerprint, rec *record) {
	for _, note := range rec.storedNotes(fingerprint) {
		for other := range g.orphans {
			if len(g.orphans) < maxOrphans {
				break
			}
			g.removeOrphan(other)
		}
		g.orphans[note] = rec.expiresAt
	}
}

// sweepOrphans removes expired orphaned notes from the store. The mutex is held.
func (g *Guard) sweepOrphans(now time.Time) {
	for note, expiresAt := range g.orphans {
		if now.After(expiresAt) {
			g.removeOrphan(note)
		}
	}
}

// removeOrphan removes an orphaned note from the store, unless a new record of its request holds it
// again. The mutex is held.
func (g *Guard) removeOrphan(note Note) {
	delete(g.orphans, note)
	if rec := g.records[note.Fingerprint]; rec != nil && rec.holds(note) {
		return
	}
	g.removals = append(g.removals, note)
	g.signal()
}
