package edge

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/oklog/run"
	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/internal/front"
	"github.com/bramblemast/bramblemast/internal/version"
	"github.com/bramblemast/bramblemast/pkg/directory"
	"github.com/bramblemast/bramblemast/pkg/fleet"
	"github.com/bramblemast/bramblemast/pkg/peer"
	"github.com/bramblemast/bramblemast/pkg/target"
)

// Times and bounds of a node.
const (
	connectTimeout = time.Second
	// maxPeerFrame bounds a message between nodes, which may hold all entries.
	maxPeerFrame = 16 << 20
	// maxPeerConnections bounds the connections to other nodes; one that was
	// unused for longest gives way to a new one.
	maxPeerConnections = 4
	maxPeerInbound     = 64
	maxInFlight        = 2000
	sweepInterval      = time.Second
	// settleReserve is kept of the time in which the platform holds nodes to no
	// bounds, since a request takes its time to arrive.
	settleReserve = 700 * time.Millisecond
	// leaveShare is the share of the time in which a leaving server may be asked
	// that a node uses: news of it may arrive late.
	leaveShare = 4
	// notReadyNotice is for how long a stopping node still accepts connections,
	// so that the platform has noticed that it is not ready.
	notReadyNotice = 2600 * time.Millisecond
	// stopReserve is kept of the grace time.
	stopReserve = 300 * time.Millisecond
)

// Platform is what the node asks of the platform's store.
type Platform interface {
	directory.Source
	Registry
}

// Options of a node.
type Options struct {
	Settings  *Settings
	Logger    hclog.Logger
	Platform  Platform
	Dialect   front.Dialect
	ReadyPath string
}

// Node is one node of a routed deployment.
type Node struct {
	options  Options
	logger   hclog.Logger
	state    *state
	listener *front.Listener
	ready    *http.Server
	// readyListener takes the platform's questions about readiness.
	readyListener net.Listener
	follower      *directory.Follower
	figures       *figures
	// metrics and metricsListener are nil if no port is set.
	metrics         *http.Server
	metricsListener net.Listener
	member          *registration
	// transport and peers are nil if the node has no address for its peers.
	transport *peer.TCP
	peers     *directory.Peers
}

// New opens the node's listeners.
func New(options Options) (*Node, error) {
	settings := options.Settings
	options.Logger = options.Logger.With("node", settings.Node.Name)
	node := &Node{options: options, logger: options.Logger}
	servers := fleet.New(fleet.Settings{
		Local:       fleet.Place{Zone: settings.Node.Zone, Region: settings.Node.Region},
		Regions:     settings.Zones,
		LeaveWithin: settings.leaveWithin(),
		Dialer:      &net.Dialer{Timeout: connectTimeout, KeepAlive: -1},
		Random:      rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	})
	rules, err := newPolicies()
	if err != nil {
		return nil, err
	}
	node.state = &state{
		policies: rules, logger: options.Logger, fleet: servers, budgets: newBudgets(settings.Bounds),
		nodes: make(map[string]directory.Node),
	}
	node.figures = newFigures()
	node.state.figures = node.figures
	handler := front.NewHandler(front.Options{
		Dialect: options.Dialect, State: node.state, Fleet: servers, Budget: node.state.budgets,
		Policies: rules, Events: &events{
			logger: options.Logger, figures: node.figures, storeAge: node.storeAge,
		},
		MaxInFlight: maxInFlight,
	})
	listener, err := front.Listen(settings.Listen.Clients, handler)
	if err != nil {
		return nil, err
	}
	node.listener = listener
	node.state.idle = listener.SetIdle
	node.follower = directory.NewFollower(options.Platform, node.state)
	node.state.doubtedUntil = func(now time.Time) time.Time {
		return node.follower.DoubtedUntil(settings.listSettles(), now)
	}
	local := directory.Node{Name: settings.Node.Name, Zone: settings.Node.Zone}
	if err := node.openPeers(settings, &local); err != nil {
		return nil, err
	}
	node.member = &registration{registry: options.Platform, node: local, logger: options.Logger}
	node.ready = &http.Server{Handler: node.readyHandler(), ReadHeaderTimeout: connectTimeout}
	node.readyListener, err = net.Listen("tcp", settings.Listen.Ready)
	if err != nil {
		return nil, errors.Wrap(err, "listen for readiness")
	}
	node.registerGauges()
	return node, node.openMetrics(settings)
}

// openMetrics opens the address of the figures, if there is one.
func (n *Node) openMetrics(settings *Settings) error {
	if settings.Listen.MetricsPort == 0 {
		return nil
	}
	address := net.JoinHostPort(settings.Node.Address, strconv.Itoa(settings.Listen.MetricsPort))
	opened, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "listen for metrics")
	}
	n.metricsListener = opened
	n.metrics = &http.Server{Handler: n.figures.handler(), ReadHeaderTimeout: connectTimeout}
	return nil
}

