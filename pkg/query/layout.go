package query

import (
	"slices"
	"strings"
	"sync"

	"github.com/bramblemast/bramblemast/pkg/catalog"
	"github.com/bramblemast/bramblemast/pkg/keyspace"
	"github.com/bramblemast/bramblemast/pkg/target"
)

// maxCandidates bounds the replicas of a part that a query considers.
const maxCandidates = 64

// layout is the plan of one index version as one view shows it. It is
// immutable.
type layout struct {
	version target.Version
	// asked is the range that the parts divide.
	requested keyspace.Range
	parts     []plannedPart
	// reachable counts the positions that some server can be asked for.
	reachableWidth uint32
}

// skipFunc reports whether a server is not to be asked for a range.
type skipFunc func(server target.ServerID, keys keyspace.Range) bool

// newLayout plans the asked range of a version, leaving out what skip (which
// may be nil) names.
func newLayout(view *catalog.View, version target.Version, requested keyspace.Range, skip skipFunc) *layout {
	planned := &layout{version: version, requested: requested}
	planned.parts = tile(requested, shardsOf(view, version, skip))
	for _, part := range planned.parts {
		if len(part.candidates) > 0 {
			planned.reachableWidth += part.keys.Width()
		}
	}
	return planned
}

// narrow returns a layout of only the part that holds the position.
func (l *layout) narrow(position uint32) *layout {
	for i, part := range l.parts {
		if !part.keys.Contains(position) {
			continue
		}
		narrowed := &layout{version: l.version, requested: part.keys, parts: l.parts[i : i+1]}
		if len(part.candidates) > 0 {
			narrowed.reachableWidth = part.keys.Width()
		}
		return narrowed
	}
	return &layout{version: l.version}
}

// shardsOf returns the distinct ranges that servers hold at a version, in an
// order that depends only on the view.
func shardsOf(view *catalog.View, version target.Version, skip skipFunc) []shard {
	shardIndex := make(map[keyspace.Range]int)
	var shards []shard
	for _, server := range view.Servers {
		usable := server.State == catalog.Active || server.State == catalog.Ejected
		for _, held := range server.Indexes {
			if held.Version != version {
				continue
			}
			for _, part := range held.Shards {
				if !part.Range.Valid() {
					continue
				}
				at, known := shardIndex[part.Range]
				if !known {
					at = len(shards)
					shardIndex[part.Range] = at
					shards = append(shards, shard{group: part.Group, keys: part.Range})
				}
				if usable && (skip == nil || !skip(server.ID, part.Range)) {
					shards[at].candidates = append(shards[at].candidates, server)
				}
			}
		}
	}
	for i := range shards {
		shards[i] = newShard(shards[i].group, shards[i].keys, shards[i].candidates)
	}
	return shards
}

// newShard orders the candidates: active ones first, then by ID, each once.
func newShard(group string, keys keyspace.Range, candidates []*catalog.Server) shard {
	ordered := slices.Clone(candidates)
	slices.SortFunc(ordered, func(a, b *catalog.Server) int {
		if a.State != b.State {
			return int(a.State) - int(b.State)
		}
		return strings.Compare(string(a.ID), string(b.ID))
	})
	ordered = slices.CompactFunc(ordered, func(a, b *catalog.Server) bool { return a.ID == b.ID })
	ordered = ordered[:min(len(ordered), maxCandidates)]
	result := shard{group: group, keys: keys, candidates: ordered}
	for _, server := range ordered {
		if server.State == catalog.Active {
			result.active++
		}
	}
	return result
}

// layouts is the plans of the whole key space for every version that a view
// shows, newest first. It is immutable.
type layouts struct {
	view     *catalog.View
	versions []*layout
}

func newLayouts(view *catalog.View) *layouts {
	var versions []target.Version
	for _, server := range view.Servers {
		for _, held := range server.Indexes {
			if held.Version != 0 && len(held.Shards) > 0 {
				versions = append(versions, held.Version)
			}
		}
	}
	slices.Sort(versions)
	versions = slices.Compact(versions)
	slices.Reverse(versions)
	result := &layouts{view: view}
	for _, version := range versions {
		result.versions = append(result.versions, newLayout(view, version, keyspace.Full, nil))
	}
	return result
}

// pin chooses the version to answer from: the newest that covers the most. A
// non-empty key narrows the layout to the part that holds it. The result is
// nil if no server can be asked.
func (l *layouts) pin(key string) *layout {
	var best *layout
	for _, candidate := range l.versions {
		if key != "" {
			candidate = candidate.narrow(keyspace.Position(key))
		}
		if candidate.reachableWidth == 0 {
			continue
		}
		if key != "" {
			return candidate
		}
		if best == nil || candidate.reachableWidth > best.reachableWidth {
			best = candidate
		}
	}
	return best
}

// layoutCache keeps the layouts of the last view of each service, because many
// queries share a view. It is safe for concurrent use.
type layoutCache struct {
	services sync.Map // target.Service -> *cachedLayouts
}

type cachedLayouts struct {
	// mutex guards layouts.
	mutex   sync.Mutex
	layouts *layouts
}

func (c *layoutCache) get(view *catalog.View) *layouts {
	found, ok := c.services.Load(view.Service)
	if !ok {
		found, _ = c.services.LoadOrStore(view.Service, &cachedLayouts{})
	}
	cached := found.(*cachedLayouts)
	cached.mutex.Lock()
	defer cached.mutex.Unlock()
	if cached.layouts == nil || cached.layouts.view != view {
		cached.layouts = newLayouts(view)
	}
	return cached.layouts
}
