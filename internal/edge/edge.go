package edge

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/oklog/run"
	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/internal/front"
	"github.com/bramblemast/bramblemast/internal/suspension"
	"github.com/bramblemast/bramblemast/internal/version"
	"github.com/bramblemast/bramblemast/pkg/bytebudget"
	"github.com/bramblemast/bramblemast/pkg/directory"
	"github.com/bramblemast/bramblemast/pkg/fanout"
	"github.com/bramblemast/bramblemast/pkg/fleet"
	"github.com/bramblemast/bramblemast/pkg/owner"
	"github.com/bramblemast/bramblemast/pkg/peer"
	"github.com/bramblemast/bramblemast/pkg/quarantine"
	"github.com/bramblemast/bramblemast/pkg/target"
)

// Timeouts and limits of a node.
const (
	connectTimeout = time.Second
	// maxPeerFrame is the maximum size in bytes of a message between nodes, which may contain all
	// entries.
	maxPeerFrame = 16 << 20
	// maxPeerConnections is the maximum number of connections to other nodes; the least recently
	// used one is closed to open another. A gathered request needs one per group of its shards: 15
	// for 220 shards, and one per group of both the old and the new groups while the shards are
	// being repartitioned.
	maxPeerConnections = 48
	// quotaPeerConnections is added to maxPeerConnections if tenant limits are enforced, because
	// their coordinators notify all nodes when a tenant reaches its limit. The total, 256, is the
	// default of pkg/peer.
	quotaPeerConnections = 208
	// maxPeerInbound is the maximum number of connections from other nodes: all nodes of a region
	// send requests to an owner, 680 at the size that the system is designed for.
	maxPeerInbound = 1024
	// maxPeerHandlers is the maximum number of peer requests that are handled at once. Further
	// requests are refused, and their sender falls back to the servers.
	maxPeerHandlers = 512
	maxInFlight     = 2000
	sweepInterval   = time.Second
	// contactReserve is subtracted from the time during which the platform holds nodes to no
	// bounds, because requests take time to arrive.
	contactReserve = 700 * time.Millisecond
	// leaveGraceDivisor divides the time during which a leaving server may still receive requests.
	// A node uses only that fraction, because it may learn late that the server is leaving.
	leaveGraceDivisor = 4
)

// Platform is the access to the platform's store that a node needs.
type Platform interface {
	directory.Source
	Registry
	Restorer
	quarantine.Ledger
	// SetObserver sets a function that is called with the name and the error of each call and must
	// not block. SetObserver is called before the first call to the store.
	SetObserver(observe func(call string, err error))
}

// Options of a node.
type Options struct {
	Settings  *Settings
	Logger    hclog.Logger
	Platform  Platform
	Dialect   front.Dialect
	ReadyPath string
	// Reload reads the settings again; nil if they cannot change.
	Reload func() (*Settings, error)
	// Suspended returns the total time for which the machine has been suspended; nil to derive it
	// from the clocks of the machine.
	Suspended func() time.Duration
	// ReloadSignals delivers a signal when the settings have changed; it may be nil.
	ReloadSignals SignalChannel
}

// Node is one node of a routed deployment.
type Node struct {
	options Options
	logger  hclog.Logger
	// settings are the settings in force; see reload.go.
	settings atomic.Pointer[Settings]
	// lastReloadError is the text of the last error of a reload, empty after a successful one. Only
	// watchSettings uses it.
	lastReloadError string
	// keysLapsed says whether requests with keys were refused at the last check; only sweepServers
	// uses it.
	keysLapsed bool
	state      *state
	quarantine *quarantine.Guard
	listener   *front.Listener
	// readyListener serves the readiness probes of the platform.
	readyListener *front.Listener
	follower      *directory.Follower
	metrics       *metricSet
	// metricsListener is nil if no port is set.
	metricsListener *front.Listener
	nodeEntry       *registration
	writeBack       *writeBack
	// transport, peers and owners are nil if the node has no peer address.
	transport *peer.TCP
	peers     *directory.Peers
	owners    *owner.Client
	// limits is nil if tenant limits are not enforced.
	limits *limits
	// admission holds what this node knows of the capacity of overloaded services. announcer sends
	// it to other nodes and is nil if the node has no peer address.
	admission *fanout.AdmissionControl
	announcer *owner.Announcer
	// memory bounds the bodies of requests and answers; nil for no bound.
	memory *bytebudget.Budget
	// drain ends clients' requests before the node closes its connections.
	drain *fanout.Drain
	// gossiper notifies other nodes of suspect requests; nil if the node has no peer address.
	gossiper *quarantine.Gossiper
}