// storeAge returns the time since the store last answered.
func (n *Node) storeAge() time.Duration {
	_, contactAt := n.follower.Revision()
	return time.Since(contactAt)
}

// registerGauges registers the figures that are read when they are asked for.
func (n *Node) registerGauges() {
	n.figures.gauge("configuration_version", "Version of the routing configuration in force; 0 for none.", func() float64 {
		if table := n.state.Table(); table != nil {
			return float64(table.Version)
		}
		return 0
	})
	n.figures.gauge("store_revision", "Revision of the store up to which the node is complete.", func() float64 {
		revision, _ := n.follower.Revision()
		return float64(revision)
	})
	n.figures.gauge("store_contact_age_seconds", "Time since the store last answered; -1 for never.", func() float64 {
		_, contactAt := n.follower.Revision()
		return age(contactAt)
	})
	n.figures.gauge("servers", "Servers that the platform lists.", func() float64 { return float64(n.state.fleet.Len()) })
	n.figures.gauge("nodes", "Nodes that are registered.", func() float64 { return float64(len(n.state.knownNodes())) })
	n.figures.gauge("client_connections", "Open connections of clients.", func() float64 { return float64(n.listener.Open()) })
}

// ClientAddress returns where clients connect.
func (n *Node) ClientAddress() string { return n.listener.Address() }

// ReadyAddress returns where the platform asks for readiness.
func (n *Node) ReadyAddress() string { return n.readyListener.Addr().String() }

// Metrics serves the node's figures, for programs that embed it.
func (n *Node) Metrics() http.Handler { return n.figures.handler() }

// openPeers opens the address for other nodes, if there is one, and notes it in
// the node's entry.
func (n *Node) openPeers(settings *Settings, local *directory.Node) error {
	if settings.Listen.Peers == "" {
		return nil
	}
	opened, err := net.Listen("tcp", settings.Listen.Peers)
	if err != nil {
		return errors.Wrap(err, "listen for peers")
	}
	n.transport = peer.NewTCP(peer.TCPOptions{
		Node: target.NodeID(settings.Node.Name), Listener: opened, DialTimeout: connectTimeout,
		MaxFrameBytes: maxPeerFrame, MaxInbound: maxPeerInbound, MaxConnections: maxPeerConnections,
	})
	local.PeerAddress = string(n.transport.Address())
	n.peers = directory.NewPeers(directory.PeersOptions{
		Follower: n.follower, Transport: n.transport, Local: *local, Nodes: n.state.knownNodes,
		Seeds: settings.Peers,
	})
	return nil
}

// Run serves until ctx ends, and then stops as planned: no request in flight
// is cut off within the grace time.
func (n *Node) Run(ctx context.Context) error {
	n.logger.Info("started", "zone", n.options.Settings.Node.Zone, "release", version.Version)
	inner, cancel := context.WithCancel(context.Background())
	defer cancel()
	var group run.Group
	add := func(execute func(context.Context) error) {
		group.Add(func() error { return execute(inner) }, func(error) { cancel() })
	}
	group.Add(n.listener.Serve, func(error) { n.listener.Close() })
	group.Add(func() error { return n.ready.Serve(n.readyListener) }, func(error) { _ = n.ready.Close() })
	if n.metrics != nil {
		group.Add(func() error { return n.metrics.Serve(n.metricsListener) }, func(error) { _ = n.metrics.Close() })
	}
	add(n.follower.Run)
	add(n.member.run)
	if n.transport != nil {
		add(n.transport.Run)
		add(n.peers.Run)
	}
	add(n.listener.Sweep)
	add(n.sweepServers)
	add(func(inner context.Context) error { return n.awaitStop(ctx, inner) })
	err := group.Run()
	n.logger.Info("stopped")
	return err
}

func (n *Node) sweepServers(ctx context.Context) error {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			n.state.fleet.Sweep(now)
		}
	}
}

// awaitStop waits for the end of ctx and stops as planned.
func (n *Node) awaitStop(ctx, inner context.Context) error {
	select {
	case <-inner.Done():
		return nil
	case <-ctx.Done():
	}
	begun := time.Now()
	grace := n.options.Settings.grace()
	n.logger.Info("stopping", "grace_s", grace.Seconds(), "connections", n.listener.Open())
	n.state.draining.Store(true)
	time.Sleep(min(notReadyNotice, grace/2))
	n.listener.StopAccepting()
	limited, cancel := context.WithDeadline(inner, begun.Add(grace-stopReserve))
	defer cancel()
	left := n.listener.AwaitDrained(limited)
	n.logger.Info("drained", "connections_left", left, "took_ms", time.Since(begun).Milliseconds())
	return nil
}

func (n *Node) readyHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+n.options.ReadyPath, func(writer http.ResponseWriter, _ *http.Request) {
		if !n.state.ready() {
			writer.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}
