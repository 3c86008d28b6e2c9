package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// client sends requests to nodes, each once, as the users' page on the protocol allows.
type client struct {
	nodes []*node
	http  *http.Client
	group sync.WaitGroup

	mutex sync.Mutex
	last  uint64
	ends  map[string]int
}

func newClient(nodes []*node) *client {
	transport := &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 64}
	return &client{nodes: nodes, http: &http.Client{Transport: transport}, ends: make(map[string]int)}
}

// request is one request of a client.
type request struct {
	method, path string
	body         []byte
	deadline     time.Duration
	// ended is called with the request's id, the node and how the request ended; nil for none.
	ended func(id string, to *node, end string)
}

// load sends requests at random intervals until ctx ends.
func (c *client) load(ctx context.Context, perSecond float64, next func() request) {
	for ctx.Err() == nil {
		time.Sleep(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second)))
		sent := next()
		c.group.Go(func() { c.send(sent) })
	}
}

// send sends one request and waits for its end.
func (c *client) send(sent request) {
	c.mutex.Lock()
	c.last++
	id := fmt.Sprintf("%016x", 0x9c41000000000000+c.last)
	c.mutex.Unlock()
	to := c.nodes[rand.IntN(len(c.nodes))]
	end := c.exchange(sent, id, to)
	c.mutex.Lock()
	c.ends[end]++
	c.mutex.Unlock()
	if sent.ended != nil {
		sent.ended(id, to, end)
	}
}

// exchange makes one exchange and returns how it ended.
func (c *client) exchange(sent request, id string, to *node) string {
	ctx, cancel := context.WithTimeout(context.Background(), sent.deadline)
	defer cancel()
	made, err := http.NewRequestWithContext(ctx, sent.method, "http://"+to.clients+sent.path, bytes.NewReader(sent.body))
	if err != nil {
		panic(err)
	}
	made.Host = "fizi45.example"
	made.Header.Set("Request-Id", id)
	made.Header.Set("Deadline-Ms", strconv.FormatInt(sent.deadline.Milliseconds(), 10))
	response, err := c.http.Do(made)
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return "no answer in time"
	case err != nil:
		return "connection ended"
	}
	_, err = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	if err != nil {
		return strconv.Itoa(response.StatusCode) + ", cut off"
	}
	return strconv.Itoa(response.StatusCode)
}

// counts returns how the requests ended.
func (c *client) counts() map[string]int {
	c.group.Wait()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.ends
}
