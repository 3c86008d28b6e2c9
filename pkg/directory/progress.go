package directory

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

const (
	// stallTimeout is how long a call to the store may go on without progress. A call that makes
	// progress may take longer: how much the store holds does not depend on the nodes alone.
	stallTimeout = 2 * time.Second
	// minProgress is how many bytes count as progress, so that a source that sends single bytes does not
	// occupy a call for ever.
	minProgress = 16 << 10
)

// errStalled ends a call to the store that makes no progress.
var errStalled = errors.New("the store's answer makes no progress")

// progressKey is the key of a context's progress report.
type progressKey struct{}

// ReportProgress reports that a number of bytes of the store's answer has arrived. A Source calls it with
// the context of its call, from one goroutine at a time.
func ReportProgress(ctx context.Context, count int) {
	if report, ok := ctx.Value(progressKey{}).(func(int)); ok {
		report(count)
	}
}

// withProgressReport returns a context that also calls a function when bytes of the store's answer arrive.
func withProgressReport(parent context.Context, arrived func()) context.Context {
	return context.WithValue(parent, progressKey{}, func(count int) {
		ReportProgress(parent, count)
		arrived()
	})
}

// withStallTimeout returns a context for one call to the store. It ends with errStalled as its cause if
// no bytes arrive within a first span, or later none for a stallTimeout.
func withStallTimeout(parent context.Context, first time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancelCause := context.WithCancelCause(parent)
	timer := time.AfterFunc(first, func() { cancelCause(errStalled) })
	received := 0
	report := func(count int) {
		received += count
		if received >= minProgress {
			received = 0
			timer.Reset(stallTimeout)
		}
	}
	return context.WithValue(ctx, progressKey{}, report), func() {
		timer.Stop()
		cancelCause(nil)
	}
}

// callError returns the error of a failed call to the store, which is errStalled if that ended the call.
func callError(ctx context.Context, err error, call string) error {
	if cause := context.Cause(ctx); errors.Is(cause, errStalled) {
		err = cause
	}
	return errors.WithMessage(err, call)
}