// New opens the node's listeners.
func New(options Options) (*Node, error) {
	settings := options.Settings
	options.Logger = options.Logger.With("node", settings.Node.Name)
	if options.Suspended == nil {
		options.Suspended = suspension.Total
	}
	node := &Node{
		options: options, logger: options.Logger, metrics: newMetricSet(), drain: fanout.NewDrain(), memory: bytebudget.New(settings.bodyMemory()),
	}
	node.settings.Store(settings)
	options.Platform.SetObserver(node.metrics.countCall)
	rules, err := newPolicies()
	if err != nil {
		return nil, err
	}
	node.state = newState(node, newFleet(settings), rules)
	node.follower = directory.NewFollower(options.Platform, node.state)
	node.follower.SetSuspensionClock(options.Suspended)
	node.follower.SetStalenessBound(settings.stalenessBound())
	node.follower.SetWriteBackSpan(settings.writeBackSpan())
	node.follower.SetConfirmWhenIdle(settings.Bounds.RefuseUnconfirmedKeys)
	node.follower.SetFirstStart(settings.Node.FirstStart)
	recorder := newRequestRecorder(node.logger, node.metrics, node.storeAge)
	node.quarantine = quarantine.New(quarantine.Options{
		Ledger: options.Platform, LedgerUnavailable: node.follower.IsStoreLost, Dialer: settings.newServerDialer(),
		Events: suspectEvents{node: node, recorder: recorder},
	})
	node.state.quarantine = node.quarantine
	local := directory.Node{Name: settings.Node.Name, Zone: settings.Node.Zone}
	node.admission = fanout.NewAdmissionControl(node.state.fleet)
	if err := node.openPeers(settings, &local); err != nil {
		return nil, err
	}
	if err := node.openClients(rules, recorder); err != nil {
		return nil, err
	}
	node.nodeEntry = newRegistration(options.Platform, local, options.Logger, node.follower, func() int { return len(node.state.knownNodes()) })
	node.state.nodeEntry = node.nodeEntry
	node.writeBack = newWriteBack(options.Platform, node)
	if err := node.openReady(); err != nil {
		return nil, err
	}
	return node, node.openMetrics(settings)
}

func newFleet(settings *Settings) *fleet.Fleet {
	return fleet.New(fleet.Settings{
		Node:       settings.Node.Name,
		Local:      fleet.Place{Zone: settings.Node.Zone, Region: settings.Node.Region},
		Regions:    settings.Zones,
		LeaveGrace: settings.leaveGrace(), WarmUpBounds: settings.warmUpBounds(),
		Dialer: settings.newServerDialer(),
		Random: newRandom(),
	})
}

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// openClients opens the listener for clients.
func (n *Node) openClients(rules *policies, recorder *requestRecorder) error {
	options := front.Options{
		Dialect: n.options.Dialect, State: n.state, Fleet: n.state.fleet, Budget: n.state.budgets, Policies: rules,
		Events: recorder, Random: newRandom(), MaxInFlight: maxInFlight,
		Quarantine: n.quarantine, KeyFreshness: n.keyFreshness, Admission: n.admission, Drain: n.drain,
		Memory: n.memory,
	}
	if n.owners != nil {
		options.Owners = n.owners
	}
	if n.limits != nil {
		options.Limits = n.limits
	}
	handler := front.NewHandler(options)
	if n.transport != nil {
		n.serveOwned(handler, rules, recorder)
	}
	settings := n.options.Settings
	receiveBuffer, sendBuffer := settings.clientBuffers()
	listener, err := front.Listen(front.ListenerOptions{
		Address: settings.Listen.Clients, Handler: handler, MaxConnections: settings.clientConnections(),
		ReceiveBuffer: receiveBuffer, SendBuffer: sendBuffer, Memory: n.memory,
		HeadMemory: bytebudget.New(settings.headMemory()),
	})
	if err != nil {
		return errors.Wrap(err, "listen for clients")
	}
	n.listener = listener
	n.state.setIdleTimeout = listener.SetIdleTimeout
	return nil
}

// ClientAddress returns the address that clients connect to.
func (n *Node) ClientAddress() string { return n.listener.Address() }

// ReadyAddress returns the address of the readiness endpoint.
func (n *Node) ReadyAddress() string { return n.readyListener.Address() }

