package quarantine

import (
	"time"

	"github.com/bramblemast/bramblemast/pkg/exchange"
)

// Bounds of what is remembered.
const (
	// maxRecords bounds the requests that are remembered: one crash of a server leaves as
	// many as it had requests of this node.
	maxRecords = 1024
	// maxLeftover bounds the notes of the store that are remembered for requests beyond that:
	// three ends and a trial of as many requests again, in half a megabyte.
	maxLeftover = 4 * maxRecords
)

// makeRoom forgets some request, if maxRecords are remembered: one that is not suspect, unless all
// are. The mutex is held.
func (g *Guard) makeRoom(now time.Time) {
	if len(g.records) < maxRecords {
		return
	}
	var chosen exchange.Fingerprint
	for fingerprint, known := range g.records {
		chosen = fingerprint
		if known.standing(now) <= Doubtful {
			break
		}
	}
	g.keepLeftover(chosen, g.records[chosen])
	g.drop(chosen)
}

// keepLeftover remembers the notes of a request that is forgotten for want of room: other nodes may need
// them, and if all forget the request, nobody else removes them. The mutex is held.
func (g *Guard) keepLeftover(fingerprint exchange.Fingerprint, known *record) {
	for _, note := range known.written(fingerprint) {
		for other := range g.leftover {
			if len(g.leftover) < maxLeftover {
				break
			}
			g.removeLeftover(other)
		}
		g.leftover[note] = known.expiresAt
	}
}

// sweepLeftover removes notes that are too old. The mutex is held.
func (g *Guard) sweepLeftover(now time.Time) {
	for note, expiresAt := range g.leftover {
		if now.After(expiresAt) {
			g.removeLeftover(note)
		}
	}
}

// removeLeftover removes a note from the store, unless its request is remembered with it again.
// The mutex is held.
func (g *Guard) removeLeftover(note Note) {
	delete(g.leftover, note)
	if known := g.records[note.Fingerprint]; known != nil && known.holds(note) {
		return
	}
	g.removals = append(g.removals, note)
	g.signal()
}
