package directory

import (
	"maps"
	"slices"
	"time"

	"github.com/bramblemast/bramblemast/pkg/rendezvous"
)

// Constants of the division of reading.
const (
	// readersPerRegion is how many nodes of a region read the store for the others: one
	// that is lost does not take the news of its region with it. Their calls do not grow
	// with the region. Two a region instead of two a zone make 550 calls a day of 890 and
	// 680 of 1,075 on 65 nodes of 6 zones in 3 regions.
	readersPerRegion = 2
	// childrenPerParent bounds what a node sends: it tells each change to as many others.
	// Those that the readers do not tell ask nodes that ask the readers, and so on. At
	// the size to design for that is 8 times 0.6 kB/s, of 12 kB/s that a node may spend
	// for control (docs/CAPACITY.md).
	childrenPerParent = 8
	// ejectionSpan is for how long a node that did not answer, or answered with old
	// news, is not counted among those to ask.
	ejectionSpan = 10 * time.Second
	// readerShare is the part of the allowed age of news that readers use; the
	// rest is for the way to the other nodes of the zone.
	readerShare = 0.5
	// minSharedStaleness is from which allowed age of news on nodes read for each
	// other: readers need their share of it, and a comparison with them comes an
	// interval and a call later at most.
	minSharedStaleness = 2*compareInterval + 500*time.Millisecond
	// rankKey is what the nodes of a zone are ranked for.
	rankKey = "readers of the store"
)

// Role is how a node learns what changes in the store.
type Role int32

// The roles.
const (
	// Alone means that the node reads the store for itself.
	Standalone Role = iota
	// Reader means that it reads the store for the nodes of its region too.
	Reader
	// Asker means that it asks the readers of its region, or nodes that ask them, and
	// reads the store only when it has had no news in time.
	PeerPoller
)

// String returns the name used in logs.
func (r Role) String() string { return [...]string{"alone", "reader", "asker"}[r] }

// readers divides the reading of the store among the nodes of a region, by rank and
// without messages. Nodes may disagree for a while on who reads: too many readers
// cost calls, and without any each node reads for itself as soon as its news is as
// old as allowed. It is not safe for concurrent use.
type readers struct {
	local Node
	// regions maps each zone to its region; the nodes of a region read for each other.
	regions map[string]string
	// tells says that other nodes of the region ask this one for news, although it is no
	// reader, and usesRelay that it asks such a node.
	isRelay, usesRelay bool
	// avoided are nodes by name that are no readers until a moment.
	ejected map[string]time.Time
}

func newReaders(local Node, regions map[string]string) *readers {
	return &readers{local: local, regions: regions, ejected: make(map[string]time.Time)}
}

// avoid leaves a node out of the readers for a while.
func (r *readers) eject(name string, now time.Time) {
	maps.DeleteFunc(r.ejected, func(_ string, until time.Time) bool { return !now.Before(until) })
	r.ejected[name] = now.Add(ejectionSpan)
}

// rank returns the nodes of the region that may read, this one among them, best
// first.
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

// parents returns the positions of the first and the last of the nodes that the one
// at a rank asks: the readers, or further down two of those that the readers tell.
func parents(rank int) (first, last int) {
	pair := (rank - readersPerRegion) / (readersPerRegion * childrenPerParent)
	return readersPerRegion * pair, readersPerRegion*pair + readersPerRegion - 1
}

// firstChild returns the position of the first node that asks the one at a rank.
func firstChild(rank int) int {
	return readersPerRegion + rank/readersPerRegion*readersPerRegion*childrenPerParent
}

// role returns what this node does while news may be as old as stalenessBound.
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

// ask returns the node to ask in a turn, and false if this node has become a reader.
func (r *readers) choose(nodes []Node, turn int, now time.Time) (Node, bool) {
	ranked := r.rank(nodes, now)
	own := slices.Index(ranked, r.local)
	if own < readersPerRegion {
		return Node{}, false
	}
	first, last := parents(own)
	return ranked[first+turn%(last-first+1)], true
}
