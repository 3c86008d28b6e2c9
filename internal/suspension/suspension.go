// Package suspension tells for how long the machine has been suspended. The steady clock, by
// which Go measures spans, stands still meanwhile; what it calls a moment ago may be long past.
package suspension

import (
	"time"

	"golang.org/x/sys/unix"
)

// Bounds of a reading of the clocks.
const (
	// readingSpan is within which time both clocks are read; a process that is paused between
	// the two reads them again, since it would take the pause for a suspension.
	readingSpan = time.Millisecond
	// maxReadings bounds that on a machine where every reading takes longer.
	maxReadings = 3
)

// Total returns for how long the machine has been suspended since it started; zero where its
// clocks do not tell. It costs three system calls.
func Total() time.Duration {
	var total time.Duration
	for range maxReadings {
		before, boot, after := read(unix.CLOCK_MONOTONIC), read(unix.CLOCK_BOOTTIME), read(unix.CLOCK_MONOTONIC)
		// Less than it is if the process was paused after the second read, never more.
		total = max(0, boot-after)
		if after-before <= readingSpan {
			break
		}
	}
	return total
}

// read returns the time of a clock; zero if there is no such clock.
func read(clock int32) time.Duration {
	var now unix.Timespec
	if unix.ClockGettime(clock, &now) != nil {
		return 0
	}
	return time.Duration(now.Nano())
}

// Watch notices suspensions by looking now and then. It is not safe for concurrent use.
type Watch struct {
	total func() time.Duration
	last  time.Duration
}

// leastSpan is the shortest suspension that is told: shorter ones are as pauses of a process
// that waits for a processor.
const leastSpan = 300 * time.Millisecond

// NewWatch returns a Watch that looks at a total like that of Total.
func NewWatch(total func() time.Duration) *Watch { return &Watch{total: total, last: total()} }

// Since returns for how long the machine has been suspended since the last call that returned
// a span; zero if it was not.
func (w *Watch) Since() time.Duration {
	now := w.total()
	span := now - w.last
	if span < leastSpan {
		return 0
	}
	w.last = now
	return span
}
