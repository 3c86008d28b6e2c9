package owner

import (
	"time"

	"github.com/bramblemast/bramblemast/pkg/loadshed"
	"github.com/bramblemast/bramblemast/pkg/owner/ownerpb"
)

// Put hands an Announcer a message as its meters do.
func (a *Announcer) Put(message []loadshed.Measurement) { a.outgoing.put(message) }

// MeasurementsFor returns what a report to a question tells.
func (a *Announcer) MeasurementsFor(question *ownerpb.Question, now time.Time) []*ownerpb.Room {
	return a.measurementsFor(question, "", now)
}
