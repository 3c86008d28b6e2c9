package owner

import (
	"time"

	"github.com/bramblemast/bramblemast/pkg/loadshed"
	"github.com/bramblemast/bramblemast/pkg/owner/ownerpb"
)

// Put hands an Announcer a message as its meters do.
func (a *Announcer) Put(message []loadshed.Measured) { a.waiting.put(message) }

// RoomOf returns what a report about some services tells.
func (a *Announcer) RoomOf(services []string, now time.Time) []*ownerpb.Room {
	return a.roomOf(services, "", now)
}
