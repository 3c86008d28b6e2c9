package query

import (
	"cmp"
	"slices"

	"github.com/bramblemast/bramblemast/pkg/backend"
)

// top keeps the best records of many lists. Its cost is low because most
// records of a wide query fall below the worst one that can still be wanted.
// It is not safe for concurrent use.
type topRecords struct {
	// limit is the number of records wanted; all if zero or less.
	limit   int
	records []backend.Record
	// taken counts the records of all parts.
	received int
	// full is true once records[limit-1] bounds what can still be wanted.
	full  bool
	worst backend.Record
}

// maxReservedRecords bounds the records for which room is made at the start.
const maxReservedRecords = 256

func newTopRecords(limit int) topRecords {
	if limit <= 0 {
		return topRecords{}
	}
	return topRecords{limit: limit, records: make([]backend.Record, 0, 2*min(limit, maxReservedRecords/2))}
}

// compareRecords orders by score, highest first, ties by key.
func compareRecords(a, b backend.Record) int {
	if a.Score != b.Score {
		return cmp.Compare(b.Score, a.Score)
	}
	return cmp.Compare(a.Key, b.Key)
}

// add takes the records of one more part, in any order.
func (t *topRecords) add(records []backend.Record) {
	t.received += len(records)
	if t.limit <= 0 {
		t.records = append(t.records, records...)
		return
	}
	for i := range records {
		if t.full && compareRecords(records[i], t.worst) > 0 {
			continue
		}
		t.records = append(t.records, records[i])
		if len(t.records) >= 2*t.limit {
			t.trim()
		}
	}
}

// shrink sorts the records and drops those beyond the limit.
func (t *topRecords) trim() {
	slices.SortFunc(t.records, compareRecords)
	if t.limit <= 0 || len(t.records) < t.limit {
		return
	}
	t.records = t.records[:t.limit]
	t.worst = t.records[t.limit-1]
	t.full = true
}

// sorted returns the best records so far. The slice is valid until the next
// add.
func (t *topRecords) sorted() []backend.Record {
	t.trim()
	return t.records
}
