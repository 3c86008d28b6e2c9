package edge

import (
	"context"
	"slices"
	"time"

	"github.com/bramblemast/bramblemast/internal/pause"
	"github.com/bramblemast/bramblemast/pkg/directory"
	"github.com/bramblemast/bramblemast/pkg/rendezvous"
)

// Restorer writes to the store what only nodes write, after the store has lost it.
type Restorer interface {
	// WriteBack writes a lost state unless its key was written meanwhile; false if it was.
	WriteBack(ctx context.Context, lost directory.LostEntry) (bool, error)
}

// Times of writing back.
const (
	writeBackInterval = 250 * time.Millisecond
	writeBackTimeout  = time.Second
	// writeBackStagger is how much later than the one before it a node writes a key, in the order of its
	// rank for that key: the others find it written. maxWriteBackRank bounds the turns.
	writeBackStagger = time.Second
	maxWriteBackRank = 5
)

// writeBack writes to the store what it has lost and nobody but the nodes keeps: templates, and notes on
// requests that end servers. All nodes know it, so that each key needs no lease: the node that ranks
// first for it writes, the next ones do if it did not, and each write is conditional.
type writeBack struct {
	restorer Restorer
	node     *Node
	// work has an element when the store may lack something.
	work chan struct{}
}

func newWriteBack(restorer Restorer, node *Node) *writeBack {
	return &writeBack{restorer: restorer, node: node, work: make(chan struct{}, 1)}
}

// wake tells that the store may lack something, as this node or another one knows it.
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

// writeAll writes until the store has everything back, as this node knows it.
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
				// Another restore has taken it away again.
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

// writeDue writes those of the lost states for which it is this node's turn a span after the store
// has settled. What was written over a revision of the store is known to be there a reading later.
func (w *writeBack) writeDue(ctx context.Context, lost []directory.LostEntry, sinceSettled time.Duration, written map[string]uint64) {
	names := w.nodeNames()
	for _, each := range lost {
		writtenRevision, isWritten := written[each.Entry.Key]
		isOwnTurn := time.Duration(w.rank(each.Entry.Key, names))*writeBackStagger <= sinceSettled
		if !isOwnTurn || isWritten && writtenRevision == each.StoreRevision {
			continue
		}
		if !w.write(ctx, each) {
			// The store refuses this node, or is away: another one may write meanwhile.
			pause.For(ctx, writeBackStagger)
			return
		}
		written[each.Entry.Key] = each.StoreRevision
	}
}

// write writes one state, and reports whether the store took the call.
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
