package backend

import (
	"sort"
	"sync"

	"github.com/bramblemast/bramblemast/internal/lab/standin/labapi"
)

// Sizes of the execution log of one server. Entries with an idempotency key
// have a ring of their own, so that plain reads never push them out.
const (
	plainEntries = 2048
	keyedEntries = 65536
)

// executionLog remembers the latest received requests of one server. It is
// safe for concurrent use.
type executionLog struct {
	mutex sync.Mutex
	plain ring // guarded by mutex
	keyed ring // guarded by mutex
	// runs counts the executions of each idempotency key; guarded by mutex.
	runs map[string]int64
}

// ring is a bounded list of entries; the oldest one is replaced first.
type ring struct {
	entries []*labapi.Execution
	next    int
	limit   int
}

func newExecutionLog() *executionLog {
	return &executionLog{
		plain: ring{limit: plainEntries},
		keyed: ring{limit: keyedEntries},
		runs:  make(map[string]int64),
	}
}

func (r *ring) add(entry *labapi.Execution) {
	if len(r.entries) < r.limit {
		r.entries = append(r.entries, entry)
		return
	}
	r.entries[r.next] = entry
	r.next = (r.next + 1) % r.limit
}

// add records a received request; start and finish change its outcome later.
func (l *executionLog) add(entry *labapi.Execution) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if entry.IdempotencyKey != "" {
		l.keyed.add(entry)
		return
	}
	l.plain.add(entry)
}

func (l *executionLog) finish(entry *labapi.Execution, outcome labapi.ExecutionOutcome, reason string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	entry.Outcome = outcome
	entry.Reason = reason
}

// matching returns copies of the entries that the query picks.
func (l *executionLog) matching(query labapi.ExecutionsQuery) []labapi.Execution {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var found []labapi.Execution
	for _, entries := range [][]*labapi.Execution{l.plain.entries, l.keyed.entries} {
		for _, entry := range entries {
			if matches(entry, query) {
				found = append(found, *entry)
			}
		}
	}
	return found
}

// start marks the execution as running and returns how often its idempotency
// key has run at this server, this time included.
func (l *executionLog) start(entry *labapi.Execution) int64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	entry.Outcome = labapi.ExecutionRunning
	if entry.IdempotencyKey == "" {
		return 0
	}
	l.runs[entry.IdempotencyKey]++
	return l.runs[entry.IdempotencyKey]
}

func matches(entry *labapi.Execution, query labapi.ExecutionsQuery) bool {
	return (query.IdempotencyKey == "" || entry.IdempotencyKey == query.IdempotencyKey) &&
		(query.RequestID == "" || entry.RequestID == query.RequestID) &&
		(query.Server == "" || entry.Server == query.Server) &&
		(query.Service == "" || entry.Service == query.Service) &&
		!entry.Time.Before(query.Since)
}

func sortByTime(entries []labapi.Execution) {
	sort.SliceStable(entries, func(i, j int) bool { return entries[i].Time.Before(entries[j].Time) })
}
