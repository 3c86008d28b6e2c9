package exchange

import (
	"context"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/pkg/bytebudget"
	"github.com/bramblemast/bramblemast/pkg/outcome"
)

// largeBodySize is the size in bytes from which a body is sent while the response is being read,
// since a server may respond before it has read a long body.
const largeBodySize = 4 << 10

// turnedAwayWindow is the time, in addition to two round trips, within which a server that has
// too many connections resets a new one.
const turnedAwayWindow = 10 * time.Millisecond

// minSilence is how long a reused connection must have delivered nothing before it is considered
// silent. It is longer than the pauses and slow responses of a healthy server, which would
// otherwise have to accept new connections.
const minSilence = 400 * time.Millisecond

// Attempt sends a request once to one server. Run is called once; Expire may be called at any
// time from other goroutines.
type Attempt struct {
	Dialect  *Dialect
	Pool     *Pool
	Request  *Request
	Instance string
	// Deadline is the time after which the response is of no use.
	Deadline time.Time
	// Memory bounds the memory of response bodies; nil for no bound.
	Memory *bytebudget.Budget
	// MaySend is called right before the request is sent and reports whether sending is still
	// allowed, since opening a connection can take seconds. Nil if this cannot change meanwhile.
	MaySend func() bool
	// Withdrawn reports that the request was not sent because MaySend returned false. Valid after
	// Run.
	Withdrawn bool
	// MayHaveArrived reports whether any byte of the request may have reached the server. Valid
	// after Run.
	MayHaveArrived bool
	// ConnectTime is the time that it took to open a new connection; zero if none was opened.
	// Valid after Run.
	ConnectTime time.Duration
	// TurnedAway reports that the server reset a new connection before it sent anything and before it
	// can have done any work, most likely because it has too many connections. This does not prove that
	// the request did not run. Valid after Run.
	TurnedAway bool
	// Broken reports that the server closed the connection after the request may have arrived and
	// before the response was complete, as happens when a server crashes. Valid after Run.
	Broken bool

	mutex sync.Mutex
	// end, cancelDial and current are guarded by mutex.
	end        time.Time
	cancelDial context.CancelFunc
	current    net.Conn
}

// Expire makes the attempt fail at the given time if it has not ended by then. A time in the past
// ends it at once.
func (a *Attempt) Expire(end time.Time) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.end = end
	if a.current != nil {
		// This fails only on a closed connection, which the next read or write detects.
		_ = a.current.SetDeadline(end)
	}
	if a.cancelDial != nil && !end.After(time.Now()) {
		a.cancelDial()
	}
}

// errWithdrawn is the cause of the failure if MaySend returned false.
var errWithdrawn = errors.New("the server may not be asked any more")

// Run sends the request and returns the server's complete response, or an *outcome.Error that
// states whether the request may have run. It returns the connection to the pool if it can be
// reused.
func (a *Attempt) Run() (*Response, error) {
	conn, err := a.connect()
	if err != nil {
		a.recordTurnedAway(errors.Is(err, syscall.ECONNRESET))
		return nil, a.failure("connect", outcome.NotRun, outcome.ReasonUnreachable, err)
	}
	if !a.attach(conn) {
		// The connection is being discarded, so an error from Close is of no interest.
		_ = conn.Close()
		return nil, a.failure("send", outcome.NotRun, outcome.ReasonCancelled, context.Canceled)
	}
	if a.MaySend != nil && !a.MaySend() {
		a.Withdrawn = true
		a.detach()
		// The connection is being discarded, so an error from Close is of no interest.
		_ = conn.Close()
		return nil, a.failure("send", outcome.NotRun, outcome.ReasonCancelled, errWithdrawn)
	}
	sentAt := time.Now()
	answer, keepFor, err := a.sendAndReceive(conn)
	a.detach()
	if err != nil || keepFor <= 0 {
		// The connection is being discarded, so an error from Close is of no interest.
		_ = conn.Close()
	} else {
		// This fails only on a closed connection, which the next read or write detects.
		_ = conn.SetDeadline(time.Time{})
		conn.answered.record(a.Request.ID, answer)
		a.Pool.put(conn, keepFor, time.Now())
	}
	if err != nil {
		if isTimeout(err) && conn.reused && time.Since(sentAt) >= minSilence {
			a.Pool.closeIdleSince(sentAt)
		}
		isEarly := time.Since(sentAt) < turnedAwayWindow+2*a.ConnectTime
		a.recordTurnedAway(a.ConnectTime > 0 && errors.Is(err, syscall.ECONNRESET) && isEarly && !conn.limiter.hasRead)
		a.Broken = !a.TurnedAway && isClosedByPeer(err)
		return nil, a.failure("exchange", outcome.Unknown, outcome.ReasonConnectionLost, err)
	}
	return answer, nil
}

