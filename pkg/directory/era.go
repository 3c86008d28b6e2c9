package directory

// Position is how far a store is known: a revision of an era. The era rises each time that the
// store comes back from an older copy. It has lost what was written after the copy then, and gives
// those revisions out again: revisions of different eras say nothing about which state is newer.
type Position struct{ Era, Revision uint64 }

// EraChange tells that the store has come back from an older copy.
type EraChange struct {
	From, To Position
	// Kept are the keys whose earlier state stays in force, since the store lacks it or holds an
	// older one, in their order.
	Retained []string
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
