package load

import (
	"net/http"
	"time"

	"github.com/bramblemast/bramblemast/api"
	"github.com/bramblemast/bramblemast/pkg/outcome"
)

// ReasonTransport is the reason of an exchange that ended without an answer or
// a problem document.
const ReasonTransport outcome.Reason = "transport"

// Exchange is one HTTP exchange of one request. An Observer must not change it.
type Exchange struct {
	Request *Request
	// Attempt counts the exchanges of the request from 1.
	Attempt   int
	RequestID string
	// Target is the base URL of the node that was asked.
	Target   string
	Sent     time.Time
	Finished time.Time
	// FirstPartial is when the first partial event came; zero if none did.
	FirstPartial time.Time

	Status int
	// Answer or Problem is set, unless the exchange failed with Err.
	Answer  *api.Answer
	Problem *api.Problem
	// Events are the lines of a stream before its last one.
	Events []api.Event
	// Err is set if no whole answer came. NothingSent tells whether it is
	// certain that the node saw nothing of the request.
	Err         error
	NothingSent bool
}

// Observer sees every exchange once it is over. It is called by many
// goroutines at once, after the latency was taken.
type Observer interface {
	Observe(exchange *Exchange)
}

// Outcome returns what the caller knows about the execution.
func (e *Exchange) Outcome() outcome.Outcome {
	switch {
	case e.Answer != nil:
		return e.Answer.Outcome
	case e.Problem != nil:
		return e.Problem.Outcome
	case e.NothingSent:
		return outcome.NotRun
	default:
		return outcome.Unknown
	}
}

// Reason returns why the exchange gave no answer; empty if it gave one.
func (e *Exchange) Reason() outcome.Reason {
	switch {
	case e.Answer != nil:
		return ""
	case e.Problem != nil:
		return e.Problem.Reason
	default:
		return ReasonTransport
	}
}

// Refused reports whether the node turned the request away, without running
// it, with a status that asks the caller to retry.
func (e *Exchange) Refused() bool {
	asksBack := e.Status == http.StatusTooManyRequests || e.Status == http.StatusServiceUnavailable
	return asksBack && e.Outcome() == outcome.NotRun
}

// arm returns the arm that the node says it used; empty if it says none.
func (e *Exchange) arm() string {
	if e.Answer != nil {
		return e.Answer.Arm
	}
	return ""
}
