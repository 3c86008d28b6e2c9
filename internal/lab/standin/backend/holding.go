package backend

import (
	"github.com/bramblemast/bramblemast/pkg/backend"
	"github.com/bramblemast/bramblemast/pkg/keyspace"
	"github.com/bramblemast/bramblemast/pkg/outcome"
	"github.com/bramblemast/bramblemast/pkg/target"
)

// holds reports whether the server can answer for the range at the version: the
// range must lie within one shard that it holds.
func (s *Server) holds(version target.Version, within keyspace.Range) bool {
	for _, index := range *s.indexes.Load() {
		if index.Version != version {
			continue
		}
		for _, shard := range index.Shards {
			if shard.Range.Covers(within) {
				return true
			}
		}
	}
	return false
}

// notHeldReason says why holds is false.
func (s *Server) notHeldReason(query *subQuery) outcome.Reason {
	for _, index := range *s.indexes.Load() {
		if index.Version == query.version {
			return outcome.ReasonRangeNotHeld
		}
	}
	return outcome.ReasonVersionGone
}

// newestVersion returns the newest version that is held; zero if none is.
func (s *Server) newestVersion() target.Version {
	indexes := *s.indexes.Load()
	if len(indexes) == 0 {
		return 0
	}
	return indexes[len(indexes)-1].Version
}

// setIndexes replaces what the server holds. Callers serialize their changes.
func (s *Server) setIndexes(indexes []backend.Index) { s.indexes.Store(&indexes) }
