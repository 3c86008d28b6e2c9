package httpbackend

import (
	"context"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/pkg/backend"
	"github.com/bramblemast/bramblemast/pkg/outcome"
	"github.com/bramblemast/bramblemast/pkg/target"
)

// The steps that errors name.
const (
	stepEncode  = "encode query"
	stepConnect = "connect"
	stepSend    = "send query"
	stepMatch   = "match response"
	stepRead    = "read response"
	stepDecode  = "decode response"
	stepRefused = "run query"
	stepProbe   = "probe"
)

var errWrongIdentity = errors.New("response belongs to another request")

// notSent is a failure before anything of the request was written.
func notSent(step string, server target.ServerID, reason outcome.Reason, cause error) error {
	return &outcome.Error{
		Step: step, Peer: string(server), Outcome: outcome.NotRun, Reason: reason, Cause: cause,
	}
}

// inDoubt is a failure after the request may have reached the server.
func inDoubt(step string, server target.ServerID, reason outcome.Reason, cause error) error {
	return &outcome.Error{
		Step: step, Peer: string(server), Outcome: outcome.Unknown, Reason: reason, Cause: cause,
	}
}

// corrupt is an answer that can't be trusted.
func corrupt(step string, server target.ServerID, cause error) error {
	return inDoubt(step, server, outcome.ReasonCorruptResponse, cause)
}

// contextReason names why a context ended.
func contextReason(err error) outcome.Reason {
	if errors.Is(err, context.DeadlineExceeded) {
		return outcome.ReasonDeadline
	}
	return outcome.ReasonCancelled
}

// classifySend classifies a failure before the header of an answer arrived.
func classifySend(ctx context.Context, server target.ServerID, written bool, cause error) error {
	ended := ctx.Err()
	switch {
	case !written && ended != nil:
		return notSent(stepConnect, server, contextReason(ended), cause)
	case !written:
		return notSent(stepConnect, server, outcome.ReasonUnreachable, cause)
	case ended != nil:
		return inDoubt(stepSend, server, contextReason(ended), cause)
	default:
		return inDoubt(stepSend, server, outcome.ReasonConnectionLost, cause)
	}
}

// classifyRead classifies a failure while the body of an answer was read.
func classifyRead(ctx context.Context, server target.ServerID, cause error) error {
	if ended := ctx.Err(); ended != nil {
		return inDoubt(stepRead, server, contextReason(ended), cause)
	}
	if errors.Is(cause, io.ErrUnexpectedEOF) || errors.Is(cause, errBodyTooLarge) {
		return corrupt(stepRead, server, cause)
	}
	return inDoubt(stepRead, server, outcome.ReasonConnectionLost, cause)
}

// verifyIdentity fails if the answer belongs to another request. A server that
// fails early may leave the identity out, but never on a result.
func verifyIdentity(answer *http.Response, identity string) error {
	echoed := answer.Header.Get(backend.HeaderRequestID)
	if echoed == identity {
		return nil
	}
	if echoed == "" && answer.StatusCode != http.StatusOK {
		return nil
	}
	return errWrongIdentity
}

// classifyStatus classifies an answer with another status than 200. Only the
// marker of a refusal before execution, on an answer that names this request,
// proves that nothing ran; the body adds nothing to that.
func classifyStatus(server target.ServerID, answer *http.Response, identity string) error {
	cause := errors.Errorf("status %d", answer.StatusCode)
	reason, refused := refusalReason(answer.Header.Get(backend.HeaderNotRun))
	if !refused || answer.Header.Get(backend.HeaderRequestID) != identity {
		return inDoubt(stepRefused, server, outcome.ReasonBackendError, cause)
	}
	if reason == outcome.ReasonDuplicate {
		// An earlier attempt with the same idempotency key may have run.
		return inDoubt(stepRefused, server, reason, cause)
	}
	return &outcome.Error{
		Step:       stepRefused,
		Peer:       string(server),
		Outcome:    outcome.NotRun,
		Reason:     reason,
		RetryAfter: parseRetryAfter(answer.Header),
		Cause:      cause,
	}
}

// refusalReason reads the marker of a refusal before execution. A marker with
// a reason that this version does not know still says that nothing ran.
func refusalReason(marker string) (outcome.Reason, bool) {
	switch reason := outcome.Reason(marker); reason {
	case "":
		return "", false
	case outcome.ReasonShed, outcome.ReasonDraining, outcome.ReasonVersionGone,
		outcome.ReasonRangeNotHeld, outcome.ReasonDeadline, outcome.ReasonDuplicate,
		outcome.ReasonInvalid:
		return reason, true
	default:
		return outcome.ReasonShed, true
	}
}
