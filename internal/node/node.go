// Package node wires the parts of the query tier into one node: the same for
// every machine, and the same in a process of its own and embedded in the lab.
package node

import (
	"context"
	"hash/fnv"
	"net"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
	"github.com/labstack/echo/v4"
	"github.com/oklog/run"
	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/internal/armstats"
	"github.com/bramblemast/bramblemast/internal/settings"
	"github.com/bramblemast/bramblemast/pkg/admission"
	"github.com/bramblemast/bramblemast/pkg/backend/httpbackend"
	"github.com/bramblemast/bramblemast/pkg/budget"
	"github.com/bramblemast/bramblemast/pkg/catalog"
	"github.com/bramblemast/bramblemast/pkg/claim"
	"github.com/bramblemast/bramblemast/pkg/latency"
	"github.com/bramblemast/bramblemast/pkg/limit"
	"github.com/bramblemast/bramblemast/pkg/machinelist"
	"github.com/bramblemast/bramblemast/pkg/membership"
	"github.com/bramblemast/bramblemast/pkg/peer"
	"github.com/bramblemast/bramblemast/pkg/query"
	"github.com/bramblemast/bramblemast/pkg/target"
)

// Node is one node of the query tier. New opens its listeners; Run serves.
type Node struct {
	settings *settings.Settings
	logger   hclog.Logger
	id       target.NodeID
	metrics  *metrics
	arms     *armstats.Recorder

	transport *peer.TCP
	members   *membership.Membership
	machines  *machinelist.Poller
	catalog   *catalog.Catalog
	news      *catalog.Batcher
	exchange  *catalog.Exchange
	client    *httpbackend.Client
	limits    *limit.Servers
	gates     *admission.Group[target.Service]
	executor  *query.Executor
	reach     *reach
	config    *configuration

	callers         *httpListener
	callersRouter   *echo.Echo
	operators       *httpListener
	operatorsRouter *echo.Echo
	claims          *claim.Claimer
	// leaving is set when the planned stop begins.
	leaving atomic.Bool
	// warm is set when the node knows what the back ends hold.
	warm atomic.Bool
}

// Addresses says where a node listens.
type Addresses struct {
	Callers   string
	Operators string
	Peers     string
}

// New builds a node and opens its listeners, so that its addresses are known
// before it serves. A node that was built must be run.
func New(chosen *settings.Settings, logger hclog.Logger) (*Node, error) {
	n := &Node{
		settings: chosen,
		logger:   logger.With("node", chosen.Node.Name, "zone", string(chosen.Node.Zone)),
		id:       target.NodeID(chosen.Node.Name + "-" + uuid.NewString()[:8]),
		metrics:  newMetrics(),
		arms:     armstats.NewRecorder(),
	}
	steps := []func() error{
		n.buildTransport,
		n.buildCallersListener,
		n.buildOperatorsListener,
		n.buildMembership,
		n.buildBackends,
		n.buildConfiguration,
	}
	for _, step := range steps {
		if err := step(); err != nil {
			n.closeListeners()
			return nil, err
		}
	}
	n.buildExecutor()
	n.buildClaims()
	n.registerCallers()
	if err := n.registerOperators(); err != nil {
		n.closeListeners()
		return nil, err
	}
	n.registerGauges()
	return n, nil
}

// Addresses returns where the node listens.
func (n *Node) Addresses() Addresses {
	return Addresses{
		Callers:   n.callers.address(),
		Operators: n.operators.address(),
		Peers:     string(n.transport.Address()),
	}
}

// ID returns the id of this start of the node.
func (n *Node) ID() target.NodeID { return n.id }

// Ready reports whether the node takes requests: it has its configuration and
// knows back ends, and is not stopping.
func (n *Node) Ready() bool {
	return !n.leaving.Load() && n.config.Ready() && n.warm.Load()
}

