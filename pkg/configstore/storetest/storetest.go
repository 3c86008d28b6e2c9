// Package storetest is the conformance suite that every implementation of
// configstore.Store passes.
package storetest

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/pkg/configstore"
)

// callTimeout bounds a call that is expected to return at once; it decides
// nothing but how long a broken store holds up the suite.
const callTimeout = 30 * time.Second

// Run checks a store. Open returns an empty one and registers its cleanup.
func Run(t *testing.T, open func(t *testing.T) configstore.Store) {
	checks := []struct {
		name  string
		check func(t *testing.T, store configstore.Store)
	}{
		{"a key that is absent is not found", absentKey},
		{"a compare-and-swap creates, replaces and conflicts", compareAndSwap},
		{"a compare-and-delete deletes or conflicts", compareAndDelete},
		{"keys and values of any bytes survive", anyBytes},
		{"a list is bounded by its prefix", listPrefix},
		{"a watch returns at once if the state is newer", watchStale},
		{"a watch waits for a change under its prefix", watchChange},
		{"a watch sees a deletion", watchDeletion},
		{"a watch ends after its wait", watchTimeout},
		{"a watch ends with its context", watchCancelled},
		{"one of many racing writers wins", race},
	}
	for _, item := range checks {
		t.Run(item.name, func(t *testing.T) { item.check(t, open(t)) })
	}
}

func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
	t.Cleanup(cancel)
	return ctx
}

func mustSwap(t *testing.T, store configstore.Store, key string, value []byte, index uint64) configstore.Entry {
	t.Helper()
	if err := store.CompareAndSwap(testContext(t), key, value, index); err != nil {
		t.Fatalf("write %s: %v", key, err)
	}
	return mustGet(t, store, key)
}

func mustGet(t *testing.T, store configstore.Store, key string) configstore.Entry {
	t.Helper()
	entry, err := store.Get(testContext(t), key)
	if err != nil {
		t.Fatalf("read %s: %v", key, err)
	}
	return entry
}

func mustList(t *testing.T, store configstore.Store, prefix string) ([]configstore.Entry, uint64) {
	t.Helper()
	entries, index, err := store.List(testContext(t), prefix)
	if err != nil {
		t.Fatalf("list %s: %v", prefix, err)
	}
	return entries, index
}

func wantError(t *testing.T, err, kind error) {
	t.Helper()
	if !errors.Is(err, kind) {
		t.Fatalf("got error %v, want %v", err, kind)
	}
}

func absentKey(t *testing.T, store configstore.Store) {
	_, err := store.Get(testContext(t), "a/absent")
	wantError(t, err, configstore.ErrNotFound)
	entries, _ := mustList(t, store, "a/")
	if len(entries) != 0 {
		t.Fatalf("listed %v", entries)
	}
	wantError(t, store.CompareAndSwap(testContext(t), "a/absent", nil, 7), configstore.ErrConflict)
}

func compareAndSwap(t *testing.T, store configstore.Store) {
	first := mustSwap(t, store, "a/key", []byte("one"), 0)
	if first.Index == 0 || string(first.Value) != "one" || first.Key != "a/key" {
		t.Fatalf("read back %+v", first)
	}
	wantError(t, store.CompareAndSwap(testContext(t), "a/key", []byte("two"), 0), configstore.ErrConflict)
	second := mustSwap(t, store, "a/key", []byte("two"), first.Index)
	if second.Index <= first.Index {
		t.Fatalf("index went from %d to %d", first.Index, second.Index)
	}
	wantError(t, store.CompareAndSwap(testContext(t), "a/key", []byte("three"), first.Index), configstore.ErrConflict)
	if current := mustGet(t, store, "a/key"); string(current.Value) != "two" {
		t.Fatalf("a refused write left %q", current.Value)
	}
}

func compareAndDelete(t *testing.T, store configstore.Store) {
	first := mustSwap(t, store, "a/key", []byte("one"), 0)
	wantError(t, store.CompareAndDelete(testContext(t), "a/key", first.Index+1), configstore.ErrConflict)
	mustGet(t, store, "a/key")
	if err := store.CompareAndDelete(testContext(t), "a/key", first.Index); err != nil {
		t.Fatal(err)
	}
	_, err := store.Get(testContext(t), "a/key")
	wantError(t, err, configstore.ErrNotFound)
	again := mustSwap(t, store, "a/key", []byte("two"), 0)
	if again.Index <= first.Index {
		t.Fatalf("index went from %d to %d", first.Index, again.Index)
	}
}

