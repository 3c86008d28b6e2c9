package main

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// attempt is one request of a client with an id of its own.
type attempt struct {
	id     string
	node   string
	sentAt time.Time
	// status is zero if no complete answer came; failure is why.
	status     int
	retryAfter time.Duration
	header     http.Header
	body       []byte
	failure    error
	endedAt    time.Time
	// isKept is set if the request was sent on a connection that had served one before.
	isKept bool
	// isRefusedConnection is set if no connection could be opened, so that nothing was sent.
	isRefusedConnection bool
}

// call describes a request of a client.
type call struct {
	method, host, target string
	body                 []byte
	deadline             time.Duration
}

// client is a client with at most one kept connection to each node. One goroutine uses it.
type client struct {
	connections map[string]*clientConnection
}

// clientConnection is a kept connection.
type clientConnection struct {
	net.Conn
	reader *bufio.Reader
	served int
}

func newClient() *client { return &client{connections: make(map[string]*clientConnection)} }

// connectTimeout is the second that a new connection gets to come up.
const connectTimeout = time.Second

// do sends one request to a node and waits for the whole answer.
func (c *client) do(at *node, id string, asked call) attempt {
	result := attempt{id: id, node: at.name}
	connection := c.connections[at.clients]
	if connection == nil {
		opened, err := net.DialTimeout("tcp", at.clients, connectTimeout)
		if err != nil {
			result.sentAt, result.isRefusedConnection = time.Now(), true
			result.failure, result.endedAt = fmt.Errorf("connect: %w", err), time.Now()
			return result
		}
		connection = &clientConnection{Conn: opened, reader: bufio.NewReader(opened)}
		c.connections[at.clients] = connection
	}
	result.isKept = connection.served > 0
	connection.served++
	result.sentAt = time.Now()
	isKept, err := connection.exchange(id, asked, &result)
	result.endedAt = time.Now()
	if err != nil {
		result.status, result.failure = 0, err
	}
	if err != nil || !isKept {
		_ = connection.Close()
		delete(c.connections, at.clients)
	}
	return result
}

// exchange sends a request and reads its answer, and reports whether the connection may be used again.
func (c *clientConnection) exchange(id string, asked call, result *attempt) (bool, error) {
	if err := c.SetDeadline(time.Now().Add(asked.deadline)); err != nil {
		return false, err
	}
	if _, err := c.Write(encodeRequest(id, asked)); err != nil {
		return false, fmt.Errorf("send: %w", err)
	}
	answer, err := http.ReadResponse(c.reader, &http.Request{Method: asked.method})
	if err != nil {
		return false, fmt.Errorf("read: %w", err)
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		return false, fmt.Errorf("read body: %w", err)
	}
	result.status, result.header, result.body = answer.StatusCode, answer.Header, body
	if seconds, err := strconv.ParseFloat(answer.Header.Get("Retry-After"), 64); err == nil {
		result.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	return !answer.Close, nil
}

func encodeRequest(id string, asked call) []byte {
	var encoded bytes.Buffer
	fmt.Fprintf(&encoded, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n",
		asked.method, asked.target, asked.host, id, asked.deadline.Milliseconds())
	if asked.body != nil {
		fmt.Fprintf(&encoded, "Content-Length: %d\r\n", len(asked.body))
	}
	encoded.WriteString("\r\n")
	encoded.Write(asked.body)
	return encoded.Bytes()
}

// isPromise reports whether a status promises that the request has not run and never will.
func isPromise(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// isTimeout reports whether a client gave up on an answer.
func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// close closes the kept connections.
func (c *client) close() {
	for _, each := range c.connections {
		_ = each.Close()
	}
}

// pause waits for a span or until ctx ends.
func pause(ctx context.Context, span time.Duration) {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
