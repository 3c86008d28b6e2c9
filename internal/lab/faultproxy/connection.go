package faultproxy

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/bramblemast/bramblemast/internal/lab/watched"
)

// connection is one proxied connection: the client's side and the server's.
type connection struct {
	owner  *link
	client net.Conn
	source netip.Addr
	seed   uint64
	faults watched.Value[Faults]

	context context.Context
	cancel  context.CancelFunc
	// ended counts the directions whose source has ended.
	ended atomic.Int32
}

func newConnection(owner *link, client net.Conn, seed uint64) *connection {
	ctx, cancel := context.WithCancel(context.Background())
	return &connection{
		owner:   owner,
		client:  client,
		source:  sourceOf(client),
		seed:    seed,
		context: ctx,
		cancel:  cancel,
	}
}

// run connects to the upstream and moves bytes until either side ends, a fault
// resets the connection or the link is shut.
func (c *connection) run() {
	defer c.owner.forget(c)
	defer c.cancel()
	if isReset(c.faults.Get()) {
		c.owner.resets.Add(1)
		reset(c.client)
		return
	}
	dialer := net.Dialer{Timeout: dialTimeout, LocalAddr: upstreamSource(c.client)}
	server, err := dialer.DialContext(c.context, "tcp", c.owner.config.Upstream)
	if err != nil {
		reset(c.client)
		return
	}
	var work sync.WaitGroup
	work.Go(func() { c.pump(c.client, server, toServer) })
	work.Go(func() { c.pump(server, c.client, toClient) })
	work.Go(func() { c.guard(server) })
	work.Wait()
}

// upstreamSource returns the loopback address that the connection to the upstream
// comes from: the client's own, so that the upstream knows the client's zone.
func upstreamSource(client net.Conn) net.Addr {
	remote, ok := client.RemoteAddr().(*net.TCPAddr)
	if !ok || !remote.IP.IsLoopback() {
		return nil
	}
	return &net.TCPAddr{IP: remote.IP}
}

// guard ends both sides once the connection is over, or a rule resets it.
func (c *connection) guard(server net.Conn) {
	_, isToReset := c.faults.Wait(c.context, isReset)
	if isToReset {
		c.owner.resets.Add(1)
		reset(c.client)
		reset(server)
		c.cancel()
		return
	}
	// It ends anyhow: an error tells nothing more.
	_ = c.client.Close()
	_ = server.Close()
}

func isReset(faults Faults) bool { return faults.Reset || faults.Refuse }

// reset closes a connection so that the other side sees a reset.
func reset(side net.Conn) {
	if tcp, ok := side.(*net.TCPConn); ok {
		// Without it the end is an ordinary one.
		_ = tcp.SetLinger(0)
	}
	// It ends anyhow: an error tells nothing more.
	_ = side.Close()
}

// random returns a generator for the jitter of one direction.
func (c *connection) random(way direction) *rand.Rand {
	return rand.New(rand.NewPCG(c.seed, uint64(way)))
}
