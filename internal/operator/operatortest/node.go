package operatortest

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"

	api "github.com/bramblemast/bramblemast/api/operator"
	"github.com/bramblemast/bramblemast/internal/armstats"
	"github.com/bramblemast/bramblemast/internal/operator"
	"github.com/bramblemast/bramblemast/pkg/backend"
	"github.com/bramblemast/bramblemast/pkg/catalog"
	"github.com/bramblemast/bramblemast/pkg/target"
	"github.com/bramblemast/bramblemast/pkg/template"
)

// Cluster is a few nodes with one Store.
type Cluster struct {
	Store *Store
	Nodes []*Node
}

// Node is one node. It is safe for concurrent use.
type Node struct {
	ID          target.NodeID
	Experiments *armstats.Recorder
	cluster     *Cluster
	server      *httptest.Server
	// loseReplies closes the connection of each change after it ran.
	loseReplies atomic.Bool
	// stalled keeps reads of other nodes waiting.
	stalled atomic.Bool
	writes  atomic.Int64

	mutex sync.Mutex
	// The fields below are guarded by mutex.
	held     map[template.Key]*template.Template
	draining map[target.ServerID]bool
}

// NewCluster starts nodes named node-1, node-2 and so on. Close stops them.
func NewCluster(size int) *Cluster {
	cluster := &Cluster{Store: NewStore()}
	for index := range size {
		node := &Node{
			ID:          target.NodeID("node-" + string(rune('1'+index))),
			Experiments: armstats.NewRecorder(),
			cluster:     cluster,
			held:        make(map[template.Key]*template.Template),
			draining:    make(map[target.ServerID]bool),
		}
		node.start()
		cluster.Nodes = append(cluster.Nodes, node)
	}
	return cluster
}

// Close stops every node.
func (c *Cluster) Close() {
	for _, node := range c.Nodes {
		node.server.CloseClientConnections()
		node.server.Close()
	}
}

// Addresses returns the operators' addresses of the nodes.
func (c *Cluster) Addresses() []string {
	var addresses []string
	for _, node := range c.Nodes {
		addresses = append(addresses, node.Address())
	}
	return addresses
}

// Spread puts the newest revisions in force at every node.
func (c *Cluster) Spread(keys ...template.Key) {
	for _, node := range c.Nodes {
		for _, key := range keys {
			node.Hold(c.Store.Newest(key))
		}
	}
}

// start serves the real operators' interface.
func (n *Node) start() {
	router := echo.New()
	operator.New(operator.Dependencies{
		Node:        n.ID,
		Zone:        "oslo",
		Templates:   n,
		Publisher:   n.cluster.Store,
		Members:     n,
		Backends:    n,
		Experiments: n.Experiments,
		Peers:       operator.NewHTTPPeers(),
		Limits:      operator.Limits{PeerTimeout: 100 * time.Millisecond},
	}).Register(router)
	n.server = httptest.NewServer(n.faulty(router))
}

// faulty wraps the interface with the faults of a node.
func (n *Node) faulty(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if request.Method != http.MethodGet {
			n.writes.Add(1)
		}
		if n.stalled.Load() {
			// The server notices a client that goes away only after the body.
			_, _ = io.Copy(io.Discard, request.Body)
			<-request.Context().Done()
			return
		}
		if request.Method == http.MethodGet || !n.loseReplies.Load() {
			next.ServeHTTP(writer, request)
			return
		}
		next.ServeHTTP(httptest.NewRecorder(), request)
		panic(http.ErrAbortHandler)
	})
}

// Address returns the operators' address.
func (n *Node) Address() string { return strings.TrimPrefix(n.server.URL, "http://") }

// Stop ends the node without notice.
func (n *Node) Stop() {
	n.server.CloseClientConnections()
	n.server.Close()
}

// LoseReplies makes the node close the connection of each change after it ran.
func (n *Node) LoseReplies() { n.loseReplies.Store(true) }

// Stall makes the node answer nothing any more.
func (n *Node) Stall() { n.stalled.Store(true) }

// Writes returns the number of requests that were not GET.
func (n *Node) Writes() int { return int(n.writes.Load()) }

// Hold puts a revision in force at this node; nil does nothing.
func (n *Node) Hold(document *template.Template) {
	if document == nil {
		return
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.held[document.Key()] = document
}

// Get implements operator.Templates.
func (n *Node) Get(key template.Key) *template.Template {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.held[key]
}

// List implements operator.Templates.
func (n *Node) List() []*template.Template {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	var documents []*template.Template
	for _, document := range n.held {
		documents = append(documents, document)
	}
	return documents
}

// StoreContact implements operator.Templates.
func (n *Node) StoreContact() api.StoreContact {
	read := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	return api.StoreContact{Watcher: n == n.cluster.Nodes[0], LastSuccess: &read}
}

// Nodes implements operator.Members.
func (n *Node) Nodes() []api.Node {
	var nodes []api.Node
	for _, node := range n.cluster.Nodes {
		nodes = append(nodes, api.Node{
			ID: node.ID, Zone: "oslo", Region: "norway", State: "alive", Incarnation: 1,
			PeerAddress: "127.0.0.1:1", OperatorAddress: node.Address(), Self: node == n,
		})
	}
	return append(nodes, api.Node{ID: "node-old", Zone: "oslo", State: "dead"})
}

// Services implements operator.Backends.
func (n *Node) Services() []target.Service { return []target.Service{"resultatside"} }

// View implements operator.Backends.
func (n *Node) View(service target.Service) *catalog.View {
	if service != "resultatside" {
		return nil
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	view := &catalog.View{Service: service}
	for _, id := range []target.ServerID{"10.0.0.1:9000", "10.0.0.2:9000"} {
		server := &catalog.Server{ID: id, Service: service, Group: "a", Zone: "oslo", Weight: 1,
			Slots: 5, Connections: 75, ReportedLoad: -1, Indexes: []backend.Index{{Version: 7}, {Version: 8}}}
		if n.draining[id] {
			server.State = catalog.Leaving
		}
		view.Servers = append(view.Servers, server)
	}
	return view
}

// SetDraining implements operator.Backends.
func (n *Node) SetDraining(_ context.Context, server target.ServerID, draining bool) error {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.draining[server] = draining
	return nil
}