func (n *Node) closeListeners() {
	if n.callers != nil {
		n.callers.close()
	}
	if n.operators != nil {
		n.operators.close()
	}
	if n.transport != nil {
		// It ends anyhow: an error tells nothing more.
		_ = n.transport.Close()
	}
}

func (n *Node) buildTransport() error {
	listener, err := net.Listen("tcp", n.settings.Listen.Peers)
	if err != nil {
		return errors.Wrapf(err, "listen for peers on %s", n.settings.Listen.Peers)
	}
	n.transport = peer.NewTCP(peer.TCPOptions{
		Node:      n.id,
		Listener:  listener,
		Advertise: peer.Address(n.settings.Listen.PeersAdvertised),
		SourceIP:  n.settings.Node.SourceIP,
		Logger:    n.logger.Named("peer"),
	})
	return nil
}

func (n *Node) buildMembership() error {
	n.members = membership.New(membership.Options{
		Self: membership.Member{
			ID:              n.id,
			Address:         n.transport.Address(),
			CallerAddress:   n.callers.address(),
			OperatorAddress: n.operators.address(),
			Zone:            n.settings.Node.Zone,
			Region:          n.settings.Node.Region,
		},
		Transport: n.transport,
		Seeds:     n.seeds,
		Seed:      n.seed(),
		Logger:    n.logger,
	})
	return nil
}

// seed derives this start's random seed from its id, so that a log tells it.
func (n *Node) seed() uint64 {
	digest := fnv.New64a()
	_, _ = digest.Write([]byte(n.id)) // never fails
	return digest.Sum64()
}

func (n *Node) buildBackends() error {
	n.limits = limit.NewServers(limit.Options{})
	n.news = catalog.NewBatcher(catalog.BatcherOptions{
		Send:     n.broadcastNews,
		MaxBytes: membership.MaxBroadcastBytes,
		Logger:   n.logger.Named("catalog"),
	})
	n.catalog = catalog.New(catalog.Options{
		Node:     n.id,
		Zone:     n.settings.Node.Zone,
		Region:   n.settings.Node.Region,
		OnUpdate: n.spreadNews,
		Logger:   n.logger.Named("catalog"),
	})
	n.members.HandleBroadcast(newsKind, n.receiveNews)
	n.exchange = catalog.NewExchange(catalog.ExchangeOptions{
		Catalog:     n.catalog,
		Transport:   n.transport,
		Peers:       n.zonePeers,
		Remote:      n.remotePeers,
		OnForwarded: n.tellZone,
		Logger:      n.logger.Named("catalog"),
	})
	n.reach = newReach(n.id, n.catalog, n.limits, n.sharingNodes)
	n.reach.sharing = n.settings.Backends.SharingNodes
	n.client = httpbackend.New(httpbackend.Options{
		Connections:      n.reach.connections,
		MaxResponseBytes: n.settings.Backends.MaxResponseBytes,
		SourceIP:         n.settings.Node.SourceIP,
		OnHints:          n.catalog.ReportHints,
	})
	n.reach.client = n.client
	if n.settings.MachineList.URL != "" {
		n.buildMachines()
	}
	return nil
}

func (n *Node) buildExecutor() {
	n.gates = admission.NewGroup(func(target.Service) admission.Options {
		return admission.Options{MaxLimit: n.settings.Query.MaxInFlight}
	})
	n.executor = query.New(query.Options{
		Client:       n.client,
		Catalog:      n.reach,
		Limits:       query.ServerLimits(n.limits),
		Budgets:      query.ExtraLoadBudgets(budget.NewPool()),
		Latency:      latency.NewTracker(),
		Observer:     n.metrics,
		Seed:         n.seed(),
		AnswerMargin: n.settings.Query.AnswerMargin,
	})
}

func (n *Node) buildClaims() {
	n.claims = claim.New(claim.Options{
		Store:     n.config.store,
		Node:      n.id,
		IsSweeper: n.isSweeper,
		Logger:    n.logger,
	})
}

