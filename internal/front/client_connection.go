package front

import (
	"net"
	"sync/atomic"

	"github.com/bramblemast/bramblemast/pkg/bytebudget"
)

const (
	// freeHeadBytes is the size up to which the head of a request is not counted: the connection's own
	// buffers hold it.
	freeHeadBytes = 8 << 10
	// headMemoryFactor is the memory for each byte of a head, which is parsed into many short strings.
	headMemoryFactor = 4
)

// clientConnection counts the memory of a request's head while it arrives. net/http keeps the parts of
// an incomplete head, and reports a connection as active only once the head is complete.
type clientConnection struct {
	net.Conn
	heads *bytebudget.Budget
	// isActive is set from the end of a head until the request has been answered.
	isActive atomic.Bool
	// headBytes and hold belong to the goroutine that reads heads.
	headBytes int
	hold      *bytebudget.Hold
}

// Read implements net.Conn. It fails if there is no memory for the head.
func (c *clientConnection) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	if count == 0 || c.isActive.Load() {
		return count, err
	}
	if noMemory := c.countHead(count); noMemory != nil {
		return 0, noMemory
	}
	return count, err
}

// countHead counts further bytes of a head.
func (c *clientConnection) countHead(count int) error {
	c.headBytes += count
	if c.headBytes <= freeHeadBytes || c.heads == nil {
		return nil
	}
	if c.hold == nil {
		c.hold = c.heads.Open()
		c.hold.AwaitClient(func() {
			// This fails only on a closed connection, which the next read detects.
			_ = c.Conn.SetReadDeadline(pastDeadline)
		})
	}
	return c.hold.Grow(headMemoryFactor*int64(count), 0)
}

// beginRequest ends the head of a request.
func (c *clientConnection) beginRequest() {
	c.isActive.Store(true)
	c.releaseHead()
}

// awaitRequest begins the head of the next request.
func (c *clientConnection) awaitRequest() { c.isActive.Store(false) }

// releaseHead returns the memory of the head.
func (c *clientConnection) releaseHead() {
	c.headBytes = 0
	c.hold.Release()
	c.hold = nil
}

// countingListener accepts connections as clientConnection.
type countingListener struct {
	net.Listener
	heads *bytebudget.Budget
}

// Accept implements net.Listener.
func (l countingListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &clientConnection{Conn: accepted, heads: l.heads}, nil
}
