// Package dataset generates the index contents of the back-end stand-ins and
// computes the right answer to a query, for the oracle.
//
// Contents are a pure function of the service, the seed, the index version and
// the record number, so that every stand-in process and the oracle agree
// without sharing anything. A Dataset is immutable after New.
package dataset

import (
	"fmt"
	"sort"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/bramblemast/bramblemast/pkg/backend"
	"github.com/bramblemast/bramblemast/pkg/keyspace"
	"github.com/bramblemast/bramblemast/pkg/target"
)

// maxScore bounds the scores, exclusive.
const maxScore = 100_000

// Dataset is the contents of one service's index over all versions.
type Dataset struct {
	service target.Service
	seed    uint64
	keys    []entry
}

type entry struct {
	key      string
	position uint32
}

// Result is the right answer for the asked ranges.
type Result struct {
	Records  []backend.Record
	Matches  uint64
	ScoreSum int64
}

// New makes a dataset of size records. Keys are "group<g>/item<n>", where g
// runs over 16 groups.
func New(service target.Service, seed uint64, size int) *Dataset {
	keys := make([]entry, 0, size)
	for number := range size {
		key := fmt.Sprintf("group%d/item%d", number%16, number)
		keys = append(keys, entry{key: key, position: keyspace.Position(key)})
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i].position < keys[j].position })
	return &Dataset{service: service, seed: seed, keys: keys}
}

// Score returns the score of a key at a version.
func (d *Dataset) Score(key string, version target.Version) int64 {
	text := string(d.service) + "|" + strconv.FormatUint(d.seed, 10) + "|" +
		strconv.FormatUint(uint64(version), 10) + "|" + key
	return int64(xxhash.Sum64String(text) % maxScore)
}

// Evaluate answers a query over the given ranges at a version: the records
// whose key starts with query (all if it is empty), highest score first, ties
// by key, at most limit (all if it is zero).
func (d *Dataset) Evaluate(version target.Version, query string, within []keyspace.Range, limit int) Result {
	var result Result
	for _, part := range within {
		start := sort.Search(len(d.keys), func(i int) bool { return d.keys[i].position >= part.Start })
		for _, item := range d.keys[start:] {
			if item.position >= part.End {
				break
			}
			if !strings.HasPrefix(item.key, query) {
				continue
			}
			score := d.Score(item.key, version)
			result.Matches++
			result.ScoreSum += score
			result.Records = append(result.Records, backend.Record{Key: item.key, Score: score})
		}
	}
	sort.Slice(result.Records, func(i, j int) bool {
		if result.Records[i].Score != result.Records[j].Score {
			return result.Records[i].Score > result.Records[j].Score
		}
		return result.Records[i].Key < result.Records[j].Key
	})
	if limit > 0 && len(result.Records) > limit {
		result.Records = result.Records[:limit]
	}
	return result
}
