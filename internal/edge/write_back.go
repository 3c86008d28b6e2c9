package edge

import (
	"context"
	"slices"
	"time"

	"github.com/bramblemast/bramblemast/internal/pause"
	"github.com/bramblemast/bramblemast/pkg/directory"
	"github.com/bramblemast/bramblemast/pkg/rendezvous"
)

// Restorer writes to the store what it has lost and what only nodes write.
type Restorer interface {
	// WriteBack writes a lost entry unless its key has been written since; it returns false if it has.
	WriteBack(ctx context.Context, lost directory.LostEntry) (bool, error)
}

// Timing of writing back.
const (
	writeBackInterval = 250 * time.Millisecond
	writeBackTimeout  = time.Second
	// writeBackStagger is the delay per rank: a node writes a key that much later than the node
	// ranked before it, so that it finds the key written if that node succeeded. Ranks beyond
	// maxWriteBackRank count as maxWriteBackRank.
	writeBackStagger = time.Second
	maxWriteBackRank = 5
)

// writeBack writes to the store what it has lost and only the nodes still have: templates, and notes on
// requests that crash servers. All nodes have them, so no lease per key is needed: the node that
// ranks first for a key writes it, the next ones do if it did not, and each write is conditional.
type writeBack struct {
	restorer Restorer
	node     *Node
	// work has an element when the store may lack something.
	work chan struct{}
}

func newWriteBack(restorer Restorer, node *Node) *writeBack {
	return &writeBack{restorer: restorer, node: node, work: make(chan struct{}, 1)}
}

// wake reports that the store may lack something that this node or another one knows.
func (w *writeBack) wake() {
	select {
	case w.work <- struct{}{}:
	default:
	}
}

// run writes back after each restore, until ctx ends.
func (w *writeBack) run(ctx context.Context) error {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return nil
		case <-w.work:
			w.writeAll(ctx)
		}
	}
	return nil
}

// writeAll writes until the store has everything back, as far as this node knows.
func (w *writeBack) writeAll(ctx context.Context) {
	ticker := time.NewTicker(writeBackInterval)
	defer ticker.Stop()
	var settledAt time.Time
	written, writtenEra := make(map[string]uint64), w.node.follower.Position().Era
	for w.node.follower.IsRestoring() {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			if era := w.node.follower.Position().Era; era != writtenEra {
				// Another restore may have removed again what was written.
				clear(written)
				settledAt, writtenEra = time.Time{}, era
			}
			lost := w.node.follower.LostEntries()
			if len(lost) > 0 && settledAt.IsZero() {
				settledAt = now
			}
			w.writeDue(ctx, lost, now.Sub(settledAt), written)
		}
	}
}

// writeDue writes the lost entries for which it is this node's turn, given the time since the store
// has settled. An entry that was written over the key's state at one revision of the store is not
// written again over the same one, because the node sees its own write only at the next reading of
// the store.
func (w *writeBack) writeDue(ctx context.Context, lost []directory.LostEntry, sinceSettled time.Duration, written map[string]uint64) {
	names := w.nodeNames()
	for _, each := range lost {
		writtenRevision, isWritten := written[each.Entry.Key]
		isOwnTurn := time.Duration(w.rank(each.Entry.Key, names))*writeBackStagger <= sinceSettled
		if !isOwnTurn || isWritten && writtenRevision == each.StoreRevision {
			continue
		}
		if !w.write(ctx, each) {
			// The store refuses this node or is unavailable: another node may write in the meantime.
			pause.For(ctx, writeBackStagger)
			return
		}
		written[each.Entry.Key] = each.StoreRevision
	}
}

// write writes one entry, and reports whether the call to the store succeeded.
func (w *writeBack) write(ctx context.Context, lost directory.LostEntry) bool {
	callCtx, cancel := context.WithTimeout(ctx, writeBackTimeout)
	defer cancel()
	isWritten, err := w.restorer.WriteBack(callCtx, lost)
	if err != nil {
		w.node.logger.Warn("lost state not written back", "key", lost.Entry.Key, "error", err.Error())
		return false
	}
	w.node.logger.Info("lost state written back", "key", lost.Entry.Key, "gone", lost.Entry.Gone,
		"was_newer", !isWritten, "store_revision", lost.StoreRevision)
	return true
}

// nodeNames returns the names of the known nodes, this one among them.
func (w *writeBack) nodeNames() []string {
	names := []string{w.node.nodeEntry.node.Name}
	for _, known := range w.node.state.knownNodes() {
		if known.Name != names[0] {
			names = append(names, known.Name)
		}
	}
	return names
}

// rank returns this node's rank for a key among nodes, at most maxWriteBackRank.
func (w *writeBack) rank(key string, names []string) int {
	return min(slices.Index(rendezvous.Rank(key, names), w.node.nodeEntry.node.Name), maxWriteBackRank)
}
