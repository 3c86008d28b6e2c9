package query

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/bramblemast/bramblemast/pkg/backend"
	"github.com/bramblemast/bramblemast/pkg/catalog"
	"github.com/bramblemast/bramblemast/pkg/keyspace"
	"github.com/bramblemast/bramblemast/pkg/target"
)

// sixteenths returns the range between two sixteenths of the key space.
func sixteenths(start, end uint32) keyspace.Range {
	return keyspace.Range{Start: start * keyspace.Size / 16, End: end * keyspace.Size / 16}
}

func drawShards(t *rapid.T) []shard {
	count := rapid.IntRange(0, 10).Draw(t, "shards")
	known := map[keyspace.Range]bool{}
	var shards []shard
	for i := range count {
		start := rapid.Uint32Range(0, 15).Draw(t, "start")
		keys := sixteenths(start, rapid.Uint32Range(start+1, 16).Draw(t, "end"))
		if known[keys] {
			continue
		}
		known[keys] = true
		var servers []*catalog.Server
		for replica := range rapid.IntRange(0, 3).Draw(t, "replicas") {
			state := rapid.SampledFrom([]catalog.State{catalog.Active, catalog.Active, catalog.Ejected}).Draw(t, "state")
			servers = append(servers, &catalog.Server{ID: target.ServerID(fmt.Sprintf("s%d-%d", i, replica)), State: state})
		}
		shards = append(shards, newShard(fmt.Sprintf("g%d", i), keys, servers))
	}
	return shards
}

// bestCost returns the minimum cost, by trying every division into edges.
func bestCost(requested keyspace.Range, edges []plannedPart) cost {
	if requested.Width() == 0 {
		return cost{}
	}
	var best cost
	found := false
	for _, edge := range edges {
		if edge.keys.Start != requested.Start || edge.keys.End > requested.End {
			continue
		}
		rest := bestCost(keyspace.Range{Start: edge.keys.End, End: requested.End}, edges)
		total := cost{}.add(edge)
		total = cost{missing: total.missing + rest.missing, cut: total.cut + rest.cut, scarcity: total.scarcity + rest.scarcity, parts: total.parts + rest.parts}
		if !found || total.less(best) {
			best, found = total, true
		}
	}
	return best
}

// TestTilingIsExactAndCheapest guards against tilings with gaps, overlaps or candidates that do not
// hold their part, and against tilings that are not of minimum cost, over random overlapping shards.
func TestTilingIsExactAndCheapest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shards := drawShards(t)
		start := rapid.Uint32Range(0, 15).Draw(t, "asked start")
		requested := sixteenths(start, rapid.Uint32Range(start+1, 16).Draw(t, "asked end"))
		parts := tile(requested, shards)
		next := requested.Start
		var total cost
		for _, part := range parts {
			if part.keys.Start != next || !part.keys.Valid() {
				t.Fatalf("the parts %v have a gap, an overlap or an empty range in %s", parts, requested)
			}
			next = part.keys.End
			total = total.add(part)
			checkCandidates(t, part, shards)
		}
		if next != requested.End {
			t.Fatalf("the parts %v do not reach the end of %s", parts, requested)
		}
		checkReachability(t, parts, shards)
		edges := clipTo(requested, shards)
		edges = append(edges, pieces(boundaries(requested, edges), edges)...)
		if best := bestCost(requested, edges); best.less(total) {
			t.Fatalf("the tiling costs %+v, but %+v is possible", total, best)
		}
	})
}

// checkCandidates checks that each candidate holds the whole range of the part.
func checkCandidates(t *rapid.T, part plannedPart, shards []shard) {
	for _, candidate := range part.candidates {
		holds := false
		for _, held := range shards {
			for _, server := range held.candidates {
				holds = holds || server.ID == candidate.ID && held.keys.Covers(part.keys)
			}
		}
		if !holds {
			t.Fatalf("candidate %s does not hold %s", candidate.ID, part.keys)
		}
	}
}

// checkReachability checks that every position that some server holds is in a part with candidates.
func checkReachability(t *rapid.T, parts []plannedPart, shards []shard) {
	for _, part := range parts {
		for _, held := range shards {
			if len(part.candidates) == 0 && len(held.candidates) > 0 && held.keys.Overlaps(part.keys) {
				t.Fatalf("%s has no candidate, but a server holds %s", part.keys, held.keys)
			}
		}
	}
}

// TestAShardWithoutServersHidesNoLargerOne guards against a part without candidates although a
// larger shard holds its range. Two shards without servers are split from larger, overlapping shards
// that have servers; their ranges must be queried from the larger ones.
func TestAShardWithoutServersHidesNoLargerOne(t *testing.T) {
	held := func(name string) []*catalog.Server { return []*catalog.Server{{ID: target.ServerID(name)}} }
	parts := tile(sixteenths(0, 3), []shard{
		newShard("first", sixteenths(0, 1), nil), newShard("lower", sixteenths(0, 2), held("a")),
		newShard("last", sixteenths(2, 3), nil), newShard("upper", sixteenths(1, 3), held("b")),
	})
	for _, part := range parts {
		if len(part.candidates) == 0 {
			t.Errorf("%s has no candidate, but a larger shard holds it", part.keys)
		}
	}
}

// TestTilingPrefersMoreReplicas checks the choice between a parent shard and its children, which
// exist at the same time during a repartition: the ones with more replicas are used.
func TestTilingPrefersMoreReplicas(t *testing.T) {
	replicas := func(names ...string) (servers []*catalog.Server) {
		for _, name := range names {
			servers = append(servers, &catalog.Server{ID: target.ServerID(name)})
		}
		return servers
	}
	parent := newShard("parent", sixteenths(0, 8), replicas("a"))
	children := []shard{newShard("left", sixteenths(0, 4), replicas("b", "c")), newShard("right", sixteenths(4, 8), replicas("d", "e"))}
	parts := tile(sixteenths(0, 8), append(children, parent))
	if len(parts) != 2 || parts[0].group != "left" || parts[1].group != "right" {
		t.Fatalf("want the children, which have more replicas: %v", parts)
	}
	parent = newShard("parent", sixteenths(0, 8), replicas("a", "f", "g"))
	if parts = tile(sixteenths(0, 8), append(children, parent)); len(parts) != 1 || parts[0].group != "parent" {
		t.Fatalf("want the parent, which has more replicas: %v", parts)
	}
}

// BenchmarkLayouts measures the cost of planning a new view of a service with 880 servers.
func BenchmarkLayouts(b *testing.B) {
	view := &catalog.View{Service: "service"}
	for i, keys := range keyspace.Split(220) {
		shards := []backend.Shard{{Group: "group", Range: keys}}
		for replica := range 4 {
			view.Servers = append(view.Servers, &catalog.Server{
				ID:      target.ServerID(fmt.Sprintf("s%03d-%d", i, replica)),
				Indexes: []backend.Index{{Version: 1, Shards: shards}, {Version: 2, Shards: shards}},
			})
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		newLayouts(view)
	}
}
