package node

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bramblemast/bramblemast/pkg/backend"
	"github.com/bramblemast/bramblemast/pkg/backend/httpbackend"
	"github.com/bramblemast/bramblemast/pkg/catalog"
	"github.com/bramblemast/bramblemast/pkg/limit"
	"github.com/bramblemast/bramblemast/pkg/rendezvous"
	"github.com/bramblemast/bramblemast/pkg/target"
)

// reachInterval is how often the subset and the shares are worked out anew.
const reachInterval = 100 * time.Millisecond

// reach decides which servers this node connects to and how much of each it
// may use, from the living nodes and the parts of all indexes. It implements
// catalog.Source over the servers of the subset and is safe for concurrent
// use.
type reach struct {
	node    target.NodeID
	catalog *catalog.Catalog
	limits  *limit.Servers
	client  *httpbackend.Client
	nodes   func() []target.NodeID
	// sharing, if above zero, replaces the counted number of nodes that share a
	// server.
	sharing int

	// seen are the views that update last looked at. It belongs to run.
	seen map[target.Service]*catalog.View
	// chosen is replaced as a whole by update.
	chosen atomic.Pointer[chosenServers]
	// mutex guards views.
	mutex sync.Mutex
	views map[target.Service]subsetView
}

// chosenServers is one choice of servers. It is immutable.
type chosenServers struct {
	connections map[target.ServerID]int
	// nodes and limits are what the choice was worked out from.
	nodes  []target.NodeID
	limits map[target.ServerID]bounds
}

// subsetView keeps the filtered form of a view for as long as neither the view
// nor the choice changes.
type subsetView struct {
	whole    *catalog.View
	chosen   *chosenServers
	filtered *catalog.View
}

func newReach(node target.NodeID, known *catalog.Catalog, limits *limit.Servers, nodes func() []target.NodeID) *reach {
	r := &reach{node: node, catalog: known, limits: limits, nodes: nodes, views: make(map[target.Service]subsetView)}
	r.chosen.Store(&chosenServers{})
	return r
}

// run keeps the choice up to date until ctx ends.
func (r *reach) run(ctx context.Context) error {
	ticker := time.NewTicker(reachInterval)
	defer ticker.Stop()
	for {
		r.update()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// update works out the choice anew if nodes, servers or their limits changed.
func (r *reach) update() {
	nodes := r.nodes()
	views := r.currentViews()
	previous := r.chosen.Load()
	sameNodes := slices.Equal(previous.nodes, nodes)
	if sameNodes && maps.Equal(r.seen, views) {
		return
	}
	r.seen = views
	limits := serverLimits(views)
	if sameNodes && maps.Equal(previous.limits, limits) {
		return
	}
	parts := r.catalog.Parts()
	subset := rendezvous.ChooseSubset(r.node, nodes, parts, rendezvous.SubsetOptions{})
	next := &chosenServers{connections: make(map[target.ServerID]int, len(subset.Servers)), nodes: nodes, limits: limits}
	for _, server := range subset.Servers {
		sharing := max(subset.Sharing[server], 1)
		if r.sharing > 0 {
			sharing = r.sharing
		}
		share := rendezvous.ShareOf(limits[server].slots, limits[server].connections, sharing)
		next.connections[server] = share.Connections
		r.limits.Configure(server, limit.Share{
			Slots:       float64(limits[server].slots) / float64(sharing),
			Connections: share.Connections,
		})
		r.client.Resize(server, share.Connections)
	}
	r.chosen.Store(next)
	r.client.Retain(subset.Servers)
	for server := range previous.connections {
		if _, kept := next.connections[server]; !kept {
			r.limits.Forget(server)
		}
	}
}

// bounds are a server's limits over all its callers.
type bounds struct {
	slots       int
	connections int
}

// currentViews returns the catalogue's views of all services. A view that did
// not change is the same value, so that a quiet tick costs no walk over the
// servers.
func (r *reach) currentViews() map[target.Service]*catalog.View {
	views := make(map[target.Service]*catalog.View)
	for _, service := range r.catalog.Services() {
		views[service] = r.catalog.View(service)
	}
	return views
}

func serverLimits(views map[target.Service]*catalog.View) map[target.ServerID]bounds {
	limits := make(map[target.ServerID]bounds)
	for _, view := range views {
		for _, server := range view.Servers {
			limits[server.ID] = bounds{slots: server.Slots, connections: server.Connections}
		}
	}
	return limits
}

// connections returns how many connections this node may have to a server.
func (r *reach) connections(server target.ServerID) int {
	return max(r.chosen.Load().connections[server], 1)
}

// View implements catalog.Source.
func (r *reach) View(service target.Service) *catalog.View {
	whole := r.catalog.View(service)
	if whole == nil {
		return nil
	}
	chosen := r.chosen.Load()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	held := r.views[service]
	if held.whole != whole || held.chosen != chosen {
		held = subsetView{whole: whole, chosen: chosen, filtered: filter(whole, chosen)}
		r.views[service] = held
	}
	return held.filtered
}

// filter returns the view without the servers outside the choice; the view
// itself if it has none.
func filter(whole *catalog.View, chosen *chosenServers) *catalog.View {
	var servers []*catalog.Server
	for _, server := range whole.Servers {
		if _, ok := chosen.connections[server.ID]; ok {
			servers = append(servers, server)
		}
	}
	if len(servers) == len(whole.Servers) {
		return whole
	}
	return &catalog.View{Service: whole.Service, Servers: servers}
}

// ReportHints implements catalog.Source.
func (r *reach) ReportHints(server target.ServerID, hints backend.Hints) {
	r.catalog.ReportHints(server, hints)
}

// ReportResult implements catalog.Source.
func (r *reach) ReportResult(server target.ServerID, err error) {
	r.catalog.ReportResult(server, err)
}
