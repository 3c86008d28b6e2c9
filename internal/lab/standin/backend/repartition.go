package backend

import (
	"slices"
	"sort"
	"time"

	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/internal/lab/standin/labapi"
	"github.com/bramblemast/bramblemast/internal/pause"
	"github.com/bramblemast/bramblemast/pkg/backend"
	"github.com/bramblemast/bramblemast/pkg/keyspace"
)

// minHoldersToSeparate is the number of holders at which each part of a split
// still has two when every holder keeps only one part.
const minHoldersToSeparate = 4

// Split replaces a shard by two on every server that holds it, at every
// version. The parts are named after the shard with "-a" and "-b". It returns
// the shards of the newest version, the old one included while both are held.
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
		server.addShards([]string{parent.Group}, parts)
	}
	f.dropLater(holders, []string{parent.Group}, request.OverlapMS)
	return f.layout(), nil
}

// dropLater makes servers drop shards, at once if the overlap is zero. The
// caller holds the mutex.
func (f *Fleet) dropLater(servers []*Server, groups []string, overlapMS int64) {
	if overlapMS <= 0 {
		dropShards(servers, groups)
		return
	}
	f.work.Go(func() {
		if !pause.For(f.context, time.Duration(overlapMS)*time.Millisecond) {
			return
		}
		f.mutex.Lock()
		defer f.mutex.Unlock()
		dropShards(servers, groups)
	})
}

func dropShards(servers []*Server, groups []string) {
	for _, server := range servers {
		server.dropShards(groups)
	}
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
// at every version. It returns the shards of the newest version as Split does.
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
	dropped := []string{left.Group, right.Group}
	holders := append(leftHolders, rightHolders...)
	for _, server := range holders {
		server.addShards(dropped, []backend.Shard{merged})
	}
	f.dropLater(holders, dropped, request.OverlapMS)
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

// addShards adds shards to every version that holds one of the given groups and
// does not have them yet.
func (s *Server) addShards(beside []string, added []backend.Shard) {
	s.changeShards(func(shards []backend.Shard) []backend.Shard {
		if !slices.ContainsFunc(shards, func(shard backend.Shard) bool { return slices.Contains(beside, shard.Group) }) {
			return shards
		}
		next := slices.Clone(shards)
		for _, shard := range added {
			if !slices.Contains(next, shard) {
				next = append(next, shard)
			}
		}
		return next
	})
}

// dropShards drops the shards of the given groups from every version.
func (s *Server) dropShards(groups []string) {
	s.changeShards(func(shards []backend.Shard) []backend.Shard {
		return slices.DeleteFunc(slices.Clone(shards), func(shard backend.Shard) bool {
			return slices.Contains(groups, shard.Group)
		})
	})
}

// changeShards applies a change to the shards of every version. The change must
// not alter its argument, which readers may hold.
func (s *Server) changeShards(change func(shards []backend.Shard) []backend.Shard) {
	var next []backend.Index
	for _, index := range *s.indexes.Load() {
		next = append(next, backend.Index{Version: index.Version, Shards: change(index.Shards)})
	}
	s.setIndexes(next)
}
