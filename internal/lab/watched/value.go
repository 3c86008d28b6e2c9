// Package watched holds a value that changes now and then, for code that has to
// wait until it does.
package watched

import (
	"context"
	"sync"
)

// Value is a value with a signal at each change. It is safe for concurrent use;
// the zero Value holds the zero T.
type Value[T any] struct {
	mutex   sync.Mutex
	current T             // guarded by mutex
	changed chan struct{} // guarded by mutex; closed at the next change, made on demand
}

// Get returns the current value.
func (v *Value[T]) Get() T {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return v.current
}

// Watch returns the current value, and a channel that is closed when it changes.
func (v *Value[T]) Watch() (T, <-chan struct{}) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if v.changed == nil {
		v.changed = make(chan struct{})
	}
	return v.current, v.changed
}

// Set replaces the value and wakes those who watch.
func (v *Value[T]) Set(next T) { v.Update(func(T) T { return next }) }

// Update replaces the value by change of it, as one step, and wakes those who
// watch.
func (v *Value[T]) Update(change func(current T) T) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.current = change(v.current)
	if v.changed != nil {
		close(v.changed)
		v.changed = nil
	}
}

// Wait waits until the value satisfies the condition and returns it; false if
// the context ended first.
func (v *Value[T]) Wait(ctx context.Context, condition func(T) bool) (T, bool) {
	for {
		current, changed := v.Watch()
		if condition(current) {
			return current, true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return current, false
		}
	}
}
