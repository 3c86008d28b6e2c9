package node

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/bramblemast/bramblemast/pkg/catalog"
	"github.com/bramblemast/bramblemast/pkg/target"
)

const (
	// warmUpPoll is how often a starting node looks at what it knows.
	warmUpPoll = 50 * time.Millisecond
	// warmUpLimit is how long a starting node waits for servers of which it
	// knows nothing yet. Some may be dead, and a node must not wait for those.
	warmUpLimit = 3 * time.Second
)

// startedTemplates are the templates of a node that does not count as ready
// before it knows its back ends as well. It implements serve.Templates.
type startedTemplates struct {
	*configuration
	warm *atomic.Bool
}

// Ready implements serve.Templates.
func (t startedTemplates) Ready() bool { return t.configuration.Ready() && t.warm.Load() }

// warmUp waits until the node knows what the back ends hold, so that it does
// not take requests that it can only refuse. It then waits for the end of ctx.
func (n *Node) warmUp(ctx context.Context) error {
	ticker := time.NewTicker(warmUpPoll)
	defer ticker.Stop()
	var listedAt time.Time
	for !n.warm.Load() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-ticker.C:
			services := n.catalog.Services()
			if len(services) > 0 && listedAt.IsZero() {
				listedAt = now
			}
			late := !listedAt.IsZero() && now.Sub(listedAt) >= warmUpLimit
			if late || len(services) > 0 && n.knowsContents(services) {
				n.warm.Store(true)
			}
		}
	}
	<-ctx.Done()
	return ctx.Err()
}

// knowsContents reports whether the contents of every server near this node are
// known, but for those that are not to be asked, and whether this node has
// chosen the servers that it connects to.
func (n *Node) knowsContents(services []target.Service) bool {
	for _, service := range services {
		if len(n.reach.View(service).Servers) == 0 {
			return false
		}
		for _, server := range n.catalog.View(service).Servers {
			asked := server.State == catalog.Active || server.State == catalog.Ejected
			if asked && server.ZoneDistance <= 1 && len(server.Indexes) == 0 {
				return false
			}
		}
	}
	return true
}
