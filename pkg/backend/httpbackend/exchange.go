package httpbackend

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"time"

	"github.com/bramblemast/bramblemast/pkg/backend"
	"github.com/bramblemast/bramblemast/pkg/outcome"
	"github.com/bramblemast/bramblemast/pkg/target"
)

// queryHeaders is the number of header fields of a query.
const queryHeaders = 6

// attempt sends the request once. stale is true if it failed on a kept
// connection before anything was written, so that sending it on another one is
// safe.
func (c *Client) attempt(
	ctx context.Context, pool *pool, request *backend.Request, body []byte,
) (response *backend.Response, stale bool, err error) {
	if err := ctx.Err(); err != nil {
		return nil, false, notSent(stepSend, pool.server, contextReason(err), err)
	}
	tracked := newTracker()
	identity := request.RequestID + "/" + strconv.FormatUint(uint64(request.Attempt), 10)
	message := c.newQuery(httptrace.WithClientTrace(ctx, &tracked.trace), pool, request, identity, body)
	answer, err := pool.queries.RoundTrip(message)
	if err != nil {
		written := tracked.abandon()
		stale = !written && tracked.reused
		return nil, stale, classifySend(ctx, pool.server, written, err)
	}
	response, err = c.receive(ctx, pool.server, request, identity, answer)
	if err != nil && outcome.Of(err) == outcome.Unknown {
		// What is left on the connection is unreliable.
		tracked.abandon()
	}
	// It has been read, or is given up: its end tells nothing.
	_ = answer.Body.Close()
	return response, false, err
}

// newQuery builds the POST by hand: a request without GetBody and without an
// Idempotency-Key header is never sent again by the transport.
func (c *Client) newQuery(
	ctx context.Context, pool *pool, request *backend.Request, identity string, body []byte,
) *http.Request {
	values := make([]string, 0, queryHeaders)
	header := make(http.Header, queryHeaders+1)
	set := func(name, value string) {
		values = append(values, value)
		header[name] = values[len(values)-1 : len(values) : len(values)]
	}
	set("Content-Type", c.options.Codec.ContentType())
	set(backend.HeaderRequestID, identity)
	set(backend.HeaderTenant, request.Tenant)
	set(backend.HeaderVersion, strconv.FormatUint(uint64(request.Target.Version), 10))
	set(backend.HeaderRange, request.Target.Range.String())
	if deadline, ok := ctx.Deadline(); ok {
		remaining := max(time.Until(deadline).Microseconds(), 1)
		set(backend.HeaderDeadline, strconv.FormatInt(remaining, 10))
	}
	header["User-Agent"] = noUserAgent
	message := &http.Request{
		Method:        http.MethodPost,
		URL:           pool.queryURL,
		Host:          pool.queryURL.Host,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        header,
		Body:          io.NopCloser(bytes.NewReader(body)),
		ContentLength: int64(len(body)),
	}
	return message.WithContext(ctx)
}

// noUserAgent keeps net/http from adding a User-Agent field.
var noUserAgent = []string{""}

// receive checks an answer and decodes it. It reads the body of a refusal too,
// so that the connection can be kept.
func (c *Client) receive(
	ctx context.Context, server target.ServerID, request *backend.Request, identity string, answer *http.Response,
) (*backend.Response, error) {
	if err := verifyIdentity(answer, identity); err != nil {
		return nil, corrupt(stepMatch, server, err)
	}
	hints := parseHints(answer.Header)
	c.options.OnHints(server, hints)
	buffer := takeBuffer()
	defer giveBuffer(buffer)
	readErr := readBody(buffer, answer, c.options.MaxResponseBytes)
	if answer.StatusCode != http.StatusOK {
		return nil, classifyStatus(server, answer, identity)
	}
	if readErr != nil {
		return nil, classifyRead(ctx, server, readErr)
	}
	if err := verifyChecksum(answer.Header, buffer.Bytes()); err != nil {
		return nil, corrupt(stepRead, server, err)
	}
	response := &backend.Response{Hints: hints}
	if err := parsePlace(answer.Header, response); err != nil {
		return nil, corrupt(stepRead, server, err)
	}
	if err := c.options.Codec.DecodeResult(buffer.Bytes(), response); err != nil {
		return nil, corrupt(stepDecode, server, err)
	}
	return response, nil
}
