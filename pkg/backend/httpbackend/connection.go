package httpbackend

import (
	"net"
	"net/http/httptrace"
	"sync"

	"github.com/pkg/errors"
)

var errSealed = errors.New("connection is closed for writing")

// connection records whether a request was written to it. HTTP/1.1 without
// pipelining gives a connection to one request at a time.
type connection struct {
	net.Conn

	// mutex guards written and sealed. It is held during a write, so that
	// seal waits for a write that has begun.
	mutex   sync.Mutex
	written bool
	sealed  bool
}

// Write implements net.Conn.
func (c *connection) Write(data []byte) (int, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.sealed {
		return 0, errSealed
	}
	c.written = true
	return c.Conn.Write(data)
}

// begin forgets the writes of earlier requests.
func (c *connection) begin() {
	c.mutex.Lock()
	c.written = false
	c.mutex.Unlock()
}

// seal closes the connection, so that nothing is written after it, and reports
// whether anything was written since begin. A write that fails counts as
// written, since part of it may have left.
func (c *connection) seal() bool {
	// Closing first ends a write that is blocked by a full send buffer.
	_ = c.Conn.Close()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.sealed = true
	return c.written
}

// tracker learns which connection the transport gives to one request.
type tracker struct {
	trace      httptrace.ClientTrace
	connection *connection
	reused     bool
}

func newTracker() *tracker {
	t := &tracker{}
	t.trace.GotConn = t.gotConnection
	return t
}

// gotConnection is called by the transport on the goroutine of RoundTrip.
func (t *tracker) gotConnection(info httptrace.GotConnInfo) {
	t.reused = info.Reused
	t.connection, _ = info.Conn.(*connection)
	if t.connection != nil {
		t.connection.begin()
	}
}

// abandon closes the connection of a failed request, if it has one, and
// reports whether anything of the request may have been written.
func (t *tracker) abandon() bool {
	if t.connection == nil {
		return false
	}
	return t.connection.seal()
}
