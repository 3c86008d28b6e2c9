package edge

import (
	"github.com/bramblemast/bramblemast/internal/front"
)

// figures are the node's counters.
type figures struct{}

func newFigures() *figures { return &figures{} }

func (f *figures) count(front.Record) {}
