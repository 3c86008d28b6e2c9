package backend

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// limitedListener closes connections over a limit, and delays the first read of
// each connection by the cost of its set-up.
type limitedListener struct {
	net.Listener
	limit int64
	// setUp returns the delay for a connection from that address.
	setUp func(remote net.Addr) time.Duration

	open     atomic.Int64
	accepted atomic.Uint64
	refused  atomic.Uint64
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		connection, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) > l.limit {
			l.open.Add(-1)
			l.refused.Add(1)
			// It ends anyhow: an error tells nothing more.
			_ = connection.Close()
			continue
		}
		l.accepted.Add(1)
		return &limitedConn{Conn: connection, owner: l, setUp: l.setUp(connection.RemoteAddr())}, nil
	}
}

// limitedConn is one connection that counts toward the limit until it closes.
type limitedConn struct {
	net.Conn
	owner     *limitedListener
	setUp     time.Duration
	firstRead sync.Once
	closing   sync.Once
}

// Read implements net.Conn.
func (c *limitedConn) Read(buffer []byte) (int, error) {
	c.firstRead.Do(func() { time.Sleep(c.setUp) })
	return c.Conn.Read(buffer)
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.closing.Do(func() { c.owner.open.Add(-1) })
	return c.Conn.Close()
}
