package quarantine

import (
	"context"

	"github.com/bramblemast/bramblemast/pkg/exchange"
	"github.com/bramblemast/bramblemast/pkg/fleet"
)

// Note is a fact about a request that nodes share: a server crashed while it was processing the
// request, or a trial was made.
type Note struct {
	Fingerprint exchange.Fingerprint
	// Server is the incarnation that crashed; empty for a trial.
	Server fleet.Incarnation
	// Trial is the number of the trial, from 1; zero for a crash.
	Trial int
}

// Ledger stores notes where all nodes can read them. It is safe for concurrent use.
type Ledger interface {
	// AddNotes writes notes. Notes that exist already are left as they are.
	AddNotes(ctx context.Context, notes []Note) error
	// ClaimNote writes a note that must not exist yet, and returns false if it does.
	ClaimNote(ctx context.Context, note Note) (bool, error)
	// RemoveNotes removes those of the notes that exist.
	RemoveNotes(ctx context.Context, notes []Note) error
}
