package oracle

import (
	"strings"
	"sync"

	"github.com/bramblemast/bramblemast/internal/lab/dataset"
	"github.com/bramblemast/bramblemast/pkg/keyspace"
	"github.com/bramblemast/bramblemast/pkg/target"
)

// maxEvaluations bounds the cache; it is emptied when it is full.
const maxEvaluations = 4096

type evaluationKey struct {
	dataset *dataset.Dataset
	version target.Version
	query   string
	ranges  string
	limit   int
}

// evaluations caches right answers, because most requests of a run ask the
// same few questions of the same version.
type evaluations struct {
	// mutex guards results.
	mutex   sync.Mutex
	results map[evaluationKey]dataset.Result
}

// evaluate returns the right answer. The caller must not change it.
func (e *evaluations) evaluate(data *dataset.Dataset, version target.Version, query string, within []keyspace.Range, limit int) dataset.Result {
	key := evaluationKey{dataset: data, version: version, query: query, ranges: rangesText(within), limit: limit}
	e.mutex.Lock()
	result, known := e.results[key]
	e.mutex.Unlock()
	if known {
		return result
	}
	result = data.Evaluate(version, query, within, limit)
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if len(e.results) >= maxEvaluations {
		clear(e.results)
	}
	e.results[key] = result
	return result
}

func rangesText(ranges []keyspace.Range) string {
	texts := make([]string, 0, len(ranges))
	for _, part := range ranges {
		texts = append(texts, part.String())
	}
	return strings.Join(texts, ",")
}
