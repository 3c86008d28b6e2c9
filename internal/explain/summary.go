package explain

import (
	"cmp"
	"slices"
	"time"
)

// Group is the requests that were not served whole for the same cause on the
// same route.
type Group struct {
	Cause Cause  `json:"cause"`
	Route string `json:"route"`
	// Service is the one that was missing most often; empty if none was.
	Service string    `json:"service,omitempty"`
	Count   int       `json:"count"`
	First   time.Time `json:"first"`
	Last    time.Time `json:"last"`
	// Example is the id of the first request.
	Example string `json:"example"`
}

// Summary groups the requests of a span of time by cause, the most frequent
// first. A zero moment leaves that end open.
func Summary(lines []Line, from, to time.Time) []Group {
	type key struct {
		cause Cause
		route string
	}
	groups := make(map[key]*Group)
	services := make(map[key]map[string]int)
	owned := ownedBy(lines)
	for _, line := range lines {
		if line.Message != messageRequest || !within(line.At, from, to) {
			continue
		}
		cause := CauseOf(withOwned(line, owned[line.Request]))
		if cause == CauseServed {
			continue
		}
		at := key{cause, line.Route}
		if groups[at] == nil {
			groups[at] = &Group{Cause: cause, Route: line.Route, First: line.At, Last: line.At, Example: line.Request}
			services[at] = make(map[string]int)
		}
		groups[at].add(line)
		for _, missing := range line.Missing {
			services[at][missing]++
		}
	}
	summary := make([]Group, 0, len(groups))
	for at, group := range groups {
		group.Service = mostFrequent(services[at])
		summary = append(summary, *group)
	}
	slices.SortFunc(summary, func(a, b Group) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Cause, b.Cause), cmp.Compare(a.Route, b.Route))
	})
	return summary
}

func (g *Group) add(line Line) {
	g.Count++
	if line.At.Before(g.First) {
		g.First, g.Example = line.At, line.Request
	}
	if line.At.After(g.Last) {
		g.Last = line.At
	}
}

func within(at, from, to time.Time) bool {
	return (from.IsZero() || !at.Before(from)) && (to.IsZero() || !at.After(to))
}

func mostFrequent(counts map[string]int) string {
	best := ""
	for name, count := range counts {
		if best == "" || count > counts[best] || count == counts[best] && name < best {
			best = name
		}
	}
	return best
}
