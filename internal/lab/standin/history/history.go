// Package history remembers the recent values of something, so that a stand-in
// can report it as it was some time ago.
package history

import (
	"sort"
	"sync"
	"time"
)

// maxEntries bounds the memory of one History.
const maxEntries = 4096

// History is a value over time. It is safe for concurrent use.
type History[T any] struct {
	mutex   sync.Mutex
	entries []entry[T] // guarded by mutex, ascending by time
}

type entry[T any] struct {
	since time.Time
	value T
}

// Set records that the value holds from now on.
func (h *History[T]) Set(now time.Time, value T) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if len(h.entries) == maxEntries {
		h.entries = append(h.entries[:0], h.entries[maxEntries/2:]...)
	}
	h.entries = append(h.entries, entry[T]{since: now, value: value})
}

// At returns the value that held at the moment; the oldest one that is
// remembered if the moment lies before it, and the zero value if there is none.
func (h *History[T]) At(moment time.Time) T {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	var none T
	if len(h.entries) == 0 {
		return none
	}
	after := sort.Search(len(h.entries), func(i int) bool { return h.entries[i].since.After(moment) })
	return h.entries[max(after-1, 0)].value
}
