package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/api"
)

const (
	contentTypeJSON = "application/json"
	// maxBody bounds the bytes of one answer that the client reads.
	maxBody = 16 << 20
	// idleTimeout is how long an unused connection is kept.
	idleTimeout = 30 * time.Second
)

// client sends exchanges over reused connections. It is safe for concurrent
// use.
type client struct {
	http    *http.Client
	targets []string
	name    string
	timeout time.Duration
}

func newClient(options Options) *client {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: options.RequestTimeout}).DialContext,
		MaxIdleConns:        0,
		MaxIdleConnsPerHost: options.MaxOutstanding,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	c := &client{
		http:    &http.Client{Transport: transport},
		name:    options.Name,
		timeout: options.RequestTimeout,
	}
	for _, address := range options.Targets {
		c.targets = append(c.targets, baseURL(address))
	}
	return c
}

func baseURL(address string) string {
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	return strings.TrimRight(address, "/")
}

func (c *client) close() { c.http.CloseIdleConnections() }

// send runs one exchange. The target follows from the request's number and the
// attempt, so that repeats go to other nodes.
func (c *client) send(ctx context.Context, request *Request, attempt int) *Exchange {
	exchange := &Exchange{
		Request:   request,
		Attempt:   attempt,
		RequestID: fmt.Sprintf("%s-%d-%d", c.name, request.Number, attempt),
		Target:    c.targets[(request.Number+attempt-1)%len(c.targets)],
		Sent:      time.Now(),
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	exchange.Err = c.roundTrip(ctx, exchange)
	exchange.Finished = time.Now()
	return exchange
}

func (c *client) roundTrip(ctx context.Context, exchange *Exchange) error {
	exchange.NothingSent = true
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { exchange.NothingSent = false }}
	message, err := c.build(httptrace.WithClientTrace(ctx, trace), exchange)
	if err != nil {
		return err
	}
	response, err := c.http.Do(message)
	if err != nil {
		return errors.Wrapf(err, "request to %s", exchange.Target)
	}
	defer response.Body.Close()
	exchange.Status = response.StatusCode
	body := io.LimitReader(response.Body, maxBody)
	switch {
	case response.StatusCode != http.StatusOK:
		return readProblem(response, body, exchange)
	case exchange.Request.Load.Stream:
		return readStream(body, exchange)
	default:
		return readAnswer(body, exchange)
	}
}

func (c *client) build(ctx context.Context, exchange *Exchange) (*http.Request, error) {
	path := api.QueryPath
	if exchange.Request.Load.Stream {
		path = api.StreamPath
	}
	body := bytes.NewReader(exchange.Request.encoded)
	message, err := http.NewRequestWithContext(ctx, http.MethodPost, exchange.Target+path, body)
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	message.Header.Set("Content-Type", contentTypeJSON)
	message.Header.Set(api.HeaderRequestID, exchange.RequestID)
	if key := exchange.Request.IdempotencyKey; key != "" {
		message.Header.Set(api.HeaderIdempotencyKey, key)
		// Without this net/http could send the request a second time by itself
		// when a reused connection breaks: it treats the header as permission.
		message.GetBody = nil
	}
	return message, nil
}

func readAnswer(body io.Reader, exchange *Exchange) error {
	var answer api.Answer
	if err := json.NewDecoder(body).Decode(&answer); err != nil {
		return errors.Wrap(err, "read answer")
	}
	// The rest is read so that the connection can be used again.
	if _, err := io.Copy(io.Discard, body); err != nil {
		return errors.Wrap(err, "read end of answer")
	}
	exchange.Answer = &answer
	return nil
}

func readProblem(response *http.Response, body io.Reader, exchange *Exchange) error {
	var problem api.Problem
	if err := json.NewDecoder(body).Decode(&problem); err != nil {
		return errors.Wrapf(err, "read problem of status %d", response.StatusCode)
	}
	if _, err := io.Copy(io.Discard, body); err != nil {
		return errors.Wrap(err, "read end of problem")
	}
	if problem.RetryAfterMS == 0 {
		problem.RetryAfterMS = retryAfterHeader(response.Header).Milliseconds()
	}
	exchange.Problem = &problem
	return nil
}

func retryAfterHeader(header http.Header) time.Duration {
	seconds, err := strconv.Atoi(header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// readStream reads lines until the answer or the error that ends the stream.
func readStream(body io.Reader, exchange *Exchange) error {
	decoder := json.NewDecoder(bufio.NewReader(body))
	for {
		var event api.Event
		if err := decoder.Decode(&event); err != nil {
			return errors.Wrap(err, "read stream")
		}
		switch event.Type {
		case api.EventAnswer:
			exchange.Answer = event.Answer
		case api.EventError:
			exchange.Problem = event.Error
		case api.EventPartial:
			if exchange.FirstPartial.IsZero() {
				exchange.FirstPartial = time.Now()
			}
			exchange.Events = append(exchange.Events, event)
		default:
			exchange.Events = append(exchange.Events, event)
		}
		if exchange.Answer != nil || exchange.Problem != nil {
			_, err := io.Copy(io.Discard, body)
			return errors.Wrap(err, "read end of stream")
		}
	}
}
