package rendezvous

import (
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/bramblemast/bramblemast/pkg/target"
)

// bin is a server while the nodes choose.
type bin struct {
	server target.ServerID
	hash   uint64
	// limit is the number of nodes above which the server counts as full.
	limit int
	users int
	// score and picked are about the node that is choosing.
	score  uint64
	picked bool
}

func (b *bin) full() bool { return b.users >= b.limit }

// assign lets each node choose count servers of a tier. The nodes choose one
// after the other, in an order that depends on the part alone, by rendezvous
// hashing among the servers that are not full yet.
func assign(
	key string, nodes []hashed[target.NodeID], tier []Replica, count int,
	choose func(node target.NodeID, server target.ServerID),
) {
	if count >= len(tier) {
		assignAll(nodes, tier, choose)
		return
	}
	keyHash := xxhash.Sum64String(key)
	bins := newBins(tier, len(nodes), count)
	for _, node := range orderNodes(keyHash, nodes) {
		nodeHash := combine(keyHash, node.hash)
		for index := range bins {
			bins[index].score = combine(nodeHash, bins[index].hash)
			bins[index].picked = false
		}
		for range count {
			best := pick(bins)
			best.picked = true
			best.users++
			choose(node.id, best.server)
		}
	}
}

func assignAll(
	nodes []hashed[target.NodeID], tier []Replica,
	choose func(node target.NodeID, server target.ServerID),
) {
	for _, node := range nodes {
		for _, replica := range tier {
			choose(node.id, replica.Server)
		}
	}
}

func newBins(tier []Replica, nodes, count int) []bin {
	mean := float64(nodes*count) / float64(len(tier))
	limit := int(mean*(1+fanInSlack)) + 1
	bins := make([]bin, 0, len(tier))
	for _, replica := range tier {
		added := bin{server: replica.Server, hash: xxhash.Sum64String(string(replica.Server)), limit: limit}
		if replica.Connections > 0 {
			added.limit = min(limit, usableConnections(replica.Connections))
		}
		bins = append(bins, added)
	}
	return bins
}

// orderNodes returns the nodes in the order in which they choose.
func orderNodes(keyHash uint64, nodes []hashed[target.NodeID]) []hashed[target.NodeID] {
	ordered := slices.Clone(nodes)
	sort.Slice(ordered, func(i, j int) bool {
		return before(combine(keyHash, ordered[i].hash), ordered[i].id, combine(keyHash, ordered[j].hash), ordered[j].id)
	})
	return ordered
}

// pick returns the best bin that is not picked yet: by score among those with
// room, and a full one only if there is no other.
func pick(bins []bin) *bin {
	var best *bin
	for index := range bins {
		candidate := &bins[index]
		if candidate.picked {
			continue
		}
		if best == nil || candidate.beats(best) {
			best = candidate
		}
	}
	return best
}

func (b *bin) beats(other *bin) bool {
	if b.full() != other.full() {
		return other.full()
	}
	return b.score > other.score
}
