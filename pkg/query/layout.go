package query

import (
	"slices"
	"strings"
	"sync"

	"github.com/bramblemast/bramblemast/pkg/catalog"
	"github.com/bramblemast/bramblemast/pkg/keyspace"
	"github.com/bramblemast/bramblemast/pkg/target"
)

// maxCandidates is the maximum number of replicas of a part that a query considers. It is the number
// of bits in partState.tried.
const maxCandidates = 64

// layout is the plan of one index version, built from one view of the catalog. It is immutable.
type layout struct {
	version target.Version
	// requested is the range that the parts divide.
	requested keyspace.Range
	parts     []plannedPart
	// reachableWidth counts the positions for which there is a candidate.
	reachableWidth uint32
}

// skipFunc reports whether a server must not be used for a range.
type skipFunc func(server target.ServerID, keys keyspace.Range) bool

// newLayout plans the requested range of a version, without the servers for which skip returns true.
// skip may be nil.
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

// narrow returns a layout of only the part that contains the position.
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

// shardsOf returns the distinct ranges that servers hold at a version, in an order that depends only
// on the view.
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

// newShard returns a shard with its candidates sorted, active ones first and then by ID, without
// duplicates and limited to maxCandidates.
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

// layouts holds the plans of the whole key space for every version in a view, newest first. It is
// immutable.
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

// pin chooses the version to answer from: the one with the greatest reachable width, the newest of
// these if there are several. With a non-empty key it chooses the newest version that has a server
// for the key, and narrows the layout to the part that contains the key. It returns nil if there is
// no usable server.
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

// layoutCache keeps the layouts of the latest view of each service, because many queries use the
// same view. It is safe for concurrent use.
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
