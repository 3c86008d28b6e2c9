package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// readyInterval is how often the platform asks a node whether it is ready.
const readyInterval = time.Second

// lossSlack is LossSlackMs of the pages; plannedSpan is for how long after a SIGTERM the rule LOST
// counts: GraceS and a second.
const (
	lossSlack   = 200 * time.Millisecond
	plannedSpan = (graceSeconds + 1) * time.Second
)

// stopHistory holds when each node was told to stop.
type stopHistory struct {
	mutex sync.Mutex
	// stops is guarded by mutex.
	stops map[string][]time.Time
}

func (h *stopHistory) add(name string, at time.Time) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.stops[name] = append(h.stops[name], at)
}

// isPlanned reports whether a request that ended at the given time ended around a planned stop.
func (h *stopHistory) isPlanned(name string, at time.Time) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return slices.ContainsFunc(h.stops[name], func(stop time.Time) bool { return !at.Before(stop) && at.Sub(stop) <= plannedSpan })
}

// entryPoint passes new connections to nodes that are ready, as the platform does.
type entryPoint struct {
	nodes []*node
	// in holds the nodes that get new connections; nil for all.
	in atomic.Pointer[[]*node]
}

// watch asks each node every second whether it is ready; two misses take it out.
func (e *entryPoint) watch() {
	misses := make([]int, len(e.nodes))
	for range time.Tick(readyInterval) {
		var in []*node
		for index, each := range e.nodes {
			if each.isReady() {
				misses[index] = 0
			} else {
				misses[index]++
			}
			if misses[index] < 2 {
				in = append(in, each)
			}
		}
		e.in.Store(&in)
	}
}

// choose returns the node for a new connection.
func (e *entryPoint) choose(random *rand.Rand) *node {
	in := e.nodes
	if known := e.in.Load(); known != nil && len(*known) > 0 {
		in = *known
	}
	return in[random.IntN(len(in))]
}

// checkLost returns what broke LOST: requests whose connection ended around a planned stop without a
// complete answer, either after they were passed on to a server or later than lossSlack after they
// were sent.
func checkLost(written *record, incomplete []attempt, runs []run, history *stopHistory) []string {
	passedOn := make(map[string]int)
	for _, each := range runs {
		passedOn[each.requestID]++
	}
	var broken []string
	for _, each := range incomplete {
		took, count := each.endedAt.Sub(each.sentAt), passedOn[each.id]
		written.note("incomplete: %s at %s, %.1f ms after it was sent, at %d servers, kept connection %v: %v",
			each.id, each.node, took.Seconds()*1000, count, each.isKept, each.failure)
		if isTimeout(each.failure) || !history.isPlanned(each.node, each.endedAt) || each.isRefusedConnection {
			continue
		}
		if count > 0 || took > lossSlack {
			broken = append(broken, fmt.Sprintf("LOST: %s at %s was passed on to %d servers, and its connection ended without an answer %.1f ms after it was sent: %v",
				each.id, each.node, count, took.Seconds()*1000, each.failure))
		}
	}
	return broken
}
