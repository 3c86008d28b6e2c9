// Package exchangetest is an in-memory network of HTTP/1.1 servers for tests. It works inside
// testing/synctest bubbles, so that tests of time-outs and hedges take no time and are
// deterministic.
package exchangetest

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/bramblemast/bramblemast/pkg/exchange"
)

// Dialect holds the header names that the servers use.
var Dialect = exchange.Dialect{
	RequestID: "Id", DeadlineMillis: "Left", ExpectInstance: "Meant-For", Evidence: "Mark", NotRun: "Refused",
}

// Answer is what a server does with one request.
type Answer struct {
	// Delay is the server's processing time; with Hang it never answers.
	Delay time.Duration
	Hang  bool
	// Before is written before the answer, After after it.
	Before string
	After  string
	Status int
	Header map[string]string
	Body   string
	// Cut is the number of bytes of the body after which the connection is closed. Zero closes it
	// before the head; a negative value keeps it open.
	Cut int
}

// Whole returns an answer that is not cut.
func Whole(body string) Answer {
	return Answer{Status: http.StatusOK, Body: body, Cut: -1, Header: map[string]string{"Mark": "m"}}
}

// Request is what a server has received.
type Request struct {
	*http.Request
	Payload string
	At      time.Time
}

// Server is one server of a Network.
type Server struct {
	// Respond returns the answer to each request; it is called concurrently.
	Respond func(request Request) Answer

	mutex sync.Mutex
	// requests is guarded by mutex.
	requests []Request
}

// Requests returns what the server has received so far.
func (s *Server) Requests() []Request {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return append([]Request(nil), s.requests...)
}

// Network connects to servers by address. It implements exchange.Dialer.
type Network struct {
	// ConnectTime is how long a connection takes to open.
	ConnectTime time.Duration

	mutex sync.Mutex
	// servers and dials are guarded by mutex.
	servers map[string]*Server
	dials   int
}

// NewNetwork returns a network without servers.
func NewNetwork() *Network { return &Network{servers: make(map[string]*Server)} }

// Add adds a server at an address, replacing any earlier one.
func (n *Network) Add(address string, respond func(request Request) Answer) *Server {
	added := &Server{Respond: respond}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.servers[address] = added
	return added
}

// Remove removes the server at an address, so that new connections are refused.
func (n *Network) Remove(address string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	delete(n.servers, address)
}

// Dials returns the number of calls of DialContext, including refused ones.
func (n *Network) Dials() int {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.dials
}

// DialContext implements exchange.Dialer. It returns ECONNREFUSED for an address without a server.
func (n *Network) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	n.mutex.Lock()
	found := n.servers[address]
	n.dials++
	n.mutex.Unlock()
	if found == nil {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	}
	if err := wait(ctx, n.ConnectTime); err != nil {
		return nil, err
	}
	near, far := net.Pipe()
	go found.serve(far)
	return near, nil
}

// wait returns after the given time, or when ctx ends. It never creates a timer that expires at
// once: in a testing/synctest bubble, every goroutine that waits for such a timer runs it itself,
// and under the race detector all of them use the bubble's only race context (go1.26), which
// crashes the process.
func wait(ctx context.Context, span time.Duration) error {
	if span <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

func (s *Server) serve(connection net.Conn) {
	// The connection is being discarded, so an error from Close is of no interest.
	defer func() { _ = connection.Close() }()
	reader := bufio.NewReader(connection)
	for {
		received, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		payload, _ := io.ReadAll(received.Body)
		request := Request{Request: received, Payload: string(payload), At: time.Now()}
		s.mutex.Lock()
		s.requests = append(s.requests, request)
		s.mutex.Unlock()
		if !write(connection, request, s.Respond(request)) {
			return
		}
	}
}

// write sends an answer and reports whether the connection stays open.
func write(connection net.Conn, request Request, answer Answer) bool {
	if answer.Hang {
		// Copy returns when the client closes the connection.
		_, _ = io.Copy(io.Discard, connection)
		return false
	}
	time.Sleep(answer.Delay)
	if answer.Cut == 0 {
		return false
	}
	head := fmt.Sprintf("%sHTTP/1.1 %d X\r\nContent-Length: %d\r\n", answer.Before, answer.Status, len(answer.Body))
	if _, ok := answer.Header["Id"]; !ok {
		head += "Id: " + request.Header.Get("Id") + "\r\n"
	}
	for name, value := range answer.Header {
		head += name + ": " + value + "\r\n"
	}
	body := answer.Body
	if answer.Cut > 0 {
		body = body[:min(answer.Cut, len(body))]
	}
	_, err := io.WriteString(connection, head+"\r\n"+body+answer.After)
	return err == nil && answer.Cut < 0
}
