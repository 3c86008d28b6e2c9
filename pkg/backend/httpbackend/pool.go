package httpbackend

import (
	"context"
	"net"
	"net/http"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/pkg/backend"
	"github.com/bramblemast/bramblemast/pkg/target"
)

const (
	// keepAlivePeriod is how often the kernel checks an idle connection.
	keepAlivePeriod = 15 * time.Second
	// bufferSize is the read and write buffer of a connection; requests and
	// most answers fit.
	bufferSize = 4 << 10
	// maxHeaderBytes bounds the header of a response.
	maxHeaderBytes = 16 << 10
	// probeConnections is the number of connections used to probe a server.
	probeConnections = 1
	// probedFor is how long after a probe a server counts as probed.
	probedFor = time.Minute
)

// pool holds the connections to one server. Probes have a connection of their
// own, so that a server whose query connections are all busy still answers.
type pool struct {
	server      target.ServerID
	connections int
	queryURL    *url.URL
	statusURL   *url.URL
	queries     *http.Transport
	probes      *http.Transport
	// probedAt is when the server was last probed, in Unix nanoseconds.
	probedAt *atomic.Int64
}

func newPool(server target.ServerID, connections int, options Options) *pool {
	connections = max(connections, 1)
	return &pool{
		server:      server,
		connections: connections,
		queryURL:    &url.URL{Scheme: "http", Host: string(server), Path: backend.QueryPath},
		statusURL:   &url.URL{Scheme: "http", Host: string(server), Path: backend.StatusPath},
		queries:     newTransport(connections, options),
		probes:      newTransport(probeConnections, options),
		probedAt:    new(atomic.Int64),
	}
}

// resized returns a pool with another number of query connections and the same
// probe connection.
func (p *pool) resized(connections int, options Options) *pool {
	changed := *p
	changed.connections = connections
	changed.queries = newTransport(connections, options)
	return &changed
}

func (p *pool) noteProbe(now time.Time) { p.probedAt.Store(now.UnixNano()) }

// probedRecently reports whether this node probes the server.
func (p *pool) probedRecently(now time.Time) bool {
	return now.Sub(time.Unix(0, p.probedAt.Load())) < probedFor
}

func newTransport(connections int, options Options) *http.Transport {
	dialer := &net.Dialer{Timeout: options.DialTimeout, KeepAlive: keepAlivePeriod}
	if options.SourceIP != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: options.SourceIP}
	}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &connection{Conn: conn}, nil
		},
		DisableCompression:     true,
		MaxConnsPerHost:        connections,
		MaxIdleConnsPerHost:    connections,
		IdleConnTimeout:        options.IdleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		ReadBufferSize:         bufferSize,
		WriteBufferSize:        bufferSize,
	}
}

// poolSet holds one pool for each server. It is safe for concurrent use.
type poolSet struct {
	options Options

	// mutex guards pools.
	mutex sync.RWMutex
	pools map[target.ServerID]*pool
}

func newPoolSet(options Options) *poolSet {
	return &poolSet{options: options, pools: make(map[target.ServerID]*pool)}
}

func (s *poolSet) get(server target.ServerID) (*pool, error) {
	s.mutex.RLock()
	found := s.pools[server]
	s.mutex.RUnlock()
	if found != nil {
		return found, nil
	}
	if _, _, err := net.SplitHostPort(string(server)); err != nil {
		return nil, errors.Wrap(err, "server address")
	}
	connections := s.options.Connections(server)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if found = s.pools[server]; found == nil {
		found = newPool(server, connections, s.options)
		s.pools[server] = found
	}
	return found, nil
}

func (s *poolSet) resize(server target.ServerID, connections int) {
	connections = max(connections, 1)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	old := s.pools[server]
	if old == nil || old.connections == connections {
		return
	}
	s.pools[server] = old.resized(connections, s.options)
	old.queries.CloseIdleConnections()
}

// retain closes the idle query connections to all servers but the given ones,
// and forgets those of them that are not probed either.
func (s *poolSet) retain(servers []target.ServerID) {
	keep := make(map[target.ServerID]struct{}, len(servers))
	for _, server := range servers {
		keep[server] = struct{}{}
	}
	now := time.Now()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for server, old := range s.pools {
		if _, kept := keep[server]; kept {
			continue
		}
		old.queries.CloseIdleConnections()
		if !old.probedRecently(now) {
			old.probes.CloseIdleConnections()
			delete(s.pools, server)
		}
	}
}

// closeAll closes all idle connections and forgets all servers.
func (s *poolSet) closeAll() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, old := range s.pools {
		old.queries.CloseIdleConnections()
		old.probes.CloseIdleConnections()
	}
	clear(s.pools)
}
