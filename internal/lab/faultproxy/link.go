package faultproxy

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
)

// dialTimeout bounds the connection to the upstream.
const dialTimeout = 5 * time.Second

// link is one listener with its connections.
type link struct {
	config LinkConfig
	seed   uint64
	logger hclog.Logger
	work   sync.WaitGroup

	accepted      atomic.Uint64
	resets        atomic.Uint64
	bytesToServer atomic.Uint64
	bytesToClient atomic.Uint64

	// mutex guards the fields below. It also orders the start of goroutines
	// before shut waits for them.
	mutex       sync.Mutex
	bound       string
	listener    net.Listener
	connections map[*connection]struct{}
	rules       []activeRule
	shutDown    bool
}

func newLink(config LinkConfig, seed uint64, logger hclog.Logger) *link {
	return &link{
		config:      config,
		seed:        seed,
		logger:      logger.With("link", config.Name),
		bound:       config.Listen,
		connections: make(map[*connection]struct{}),
	}
}

// open starts to listen, at the same address as before if there was one.
func (l *link) open() error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.openLocked()
}

func (l *link) openLocked() error {
	listener, err := net.Listen("tcp", l.bound)
	if err != nil {
		return errors.Wrapf(err, "listen for link %s", l.config.Name)
	}
	l.listener = listener
	l.bound = listener.Addr().String()
	l.work.Go(func() { l.accept(listener) })
	return nil
}

func (l *link) address() string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.bound
}

func (l *link) accept(listener net.Listener) {
	for {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		l.accepted.Add(1)
		l.mutex.Lock()
		if l.shutDown {
			l.mutex.Unlock()
			// It ends anyhow: an error tells nothing more.
			_ = client.Close()
			continue
		}
		made := newConnection(l, client, l.seed^l.accepted.Load())
		made.faults.Set(faultsFor(l.rules, made.source))
		l.connections[made] = struct{}{}
		l.work.Go(made.run)
		l.mutex.Unlock()
	}
}

// setRules replaces the rules of the link and brings listener and connections
// in line with them.
func (l *link) setRules(rules []activeRule) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.rules = rules
	refuse := refusesAll(rules)
	if refuse && l.listener != nil {
		// It ends anyhow: an error tells nothing more.
		_ = l.listener.Close()
		l.listener = nil
	}
	if !refuse && l.listener == nil && !l.shutDown {
		if err := l.openLocked(); err != nil {
			l.logger.Error("listen again", "error", err)
		}
	}
	for one := range l.connections {
		one.faults.Set(faultsFor(rules, one.source))
	}
}

func (l *link) forget(one *connection) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delete(l.connections, one)
}

// shut ends the link and waits for its goroutines.
func (l *link) shut() {
	l.mutex.Lock()
	l.shutDown = true
	if l.listener != nil {
		// It ends anyhow: an error tells nothing more.
		_ = l.listener.Close()
		l.listener = nil
	}
	for one := range l.connections {
		one.cancel()
	}
	l.mutex.Unlock()
	l.work.Wait()
}

func (l *link) info() LinkInfo {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	config := l.config
	config.Listen = l.bound
	return LinkInfo{
		LinkConfig:    config,
		Listening:     l.listener != nil,
		Connections:   len(l.connections),
		Accepted:      l.accepted.Load(),
		Resets:        l.resets.Load(),
		BytesToServer: l.bytesToServer.Load(),
		BytesToClient: l.bytesToClient.Load(),
	}
}

func sourceOf(client net.Conn) netip.Addr {
	parsed, err := netip.ParseAddrPort(client.RemoteAddr().String())
	if err != nil {
		return netip.Addr{}
	}
	return parsed.Addr().Unmap()
}
