package configstore

import (
	"bytes"
	"context"
	"sort"
	"strings"
	"sync"
	"time"
)

// firstIndex is the index of a store that was never written.
const firstIndex = 1

// Memory is a Store in the memory of this process, for tests and embedding.
// Its faults can be switched on and off at any time; see memory_faults.go.
type Memory struct {
	// mutex guards all fields below.
	mutex   sync.Mutex
	entries map[string]Entry
	// deleted keeps the index of each key's deletion, so that watchers of a
	// prefix see it.
	deleted map[string]uint64
	index   uint64
	// changed is closed and replaced at each change of state or of a fault.
	changed chan struct{}
	faults  faults
	counts  MemoryCounts
}

// MemoryCounts counts the calls that reached the store.
type MemoryCounts struct {
	// Reads counts Get, List and Watch; Writes the other calls.
	Reads  uint64
	Writes uint64
	// Refused counts those of them that the limit or an outage refused.
	Refused uint64
}

// NewMemory makes an empty store.
func NewMemory() *Memory {
	return &Memory{
		entries: map[string]Entry{},
		deleted: map[string]uint64{},
		index:   firstIndex,
		changed: make(chan struct{}),
	}
}

// Get implements Store.
func (m *Memory) Get(ctx context.Context, key string) (Entry, error) {
	const step = "read key"
	if err := m.admit(ctx, step, false); err != nil {
		return Entry{}, err
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	entry, exists := m.entries[key]
	if !exists {
		return Entry{}, Failure(step, memoryPeer, ErrNotFound, nil)
	}
	return entry.clone(), nil
}

// List implements Store.
func (m *Memory) List(ctx context.Context, prefix string) ([]Entry, uint64, error) {
	if err := m.admit(ctx, "list keys", false); err != nil {
		return nil, 0, err
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	entries, index := m.listLocked(prefix)
	return entries, index, nil
}

// Watch implements Store.
func (m *Memory) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Entry, uint64, error) {
	const step = "watch keys"
	if err := m.admit(ctx, step, false); err != nil {
		return nil, 0, err
	}
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		m.mutex.Lock()
		entries, index := m.listLocked(prefix)
		changed, unavailable := m.changed, m.faults.unavailable
		m.mutex.Unlock()
		if unavailable {
			return nil, 0, Failure(step, memoryPeer, ErrUnavailable, nil)
		}
		if index != after {
			return entries, index, nil
		}
		select {
		case <-changed:
		case <-timeout.C:
			return entries, index, nil
		case <-ctx.Done():
			return nil, 0, Failure(step, memoryPeer, ErrUnavailable, ctx.Err())
		}
	}
}

// CompareAndSwap implements Store.
func (m *Memory) CompareAndSwap(ctx context.Context, key string, value []byte, index uint64) error {
	value = bytes.Clone(value)
	return m.write(ctx, "write key", func() bool { return m.swapLocked(key, value, index) })
}

// CompareAndDelete implements Store.
func (m *Memory) CompareAndDelete(ctx context.Context, key string, index uint64) error {
	return m.write(ctx, "delete key", func() bool { return m.deleteLocked(key, index) })
}

// Counts returns the calls so far.
func (m *Memory) Counts() MemoryCounts {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.counts
}

func (m *Memory) listLocked(prefix string) ([]Entry, uint64) {
	var entries []Entry
	index := uint64(firstIndex)
	for key, entry := range m.entries {
		if strings.HasPrefix(key, prefix) {
			entries = append(entries, entry.clone())
			index = max(index, entry.Index)
		}
	}
	for key, deletedAt := range m.deleted {
		if strings.HasPrefix(key, prefix) {
			index = max(index, deletedAt)
		}
	}
	sort.Slice(entries, func(i, j int) bool { return entries[i].Key < entries[j].Key })
	return entries, index
}

// swapLocked reports whether the write was made.
func (m *Memory) swapLocked(key string, value []byte, index uint64) bool {
	if m.entries[key].Index != index {
		return false
	}
	m.index++
	m.entries[key] = Entry{Key: key, Value: value, Index: m.index}
	delete(m.deleted, key)
	m.notifyLocked()
	return true
}

func (m *Memory) deleteLocked(key string, index uint64) bool {
	if _, exists := m.entries[key]; !exists || m.entries[key].Index != index {
		return false
	}
	m.index++
	delete(m.entries, key)
	m.deleted[key] = m.index
	m.notifyLocked()
	return true
}

func (m *Memory) notifyLocked() {
	close(m.changed)
	m.changed = make(chan struct{})
}

func (e Entry) clone() Entry {
	e.Value = bytes.Clone(e.Value)
	return e
}
