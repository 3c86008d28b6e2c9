// Package pause holds the one way in which this module waits for a span of time
// that a context may end early, and the growth of such spans.
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

// maxDoublings keeps a span from overflowing.
const maxDoublings = 6

// Doubled returns the wait after so many failures in a row: it doubles with each of
// them, at most maxDoublings times, and never exceeds greatest.
func Doubled(first, greatest time.Duration, failures int) time.Duration {
	return min(first<<min(failures, maxDoublings), greatest)
}
