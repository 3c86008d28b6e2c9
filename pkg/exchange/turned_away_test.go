package exchange_test

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/pkg/exchange"
	"github.com/bramblemast/bramblemast/pkg/exchange/exchangetest"
	"github.com/bramblemast/bramblemast/pkg/outcome"
)

// roundTrip is how long a connection to a fullServer takes to open, and how long after that its
// refusal arrives.
const roundTrip = 20 * time.Millisecond

// fullServer resets new connections while it is full, like a server at its connection limit.
type fullServer struct {
	*exchangetest.Network
	full atomic.Bool
	// written counts the writes on connections that were reset.
	written atomic.Int64
}

func newFullServer() *fullServer {
	server := &fullServer{Network: exchangetest.NewNetwork()}
	server.ConnectTime = roundTrip
	server.Add(address, func(exchangetest.Request) exchangetest.Answer { return exchangetest.Whole("body") })
	return server
}

func (s *fullServer) DialContext(ctx context.Context, network, where string) (net.Conn, error) {
	opened, err := s.Network.DialContext(ctx, network, where)
	if err != nil || !s.full.Load() {
		return opened, err
	}
	_ = opened.Close()
	return &resetConnection{Conn: opened, server: s}, nil
}

// resetConnection is reset one round trip after it was opened.
type resetConnection struct {
	net.Conn
	server *fullServer
}

func (c *resetConnection) Read([]byte) (int, error) {
	time.Sleep(roundTrip)
	return 0, &net.OpError{Op: "read", Net: "tcp", Err: syscall.ECONNRESET}
}

func (c *resetConnection) Write(sent []byte) (int, error) {
	c.server.written.Add(1)
	return len(sent), nil
}

func (c *resetConnection) SetDeadline(time.Time) error     { return nil }
func (c *resetConnection) SetReadDeadline(time.Time) error { return nil }

// TestNothingIsSentToAServerThatTurnsConnectionsAway checks that once a server has turned a
// connection away, new ones are confirmed before the request is sent, so that a refusal costs no
// extra load.
func TestNothingIsSentToAServerThatTurnsConnectionsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		server := newFullServer()
		pool := exchange.NewPool(address, server)
		server.full.Store(true)
		_, first, err := send(pool, request("r1"), time.Second)
		g.Expect(outcome.Of(err)).To(Equal(outcome.Unknown), "the first refusal is not anticipated, so the request was sent")
		g.Expect(first.TurnedAway).To(BeTrue())
		g.Expect(server.written.Load()).To(Equal(int64(1)))

		_, second, err := send(pool, request("r2"), time.Second)
		g.Expect(outcome.Of(err)).To(Equal(outcome.NotRun))
		g.Expect(second.TurnedAway).To(BeTrue())
		g.Expect(second.MayHaveArrived).To(BeFalse())
		g.Expect(server.written.Load()).To(Equal(int64(1)), "nothing more was sent")

		server.full.Store(false)
		began := time.Now()
		answer, _, err := send(pool, request("r3"), time.Second)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(string(answer.Body)).To(Equal("body"))
		g.Expect(time.Since(began)).To(And(BeNumerically(">=", 2*roundTrip), BeNumerically("<", 3*roundTrip)))
		began = time.Now()
		_, _, err = send(pool, request("r4"), time.Second)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(time.Since(began)).To(BeNumerically("<", roundTrip), "an idle connection needs no confirmation")
		pool.Close()
	})
}

// TestConfirmationOfConnectionsEnds checks that new connections are no longer confirmed some time
// after a server has turned one away.
func TestConfirmationOfConnectionsEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		server := newFullServer()
		pool := exchange.NewPool(address, server)
		server.full.Store(true)
		_, _, err := send(pool, request("r1"), time.Second)
		g.Expect(err).To(HaveOccurred())
		server.full.Store(false)
		time.Sleep(10 * time.Second)
		began := time.Now()
		_, _, err = send(pool, request("r2"), time.Second)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(time.Since(began)).To(BeNumerically("<", 2*roundTrip))
		pool.Close()
	})
}
