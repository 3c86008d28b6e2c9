package backend

import (
	"sort"

	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/internal/lab/standin/labapi"
	"github.com/bramblemast/bramblemast/pkg/backend"
	"github.com/bramblemast/bramblemast/pkg/keyspace"
)

// minHoldersToSeparate is the number of holders at which each part of a split
// still has two when every holder keeps only one part.
const minHoldersToSeparate = 4

// Split replaces a shard by two on every server that holds it, at every
// version. The parts are named after the shard with "-a" and "-b". It returns
// the new layout of the newest version.
func (f *Fleet) Split(request labapi.SplitRequest) ([]backend.Shard, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	parent, holders := f.find(request.Group)
	if len(holders) == 0 {
		return nil, errors.Errorf("service %s has no shard %q", f.service.Name, request.Group)
	}
	left, right, err := divide(parent, request.At)
	if err != nil {
		return nil, err
	}
	separate := request.Separate && len(holders) >= minHoldersToSeparate
	for turn, server := range holders {
		parts := []backend.Shard{left, right}
		if separate {
			parts = parts[turn%2 : turn%2+1]
		}
		server.replaceShards([]string{parent.Group}, parts)
	}
	return f.layout(), nil
}

func divide(parent backend.Shard, at uint32) (left, right backend.Shard, err error) {
	if at == 0 {
		at = parent.Range.Start + parent.Range.Width()/2
	}
	if at <= parent.Range.Start || at >= parent.Range.End {
		return left, right, errors.Errorf("cannot split %s at %d", parent.Range, at)
	}
	left = backend.Shard{Group: parent.Group + "-a", Range: keyspace.Range{Start: parent.Range.Start, End: at}}
	right = backend.Shard{Group: parent.Group + "-b", Range: keyspace.Range{Start: at, End: parent.Range.End}}
	return left, right, nil
}

// Merge replaces two adjacent shards by one on every server that holds either,
// at every version. It returns the new layout of the newest version.
func (f *Fleet) Merge(request labapi.MergeRequest) ([]backend.Shard, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	left, leftHolders := f.find(request.Left)
	right, rightHolders := f.find(request.Right)
	if len(leftHolders) == 0 || len(rightHolders) == 0 || left.Range.End != right.Range.Start {
		return nil, errors.Errorf("shards %q and %q are not adjacent", request.Left, request.Right)
	}
	merged := backend.Shard{
		Group: left.Group + "+" + right.Group,
		Range: keyspace.Range{Start: left.Range.Start, End: right.Range.End},
	}
	for _, server := range append(leftHolders, rightHolders...) {
		server.replaceShards([]string{left.Group, right.Group}, []backend.Shard{merged})
	}
	return f.layout(), nil
}

// Layout returns the shards of the newest version over all servers, each once,
// by position.
func (f *Fleet) Layout() []backend.Shard {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.layout()
}

func (f *Fleet) layout() []backend.Shard {
	seen := make(map[backend.Shard]bool)
	var shards []backend.Shard
	for _, server := range f.servers {
		for _, shard := range server.newestShards() {
			if !seen[shard] {
				seen[shard] = true
				shards = append(shards, shard)
			}
		}
	}
	sort.Slice(shards, func(i, j int) bool { return shards[i].Range.Start < shards[j].Range.Start })
	return shards
}

// find returns the shard of that name and the servers that hold it.
func (f *Fleet) find(group string) (backend.Shard, []*Server) {
	var found backend.Shard
	var holders []*Server
	for _, server := range f.servers {
		for _, shard := range server.newestShards() {
			if shard.Group == group {
				found = shard
				holders = append(holders, server)
			}
		}
	}
	return found, holders
}

func (s *Server) newestShards() []backend.Shard {
	indexes := *s.indexes.Load()
	return indexes[len(indexes)-1].Shards
}

// replaceShards drops the named shards of every version and adds others in
// their place, unless none of the named ones is held.
func (s *Server) replaceShards(dropped []string, added []backend.Shard) {
	var next []backend.Index
	for _, index := range *s.indexes.Load() {
		kept := withoutGroups(index.Shards, dropped)
		if len(kept) < len(index.Shards) {
			kept = append(kept, added...)
		}
		next = append(next, backend.Index{Version: index.Version, Shards: kept})
	}
	s.setIndexes(next)
}

func withoutGroups(shards []backend.Shard, dropped []string) []backend.Shard {
	var kept []backend.Shard
	for _, shard := range shards {
		drop := false
		for _, group := range dropped {
			drop = drop || shard.Group == group
		}
		if !drop {
			kept = append(kept, shard)
		}
	}
	return kept
}