// Run serves until ctx ends, then stops as planned: see stop. It returns nil
// after a planned stop that cut off no request.
func (n *Node) Run(ctx context.Context) error {
	work, cancelWork := context.WithCancel(context.Background())
	defer cancelWork()
	var group run.Group
	n.addWork(&group, work, n.transport.Run)
	n.addWork(&group, work, n.members.Run)
	n.addWork(&group, work, n.probeLoop().Run)
	n.addWork(&group, work, n.reach.run)
	n.addWork(&group, work, n.catchUp)
	n.addWork(&group, work, n.warmUp)
	n.addWork(&group, work, n.exchange.Run)
	n.addWork(&group, work, n.config.run)
	n.addWork(&group, work, n.claims.Run)
	if n.machines != nil {
		n.addWork(&group, work, n.machines.Run)
	}
	group.Add(func() error { return serveUntil(work, n.callers) }, func(error) { n.callers.close() })
	group.Add(func() error { return serveUntil(work, n.operators) }, func(error) { n.operators.close() })
	group.Add(func() error { return n.waitAndStop(ctx, work) }, func(error) { cancelWork() })
	n.logListening()
	err := group.Run()
	n.client.Close()
	return err
}

// serveUntil serves, and after a planned stop of the listener waits until the
// whole node has stopped: the run group ends every part as soon as one returns,
// which would cut off the requests that the stop still waits for.
func serveUntil(work context.Context, listener *httpListener) error {
	if err := listener.serve(); err != nil {
		return err
	}
	<-work.Done()
	return nil
}

// addWork adds a part that runs until the planned stop is over.
func (n *Node) addWork(group *run.Group, work context.Context, part func(context.Context) error) {
	ctx, cancel := context.WithCancel(work)
	execute := func() error {
		err := part(ctx)
		if errors.Is(err, context.Canceled) {
			return nil
		}
		return err
	}
	group.Add(execute, func(error) { cancel() })
}

func (n *Node) logListening() {
	addresses := n.Addresses()
	n.logger.Info("listening", "id", string(n.id), "callers", addresses.Callers, "operators", addresses.Operators, "peers", addresses.Peers)
}

func (n *Node) probeLoop() *catalog.ProbeLoop {
	return catalog.NewProbeLoop(catalog.ProbeOptions{
		Catalog:  n.catalog,
		Prober:   n.client,
		Members:  n.zoneMembers,
		Interval: n.settings.Backends.ProbeInterval,
		Timeout:  n.settings.Backends.ProbeTimeout,

		ProbesPerSecond: n.settings.Backends.ProbesPerSecond,
	})
}

// waitAndStop waits for the end of ctx and does the planned stop.
func (n *Node) waitAndStop(ctx, work context.Context) error {
	select {
	case <-ctx.Done():
		return n.stop(context.Background())
	case <-work.Done():
		return nil
	}
}

// stop announces that the node leaves, goes on serving for a moment, then lets
// every request in flight end. It returns an error if some had to be cut off
// because they outlasted the time that the settings give.
func (n *Node) stop(ctx context.Context) error {
	begun := time.Now()
	n.logger.Info("planned stop begins")
	n.leaving.Store(true)
	n.callers.startLeaving()
	announced, cancelAnnounce := context.WithTimeout(ctx, n.settings.Stop.Announce)
	defer cancelAnnounce()
	if err := n.members.Leave(announced); err != nil {
		n.logger.Warn("the stop was not announced to enough peers in time", "error", err)
	}
	<-announced.Done()
	bounded, cancel := context.WithTimeout(ctx, n.settings.Stop.Timeout)
	defer cancel()
	if err := n.callers.stop(bounded); err != nil {
		n.logger.Error("planned stop cut off requests", "error", err)
		return err
	}
	n.logger.Info("planned stop ends", "took", time.Since(begun).String())
	return nil
}
