package owner

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/bramblemast/bramblemast/internal/pause"
	"github.com/bramblemast/bramblemast/pkg/loadshed"
)

// outbox holds the message that is to be told next. It is safe for concurrent use.
type outbox struct {
	// mutex is held by put.
	mutex   sync.Mutex
	pending chan []loadshed.Measurement
}

func newOutbox() *outbox { return &outbox{pending: make(chan []loadshed.Measurement, 1)} }

// put keeps a message until it is told, with what one that still waits tells of other services:
// their change counts as told. It does not block.
func (o *outbox) put(message []loadshed.Measurement) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	select {
	case earlier := <-o.pending:
		message = merge(earlier, message)
	default:
	}
	o.pending <- message
}

// run hands on what was put, one message after the other with a pause after each, until ctx ends.
func (o *outbox) run(ctx context.Context, interval time.Duration, send func(context.Context, []loadshed.Measurement)) {
	for {
		select {
		case <-ctx.Done():
			return
		case message := <-o.pending:
			send(ctx, message)
			pause.For(ctx, interval)
		}
	}
}

// merge returns a message with what an earlier one tells of services that it does not name, or that
// were measured later there.
func merge(earlier, message []loadshed.Measurement) []loadshed.Measurement {
	merged := slices.Clone(message)
	for _, each := range earlier {
		index := slices.IndexFunc(merged, func(other loadshed.Measurement) bool { return other.Key == each.Key })
		switch {
		case index < 0:
			merged = append(merged, each)
		case each.MeasuredAt.After(merged[index].MeasuredAt):
			merged[index] = each
		}
	}
	return merged
}