// isTimeout reports whether a read or write failed because its deadline had passed.
func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// isClosedByPeer reports whether the server closed or reset the connection.
func isClosedByPeer(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// recordTurnedAway sets TurnedAway and, if the server turned the connection away, informs the pool.
func (a *Attempt) recordTurnedAway(turnedAway bool) {
	a.TurnedAway = turnedAway
	if turnedAway {
		a.Pool.recordTurnedAway(time.Now())
	}
}

// connect returns an idle connection or a new one. While the server turns connections away, a new
// one is confirmed before use, so that a refusal is detected before anything has been sent.
func (a *Attempt) connect() (*connection, error) {
	if idle := a.Pool.take(a.Request.ID, time.Now()); idle != nil {
		return idle, nil
	}
	ctx, cancel := context.WithDeadline(context.Background(), a.Deadline)
	defer cancel()
	a.mutex.Lock()
	if !a.end.IsZero() && !a.end.After(time.Now()) {
		a.mutex.Unlock()
		return nil, context.Canceled
	}
	a.cancelDial = cancel
	a.mutex.Unlock()
	started := time.Now()
	opened, err := a.Pool.dial(ctx)
	a.mutex.Lock()
	a.cancelDial = nil
	a.mutex.Unlock()
	if err != nil {
		return nil, err
	}
	a.ConnectTime = max(time.Since(started), time.Nanosecond)
	if !a.Pool.mustConfirm(time.Now()) {
		return opened, nil
	}
	if err := opened.confirm(a.ConnectTime); err != nil {
		// The connection is being discarded, so an error from Close is of no interest.
		_ = opened.Close()
		return nil, err
	}
	return opened, nil
}

// attach lets Expire set the deadline of the connection. It returns false if the attempt has
// already expired.
func (a *Attempt) attach(conn *connection) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	end := a.end
	if end.IsZero() {
		end = a.Deadline
	}
	if !end.After(time.Now()) {
		return false
	}
	a.current = conn
	// This fails only on a closed connection, which the next read or write detects.
	_ = conn.SetDeadline(end)
	return true
}

// detach ends the effect of Expire on the connection.
func (a *Attempt) detach() {
	a.mutex.Lock()
	a.current = nil
	a.mutex.Unlock()
}

// sendAndReceive sends the request and reads its response. It also returns how long the connection
// may be kept idle; zero if it must not be reused.
func (a *Attempt) sendAndReceive(conn *connection) (*Response, time.Duration, error) {
	buffer := make([]byte, 0, 512)
	message := a.Request.appendHead(buffer, a.Dialect, a.Instance, time.Until(a.Deadline))
	a.MayHaveArrived = true
	if len(a.Request.Body) < largeBodySize {
		message = append(message, a.Request.Body...)
		if _, err := conn.Write(message); err != nil {
			return nil, 0, errors.Wrap(err, "write")
		}
		return readResponse(conn, a.Request, a.Dialect, a.Memory)
	}
	if _, err := conn.Write(message); err != nil {
		return nil, 0, errors.Wrap(err, "write head")
	}
	return a.receiveWhileSending(conn)
}

// receiveWhileSending reads the response while the body is being sent. A connection on which the
// body was not sent completely is not reused, since the server would read the next request as the
// rest of the body.
func (a *Attempt) receiveWhileSending(conn *connection) (*Response, time.Duration, error) {
	sent := make(chan error, 1)
	go func() {
		_, err := conn.Write(a.Request.Body)
		sent <- err
	}()
	answer, keepFor, err := readResponse(conn, a.Request, a.Dialect, a.Memory)
	select {
	case writeError := <-sent:
		if writeError != nil {
			keepFor = 0
		}
	default:
		keepFor = 0
	}
	return answer, keepFor, err
}

func (a *Attempt) failure(step string, known outcome.Outcome, reason outcome.Reason, cause error) error {
	return &outcome.Error{Step: step, Peer: a.Pool.address, Outcome: known, Reason: reason, Cause: cause}
}

// Expired reports whether the time set by Expire or the deadline has passed. It is safe for
// concurrent use.
func (a *Attempt) Expired() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	now := time.Now()
	return !a.end.IsZero() && !a.end.After(now) || !a.Deadline.After(now)
}
