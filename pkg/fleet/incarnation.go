package fleet

import (
	"strconv"
	"time"
)

// Start is when a server's process began by its own clock, in milliseconds of Unix time; zero
// if it does not tell. It only tells one process from another: clocks are set back, so which
// of two starts is the newer one is decided by the order of the platform's store.
type Start int64

// Incarnation is one process of a server. A server may start again under its id; it then
// holds nothing of before, and what was learned of the earlier process does not hold for it.
type Incarnation struct {
	ID    string
	Start Start
}

// String returns the form used in logs: the id, and the start if it is known.
func (i Incarnation) String() string {
	if i.Start == 0 {
		return i.ID
	}
	return i.ID + "@" + strconv.FormatInt(int64(i.Start), 10)
}

// Incarnation returns which process of the server the entry tells of.
func (s Server) Incarnation() Incarnation { return Incarnation{ID: s.ID, Start: s.Start} }

// ChangeKind is what an entry changed.
type ChangeKind string

// The changes, as logs name them.
const (
	Unchanged ChangeKind = ""
	Added     ChangeKind = "added"
	Draining  ChangeKind = "draining"
	Returned  ChangeKind = "returned"
	// Moved means that the id is listed with another address or service.
	Moved ChangeKind = "moved"
	// Restarted means that another process of the server has taken the place of the known one.
	Restarted ChangeKind = "started again"
	// Invalid means that the entry lacks the start that the server has told before, so that
	// another writer made it. The server is left as if it had gone from the list.
	Invalid ChangeKind = "mistaken"
	// StillInvalid is the same of an entry whose server was left already.
	StillInvalid ChangeKind = "still mistaken"
)

// Change tells of one entry of the platform's list what it changed.
type Change struct {
	Kind ChangeKind
	// Replaced is the process that has ended, if the server has started again.
	Replaced Incarnation
}

// replace takes another process, or another place, of a known server. What is known of the
// earlier one stays with its requests that are still under way: they may have run, and their
// answers are sound, but nothing new is sent to it. The mutex is held.
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

// RejectEntry notes that the entry of an id is there but names no server: it cannot be read, or is not
// the server's own. The server that was listed under the id is left as if it had gone from the
// list, until it is listed again. RejectEntry reports whether there was one.
func (f *Fleet) RejectEntry(id string, now time.Time) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	known := f.members[id]
	return known != nil && f.unlistInvalid(known, now).Kind == Invalid
}

// unlistInvalid is RejectEntry for a known server. The mutex is held.
func (f *Fleet) unlistInvalid(known *member, now time.Time) Change {
	if known.Start != 0 {
		f.startRequired[known.ID] = true
	}
	if !f.unlist(known, now, now) {
		return Change{Kind: StillInvalid}
	}
	return Change{Kind: Invalid}
}
