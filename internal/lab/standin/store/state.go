// Package store emulates the platform's configuration store: the part of
// Consul's published HTTP interface that the project uses, namely keys with
// compare-and-swap, blocking queries, and sessions with locks. It can be
// limited, slow and away, lose the reply of a committed write, and come back
// older.
package store

import (
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
)

// maxUndo bounds the number of writes that can be rolled back.
const maxUndo = 200_000

// pair is one key with its metadata, in the JSON form of the interface.
type pair struct {
	LockIndex   uint64 `json:"LockIndex"`
	Key         string `json:"Key"`
	Flags       uint64 `json:"Flags"`
	Value       []byte `json:"Value"`
	Session     string `json:"Session,omitempty"`
	CreateIndex uint64 `json:"CreateIndex"`
	ModifyIndex uint64 `json:"ModifyIndex"`
}

// undo is what brings back the state before one write.
type undo struct {
	// index is the store's index before the write.
	index uint64
	key   string
	// before is nil if the key did not exist.
	before *pair
	// tombstone is the index of the key's deletion before the write.
	tombstone uint64
}

// state is the contents of the store. It is safe for concurrent use.
type state struct {
	now func() time.Time

	// mutex guards the fields below.
	mutex sync.Mutex
	index uint64
	pairs map[string]*pair
	// tombstones holds the index at which a deleted key was deleted.
	tombstones map[string]uint64
	undos      []undo
	sessions   map[string]*session
	// lockDelays holds until when a key cannot be acquired, after its
	// session was invalidated.
	lockDelays map[string]time.Time
	// changed is closed and replaced at each change.
	changed chan struct{}
	// restores counts the rollbacks.
	restores uint64
}

func newState(now func() time.Time) *state {
	return &state{
		now:        now,
		index:      1,
		pairs:      make(map[string]*pair),
		tombstones: make(map[string]uint64),
		sessions:   make(map[string]*session),
		lockDelays: make(map[string]time.Time),
		changed:    make(chan struct{}),
	}
}

// get returns a copy of the pair, nil if there is none, with the index of that
// answer and a channel that is closed at the next change of anything.
func (s *state) get(key string) (*pair, uint64, <-chan struct{}) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expireSessions()
	if found := s.pairs[key]; found != nil {
		copied := *found
		return &copied, found.ModifyIndex, s.changed
	}
	return nil, s.index, s.changed
}

// list returns copies of the pairs under a prefix by key, as get does.
func (s *state) list(prefix string) ([]pair, uint64, <-chan struct{}) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expireSessions()
	var found []pair
	var newest uint64
	for key, item := range s.pairs {
		if strings.HasPrefix(key, prefix) {
			found = append(found, *item)
			newest = max(newest, item.ModifyIndex)
		}
	}
	for key, index := range s.tombstones {
		if strings.HasPrefix(key, prefix) {
			newest = max(newest, index)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	return found, s.indexOr(newest), s.changed
}

// indexOr returns the index, or that of the whole store if it is zero.
func (s *state) indexOr(index uint64) uint64 {
	if index == 0 {
		return s.index
	}
	return index
}

// write is one write of a key; at most one of cas, acquire and release is set.
type write struct {
	key   string
	value []byte
	flags uint64
	// cas is the expected index; zero for a key that must not exist.
	cas     *uint64
	acquire string
	release string
}

// put applies a write and reports whether it took effect.
func (s *state) put(w write) (bool, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expireSessions()
	existing := s.pairs[w.key]
	if !casHolds(existing, w.cas) {
		return false, nil
	}
	next := pair{Key: w.key, Value: w.value, Flags: w.flags}
	if existing != nil {
		next.LockIndex = existing.LockIndex
		next.Session = existing.Session
		next.CreateIndex = existing.CreateIndex
	}
	granted, err := s.applyLock(&next, w)
	if err != nil || !granted {
		return false, err
	}
	s.commit(w.key, &next)
	return true, nil
}

// remove deletes a key and reports whether the compare-and-swap held. A key that
// does not exist is deleted already; an index of zero never deletes.
func (s *state) remove(key string, cas *uint64) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expireSessions()
	existing := s.pairs[key]
	if existing == nil {
		return true
	}
	if cas != nil && existing.ModifyIndex != *cas {
		return false
	}
	s.commit(key, nil)
	return true
}

// removePrefix deletes every key under a prefix.
func (s *state) removePrefix(prefix string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expireSessions()
	for key := range s.pairs {
		if strings.HasPrefix(key, prefix) {
			s.commit(key, nil)
		}
	}
}

func casHolds(existing *pair, cas *uint64) bool {
	switch {
	case cas == nil:
		return true
	case *cas == 0:
		return existing == nil
	default:
		return existing != nil && existing.ModifyIndex == *cas
	}
}

// commit stores next under the key, or deletes the key if next is nil. The
// caller holds the mutex.
func (s *state) commit(key string, next *pair) {
	s.undos = append(s.undos, undo{
		index:     s.index,
		key:       key,
		before:    s.pairs[key],
		tombstone: s.tombstones[key],
	})
	if len(s.undos) > maxUndo {
		s.undos = append(s.undos[:0], s.undos[maxUndo/2:]...)
	}
	s.index++
	if next == nil {
		delete(s.pairs, key)
		s.tombstones[key] = s.index
	} else {
		next.ModifyIndex = s.index
		if next.CreateIndex == 0 {
			next.CreateIndex = s.index
		}
		s.pairs[key] = next
		delete(s.tombstones, key)
	}
	s.announce()
}

// announce wakes the blocking queries. The caller holds the mutex.
func (s *state) announce() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// rollback brings the store back to its state at an index, the index included,
// as a restore from an old backup does.
func (s *state) rollback(index uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.restores++
	for len(s.undos) > 0 && s.index > index {
		last := s.undos[len(s.undos)-1]
		s.undos = s.undos[:len(s.undos)-1]
		s.revert(last)
	}
	s.announce()
}

func (s *state) revert(last undo) {
	s.index = last.index
	if last.before == nil {
		delete(s.pairs, last.key)
	} else {
		s.pairs[last.key] = last.before
	}
	if last.tombstone == 0 {
		delete(s.tombstones, last.key)
	} else {
		s.tombstones[last.key] = last.tombstone
	}
}

func (s *state) currentIndex() uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.index
}

func (s *state) restoreCount() uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.restores
}

// newSessionID makes the identity of a session.
func newSessionID() string { return uuid.NewString() }
