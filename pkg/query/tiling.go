package query

import (
	"slices"

	"github.com/bramblemast/bramblemast/pkg/catalog"
	"github.com/bramblemast/bramblemast/pkg/keyspace"
)

// shard is one distinct range that servers hold at one index version.
type shard struct {
	group string
	keys  keyspace.Range
	// candidates are the servers that may be used, active ones first; active is the number of
	// active ones. A shard without candidates still shows where the boundaries of the parts are.
	candidates []*catalog.Server
	active     int
}

// plannedPart is one part of a plan. It is immutable.
type plannedPart struct {
	shard
	// cut is true if no server's shard has exactly this range, so that the part is a piece of
	// larger shards.
	cut bool
}

// scarcityUnit is the scarcity of a position with one active replica.
const scarcityUnit = 1 << 16

// ejectedPenalty multiplies the scarcity of a position that has only ejected replicas.
const ejectedPenalty = 4

// cost orders plans. A smaller cost is better; the first field that differs decides.
type cost struct {
	// missing counts the positions without any candidate.
	missing uint32
	// cut counts the positions in parts that are not a whole shard.
	cut uint32
	// scarcity is higher the fewer replicas the positions have.
	scarcity uint64
	parts    int
}

func (c cost) add(part plannedPart) cost {
	width := part.keys.Width()
	c.parts++
	if part.cut {
		c.cut += width
	}
	switch {
	case part.active > 0:
		c.scarcity += uint64(width) * scarcityUnit / uint64(part.active)
	case len(part.candidates) > 0:
		c.scarcity += uint64(width) * scarcityUnit * ejectedPenalty / uint64(len(part.candidates))
	default:
		c.missing += width
	}
	return c
}

func (c cost) less(other cost) bool {
	switch {
	case c.missing != other.missing:
		return c.missing < other.missing
	case c.cut != other.cut:
		return c.cut < other.cut
	case c.scarcity != other.scarcity:
		return c.scarcity < other.scarcity
	default:
		return c.parts < other.parts
	}
}

// tile divides the requested range into parts that do not overlap. The shards may overlap in any
// way, because parents and children exist at the same time during a repartition. Of all divisions it
// returns one with the minimum cost: the most positions with a candidate, then the most positions in
// whole shards, then the most replicas, then the fewest parts.
//
// The division is a shortest path over the boundaries of the shards, from the start to the end of
// the requested range. Each possible part is an edge.
func tile(requested keyspace.Range, shards []shard) []plannedPart {
	edges := clipTo(requested, shards)
	bounds := boundaries(requested, edges)
	edges = append(edges, pieces(bounds, edges)...)
	slices.SortStableFunc(edges, func(a, b plannedPart) int { return int(a.keys.Start) - int(b.keys.Start) })
	return shortestPath(bounds, edges)
}

// clipTo returns the shards that overlap the requested range, clipped to it.
func clipTo(requested keyspace.Range, shards []shard) []plannedPart {
	var edges []plannedPart
	for _, held := range shards {
		if !held.keys.Overlaps(requested) {
			continue
		}
		edge := plannedPart{shard: held, cut: !requested.Covers(held.keys)}
		edge.keys.Start = max(held.keys.Start, requested.Start)
		edge.keys.End = min(held.keys.End, requested.End)
		edges = append(edges, edge)
	}
	return edges
}

// boundaries returns the distinct start and end positions of the edges and of the requested range,
// ascending.
func boundaries(requested keyspace.Range, edges []plannedPart) []uint32 {
	bounds := []uint32{requested.Start, requested.End}
	for _, edge := range edges {
		bounds = append(bounds, edge.keys.Start, edge.keys.End)
	}
	slices.Sort(bounds)
	return slices.Compact(bounds)
}

// pieces returns one part for each pair of adjacent boundaries that no edge with candidates connects
// directly. Its candidates are all servers whose shard covers it; without any it is a gap.
func pieces(bounds []uint32, edges []plannedPart) []plannedPart {
	whole := make(map[keyspace.Range]bool, len(edges))
	for _, edge := range edges {
		if len(edge.candidates) > 0 {
			whole[edge.keys] = true
		}
	}
	var result []plannedPart
	for i := 1; i < len(bounds); i++ {
		keys := keyspace.Range{Start: bounds[i-1], End: bounds[i]}
		if !whole[keys] {
			result = append(result, pieceOf(keys, edges))
		}
	}
	return result
}

func pieceOf(keys keyspace.Range, edges []plannedPart) plannedPart {
	piece := plannedPart{shard: shard{keys: keys}, cut: true}
	for _, edge := range edges {
		if !edge.keys.Covers(keys) {
			continue
		}
		if piece.group == "" {
			piece.group = edge.group
		}
		piece.candidates = append(piece.candidates, edge.candidates...)
	}
	piece.shard = newShard(piece.group, keys, piece.candidates)
	return piece
}

// shortestPath returns the edges of the cheapest path from the first to the last boundary. The edges
// must be sorted by start, and from every boundary but the last there must be an edge to the next
// one.
func shortestPath(bounds []uint32, edges []plannedPart) []plannedPart {
	type step struct {
		cost cost
		edge int
	}
	const noEdge = -1
	best := make(map[uint32]step, len(bounds))
	best[bounds[0]] = step{edge: noEdge}
	for index, edge := range edges {
		from, reached := best[edge.keys.Start]
		if !reached {
			continue
		}
		total := from.cost.add(edge)
		known, seen := best[edge.keys.End]
		if !seen || total.less(known.cost) {
			best[edge.keys.End] = step{cost: total, edge: index}
		}
	}
	var path []plannedPart
	for end := bounds[len(bounds)-1]; end != bounds[0]; {
		edge := edges[best[end].edge]
		path = append(path, edge)
		end = edge.keys.Start
	}
	slices.Reverse(path)
	return path
}
