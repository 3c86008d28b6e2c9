// Package configstore is the interface to the platform's small key-value
// service, which keeps what must last: the operators' templates and the claims
// of not-repeatable requests. Package consul implements it over the published
// HTTP interface; Memory implements it for tests and embedding. Both pass the
// conformance suite in package storetest.
package configstore

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Entry is one key with its value. Index is the store's modification index of
// the key; it is never zero for a key that exists.
type Entry struct {
	Key   string
	Value []byte
	Index uint64
}

// Errors that implementations return, wrapped.
var (
	// ErrNotFound means that the key does not exist.
	ErrNotFound = errors.New("key not found")
	// ErrConflict means that the compare-and-swap certainly did not commit
	// because the key's index differs.
	ErrConflict = errors.New("compare-and-swap conflict")
	// ErrLimited means that the store refused the call before running it
	// because of its rate limit.
	ErrLimited = errors.New("store rate limit")
	// ErrUnavailable means that the call certainly did not run.
	ErrUnavailable = errors.New("store unavailable")
	// ErrUnknown means that a write may or may not have committed.
	ErrUnknown = errors.New("store write outcome unknown")
)

// Store is the platform's key-value service. Implementations are safe for
// concurrent use.
type Store interface {
	// Get reads one key.
	Get(ctx context.Context, key string) (Entry, error)
	// List reads all keys under prefix, with the store's index of that state.
	List(ctx context.Context, prefix string) ([]Entry, uint64, error)
	// Watch waits until the state under prefix has an index other than after,
	// or until wait has passed, and returns it as List does.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Entry, uint64, error)
	// CompareAndSwap writes the key if its index is still the given one; index
	// zero means that the key must not exist. It returns nil only if the write
	// is known to have committed. ErrUnknown must be settled by reading back.
	CompareAndSwap(ctx context.Context, key string, value []byte, index uint64) error
	// CompareAndDelete deletes the key if its index is still the given one.
	CompareAndDelete(ctx context.Context, key string, index uint64) error
}
