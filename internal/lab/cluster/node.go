package cluster

import (
	"context"
	"fmt"
	"net/http"

	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/api/operator"
	"github.com/bramblemast/bramblemast/internal/lab/standin/labapi"
	"github.com/bramblemast/bramblemast/internal/node"
	"github.com/bramblemast/bramblemast/internal/settings"
	"github.com/bramblemast/bramblemast/pkg/target"
)

// anyPort is a loopback listener with a free port.
const anyPort = "127.0.0.1:0"

// Settings of nodes that share a process and stop often.
const (
	machineListInterval = "500ms"
	probeInterval       = "250ms"
	stopAnnounce        = "100ms"
	stopTimeout         = "10s"
)

// Node is one node of a cluster.
type Node struct {
	name string
	// source is the address that the node sends from, in its zone's network.
	source    string
	zone      target.Zone
	member    *node.Node
	transport *http.Transport
	operators *operator.Client
	cancel    context.CancelFunc
	// ended is closed after Run has set result.
	ended  chan struct{}
	result error
}

// startNode starts node number index and enters it in the machine list.
func (c *Cluster) startNode(index int) error {
	zones := c.options.Deployment.Zones()
	started := &Node{
		name:      fmt.Sprintf("node-%d", index),
		zone:      zones[index%len(zones)],
		transport: &http.Transport{},
		ended:     make(chan struct{}),
	}
	started.source = c.options.Deployment.NodeAddress(started.zone, index/len(zones)).String()
	chosen, err := settings.Parse(nil, c.nodeSettings(started))
	if err != nil {
		return errors.Wrapf(err, "settings of %s", started.name)
	}
	started.member, err = node.New(chosen, c.options.Logger.Named("node"))
	if err != nil {
		return errors.Wrapf(err, "make %s", started.name)
	}
	ctx, cancel := context.WithCancel(context.Background())
	started.cancel = cancel
	started.operators = operator.NewClient(started.member.Addresses().Operators, &http.Client{Transport: started.transport})
	go started.run(ctx)
	c.nodes = append(c.nodes, started)
	c.standin.MachineList().Set(labapi.Machine{
		Address: started.member.Addresses().Peers,
		Role:    labapi.RoleNode,
		Service: labapi.NodeService,
		Zone:    started.zone,
		Region:  c.options.Deployment.RegionOf(started.zone),
		State:   labapi.MachineLive,
	})
	return nil
}

func (c *Cluster) nodeSettings(started *Node) []settings.Override {
	addresses := c.standin.Addresses()
	chosen := []settings.Override{
		{Path: "node.name", Value: started.name},
		{Path: "node.zone", Value: string(started.zone)},
		{Path: "node.region", Value: string(c.options.Deployment.RegionOf(started.zone))},
		{Path: "node.source_ip", Value: started.source},
		{Path: "listen.callers", Value: anyPort},
		{Path: "listen.operators", Value: anyPort},
		{Path: "listen.peers", Value: anyPort},
		{Path: "store.url", Value: addresses.Store},
		{Path: "machine_list.url", Value: addresses.MachineList},
		{Path: "machine_list.interval", Value: machineListInterval},
		{Path: "backends.probe_interval", Value: probeInterval},
		{Path: "stop.announce", Value: stopAnnounce},
		{Path: "stop.timeout", Value: stopTimeout},
	}
	if len(c.nodes) > 0 {
		seed := c.nodes[0].member.Addresses().Peers
		chosen = append(chosen, settings.Override{Path: "peers.seeds", Value: seed})
	}
	return append(chosen, c.options.Settings...)
}

func (n *Node) run(ctx context.Context) {
	defer close(n.ended)
	n.result = n.member.Run(ctx)
}

// Name returns the name of the node.
func (n *Node) Name() string { return n.name }

// Zone returns the zone of the node.
func (n *Node) Zone() target.Zone { return n.zone }

// Callers returns the address of the callers' listener.
func (n *Node) Callers() string { return n.member.Addresses().Callers }

// Operators returns a client of the operators' listener.
func (n *Node) Operators() *operator.Client { return n.operators }

// Ready reports whether the node takes requests.
func (n *Node) Ready() bool { return n.member.Ready() }

// Stop stops the node as planned and returns what its run ended in.
func (n *Node) Stop() error {
	n.cancel()
	<-n.ended
	n.transport.CloseIdleConnections()
	return errors.Wrapf(n.result, "run of %s", n.name)
}
