package front

import (
	"math"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/pkg/bytebudget"
	"github.com/bramblemast/bramblemast/pkg/outcome"
)

// Causes for which the reading of a body ends early.
var (
	errNodeStops      = errors.New("the node stops")
	errDeadlinePassed = errors.New("the request's deadline has passed")
)

// readBody reads a body of up to limit bytes; zero means no limit. The reading ends early at the request's
// deadline, when the node stops, or when memory is needed for others and the client is slow.
func (c *clientRequest) readBody(hold *bytebudget.Hold, limit int64) ([]byte, error) {
	if limit <= 0 {
		limit = math.MaxInt64
	}
	endReading := func() {
		// This fails only on a closed connection, which the reading detects.
		_ = http.NewResponseController(c.writer).SetReadDeadline(pastDeadline)
	}
	isNotStopped := c.handler.drain.AfterEnd(endReading)
	inTime := time.AfterFunc(time.Until(c.deadline), endReading).Stop
	hold.AwaitClient(endReading)
	body, err := hold.ReadAll(c.received.Body, c.received.ContentLength, limit, 0)
	// Each cause is asked for, since the connection cannot be read any more once one has taken effect.
	evicted, hasNodeStopped, isLate := hold.ClientDone(), !isNotStopped(), !inTime()
	switch {
	case hasNodeStopped:
		err = errNodeStops
	case evicted != nil:
		err = evicted
	case isLate:
		err = errDeadlinePassed
	}
	return body, errors.Wrap(err, "read body")
}

// refuseUnread answers a request whose body could not be read to its end. The connection is closed, since
// the rest of the body may still come.
func (c *clientRequest) refuseUnread(err error) {
	c.readError = err
	c.writer.Header().Set("Connection", "close")
	switch {
	case errors.Is(err, errNodeStops):
		c.refuse(http.StatusServiceUnavailable, outcome.ReasonDraining, minRetryAfter)
	case errors.Is(err, bytebudget.ErrExhausted), errors.Is(err, bytebudget.ErrEvicted):
		c.refuse(http.StatusServiceUnavailable, outcome.ReasonOverloaded, nodeOverloadWait)
	case errors.Is(err, errDeadlinePassed):
		c.refuse(http.StatusRequestTimeout, outcome.ReasonDeadline, 0)
	case errors.Is(err, bytebudget.ErrTooLarge):
		c.refuse(http.StatusRequestEntityTooLarge, outcome.ReasonInvalid, 0)
	default:
		c.refuse(http.StatusBadRequest, outcome.ReasonInvalid, 0)
	}
}

// writeBody writes the body of an answer, whose memory is that of the hold. If memory is needed for others
// and the client is slow, it ends the connection.
func (c *clientRequest) writeBody(hold *bytebudget.Hold, body []byte) (isComplete bool) {
	hold.AwaitClient(func() {
		// This fails only on a closed connection, which the writing detects.
		_ = http.NewResponseController(c.writer).SetWriteDeadline(pastDeadline)
	})
	// A write fails only if the client has disconnected, or was given up as too slow, so nobody could
	// receive an error.
	_, _ = c.writer.Write(body)
	return hold.ClientDone() == nil
}
