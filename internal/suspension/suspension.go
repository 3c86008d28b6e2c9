// Package suspension tells for how long the machine has been suspended. The steady clock, by
// which Go measures spans, stands still meanwhile; what it calls a moment ago may be long past.
package suspension

import (
	"time"

	"golang.org/x/sys/unix"
)

// Total returns for how long the machine has been suspended since it started; zero where its
// clocks do not tell. It costs two system calls.
func Total() time.Duration {
	var steady, boot unix.Timespec
	// The steady clock is read first, so that the time between the two reads is not taken for
	// a step back.
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady) != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil {
		return 0
	}
	return max(0, time.Duration(boot.Nano()-steady.Nano()))
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
