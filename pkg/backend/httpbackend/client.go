// Package httpbackend speaks to back-end servers over HTTP/1.1 with net/http.
// docs/BACKENDS.md is the reference of the exchange.
//
// A query is a POST that is sent at most once: the transport has no means to
// send a body again, and the package itself tries again only when the
// connection's own record shows that no byte of the request was written. Every
// failure is an *outcome.Error that claims NotRun only on such evidence or on
// the server's marked refusal.
//
// Concurrency: a Client is safe for concurrent use. Each server has a pool of
// connections of its own, so a slow server holds up no other.
package httpbackend

import (
	"context"
	"net"
	"time"

	"github.com/bramblemast/bramblemast/pkg/backend"
	"github.com/bramblemast/bramblemast/pkg/outcome"
	"github.com/bramblemast/bramblemast/pkg/target"
)

// Defaults of Options.
const (
	DefaultConnections      = 16
	DefaultDialTimeout      = time.Second
	DefaultIdleTimeout      = 30 * time.Second
	DefaultMaxResponseBytes = 4 << 20
)

// Options sets up a Client. The zero value is usable.
type Options struct {
	// Connections returns how many connections this node may have to a server,
	// at least 1. It is asked when the first request to the server is sent;
	// see Client.Resize for later changes. Nil means DefaultConnections.
	Connections func(server target.ServerID) int
	// DialTimeout bounds a new connection; zero means DefaultDialTimeout.
	DialTimeout time.Duration
	// SourceIP is the address that connections come from; nil lets the system
	// choose.
	SourceIP net.IP
	// IdleTimeout is how long an unused connection is kept; zero means
	// DefaultIdleTimeout. It must be shorter than the servers' own idle
	// timeout, so that the servers do not close a connection under a request.
	IdleTimeout time.Duration
	// MaxResponseBytes bounds a response body; zero means
	// DefaultMaxResponseBytes.
	MaxResponseBytes int64
	// Codec is the format of bodies; nil means ProtobufCodec.
	Codec Codec
	// OnHints receives what a server says of itself on every response,
	// refusals and errors included. It must not block. Nil means none.
	OnHints func(server target.ServerID, hints backend.Hints)
}

func (o Options) withDefaults() Options {
	if o.Connections == nil {
		o.Connections = func(target.ServerID) int { return DefaultConnections }
	}
	if o.DialTimeout <= 0 {
		o.DialTimeout = DefaultDialTimeout
	}
	if o.IdleTimeout <= 0 {
		o.IdleTimeout = DefaultIdleTimeout
	}
	if o.MaxResponseBytes <= 0 {
		o.MaxResponseBytes = DefaultMaxResponseBytes
	}
	if o.Codec == nil {
		o.Codec = ProtobufCodec{}
	}
	if o.OnHints == nil {
		o.OnHints = func(target.ServerID, backend.Hints) {}
	}
	return o
}

// Client implements backend.Client and backend.Prober.
type Client struct {
	options Options
	pools   *poolSet
}

var (
	_ backend.Client = (*Client)(nil)
	_ backend.Prober = (*Client)(nil)
)

// New returns a client. It opens no connection before the first request.
func New(options Options) *Client {
	options = options.withDefaults()
	return &Client{options: options, pools: newPoolSet(options)}
}

// Close closes the idle connections. Requests in flight go on.
func (c *Client) Close() { c.pools.closeAll() }

// Resize sets how many connections this node may have to a server. Requests in
// flight finish on the connections that they have; new requests use new ones,
// so that for that time the sum of both may exceed the limit.
func (c *Client) Resize(server target.ServerID, connections int) {
	c.pools.resize(server, connections)
}

// Retain closes the idle query connections to all servers but the given ones.
// A server that this node probes keeps the connection for that.
func (c *Client) Retain(servers []target.ServerID) { c.pools.retain(servers) }

// Do implements backend.Client. The error is an *outcome.Error.
func (c *Client) Do(ctx context.Context, request *backend.Request) (*backend.Response, error) {
	body, err := c.options.Codec.EncodeQuery(request)
	if err != nil {
		return nil, notSent(stepEncode, request.Target.Server, outcome.ReasonInvalid, err)
	}
	pool, err := c.pools.get(request.Target.Server)
	if err != nil {
		return nil, notSent(stepConnect, request.Target.Server, outcome.ReasonInvalid, err)
	}
	response, stale, err := c.attempt(ctx, pool, request, body)
	if stale && ctx.Err() == nil {
		response, _, err = c.attempt(ctx, pool, request, body)
	}
	return response, err
}
