package directory

// Position is how far the store has been read: a revision within an era. The era is a counter that
// rises each time the store is restored from an older copy. The store then has lost what was
// written after that copy and assigns the same revisions again, so revisions of different eras say
// nothing about which state is newer.
type Position struct{ Era, Revision uint64 }

// EraChange describes a restore of the store from an older copy.
type EraChange struct {
	From, To Position
	// Retained are the keys, sorted, whose earlier state stays in force because the store lacks
	// them or holds an older state.
	Retained []string
}

// Lease is the lease of a node's entry in the store. In another era the same ID may belong to
// another node.
type Lease struct{ ID, Era uint64 }

// newestNodeEra returns the latest era in which an entry of a node was written, and whether the
// batch has entries of nodes. An entry that names a later era than the store's was not written by a
// node and tells nothing. A node writes its entry again only after the data that a restore lost
// has been written back, so an entry of the store's own era shows that the write-back is complete.
func (b Batch) newestNodeEra() (newest uint64, exists bool) {
	for _, entry := range b.Entries {
		if entry.Node != nil {
			exists = true
			if entry.Node.Era <= b.Era {
				newest = max(newest, entry.Node.Era)
			}
		}
	}
	return newest, exists
}

// IsSettled reports whether the data that the store lost at its latest restore has been written
// back, as far as the nodes' entries in the batch show.
func (b Batch) IsSettled() bool {
	newest, hasNodes := b.newestNodeEra()
	return !hasNodes || newest >= b.Era
}
