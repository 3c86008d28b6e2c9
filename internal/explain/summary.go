package explain

import (
	"cmp"
	"slices"
	"time"
)

// Group summarises the requests of one route that were not served completely for the same cause.
type Group struct {
	Cause Cause  `json:"cause"`
	Route string `json:"route"`
	// Service is the service that was missing most often; empty if none was.
	Service string    `json:"service,omitempty"`
	Count   int       `json:"count"`
	First   time.Time `json:"first"`
	Last    time.Time `json:"last"`
	// Example is the id of the earliest request.
	Example string `json:"example"`
}

// Summary groups the requests between from and to by cause and route, the most frequent first. A zero
// time leaves that end open.
func Summary(lines []Line, from, to time.Time) []Group {
	type key struct {
		cause Cause
		route string
	}
	groups := make(map[key]*Group)
	services := make(map[key]map[string]int)
	owned := ownerLines(lines)
	for _, line := range lines {
		if line.Message != messageRequest || !isWithin(line.At, from, to) {
			continue
		}
		cause := CauseOf(withOwned(line, owned[line.Request]))
		if cause == CauseServed {
			continue
		}
		groupKey := key{cause, line.Route}
		if groups[groupKey] == nil {
			groups[groupKey] = &Group{Cause: cause, Route: line.Route, First: line.At, Last: line.At, Example: line.Request}
			services[groupKey] = make(map[string]int)
		}
		groups[groupKey].add(line)
		for _, missing := range line.Missing {
			services[groupKey][missing]++
		}
	}
	summary := make([]Group, 0, len(groups))
	for groupKey, group := range groups {
		group.Service = mostFrequent(services[groupKey])
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

func isWithin(at, from, to time.Time) bool {
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
