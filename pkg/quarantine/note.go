package quarantine

import (
	"context"

	"github.com/bramblemast/bramblemast/pkg/exchange"
	"github.com/bramblemast/bramblemast/pkg/fleet"
)

// Note is what nodes tell each other of a request: that a server ended while it had the
// request, or that a trial was made.
type Note struct {
	Fingerprint exchange.Fingerprint
	// Server is the incarnation that ended; empty for a trial.
	Server fleet.Incarnation
	// Trial is the number of the trial, from 1; zero for a server.
	Trial int
}

// Ledger keeps notes where all nodes find them. It is safe for concurrent use.
type Ledger interface {
	// AddNotes writes notes; those that exist stay.
	AddNotes(ctx context.Context, notes []Note) error
	// ClaimNote writes a note that must not exist; false if it does.
	ClaimNote(ctx context.Context, note Note) (bool, error)
	// RemoveNotes removes notes, as far as they exist.
	RemoveNotes(ctx context.Context, notes []Note) error
}
