package machinelist

import (
	"github.com/cespare/xxhash/v2"

	"github.com/bramblemast/bramblemast/pkg/target"
)

// maxEntries bounds the list that is kept while deltas are applied to it.
const maxEntries = 400_000

// Delta is how one reading of the machine list differs from another. It can be
// applied to any reading and more than once.
type Delta struct {
	// Changed are the entries that are new or differ.
	Changed List
	// Removed are the servers that are listed no more.
	Removed []target.ServerID
}

// Len returns the number of servers that the delta names.
func (d *Delta) Len() int { return len(d.Changed) + len(d.Removed) }

// difference returns the delta that leads from one list to another. Servers
// that begin to leave come first.
func difference(before, after List) Delta {
	known := make(map[target.ServerID]*Entry, len(before))
	for index := range before {
		known[before[index].Server] = &before[index]
	}
	var leaving, others List
	for index := range after {
		entry := &after[index]
		earlier := known[entry.Server]
		delete(known, entry.Server)
		switch {
		case earlier != nil && *earlier == *entry:
		case entry.State == Leaving:
			leaving = append(leaving, *entry)
		default:
			others = append(others, *entry)
		}
	}
	delta := Delta{Changed: append(leaving, others...)}
	if len(known) == 0 {
		return delta
	}
	for index := range before {
		if _, removed := known[before[index].Server]; removed {
			delta.Removed = append(delta.Removed, before[index].Server)
		}
	}
	return delta
}

// first returns the part of the delta that names at most count servers: those
// that leave, then those removed, then the others.
func (d *Delta) first(count int) Delta {
	leaving := 0
	for leaving < min(count, len(d.Changed)) && d.Changed[leaving].State == Leaving {
		leaving++
	}
	removed := min(count-leaving, len(d.Removed))
	changed := min(count-removed, len(d.Changed))
	return Delta{Changed: d.Changed[:changed], Removed: d.Removed[:removed]}
}

// apply returns the list with the delta applied, and how the digest changes. The
// list itself is not changed. What would make it too long is left out.
func (d *Delta) apply(list List) (List, uint64) {
	pending := make(map[target.ServerID]*Entry, d.Len())
	for _, server := range d.Removed {
		pending[server] = nil
	}
	for index := range d.Changed {
		pending[d.Changed[index].Server] = &d.Changed[index]
	}
	var digest uint64
	applied := make(List, 0, len(list)+len(d.Changed))
	for index := range list {
		entry := &list[index]
		replacement, named := pending[entry.Server]
		if !named {
			applied = append(applied, *entry)
			continue
		}
		digest -= entry.digest()
		if replacement != nil {
			applied = append(applied, *replacement)
			digest += replacement.digest()
		}
		delete(pending, entry.Server)
	}
	for index := range d.Changed {
		entry := &d.Changed[index]
		if pending[entry.Server] == entry && len(applied) < maxEntries {
			applied = append(applied, *entry)
			digest += entry.digest()
		}
	}
	return applied, digest
}

// digest returns a digest of the list that does not depend on its order.
func (l List) digest() uint64 {
	var sum uint64
	for index := range l {
		sum += l[index].digest()
	}
	return sum
}

func (e *Entry) digest() uint64 {
	const separator = 0
	var buffer [256]byte
	text := buffer[:0]
	for _, field := range [...]string{
		string(e.Server), string(e.Service), e.Group, string(e.Zone), string(e.Region), string(e.State),
	} {
		text = append(text, field...)
		text = append(text, separator)
	}
	return xxhash.Sum64(text)
}

// keepOvertaken returns a fetched list in which the named servers are as they
// are held, because a delta told of them after the fetch had begun.
func keepOvertaken(fetched, held List, overtaken map[target.ServerID]struct{}) List {
	if len(overtaken) == 0 {
		return fetched
	}
	kept := make(List, 0, len(fetched))
	for _, entry := range fetched {
		if _, named := overtaken[entry.Server]; !named {
			kept = append(kept, entry)
		}
	}
	for _, entry := range held {
		if _, named := overtaken[entry.Server]; named {
			kept = append(kept, entry)
		}
	}
	return kept
}
