package directory

import (
	"bytes"
	"cmp"
	"math"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bramblemast/bramblemast/pkg/template/stored"
)

// Position is how far a store is known: a revision of an era. The era rises each time that the
// store comes back from an older copy. It has lost what was written after the copy then, and gives
// those revisions out again: revisions of different eras say nothing about which state is newer.
type Position struct{ Era, Revision uint64 }

// EraChange tells that the store has come back from an older copy.
type EraChange struct {
	From, To Position
	// Kept are the keys whose earlier state stays in force, since the store lacks it or holds an
	// older one, in their order.
	Kept []string
}

// Times for which states from before a restore stay in force at most.
const (
	// defaultWriteBackSpan is how long the operator and the servers may take to write again what
	// the store has lost; see SetWriteBackSpan.
	defaultWriteBackSpan = 2800 * time.Millisecond
	// nodesWriteBackSpan is how long the nodes may take: their writes are spread, since the store
	// limits its callers. It is that of their leases, after which a lost node's entry goes.
	nodesWriteBackSpan = 90 * time.Second
	// forGood is for what never goes back to an older state.
	forGood = time.Duration(math.MaxInt64)
)

// earlierState is the state of a key from before the store came back from an older copy.
type earlierState struct {
	entry Entry
	// written is the revision of the key's last write, also if the key is gone.
	written uint64
}

// retention returns for how long the state stays in force unless its key is written again, where
// the operator and the servers write again within a span. A configuration is replaced by a later
// version only.
func (s earlierState) retention(writeBackSpan time.Duration) time.Duration {
	switch {
	case s.entry.Configuration != nil:
		return forGood
	case s.entry.isOwn() || s.entry.Node != nil:
		return nodesWriteBackSpan
	}
	return writeBackSpan
}

// isOwn reports whether nodes write the key back themselves: nobody else does.
func (e Entry) isOwn() bool { return e.Template != nil || e.Note != nil }

// isConfirmedBy reports whether the store holds the same state again.
func (s earlierState) isConfirmedBy(entry Entry) bool {
	if s.entry.Gone || entry.Gone {
		return s.entry.Gone && entry.Gone
	}
	// What cannot be read may have been left out of the entry.
	return s.entry.Problem == nil && entry.Problem == nil && bytes.Equal(s.entry.Value, entry.Value)
}

// isReplacedBy reports whether a state that the restored store holds is a later one. A state of the
// copy was never written later than what is known of its key; one beyond the first revision that was
// seen of the era was written after the restore. What is neither may be both.
func (s earlierState) isReplacedBy(entry Entry, baseline uint64) bool {
	switch {
	case s.entry.Configuration != nil && entry.Configuration != nil:
		return entry.Configuration.Version >= s.entry.Configuration.Version
	case s.entry.Template != nil && entry.Template != nil && s.holdsRevisionOf(entry):
		return false
	case s.entry.Template != nil && entry.Template != nil:
		return true
	case s.entry.Node != nil && entry.Node != nil && entry.Node.Era > s.entry.Node.Era:
		return true
	case !s.entry.Gone && entry.Revision == s.written:
		return true
	}
	return entry.Revision > s.written || entry.Revision > baseline
}

// isRewrittenAs reports whether a state has the revision of this one and was evidently written after the
// restore. The entry of a server proves nothing: it counts heartbeats that the store gives no revision.
func (s earlierState) isRewrittenAs(entry Entry) bool {
	return !s.entry.Gone && entry.Revision == s.written && s.entry.ServerID == "" && !s.isConfirmedBy(entry)
}

// holdsRevisionOf reports whether the published template of an entry is part of this one's history.
func (s earlierState) holdsRevisionOf(entry Entry) bool {
	document, err := stored.Decode(s.entry.Template.Template.Key(), s.entry.Value)
	if err != nil {
		// It was decoded when it was read, so that this means a history which cannot be read: the
		// template that the store holds now decides.
		return false
	}
	_, found := document.Find(entry.Template.Template.ChangeID)
	return found
}

// isLaterThan reports whether the state is a later one than another of the same key.
func (s earlierState) isLaterThan(other earlierState) bool {
	if s.entry.Configuration != nil && other.entry.Configuration != nil {
		return s.entry.Configuration.Version > other.entry.Configuration.Version
	}
	if order := cmp.Or(cmp.Compare(s.entry.Era, other.entry.Era), cmp.Compare(s.written, other.written)); order != 0 {
		return order > 0
	}
	return s.entry.Gone && !other.entry.Gone
}

// earlierStates are the states from before an era that stay in force, and with them which keys were gone.
// They are guarded by the mutex of their replica.
type earlierStates struct {
	states map[string]earlierState
	// since is when the era began, as this node or another one saw it; zero for long ago.
	since time.Time
	// baseline is the first revision that was seen of the era.
	baseline uint64
}

// digestOf returns a number that is the same for the same states; zero for none.
func digestOf(states map[string]earlierState) uint64 {
	var digest uint64
	for key, state := range states {
		text := key + " " + strconv.FormatUint(state.entry.Era, 10) + " " + strconv.FormatUint(state.written, 10)
		if state.entry.Gone {
			text += " gone"
		}
		digest += xxhash.Sum64String(text)
	}
	return digest
}

// Lease is what keeps a node's entry in the store. In another era its number may be another node's.
type Lease struct{ ID, Era uint64 }

// newestNodeEra returns the latest era in which one of the nodes' entries was written, and whether
// there are any. A node writes its entry anew once what a restore has lost is written again, so that
// an entry of the store's own era tells that this has come to its end.
func (b Batch) newestNodeEra() (newest uint64, exists bool) {
	for _, entry := range b.Entries {
		if entry.Node != nil {
			newest, exists = max(newest, entry.Node.Era), true
		}
	}
	return newest, exists
}

// IsSettled reports whether the store has back what it had lost when its era began, as far as the nodes'
// entries in the batch tell.
func (b Batch) IsSettled() bool {
	newest, hasNodes := b.newestNodeEra()
	return !hasNodes || newest >= b.Era
}
