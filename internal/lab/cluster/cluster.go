// Package cluster runs a whole installation in one process: the stand-ins of a
// deployment and nodes of the query tier spread over its zones. It is for the
// demo, experiments and tests; callers reach the nodes over loopback HTTP.
package cluster

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/api/operator"
	"github.com/bramblemast/bramblemast/internal/lab/standin"
	"github.com/bramblemast/bramblemast/internal/lab/topology"
	"github.com/bramblemast/bramblemast/internal/settings"
	"github.com/bramblemast/bramblemast/pkg/catalog"
	"github.com/bramblemast/bramblemast/pkg/template"
)

// readyPoll is how often Start looks whether the nodes are ready.
const readyPoll = 20 * time.Millisecond

// Options describe a cluster.
type Options struct {
	Deployment *topology.Deployment
	// Nodes is the number of nodes; node i is in zone i modulo the zones.
	Nodes int
	// Templates are published through a node before Start returns.
	Templates []*template.Template
	// Settings replace the nodes' settings, after those of the cluster.
	Settings []settings.Override
	Logger   hclog.Logger
}

// Cluster is a running installation.
type Cluster struct {
	options Options
	standin *standin.Deployment
	nodes   []*Node
}

// Start starts the stand-ins and the nodes, publishes the templates, and
// returns once every node has them in force and knows every back-end server.
// The caller must call Close.
func Start(ctx context.Context, options Options) (*Cluster, error) {
	if options.Logger == nil {
		options.Logger = hclog.NewNullLogger()
	}
	deployment, err := standin.Start(standin.Options{Topology: options.Deployment, Logger: options.Logger})
	if err != nil {
		return nil, err
	}
	cluster := &Cluster{options: options, standin: deployment}
	if err := cluster.start(ctx); err != nil {
		return nil, errors.Wrap(firstError(err, cluster.Close()), "start cluster")
	}
	return cluster, nil
}

func firstError(first, second error) error {
	if first != nil {
		return first
	}
	return second
}

func (c *Cluster) start(ctx context.Context) error {
	for index := range c.options.Nodes {
		if err := c.startNode(index); err != nil {
			return err
		}
	}
	for _, one := range c.nodes {
		if err := c.waitForServers(ctx, one); err != nil {
			return err
		}
	}
	return c.Publish(ctx, c.options.Templates...)
}

// Standin returns the stand-ins.
func (c *Cluster) Standin() *standin.Deployment { return c.standin }

// Nodes returns the nodes in the order of their start.
func (c *Cluster) Nodes() []*Node { return c.nodes }

// Targets returns the callers' addresses of the nodes.
func (c *Cluster) Targets() []string {
	targets := make([]string, 0, len(c.nodes))
	for _, one := range c.nodes {
		targets = append(targets, one.Callers())
	}
	return targets
}

// Publish publishes templates through the first node, each as the successor of
// the revision in force, and returns once every node has them in force.
func (c *Cluster) Publish(ctx context.Context, templates ...*template.Template) error {
	for _, document := range templates {
		change, err := c.nodes[0].operators.PublishTemplate(ctx, operator.PublishRequest{
			Template:         document,
			ExpectedRevision: c.revision(ctx, c.nodes[0], document.Key()),
			ChangeID:         operator.NewChangeID(),
		})
		if err != nil {
			return errors.Wrapf(err, "publish %s", document.Key())
		}
		if err := c.waitForRevision(ctx, document.Key(), change.Revision); err != nil {
			return err
		}
	}
	return nil
}

// revision returns the revision of a template at a node; zero if it has none.
func (c *Cluster) revision(ctx context.Context, one *Node, key template.Key) uint64 {
	held, err := one.operators.Template(ctx, key)
	if err != nil {
		return 0
	}
	return held.Revision
}

func (c *Cluster) waitForRevision(ctx context.Context, key template.Key, wanted uint64) error {
	for _, one := range c.nodes {
		err := poll(ctx, func() bool { return c.revision(ctx, one, key) >= wanted })
		if err != nil {
			return errors.Wrapf(err, "wait for revision %d of %s at %s", wanted, key, one.Name())
		}
	}
	return nil
}

// waitForServers waits until a node is ready and has heard from every server.
func (c *Cluster) waitForServers(ctx context.Context, one *Node) error {
	wanted := len(c.standin.Addresses().Servers)
	err := poll(ctx, func() bool { return one.Ready() && c.knownServers(ctx, one) == wanted })
	return errors.Wrapf(err, "wait for node %s", one.Name())
}

func (c *Cluster) knownServers(ctx context.Context, one *Node) int {
	list, err := one.operators.Backends(ctx, "")
	if err != nil {
		return 0
	}
	known := 0
	for _, server := range list.Backends {
		if len(server.Versions) > 0 && server.State == catalog.Active.String() {
			known++
		}
	}
	return known
}

// poll waits until done reports true.
func poll(ctx context.Context, done func() bool) error {
	for !done() {
		select {
		case <-time.After(readyPoll):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// Close stops the nodes as planned, all at once, and then the stand-ins. It
// returns the first error of a node.
func (c *Cluster) Close() error {
	for _, one := range c.nodes {
		one.cancel()
	}
	var first error
	for _, one := range c.nodes {
		first = firstError(first, one.Stop())
	}
	c.standin.Stop()
	return first
}