func anyBytes(t *testing.T, store configstore.Store) {
	value := make([]byte, 256)
	for index := range value {
		value[index] = byte(index)
	}
	for _, key := range []string{"a/søk ?&%#+", "a/b/c.d~e", "a/=;:@"} {
		if entry := mustSwap(t, store, key, value, 0); entry.Key != key || !bytes.Equal(entry.Value, value) {
			t.Fatalf("%q: read back %+v", key, entry)
		}
	}
	entries, _ := mustList(t, store, "a/")
	if len(entries) != 3 {
		t.Fatalf("listed %d entries", len(entries))
	}
	if entry := mustSwap(t, store, "empty", nil, 0); len(entry.Value) != 0 {
		t.Fatalf("an empty value came back as %q", entry.Value)
	}
}

func listPrefix(t *testing.T, store configstore.Store) {
	for _, key := range []string{"a/1", "a/2", "ab/3", "b/4"} {
		mustSwap(t, store, key, []byte(key), 0)
	}
	entries, index := mustList(t, store, "a/")
	if len(entries) != 2 || entries[0].Key != "a/1" || entries[1].Key != "a/2" {
		t.Fatalf("listed %v", entries)
	}
	if index < entries[1].Index {
		t.Fatalf("index %d of the list is below %d of an entry", index, entries[1].Index)
	}
	if partial, _ := mustList(t, store, "a"); len(partial) != 3 {
		t.Fatalf("the prefix is of text, not of path elements: listed %v", partial)
	}
}

func watchStale(t *testing.T, store configstore.Store) {
	mustSwap(t, store, "a/key", []byte("one"), 0)
	_, index := mustList(t, store, "a/")
	entries, current, err := store.Watch(testContext(t), "a/", index-1, callTimeout)
	if err != nil || len(entries) != 1 || current != index {
		t.Fatalf("got %v at %d, %v", entries, current, err)
	}
}

// watchResult is what a watch in the background returned.
type watchResult struct {
	entries []configstore.Entry
	index   uint64
	err     error
}

func watchInBackground(ctx context.Context, store configstore.Store, prefix string, after uint64) <-chan watchResult {
	results := make(chan watchResult, 1)
	go func() {
		entries, index, err := store.Watch(ctx, prefix, after, callTimeout/2)
		results <- watchResult{entries, index, err}
	}()
	return results
}

func watchChange(t *testing.T, store configstore.Store) {
	mustSwap(t, store, "a/key", []byte("one"), 0)
	_, index := mustList(t, store, "a/")
	results := watchInBackground(testContext(t), store, "a/", index)
	mustSwap(t, store, "a/other", []byte("two"), 0)
	result := <-results
	if result.err != nil || len(result.entries) != 2 || result.index <= index {
		t.Fatalf("got %+v", result)
	}
}

func watchDeletion(t *testing.T, store configstore.Store) {
	entry := mustSwap(t, store, "a/key", []byte("one"), 0)
	_, index := mustList(t, store, "a/")
	results := watchInBackground(testContext(t), store, "a/", index)
	if err := store.CompareAndDelete(testContext(t), "a/key", entry.Index); err != nil {
		t.Fatal(err)
	}
	result := <-results
	if result.err != nil || len(result.entries) != 0 || result.index <= index {
		t.Fatalf("got %+v", result)
	}
}

func watchTimeout(t *testing.T, store configstore.Store) {
	mustSwap(t, store, "a/key", []byte("one"), 0)
	_, index := mustList(t, store, "a/")
	entries, current, err := store.Watch(testContext(t), "a/", index, time.Second)
	if err != nil || len(entries) != 1 || current != index {
		t.Fatalf("got %v at %d, %v", entries, current, err)
	}
}

func watchCancelled(t *testing.T, store configstore.Store) {
	mustSwap(t, store, "a/key", []byte("one"), 0)
	_, index := mustList(t, store, "a/")
	ctx, cancel := context.WithCancel(testContext(t))
	results := watchInBackground(ctx, store, "a/", index)
	cancel()
	if result := <-results; result.err == nil {
		t.Fatalf("got %+v", result)
	}
}

func race(t *testing.T, store configstore.Store) {
	const writers = 16
	first := mustSwap(t, store, "a/key", []byte("start"), 0)
	var winners atomic.Int32
	var group sync.WaitGroup
	ctx := testContext(t)
	for writer := range writers {
		group.Go(func() {
			err := store.CompareAndSwap(ctx, "a/key", fmt.Appendf(nil, "writer %d", writer), first.Index)
			if err == nil {
				winners.Add(1)
			} else if !errors.Is(err, configstore.ErrConflict) {
				t.Errorf("writer %d: %v", writer, err)
			}
		})
	}
	group.Wait()
	if winners.Load() != 1 {
		t.Fatalf("%d writers won", winners.Load())
	}
}