// Metrics returns the handler of the metrics and of the limits page, for programs that embed the
// node.
func (n *Node) Metrics() http.Handler { return n.metricsHandler() }

// openPeers opens the listener for other nodes, if one is configured, and sets its address in the
// node's entry.
func (n *Node) openPeers(settings *Settings, local *directory.Node) error {
	if settings.Listen.Peers == "" {
		return nil
	}
	peerListener, err := net.Listen("tcp", settings.Listen.Peers)
	if err != nil {
		return errors.Wrap(err, "listen for peers")
	}
	n.transport = peer.NewTCP(peer.TCPOptions{
		Node: target.NodeID(settings.Node.Name), Listener: peerListener, DialTimeout: connectTimeout,
		Advertise:     peer.Address(settings.Listen.PeersAdvertised),
		MaxFrameBytes: maxPeerFrame, MaxInbound: maxPeerInbound, MaxConnections: peerConnections(settings),
		MaxHandlers: maxPeerHandlers,
	})
	local.PeerAddress = string(n.transport.Address())
	n.peers = directory.NewPeers(directory.PeersOptions{
		Follower: n.follower, Transport: n.transport, Local: *local, Nodes: n.state.knownNodes,
		Seeds: settings.Peers, Regions: settings.Zones,
		RoleChanged: func(role directory.Role) { n.logger.Info("reading of the store divided", "role", role.String()) },
		ReaderEjected: func(name string, cause error) {
			n.logger.Warn("reader of the store left out", "reader", name, "error", cause.Error())
		},
	})
	n.state.roster = owner.NewRoster(*local, settings.Zones, n.state.fleet)
	n.owners = owner.NewClient(n.state.roster, n.transport, n.admission.Admitter, ownerEvents{node: n})
	n.openAnnouncer()
	n.openGossiper()
	if settings.Bounds.LimitWindowSeconds > 0 {
		n.limits = newLimits(n, settings, n.transport)
		n.state.limits = n.limits
	}
	return nil
}

// peerConnections returns the maximum number of connections to other nodes.
func peerConnections(settings *Settings) int {
	if settings.Bounds.LimitWindowSeconds > 0 {
		return maxPeerConnections + quotaPeerConnections
	}
	return maxPeerConnections
}

// Run serves until ctx ends and then drains the node: no request in flight is aborted within the
// grace time.
func (n *Node) Run(ctx context.Context) error {
	n.logger.Info("started", "zone", n.options.Settings.Node.Zone, "release", version.Version)
	inner, cancel := context.WithCancel(context.Background())
	defer cancel()
	var group run.Group
	add := func(execute func(context.Context) error) {
		group.Add(func() error { return execute(inner) }, func(error) { cancel() })
	}
	group.Add(n.listener.Serve, func(error) { n.listener.Close() })
	group.Add(n.readyListener.Serve, func(error) { n.readyListener.Close() })
	if n.metricsListener != nil {
		group.Add(n.metricsListener.Serve, func(error) { n.metricsListener.Close() })
	}
	add(n.follower.Run)
	add(n.nodeEntry.run)
	add(n.writeBack.run)
	add(n.quarantine.Run)
	if n.transport != nil {
		add(n.transport.Run)
		add(n.peers.Run)
		add(n.owners.Run)
		add(n.announcer.Run)
		add(n.gossiper.Run)
	}
	if n.limits != nil {
		add(n.limits.limiter.Run)
	}
	add(n.listener.Sweep)
	add(n.sweepServers)
	add(n.watchSettings)
	add(func(inner context.Context) error { return n.awaitStop(ctx, inner) })
	err := group.Run()
	n.logger.Info("stopped")
	return err
}

func (n *Node) sweepServers(ctx context.Context) error {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	suspensions := suspension.NewWatch(n.options.Suspended)
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			if span := suspensions.Since(); span > 0 {
				n.resume(span)
			}
			if n.follower.IsRestoring() {
				n.writeBack.wake()
			}
			n.state.fleet.Sweep(now)
			n.quarantine.Sweep(now)
			n.watchKeys()
			n.admission.Sweep(now)
		}
	}
}

// resume handles the end of a suspension of the machine: known state is outdated, and connections
// that seem to have been idle for a moment may be dead.
func (n *Node) resume(span time.Duration) {
	n.logger.Warn("machine was suspended", "span_ms", span.Milliseconds())
	n.state.fleet.DropIdle()
	n.follower.Resumed()
	if n.limits != nil {
		n.limits.limiter.Resumed()
	}
}
