package owner

import (
	"time"

	"github.com/bramblemast/bramblemast/pkg/loadshed"
	"github.com/bramblemast/bramblemast/pkg/owner/ownerpb"
)

// Put passes a message to an Announcer as its meters do.
func (a *Announcer) Put(message []loadshed.Measurement) { a.outgoing.put(message) }

// MeasurementsFor returns the measurements that go with a report to a question.
func (a *Announcer) MeasurementsFor(question *ownerpb.Question, now time.Time) []*ownerpb.Room {
	return a.measurementsFor(question, "", now)
}
