package owner

import (
	"time"

	"github.com/bramblemast/bramblemast/pkg/loadshed"
	"github.com/bramblemast/bramblemast/pkg/owner/ownerpb"
)

// Put hands an Announcer a message as its meters do.
func (a *Announcer) Put(message []loadshed.Measurement) { a.waiting.put(message) }

// RoomOf returns what a report to a question tells.
func (a *Announcer) RoomOf(question *ownerpb.Question, now time.Time) []*ownerpb.Room {
	return a.roomOf(question, "", now)
}
