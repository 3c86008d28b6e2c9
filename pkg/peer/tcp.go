package peer

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/bramblemast/bramblemast/internal/defaults"
	"github.com/bramblemast/bramblemast/pkg/outcome"
	"github.com/bramblemast/bramblemast/pkg/peer/peerpb"
	"github.com/bramblemast/bramblemast/pkg/target"
)

// Defaults of TCPOptions.
const (
	DefaultMaxFrameBytes  = 1 << 20
	DefaultIdleTimeout    = 30 * time.Second
	DefaultDialTimeout    = 2 * time.Second
	DefaultMaxConnections = 256
	DefaultMaxInbound     = 1024
	DefaultMaxHandlers    = 128
)

const (
	// inboundIdleFactor makes the accepting side wait longer than the dialing
	// side, so that the dialing side closes an idle connection and never
	// writes to one that the other side just closed.
	inboundIdleFactor = 2
	// frameTimeout bounds the time from the first byte of a frame to its last.
	frameTimeout = 10 * time.Second
	// replyTimeout bounds the writing of one reply.
	replyTimeout = 5 * time.Second
)

// TCPOptions sets up a TCP transport. Only Node and Listener are required.
type TCPOptions struct {
	// Node is the sender's name in every frame.
	Node target.NodeID
	// Listener takes the connections of peers. The transport closes it.
	Listener net.Listener
	// Advertise is the address that peers use; the listener's if empty.
	Advertise Address
	// MaxFrameBytes bounds the size of a frame in either direction.
	MaxFrameBytes int
	// IdleTimeout closes a connection that no call has used for so long.
	IdleTimeout time.Duration
	// DialTimeout bounds the time to connect.
	DialTimeout time.Duration
	// SourceIP is the address that connections come from; nil lets the system
	// choose.
	SourceIP net.IP
	// MaxConnections bounds the connections that this node keeps open. Above it
	// the one that was unused for longest is closed, but none on which a call
	// waits.
	MaxConnections int
	// MaxInbound bounds the connections that this node accepts.
	MaxInbound int
	// MaxHandlers bounds the handlers that run at once; requests above it are
	// refused as not run.
	MaxHandlers int
	Logger      hclog.Logger
}

func (o TCPOptions) withDefaults() TCPOptions {
	if o.Advertise == "" {
		o.Advertise = Address(o.Listener.Addr().String())
	}
	defaults.Set(&o.MaxFrameBytes, DefaultMaxFrameBytes)
	defaults.Set(&o.IdleTimeout, DefaultIdleTimeout)
	defaults.Set(&o.DialTimeout, DefaultDialTimeout)
	defaults.Set(&o.MaxConnections, DefaultMaxConnections)
	defaults.Set(&o.MaxInbound, DefaultMaxInbound)
	defaults.Set(&o.MaxHandlers, DefaultMaxHandlers)
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
	return o
}

// TCP is a Transport over TCP. A call uses the one connection that this node
// holds to the peer, or opens it; many calls share a connection, and replies
// are matched by id. It is safe for concurrent use.
type TCP struct {
	*dispatcher
	counters
	options TCPOptions
	pool    *pool
	// handlers counts the goroutines of connections and handlers.
	handlerGroup sync.WaitGroup

	mutex sync.Mutex
	// inbound and closed are guarded by mutex.
	inbound map[*inboundConnection]struct{}
	closed  bool
}

var _ Transport = (*TCP)(nil)

// NewTCP makes a transport. Calls work at once; peers are served by Run.
func NewTCP(options TCPOptions) *TCP {
	options = options.withDefaults()
	transport := &TCP{
		dispatcher: newDispatcher(options.Node, options.MaxHandlers),
		options:    options,
		inbound:    make(map[*inboundConnection]struct{}),
	}
	transport.pool = newPool(transport)
	return transport
}

// Address implements Transport.
func (t *TCP) Address() Address { return t.options.Advertise }

// Call implements Transport. The outcome of a failed call is NotRun if no byte
// was sent or the peer refused it.
func (t *TCP) Call(ctx context.Context, address Address, kind Kind, request, reply proto.Message) error {
	body, err := marshal(request)
	if err != nil {
		return notRun("encode request", address, outcome.ReasonInternal, err)
	}
	connection, err := t.pool.get(ctx, address)
	if err != nil {
		return err
	}
	frame := &peerpb.Frame{Kind: string(kind), Body: body, From: string(t.node), TimeoutMs: timeoutOf(ctx)}
	received, err := connection.roundTrip(ctx, frame)
	if err != nil {
		return err
	}
	return resultOf(received, address, func(body []byte) error { return unmarshal(body, reply) })
}

// Run serves peers until ctx ends or Close is called; then it closes every
// connection and waits for the handlers.
func (t *TCP) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { t.Close() })
	defer stop()
	defer t.handlerGroup.Wait()
	defer t.Close()
	for {
		socket, err := t.options.Listener.Accept()
		if err == nil {
			t.serveInbound(ctx, socket)
			continue
		}
		if t.isClosed() {
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return errors.Wrap(err, "accept peer connection")
		}
		t.options.Logger.Warn("accept failed", "error", err)
		time.Sleep(acceptBackoff)
	}
}

// acceptBackoff is the wait after a failed accept, for example while the
// process has no file descriptor left.
const acceptBackoff = 50 * time.Millisecond

// Close stops serving and closes every connection. Calls in flight fail.
func (t *TCP) Close() error {
	t.mutex.Lock()
	already := t.closed
	t.closed = true
	connections := make([]*inboundConnection, 0, len(t.inbound))
	for connection := range t.inbound {
		connections = append(connections, connection)
	}
	t.mutex.Unlock()
	if already {
		return nil
	}
	err := t.options.Listener.Close()
	for _, connection := range connections {
		connection.socket.Close()
	}
	t.pool.close()
	return errors.Wrap(err, "close peer listener")
}

func (t *TCP) isClosed() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.closed
}

// notRun is the error of a call that was certainly not sent.
func notRun(step string, address Address, reason outcome.Reason, cause error) error {
	return &outcome.Error{Step: step, Peer: string(address), Outcome: outcome.NotRun, Reason: reason, Cause: cause}
}

// Connections returns the number of open connections to peers that this node
// opened.
func (t *TCP) Connections() int { return t.pool.size() }
