package oracle

import (
	"fmt"
	"strings"
	"sync"

	"github.com/bramblemast/bramblemast/internal/lab/load"
	"github.com/bramblemast/bramblemast/pkg/outcome"
)

// Execution is one entry of a back end's execution log: a sub-request that
// began to run there.
type Execution struct {
	RequestID      string
	IdempotencyKey string
	Server         string
}

// requestRecord is what the caller was told of one exchange.
type requestRecord struct {
	template string
	outcome  outcome.Outcome
}

// keyHistory is what callers were told of one idempotency key.
type keyHistory struct {
	template  string
	requests  []string
	completed bool
	unknown   bool
}

// history remembers the outcome of each exchange that the execution logs are
// compared with.
type history struct {
	// mutex guards the maps and what they hold.
	mutex sync.Mutex
	// keys holds the not-repeatable requests by idempotency key.
	keys map[string]*keyHistory
	// requests holds the exchanges that were said not to have run.
	requests map[string]requestRecord
}

func (h *history) add(exchange *load.Exchange) {
	result := exchange.Outcome()
	name := exchange.Request.Load.Name()
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if result == outcome.NotRun {
		h.requests[exchange.RequestID] = requestRecord{template: name, outcome: result}
	}
	key := exchange.Request.IdempotencyKey
	if key == "" {
		return
	}
	entry, known := h.keys[key]
	if !known {
		entry = &keyHistory{template: name}
		h.keys[key] = entry
	}
	entry.requests = append(entry.requests, exchange.RequestID)
	entry.completed = entry.completed || result == outcome.Completed
	entry.unknown = entry.unknown || result == outcome.Unknown
}

// CheckExecutions compares what callers were told with the execution logs of
// all back ends of the run, and adds what it finds to the findings. It is called
// once, after the run.
func (o *Oracle) CheckExecutions(log []Execution) []Violation {
	byKey := make(map[string][]Execution)
	byRequest := make(map[string][]Execution)
	for _, execution := range log {
		byRequest[execution.RequestID] = append(byRequest[execution.RequestID], execution)
		if execution.IdempotencyKey != "" {
			byKey[execution.IdempotencyKey] = append(byKey[execution.IdempotencyKey], execution)
		}
	}
	found := append(o.history.checkKeys(byKey), o.history.checkRequests(byRequest)...)
	o.add(found)
	return found
}

func (h *history) checkKeys(executions map[string][]Execution) []Violation {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	var found []Violation
	for key, entry := range h.keys {
		ran := executions[key]
		switch {
		case len(ran) > 1:
			found = append(found, entry.violation(KindRanTwice, key, ran))
		case len(ran) == 1 && !entry.completed && !entry.unknown:
			found = append(found, entry.violation(KindRanAnyway, key, ran))
		case len(ran) == 0 && entry.completed:
			found = append(found, entry.violation(KindNeverRan, key, ran))
		}
	}
	return found
}

func (e *keyHistory) violation(kind Kind, key string, ran []Execution) Violation {
	return Violation{
		Kind:      kind,
		RequestID: strings.Join(e.requests, ","),
		Template:  e.template,
		Cause: fmt.Sprintf("key %s ran %d times (%s); told completed: %t, unknown: %t",
			key, len(ran), servers(ran), e.completed, e.unknown),
	}
}

// checkRequests finds exchanges that were said not to have run and did.
func (h *history) checkRequests(executions map[string][]Execution) []Violation {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	var found []Violation
	for id, record := range h.requests {
		if ran := executions[id]; len(ran) > 0 {
			found = append(found, Violation{
				Kind:      KindRanAnyway,
				RequestID: id,
				Template:  record.template,
				Cause:     fmt.Sprintf("told %s, yet it ran at %s", record.outcome, servers(ran)),
			})
		}
	}
	return found
}

func servers(executions []Execution) string {
	names := make([]string, 0, len(executions))
	for _, execution := range executions {
		names = append(names, execution.Server)
	}
	return strings.Join(names, ", ")
}
