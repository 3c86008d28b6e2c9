package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"mime"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/api"
	"github.com/bramblemast/bramblemast/pkg/outcome"
)

// maxResponseSize bounds the body of an answer, in bytes.
const maxResponseSize = 64 << 20

// exchange is one HTTP request and what it is for.
type exchange struct {
	step       string
	method     string
	path       string
	parameters url.Values
	changeID   string
	// body is sent as JSON; nil for none.
	body any
}

// call runs an exchange and decodes its answer.
func call[Message any](ctx context.Context, client *Client, exchange exchange) (*Message, error) {
	body, err := client.run(ctx, exchange)
	if err != nil {
		return nil, err
	}
	message := new(Message)
	if err := json.Unmarshal(body, message); err != nil {
		return nil, client.failure(exchange, outcome.Unknown, outcome.ReasonCorruptResponse, errors.Wrap(err, "decode answer"))
	}
	return message, nil
}

// run sends the request and returns the whole body of a successful answer.
func (c *Client) run(ctx context.Context, exchange exchange) ([]byte, error) {
	// connected is set by the transport's goroutine.
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := c.request(ctx, exchange)
	if err != nil {
		return nil, c.failure(exchange, outcome.NotRun, outcome.ReasonInvalid, err)
	}
	response, err := c.http.Do(request)
	if err != nil && !connected.Load() {
		return nil, c.failure(exchange, outcome.NotRun, outcome.ReasonUnreachable, err)
	}
	if err != nil {
		return nil, c.failure(exchange, outcome.Unknown, lostReason(ctx), err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseSize+1))
	if err != nil {
		return nil, c.failure(exchange, outcome.Unknown, lostReason(ctx), errors.Wrap(err, "read answer"))
	}
	if len(body) > maxResponseSize {
		return nil, c.failure(exchange, outcome.Unknown, outcome.ReasonCorruptResponse, errors.New("answer too large"))
	}
	if response.StatusCode != http.StatusOK {
		return nil, c.refusal(exchange, response, body)
	}
	return body, nil
}

// request builds the HTTP request.
func (c *Client) request(ctx context.Context, exchange exchange) (*http.Request, error) {
	location := url.URL{Scheme: "http", Host: c.address, RawQuery: exchange.parameters.Encode()}
	address := location.Scheme + "://" + location.Host + exchange.path
	if location.RawQuery != "" {
		address += "?" + location.RawQuery
	}
	var body io.Reader
	if exchange.body != nil {
		encoded, err := json.Marshal(exchange.body)
		if err != nil {
			return nil, errors.Wrap(err, "encode request")
		}
		body = bytes.NewReader(encoded)
	}
	request, err := http.NewRequestWithContext(ctx, exchange.method, address, body)
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	if exchange.body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	if exchange.changeID != "" {
		request.Header.Set(HeaderChangeID, exchange.changeID)
	}
	return request, nil
}

// refusal turns an answer other than success into an error. An answer that is
// not a problem, for example of a program between client and node, says
// nothing about the outcome.
func (c *Client) refusal(exchange exchange, response *http.Response, body []byte) error {
	mediaType, _, _ := mime.ParseMediaType(response.Header.Get("Content-Type"))
	var problem Problem
	if mediaType != api.ContentTypeProblem || json.Unmarshal(body, &problem) != nil {
		cause := errors.Errorf("answer %s without a problem document", response.Status)
		return c.failure(exchange, outcome.Unknown, outcome.ReasonCorruptResponse, cause)
	}
	known := problem.Outcome
	if known == outcome.Completed {
		known = outcome.Unknown
	}
	return &outcome.Error{
		Step:       exchange.step,
		Peer:       c.address,
		Outcome:    known,
		Reason:     problem.Reason,
		RetryAfter: time.Duration(problem.RetryAfterMS) * time.Millisecond,
		Cause:      &ProblemError{Problem: problem},
	}
}

func (c *Client) failure(exchange exchange, known outcome.Outcome, reason outcome.Reason, cause error) error {
	return &outcome.Error{Step: exchange.step, Peer: c.address, Outcome: known, Reason: reason, Cause: cause}
}

// lostReason tells a deadline from a broken connection.
func lostReason(ctx context.Context) outcome.Reason {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return outcome.ReasonDeadline
	case ctx.Err() != nil:
		return outcome.ReasonCancelled
	default:
		return outcome.ReasonConnectionLost
	}
}
