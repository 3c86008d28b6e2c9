// Package operatortest provides nodes whose operators' interface and publisher
// are real and whose other parts are in memory, with faults that tests switch
// on.
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
	"github.com/bramblemast/bramblemast/pkg/claim"
	"github.com/bramblemast/bramblemast/pkg/configstore"
	"github.com/bramblemast/bramblemast/pkg/publish"
	"github.com/bramblemast/bramblemast/pkg/target"
	"github.com/bramblemast/bramblemast/pkg/template"
)

// OtherZone is the zone of the last node of a cluster; the others are in Zone.
const (
	Zone      target.Zone = "oslo"
	OtherZone target.Zone = "bergen"
)

// deadNode is known to all nodes as dead.
const deadNode target.NodeID = "node-old"

// BodyTimeout is how long a node waits for the body of a request.
const BodyTimeout = 300 * time.Millisecond

// peerTimeout is how long a node waits for the answer of one peer. Nodes that
// are to answer do so well within it also on a busy machine, so that no verdict
// depends on its speed; one that is not to answer costs its spec that time.
const peerTimeout = 3 * time.Second

// Cluster is a few nodes with one store.
type Cluster struct {
	Store *configstore.Memory
	Nodes []*Node
	// Claimer is the claimer of every node, in the name of node-old, which died.
	Claimer *claim.Claimer
	// publisher makes one attempt at each call, so that every fault shows.
	publisher operator.StorePublisher
}

// Node is one node. It is safe for concurrent use.
type Node struct {
	ID          target.NodeID
	Experiments *armstats.Recorder
	zone        target.Zone
	cluster     *Cluster
	server      *httptest.Server
	// loseReplies closes the connection of each change after it ran.
	loseReplies atomic.Bool
	// stalled keeps reads of other nodes waiting.
	stalled atomic.Bool
	writes  atomic.Int64
	// onWrite is called after each change that loseReplies lost; it is set
	// before the node is used.
	onWrite func()

	mutex sync.Mutex
	// The fields below are guarded by mutex.
	held    map[template.Key]*template.Template
	invalid string
	// drained are the authors of drains, by server.
	drained map[target.ServerID]string
}

// NewCluster starts nodes named node-1, node-2 and so on. Close stops them.
func NewCluster(size int) *Cluster {
	store := configstore.NewMemory()
	publisher, err := publish.New(publish.Options{Store: store, Attempts: 1})
	if err != nil {
		panic(err)
	}
	cluster := &Cluster{
		Store:     store,
		Claimer:   claim.New(claim.Options{Store: store, Node: deadNode}),
		publisher: operator.StorePublisher{Publisher: publisher},
	}
	for index := range size {
		node := &Node{
			ID:          target.NodeID("node-" + string(rune('1'+index))),
			Experiments: armstats.NewRecorder(),
			zone:        Zone,
			cluster:     cluster,
			held:        make(map[template.Key]*template.Template),
			drained:     make(map[target.ServerID]string),
		}
		if index > 0 && index == size-1 {
			node.zone = OtherZone
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

// Stored returns the newest revision in the store; nil if there is none.
func (c *Cluster) Stored(key template.Key) *template.Template {
	revisions, err := c.publisher.History(context.Background(), key)
	if err != nil || len(revisions) == 0 {
		return nil
	}
	return revisions[0]
}

// Spread puts the newest revision of a template in force at every node.
func (c *Cluster) Spread(key template.Key) {
	for _, node := range c.Nodes {
		node.Hold(c.Stored(key))
	}
}

// start serves the real operators' interface.
func (n *Node) start() {
	router := echo.New()
	operator.New(operator.Dependencies{
		Node:        n.ID,
		Zone:        n.zone,
		Templates:   n,
		Publisher:   n.cluster.publisher,
		Members:     n,
		Backends:    n,
		Experiments: n.Experiments,
		Claims:      n.cluster.Claimer,
		Peers:       operator.NewHTTPPeers(nil),
		Limits:      operator.Limits{PeerTimeout: peerTimeout, BodyTimeout: BodyTimeout},
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
		next.ServeHTTP(silentWriter{httptest.NewRecorder()}, request)
		if n.onWrite != nil {
			n.onWrite()
		}
		panic(http.ErrAbortHandler)
	})
}

// silentWriter takes an answer that nobody gets.
type silentWriter struct{ *httptest.ResponseRecorder }

// SetReadDeadline is for http.ResponseController.
func (silentWriter) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline is for http.ResponseController.
func (silentWriter) SetWriteDeadline(time.Time) error { return nil }

// Address returns the operators' address.
func (n *Node) Address() string { return strings.TrimPrefix(n.server.URL, "http://") }

// Stop ends the node without notice.
func (n *Node) Stop() {
	n.server.CloseClientConnections()
	n.server.Close()
}

// LoseReplies makes the node close the connection of each change after it ran.
func (n *Node) LoseReplies() { n.loseReplies.Store(true) }

// OnWrite sets what happens after each change whose reply is lost. It must be
// called before the node is used.
func (n *Node) OnWrite(react func()) { n.onWrite = react }

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
		if !document.Deleted {
			documents = append(documents, document)
		}
	}
	return documents
}

// Revisions implements operator.Templates.
func (n *Node) Revisions() []api.TemplateRevision {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	var revisions []api.TemplateRevision
	for _, document := range n.held {
		revisions = append(revisions, api.TemplateRevision{
			Tenant: document.Tenant, Name: document.Name, Revision: document.Revision,
			ChangeID: document.ChangeID, Deleted: document.Deleted, Invalid: n.invalid,
		})
	}
	return revisions
}

// Reject makes the node unable to run what it holds.
func (n *Node) Reject(reason string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.invalid = reason
}

// Ready implements operator.Templates.
func (n *Node) Ready() bool { return true }

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
			ID: node.ID, Zone: node.zone, Region: "norway", State: "alive", Incarnation: 1,
			PeerAddress: "127.0.0.1:1", OperatorAddress: node.Address(), Self: node == n,
		})
	}
	return append(nodes, api.Node{ID: deadNode, Zone: Zone, State: "dead"})
}

// Reports implements operator.Backends.
func (n *Node) Reports() []catalog.ServerReport {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	var reports []catalog.ServerReport
	for _, id := range []target.ServerID{"10.0.0.1:9000", "10.0.0.2:9000"} {
		report := catalog.ServerReport{
			Server: id, Service: "resultatside", Group: "a", Zone: Zone, State: "active", Listed: true,
			Weight: 1, Slots: 5, Connections: 75, ReportedLoad: -1,
		}
		if author, drained := n.drained[id]; drained {
			report.State, report.Cause = "leaving", catalog.CauseOperator
			report.OperatorDrained, report.OperatorAuthor = true, author
		}
		reports = append(reports, report)
	}
	return reports
}

// View implements operator.Backends.
func (n *Node) View(service target.Service) *catalog.View {
	return &catalog.View{Service: service, Servers: []*catalog.Server{
		{ID: "10.0.0.1:9000", Indexes: []backend.Index{{Version: 7}, {Version: 8}}},
	}}
}

// Drain implements operator.Backends.
func (n *Node) Drain(server target.ServerID, drained bool, author string) error {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if !strings.HasPrefix(string(server), "10.0.0.") {
		return catalog.ErrUnknownServer
	}
	if drained {
		n.drained[server] = author
	} else {
		delete(n.drained, server)
	}
	return nil
}
