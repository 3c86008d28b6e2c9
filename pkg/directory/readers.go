package directory

import (
	"maps"
	"slices"
	"time"

	"github.com/bramblemast/bramblemast/pkg/rendezvous"
)

// Constants of the division of the reads among nodes.
const (
	// readersPerRegion is how many nodes of a region read the store for the others, so that the loss
	// of one does not cut the region off from changes. Their calls do not grow with the region. Two
	// per region instead of two per zone reduce 890 calls a day to 550, and 1,075 to 680, on 65
	// nodes of 6 zones in 3 regions.
	readersPerRegion = 2
	// childrenPerParent bounds what a node sends: it relays each change to as many others. Nodes
	// that the readers do not serve ask nodes that ask the readers, and so on. At the design size
	// that is 8 times 0.6 kB/s, of the 12 kB/s that a node may spend on control traffic
	// (docs/CAPACITY.md).
	childrenPerParent = 8
	// ejectionSpan is how long a node that did not answer, or whose replica was stale, is not
	// polled.
	ejectionSpan = 10 * time.Second
	// readerShare is the part of the staleness bound that readers use; the rest is for the way to
	// the other nodes of the region.
	readerShare = 0.5
	// minSharedStaleness is the smallest staleness bound at which nodes read for each other:
	// readers need their share of it, and a comparison with them follows up to an interval and a
	// call later.
	minSharedStaleness = 2*compareInterval + 500*time.Millisecond
	// rankKey is the key for which the nodes of a region are ranked.
	rankKey = "readers of the store"
)

// Role is how a node learns of changes in the store.
type Role int32

// The roles.
const (
	// Standalone means that the node reads the store only for itself.
	Standalone Role = iota
	// Reader means that the node reads the store also for the other nodes of its region.
	Reader
	// PeerPoller means that the node polls the readers of its region, or nodes that poll them, and
	// reads the store only when its replica has reached the staleness bound.
	PeerPoller
)

// String returns the name used in logs, where a PeerPoller is an "asker".
func (r Role) String() string { return [...]string{"alone", "reader", "asker"}[r] }

// readers divides the reads of the store among the nodes of a region, by rank and without messages.
// Nodes may disagree for a while on who reads: too many readers cost calls, and without any each
// node reads for itself once its replica reaches the staleness bound. It is not safe for concurrent
// use.
type readers struct {
	local Node
	// regions maps each zone to its region; the nodes of a region read for each other.
	regions map[string]string
	// isRelay says that other nodes of the region poll this one although it is no reader, and
	// usesRelay that it polls such a node.
	isRelay, usesRelay bool
	// ejected are the nodes, by name, that are left out of the ranking until a time.
	ejected map[string]time.Time
}

func newReaders(local Node, regions map[string]string) *readers {
	return &readers{local: local, regions: regions, ejected: make(map[string]time.Time)}
}

// eject leaves a node out of the ranking for an ejectionSpan.
func (r *readers) eject(name string, now time.Time) {
	maps.DeleteFunc(r.ejected, func(_ string, until time.Time) bool { return !now.Before(until) })
	r.ejected[name] = now.Add(ejectionSpan)
}

// rank returns the nodes of the region that may read, including this one, best first.
func (r *readers) rank(nodes []Node, now time.Time) []Node {
	byName := map[string]Node{r.local.Name: r.local}
	for _, node := range nodes {
		if node.Name != r.local.Name && SameRegion(r.regions, node.Zone, r.local.Zone) && node.PeerAddress != "" && !now.Before(r.ejected[node.Name]) {
			byName[node.Name] = node
		}
	}
	names := make([]string, 0, len(byName))
	for name := range byName {
		names = append(names, name)
	}
	ranked := make([]Node, 0, len(names))
	for _, name := range rendezvous.Rank(rankKey, names) {
		ranked = append(ranked, byName[name])
	}
	return ranked
}

// parents returns the positions of the first and the last node that the node at a rank polls: the
// readers, or further down two of the nodes that poll the readers.
func parents(rank int) (first, last int) {
	pair := (rank - readersPerRegion) / (readersPerRegion * childrenPerParent)
	return readersPerRegion * pair, readersPerRegion*pair + readersPerRegion - 1
}

// firstChild returns the position of the first node that polls the one at a rank.
func firstChild(rank int) int {
	return readersPerRegion + rank/readersPerRegion*readersPerRegion*childrenPerParent
}

// role returns this node's role under a staleness bound.
func (r *readers) role(nodes []Node, stalenessBound time.Duration, now time.Time) Role {
	ranked := r.rank(nodes, now)
	ownRank := slices.Index(ranked, r.local)
	r.isRelay = ownRank >= readersPerRegion && firstChild(ownRank) < len(ranked)
	r.usesRelay = ownRank >= firstChild(readersPerRegion)
	switch {
	case stalenessBound < minSharedStaleness || len(ranked) <= readersPerRegion:
		return Standalone
	case slices.Contains(ranked[:readersPerRegion], r.local):
		return Reader
	}
	return PeerPoller
}

// choose returns the node to poll in a turn; false if this node has become a reader.
func (r *readers) choose(nodes []Node, turn int, now time.Time) (Node, bool) {
	ranked := r.rank(nodes, now)
	ownRank := slices.Index(ranked, r.local)
	if ownRank < readersPerRegion {
		return Node{}, false
	}
	first, last := parents(ownRank)
	return ranked[first+turn%(last-first+1)], true
}
