package owner

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/bramblemast/bramblemast/internal/pause"
	"github.com/bramblemast/bramblemast/pkg/loadshed"
)

// outbox holds the next message to send. It is safe for concurrent use.
type outbox struct {
	// mutex serializes put.
	mutex   sync.Mutex
	pending chan []loadshed.Measurement
}

func newOutbox() *outbox { return &outbox{pending: make(chan []loadshed.Measurement, 1)} }

// put keeps a message until it is sent. It merges a message that is still pending into the new one,
// since the meters take the measurements of the pending one for published. It does not block.
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

// run passes the messages to send one by one, with a pause of interval after each, until ctx ends.
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

// merge adds to a message the measurements of an earlier message for services that it does not
// name, and replaces those that were measured later in the earlier message.
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
