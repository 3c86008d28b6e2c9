// Package pause holds the one way in which this module waits for a span of time
// that a context may end early.
package pause

import (
	"context"
	"time"
)

// For waits for a span of time and reports whether it did so to the end; false
// if ctx ended first. A span of zero or less does not wait.
func For(ctx context.Context, span time.Duration) bool {
	if span <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
