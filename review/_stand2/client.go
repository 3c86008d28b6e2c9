package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// client sends requests to nodes, each once and with an id of its own. It keeps its connections.
type client struct {
	stage *stage
	nodes []*node
	group sync.WaitGroup

	mutex sync.Mutex
	last  uint64
	ends  map[string]int
	idle  map[*node][]*keptConnection
}

// keptConnection is a connection to a node.
type keptConnection struct {
	net.Conn
	reader *bufio.Reader
	// isKept says that the connection has carried an earlier request, the last one until idleSince.
	isKept    bool
	idleSince time.Time
}

// maxIdle is how long a connection may have been at rest to be used again: four fifths of IdleTimeoutMs.
const maxIdle = 12 * time.Second

func newClient(s *stage, nodes []*node) *client {
	return &client{stage: s, nodes: nodes, ends: make(map[string]int), idle: make(map[*node][]*keptConnection)}
}

// crowdIDs is where the ids of the requests of crowds begin.
var crowdIDs uint64 = 1 << 32

// newCrowdClient returns a client whose ids are none of earlier clients.
func newCrowdClient(s *stage, nodes []*node) *client {
	created := newClient(s, nodes)
	crowdIDs += 1 << 20
	created.last = crowdIDs
	return created
}

// request is one request of a client.
type request struct {
	method, path string
	// header holds further header lines.
	header   string
	body     []byte
	deadline time.Duration
	// ended is called when the request has ended; nil for none.
	ended func(outcome)
}

// outcome is how a request ended.
type outcome struct {
	id     string
	to     *node
	end    string
	isKept bool
	sentAt time.Time
}

// Ends of requests without an answer.
const (
	endNoConnection = "no connection"
	endTimeout      = "no answer in time"
	endClosed       = "connection ended"
)

// load sends requests at random intervals until ctx ends.
func (c *client) load(ctx context.Context, perSecond float64, next func() request) {
	for ctx.Err() == nil {
		time.Sleep(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second)))
		sent := next()
		c.group.Go(func() { c.send(sent) })
	}
}

// send sends one request to a node and waits for its end.
func (c *client) send(sent request) {
	c.mutex.Lock()
	c.last++
	id := fmt.Sprintf("%016x", 0x9c41000000000000+c.last)
	c.mutex.Unlock()
	result := outcome{id: id, to: c.nodes[rand.IntN(len(c.nodes))], sentAt: time.Now()}
	c.stage.detail("request %s is sent to %s", id, result.to.name)
	connection := c.take(result.to)
	if connection == nil {
		result.end = endNoConnection
	} else {
		result.isKept = connection.isKept
		result.end = c.exchange(connection, sent, id, result.to)
	}
	c.stage.detail("request %s: %s", id, result.end)
	c.mutex.Lock()
	c.ends[result.end]++
	c.mutex.Unlock()
	if sent.ended != nil {
		sent.ended(result)
	}
}

// take returns an idle connection to a node, or a new one; nil if none can be opened.
func (c *client) take(to *node) *keptConnection {
	if found := c.takeIdle(to); found != nil {
		return found
	}
	opened, err := net.DialTimeout("tcp", to.clients, time.Second)
	if err != nil {
		return nil
	}
	return &keptConnection{Conn: opened, reader: bufio.NewReader(opened)}
}

// takeIdle returns the connection to a node that was used last, or nil.
func (c *client) takeIdle(to *node) *keptConnection {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for count := len(c.idle[to]); count > 0; count-- {
		found := c.idle[to][count-1]
		c.idle[to] = c.idle[to][:count-1]
		if time.Since(found.idleSince) < maxIdle {
			return found
		}
		_ = found.Close()
	}
	return nil
}

// exchange makes one exchange and returns how it ended.
func (c *client) exchange(connection *keptConnection, sent request, id string, to *node) string {
	_ = connection.SetDeadline(time.Now().Add(sent.deadline))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: fizi45.example\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nContent-Length: %d\r\n%s\r\n",
		sent.method, sent.path, id, sent.deadline.Milliseconds(), len(sent.body), sent.header)
	_, err := connection.Write(append([]byte(head), sent.body...))
	var response *http.Response
	if err == nil {
		response, err = http.ReadResponse(connection.reader, nil)
	}
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
	}
	if err != nil {
		_ = connection.Close()
		if isTimeout(err) {
			return endTimeout
		}
		return endClosed
	}
	if response.Close {
		_ = connection.Close()
	} else {
		connection.isKept, connection.idleSince = true, time.Now()
		c.mutex.Lock()
		c.idle[to] = append(c.idle[to], connection)
		c.mutex.Unlock()
	}
	return strconv.Itoa(response.StatusCode)
}

func isTimeout(err error) bool {
	timeout, ok := err.(net.Error)
	return ok && timeout.Timeout()
}

// counts waits for all requests and returns how they ended.
func (c *client) counts() map[string]int {
	c.group.Wait()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.ends
}
