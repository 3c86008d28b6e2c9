package configstore_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/pkg/configstore"
	"github.com/bramblemast/bramblemast/pkg/configstore/storetest"
	"github.com/bramblemast/bramblemast/pkg/outcome"
)

func TestMemoryConforms(t *testing.T) {
	storetest.Run(t, func(*testing.T) configstore.Store { return configstore.NewMemory() })
}

// wantFailure checks the kind of an error and what it says about the execution.
func wantFailure(t *testing.T, err, kind error, want outcome.Outcome) {
	t.Helper()
	if !errors.Is(err, kind) || outcome.Of(err) != want {
		t.Fatalf("got %v with outcome %v, want %v with %v", err, outcome.Of(err), kind, want)
	}
}

func TestMemoryFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, store := t.Context(), configstore.NewMemory()
		store.SetUnavailable(true)
		wantFailure(t, store.CompareAndSwap(ctx, "a", nil, 0), configstore.ErrUnavailable, outcome.NotRun)
		store.SetUnavailable(false)

		store.FailWrites(configstore.ReplyLost, 1)
		wantFailure(t, store.CompareAndSwap(ctx, "a", []byte("1"), 0), configstore.ErrUnknown, outcome.Unknown)
		wantValue(t, store, "a", "1")
		before := store.Snapshot()

		store.FailWrites(configstore.RequestLost, 1)
		wantFailure(t, store.CompareAndSwap(ctx, "a", []byte("2"), 2), configstore.ErrUnknown, outcome.Unknown)
		wantValue(t, store, "a", "1")

		store.FailWrites(configstore.CommitLate, 1)
		wantFailure(t, store.CompareAndSwap(ctx, "a", []byte("3"), 2), configstore.ErrUnknown, outcome.Unknown)
		wantValue(t, store, "a", "1")
		time.Sleep(configstore.LateCommitDelay)
		synctest.Wait()
		wantValue(t, store, "a", "3")

		store.Restore(before)
		wantValue(t, store, "a", "1")

		store.SetLimit(1, 1)
		wantValue(t, store, "a", "1")
		_, err := store.Get(ctx, "a")
		wantFailure(t, err, configstore.ErrLimited, outcome.NotRun)
		store.SetLimit(0, 0)

		store.SetDelay(time.Minute)
		short, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		_, err = store.Get(short, "a")
		wantFailure(t, err, configstore.ErrUnavailable, outcome.NotRun)
	})
}

func TestMemoryOutageEndsWatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := configstore.NewMemory()
		failed := make(chan error, 1)
		go func() {
			_, index, _ := store.List(t.Context(), "")
			_, _, err := store.Watch(t.Context(), "", index, time.Hour)
			failed <- err
		}()
		synctest.Wait()
		store.SetUnavailable(true)
		wantFailure(t, <-failed, configstore.ErrUnavailable, outcome.NotRun)
	})
}

func wantValue(t *testing.T, store configstore.Store, key, want string) {
	t.Helper()
	entry, err := store.Get(t.Context(), key)
	if err != nil || string(entry.Value) != want {
		t.Fatalf("%s holds %q (%v), want %q", key, entry.Value, err, want)
	}
}
