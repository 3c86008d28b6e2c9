package query

import (
	"cmp"
	"slices"

	"github.com/bramblemast/bramblemast/pkg/backend"
)

// topRecords keeps the best records of many lists. It is cheap because most records of a query over
// many parts rank below the worst record kept and are skipped after one comparison. It is not safe
// for concurrent use.
type topRecords struct {
	// limit is the number of records wanted; zero or less means all.
	limit   int
	records []backend.Record
	// received counts the records of all parts, including those that were skipped.
	received int
	// full is true once a trim has left limit records; worst is then the last of them, and records
	// that rank below it are skipped.
	full  bool
	worst backend.Record
}

// maxReservedRecords is the maximum capacity, in records, that is allocated at the start.
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

// add adds the records of one more part, in any order.
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

// trim sorts the records and drops those beyond the limit.
func (t *topRecords) trim() {
	slices.SortFunc(t.records, compareRecords)
	if t.limit <= 0 || len(t.records) < t.limit {
		return
	}
	t.records = t.records[:t.limit]
	t.worst = t.records[t.limit-1]
	t.full = true
}

// sorted returns the best records so far, in order. The slice is valid until the next add.
func (t *topRecords) sorted() []backend.Record {
	t.trim()
	return t.records
}
