package fleet

import (
	"strconv"
	"time"
)

// Start is the time at which a server's process started by its own clock, in milliseconds of Unix
// time; zero if the server does not give it. It only distinguishes processes: since clocks can be
// set back, the order of the platform's store decides which of two starts is newer.
type Start int64

// Incarnation identifies one process of a server. A server may restart under the same id; the new
// process has no state of the earlier one, and what was learned about the earlier one does not
// apply to it.
type Incarnation struct {
	ID    string
	Start Start
}

// String returns the form used in logs: the id, followed by the start if it is known.
func (i Incarnation) String() string {
	if i.Start == 0 {
		return i.ID
	}
	return i.ID + "@" + strconv.FormatInt(int64(i.Start), 10)
}

// Incarnation returns the process that the entry describes.
func (s Server) Incarnation() Incarnation { return Incarnation{ID: s.ID, Start: s.Start} }

// ChangeKind is what an entry of the platform's list changed.
type ChangeKind string

// The kinds of change; the values appear in logs.
const (
	Unchanged ChangeKind = ""
	Added     ChangeKind = "added"
	Draining  ChangeKind = "draining"
	Returned  ChangeKind = "returned"
	// Moved means that the id is listed with another address or service.
	Moved ChangeKind = "moved"
	// Restarted means that another process of the server has replaced the known one.
	Restarted ChangeKind = "started again"
	// Invalid means that the entry lacks the start that the server has given before, so that it was
	// written by someone else. The server is treated as if it had been removed from the list.
	Invalid ChangeKind = "mistaken"
	// StillInvalid means the same for an entry whose server has already been treated as removed.
	StillInvalid ChangeKind = "still mistaken"
)

// Change is the effect of one entry of the platform's list.
type Change struct {
	Kind ChangeKind
	// Replaced is the process that has ended, if the server has restarted.
	Replaced Incarnation
}

// replace replaces a known server by another process, or by the same process at another address or
// service. The earlier member stays referenced by its requests in flight: they may have run, and
// their answers are valid, but no new requests are sent to it. The mutex is held.
func (f *Fleet) replace(known *member, server Server, now time.Time) Change {
	known.listed = false
	known.scheduleLeave(now, now)
	known.pool.Close()
	f.add(server, now)
	if known.Start == server.Start {
		return Change{Kind: Moved}
	}
	return Change{Kind: Restarted, Replaced: known.Incarnation()}
}

// RejectEntry handles an entry that exists but describes no server: it cannot be read, or it is not
// the server's own. The server that was listed under the id is treated as if it had been removed
// from the list, until it is listed again. RejectEntry reports whether there was one.
func (f *Fleet) RejectEntry(id string, now time.Time) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	known := f.members[id]
	return known != nil && f.unlistInvalid(known, now).Kind == Invalid
}

// unlistInvalid unlists a known server whose entry is invalid. The mutex is held.
func (f *Fleet) unlistInvalid(known *member, now time.Time) Change {
	if known.Start != 0 {
		f.startRequired[known.ID] = true
	}
	if !f.unlist(known, now, now) {
		return Change{Kind: StillInvalid}
	}
	return Change{Kind: Invalid}
}
