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

	"github.com/bramblemast/bramblemast/pkg/outcome"
)

// largeBody is the size from which a body is sent while the answer is awaited,
// since a server may answer before it has read a long body.
const largeBody = 4 << 10

// turnedAwayWithin is how soon, beyond two round trips, a server that has too
// many connections resets a new one.
const turnedAwayWithin = 10 * time.Millisecond

// silentSpan is for how long a connection that was used before must have said nothing
// to be taken for silent: beyond the pauses and slow answers of a sound server, which
// would otherwise cost it new connections.
const silentSpan = 400 * time.Millisecond

// Attempt is one sending of a request to one server. Run is called once;
// Expire may be called at any time from other goroutines.
type Attempt struct {
	Dialect  *Dialect
	Pool     *Pool
	Request  *Request
	Instance string
	// Deadline is when the server's work loses its use.
	Deadline time.Time
	// MaySend reports, right before the request is sent, whether it still may be: opening a
	// connection can take seconds. Nil if nothing can change meanwhile.
	MaySend func() bool
	// Withdrawn reports that MaySend did not allow it. Valid after Run.
	Withdrawn bool
	// Arrived reports whether any byte of the request may have reached the
	// server; valid after Run.
	MayHaveArrived bool
	// ConnectTime is the time that a new connection took; zero if none was
	// opened. Valid after Run.
	ConnectTime time.Duration
	// TurnedAway reports that the server reset a new connection before it can
	// have done any work: it likely has too many connections. It is no evidence
	// that the request did not run. Valid after Run.
	TurnedAway bool
	// Broken reports that the other side ended the connection after the request may have
	// arrived and before its whole answer, as a server does that crashes. Valid after Run.
	Broken bool

	mutex sync.Mutex
	// end, cancelDial and current are guarded by mutex.
	end        time.Time
	cancelDial context.CancelFunc
	current    net.Conn
}

// Expire makes the attempt fail at the given moment if it has not ended by
// then. A moment that has passed ends it at once.
func (a *Attempt) Expire(end time.Time) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.end = end
	if a.current != nil {
		// It fails only on a connection that has ended, which the next read or write finds.
		_ = a.current.SetDeadline(end)
	}
	if a.cancelDial != nil && !end.After(time.Now()) {
		a.cancelDial()
	}
}

// errWithdrawn is why a request was not sent although a connection was open.
var errWithdrawn = errors.New("the server may not be asked any more")

// Run sends the request and returns the server's whole answer, or an
// *outcome.Error with what is known about the execution.
func (a *Attempt) Run() (*Response, error) {
	used, err := a.connect()
	if err != nil {
		a.noteTurnedAway(errors.Is(err, syscall.ECONNRESET))
		return nil, a.failure("connect", outcome.NotRun, outcome.ReasonUnreachable, err)
	}
	if !a.own(used) {
		// The connection is given up: its end tells nothing.
		_ = used.Close()
		return nil, a.failure("send", outcome.NotRun, outcome.ReasonCancelled, context.Canceled)
	}
	if a.MaySend != nil && !a.MaySend() {
		a.Withdrawn = true
		a.disown()
		// The connection is given up: its end tells nothing.
		_ = used.Close()
		return nil, a.failure("send", outcome.NotRun, outcome.ReasonCancelled, errWithdrawn)
	}
	sentAt := time.Now()
	answer, keep, err := a.converse(used)
	a.disown()
	if err != nil || keep <= 0 {
		// The connection is given up: its end tells nothing.
		_ = used.Close()
	} else {
		// It fails only on a connection that has ended, which the next read or write finds.
		_ = used.SetDeadline(time.Time{})
		a.Pool.put(used, keep, time.Now())
	}
	if err != nil {
		if isTimeout(err) && used.reused && time.Since(sentAt) >= silentSpan {
			a.Pool.distrust(sentAt)
		}
		a.noteTurnedAway(a.ConnectTime > 0 && errors.Is(err, syscall.ECONNRESET) && time.Since(sentAt) < turnedAwayWithin+2*a.ConnectTime)
		a.Broken = !a.TurnedAway && isEnded(err)
		return nil, a.failure("exchange", outcome.Unknown, outcome.ReasonConnectionLost, err)
	}
	return answer, nil
}

// isTimeout reports whether a read or write ended because of its deadline.
func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// isEnded reports whether the other side ended the connection.
func isEnded(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

func (a *Attempt) noteTurnedAway(turnedAway bool) {
	a.TurnedAway = turnedAway
	if turnedAway {
		a.Pool.noteTurnedAway(time.Now())
	}
}

// connect returns an idle connection or a new one. A new one is confirmed
// before use while the server turns connections away, so that a refusal is
// found before anything has been sent.
func (a *Attempt) connect() (*connection, error) {
	if idle := a.Pool.take(time.Now()); idle != nil {
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
	if !a.Pool.isScarce(time.Now()) {
		return opened, nil
	}
	if err := opened.confirm(a.ConnectTime); err != nil {
		// The connection is given up: its end tells nothing.
		_ = opened.Close()
		return nil, err
	}
	return opened, nil
}

// own lets Expire reach the connection; it returns false if the attempt has
// ended already.
func (a *Attempt) own(used *connection) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	end := a.end
	if end.IsZero() {
		end = a.Deadline
	}
	if !end.After(time.Now()) {
		return false
	}
	a.current = used
	// It fails only on a connection that has ended, which the next read or write finds.
	_ = used.SetDeadline(end)
	return true
}

func (a *Attempt) disown() {
	a.mutex.Lock()
	a.current = nil
	a.mutex.Unlock()
}

func (a *Attempt) converse(used *connection) (*Response, time.Duration, error) {
	buffer := make([]byte, 0, 512)
	message := a.Request.appendHead(buffer, a.Dialect, a.Instance, time.Until(a.Deadline))
	a.MayHaveArrived = true
	if len(a.Request.Body) < largeBody {
		message = append(message, a.Request.Body...)
		if _, err := used.Write(message); err != nil {
			return nil, 0, errors.Wrap(err, "write")
		}
		return readResponse(used, a.Request, a.Dialect)
	}
	if _, err := used.Write(message); err != nil {
		return nil, 0, errors.Wrap(err, "write head")
	}
	return a.converseWhileSending(used)
}

// converseWhileSending reads the answer while the body is being sent. A
// connection on which the body was not sent whole is not used again, since
// other bytes would stand where the rest of the body is due.
func (a *Attempt) converseWhileSending(used *connection) (*Response, time.Duration, error) {
	sent := make(chan error, 1)
	go func() {
		_, err := used.Write(a.Request.Body)
		sent <- err
	}()
	answer, keep, err := readResponse(used, a.Request, a.Dialect)
	select {
	case writeError := <-sent:
		if writeError != nil {
			keep = 0
		}
	default:
		keep = 0
	}
	return answer, keep, err
}

func (a *Attempt) failure(step string, known outcome.Outcome, reason outcome.Reason, cause error) error {
	return &outcome.Error{Step: step, Peer: a.Pool.address, Outcome: known, Reason: reason, Cause: cause}
}

// Expired reports whether the attempt ended because its time was over.
func (a *Attempt) Expired() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	now := time.Now()
	return !a.end.IsZero() && !a.end.After(now) || !a.Deadline.After(now)
}
