package edge

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/internal/front"
	"github.com/bramblemast/bramblemast/pkg/directory"
	"github.com/bramblemast/bramblemast/pkg/fleet"
	"github.com/bramblemast/bramblemast/pkg/owner"
	"github.com/bramblemast/bramblemast/pkg/quarantine"
	"github.com/bramblemast/bramblemast/pkg/route"
)

// state is the node's view of its deployment. It implements directory.Listener and front.State.
type state struct {
	logger   hclog.Logger
	fleet    *fleet.Fleet
	budgets  *budgets
	policies *policies
	metrics  *metricSet
	// refusals only limits the rate of log lines about refused entries.
	refusals *requestRecorder
	// setIdleTimeout sets the idle timeout of clients' connections.
	setIdleTimeout func(time.Duration)
	// storeLost reports whether the store did not answer the last call.
	storeLost func() bool
	// mayBeOutdated reports whether the node has just started and its configuration may be older than
	// the one in force on other nodes; nil for never.
	mayBeOutdated func() bool
	// absenceUncertainUntil returns until when a missing entry in the store does not prove that its
	// server is gone.
	absenceUncertainUntil func(now time.Time) time.Time
	// evacuationSpan returns the span over which load is moved away from an evacuated zone.
	evacuationSpan func() time.Duration

	// quarantine receives the notes of other nodes on requests that crash servers.
	quarantine *quarantine.Guard

	// roster assigns shards to the nodes; nil if the node has no peers.
	roster *owner.Roster
	// limits receives the list of nodes; nil if tenant limits are not enforced.
	limits *limits
	// gossiper notifies the nodes of suspect requests; nil if the node has no peers.
	gossiper *quarantine.Gossiper
	// nodeEntry receives the entries of nodes, and is notified of restores of the store.
	nodeEntry *registration

	startedAt time.Time
	table     atomic.Pointer[route.Table]
	draining  atomic.Bool
	// loaded says that the contents of the store at the start have been applied.
	loaded atomic.Bool

	mutex sync.Mutex
	// nodes is guarded by mutex.
	nodes map[string]directory.Node
}

// newState returns the state of a node that has not read the store yet.
func newState(node *Node, servers *fleet.Fleet, rules *policies) *state {
	return &state{
		policies: rules, logger: node.logger, fleet: servers, budgets: newBudgets(node.options.Settings.Bounds), metrics: node.metrics,
		refusals: newRequestRecorder(node.logger, node.metrics, nil),
		nodes:    make(map[string]directory.Node), startedAt: time.Now(),
		evacuationSpan: func() time.Duration { return node.settings.Load().evacuationSpan() },
		storeLost:      func() bool { return node.follower.IsStoreLost() },
		mayBeOutdated:  func() bool { return node.follower.AwaitsPeers() },
		absenceUncertainUntil: func(now time.Time) time.Time {
			return node.follower.AbsenceUncertainUntil(node.settings.Load().absenceUncertainSpan(), now)
		},
	}
}

// Table implements front.State.
func (s *state) Table() *route.Table {
	if s.mayBeOutdated != nil && s.mayBeOutdated() {
		return nil
	}
	return s.table.Load()
}

// Draining implements front.State.
func (s *state) Draining() bool { return s.draining.Load() }

// Times for requests that arrive before a configuration is known.
const (
	// startingMaxWait is how long requests wait for the configuration: a node that has just started
	// knows it within milliseconds.
	startingMaxWait = 120 * time.Millisecond
	// minStartingWait and maxStartingWait bound the Retry-After of refused requests.
	minStartingWait = 200 * time.Millisecond
	maxStartingWait = 1200 * time.Millisecond
	// storeLostWait is the Retry-After while the store does not answer: its outages last for seconds,
	// and a client that may retry only once must not retry too early.
	storeLostWait = 2 * time.Second
)

// Starting implements front.State. While the store does not answer, waiting is useless: requests are
// refused at once, so that their clients can use another node or retry in time.
func (s *state) Starting() front.Starting {
	if s.storeLost() {
		return front.Starting{RetryAfter: storeLostWait}
	}
	return front.Starting{
		MaxWait: startingMaxWait, RetryAfter: min(max(minStartingWait, time.Since(s.startedAt)), maxStartingWait),
	}
}

// ready reports whether the node accepts new connections.
func (s *state) ready() bool { return s.Table() != nil && !s.draining.Load() }

// Changed implements directory.Listener.
func (s *state) Changed(entry directory.Entry) {
	switch {
	case entry.Problem != nil:
		s.refuse(entry)
	case entry.Configuration != nil:
		s.applyConfiguration(entry)
	case entry.Server != nil:
		s.applyServer(entry)
	case entry.EvacuatedZone != "":
		s.applyEvacuation(entry)
	case entry.Note != nil:
		s.quarantine.ApplyNote(*entry.Note, entry.Gone, time.Now())
	case entry.Node != nil:
		if s.nodeEntry != nil {
			s.nodeEntry.noteEntry(entry)
		}
		s.setNode(entry.Key, *entry.Node)
	case entry.Template != nil:
		s.applyTemplate(entry)
	case entry.Gone:
		s.remove(entry)
	}
}

// applyServer applies the entry of a server. Changes of single servers are logged only after the
// first load of the store.
func (s *state) applyServer(entry directory.Entry) {
	now := time.Now()
	change := s.fleet.Apply(*entry.Server, now)
	switch change.Kind {
	case fleet.Unchanged:
		return
	case fleet.Invalid, fleet.StillInvalid:
		entry.Problem = errStartMissing
		s.logRefusal(entry, change.Kind == fleet.Invalid)
		return
	case fleet.Restarted:
		s.quarantine.RecordReplacement(change.Replaced, now)
	}
	if !s.loaded.Load() {
		return
	}
	s.logger.Info("server "+string(change.Kind), serverFields(entry)...)
}

// serverFields returns the log fields for the entry of a server.
func serverFields(entry directory.Entry) []any {
	list := []any{"server", entry.Server.ID, "service", entry.Server.Service, "address", entry.Server.Address,
		"zone", entry.Server.Zone, "revision", entry.Revision}
	if entry.Server.Start != 0 {
		list = append(list, "start", int64(entry.Server.Start))
	}
	return list
}

// errStartMissing is the error for an entry without a start time whose server gave one before.
var errStartMissing = errors.New("entry lacks the start that the server reported before")

// refuse handles an entry that could not be decoded. Its value describes no server, so the server
// known under its key is treated as if the key had been deleted. For other kinds of entries the last valid
// state stays in force.
func (s *state) refuse(entry directory.Entry) {
	isKnown := entry.ServerID != "" && s.fleet.RejectEntry(entry.ServerID, time.Now())
	s.logRefusal(entry, isKnown)
}

// logRefusal counts a refused entry and logs it within the limit on the rate of log lines.
func (s *state) logRefusal(entry directory.Entry, serverLeftOut bool) {
	s.metrics.refused.WithLabelValues("entry").Inc()
	if s.refusals.mayWrite() {
		s.logger.Error("entry refused", "key", entry.Key, "revision", entry.Revision, "server_left_out", serverLeftOut,
			"error", entry.Problem.Error())
	}
}

// Loaded implements directory.Listener. It logs one line for all servers and nodes that were found at
// the start: a line for each would take processor time just when clients retry.
func (s *state) Loaded(revision uint64) {
	s.loaded.Store(true)
	s.logger.Info("state restored", "revision", revision, "servers", s.fleet.Len(), "nodes", len(s.knownNodes()))
}

func (s *state) applyConfiguration(entry directory.Entry) {
	offered := entry.Configuration
	current := s.table.Load()
	if current != nil && offered.Version <= current.Version {
		s.logger.Warn("configuration refused", "version", offered.Version, "in_force", current.Version,
			"revision", entry.Revision, "reason", "older")
		return
	}
	if err := route.Validate(offered); err != nil {
		s.metrics.refused.WithLabelValues("configuration").Inc()
		s.logger.Error("configuration refused", "version", offered.Version, "revision", entry.Revision, "error", err.Error())
		return
	}
	connections, warmUps := make(map[string]int, len(offered.Services)), make(map[string]fleet.WarmUp, len(offered.Services))
	for _, service := range offered.Services {
		connections[service.Name] = service.MaxConnections
		warmUps[service.Name] = fleet.WarmUp{Span: service.WarmUp, PerSecond: service.ColdPerSecond}
	}
	s.fleet.SetConnections(connections)
	s.fleet.SetWarmUps(warmUps)
	s.setIdleTimeout(offered.Limits.IdleTimeout)
	s.table.Store(route.NewTable(offered))
	s.logger.Info("configuration in force", "version", offered.Version, "revision", entry.Revision,
		"routes", len(offered.Routes), "services", len(offered.Services))
}

// applyEvacuation starts or ends the evacuation of a zone, whose servers receive no requests in the
// meantime. An evacuation found at the start may have been ordered long ago, so it takes effect at
// once.
func (s *state) applyEvacuation(entry directory.Entry) {
	now, span := time.Now(), s.evacuationSpan()
	if !s.loaded.Load() {
		span = 0
	}
	switch {
	case entry.Gone && s.fleet.EndEvacuation(entry.EvacuatedZone, now):
		s.metrics.evacuated.WithLabelValues(entry.EvacuatedZone).Set(0)
		s.logger.Info("zone open again", "zone", entry.EvacuatedZone, "revision", entry.Revision)
	case !entry.Gone && s.fleet.Evacuate(entry.EvacuatedZone, span, now):
		s.metrics.evacuated.WithLabelValues(entry.EvacuatedZone).Set(1)
		s.logger.Info("zone evacuated", "zone", entry.EvacuatedZone, "revision", entry.Revision, "within_ms", span.Milliseconds())
	}
}

func (s *state) applyTemplate(entry directory.Entry) {
	offered := entry.Template.Template
	if err := s.policies.apply(entry.Template); err != nil {
		s.metrics.refused.WithLabelValues("template").Inc()
		s.logger.Error("template refused", "template", offered.Key().String(), "template_revision", offered.Revision,
			"revision", entry.Revision, "error", err.Error())
		return
	}
	s.logger.Info("template in force", "template", offered.Key().String(), "template_revision", offered.Revision,
		"revision", entry.Revision, "deleted", offered.Deleted)
}

func (s *state) setNode(key string, node directory.Node) {
	s.mutex.Lock()
	_, known := s.nodes[key]
	s.nodes[key] = node
	count := len(s.nodes)
	s.mutex.Unlock()
	if known {
		return
	}
	s.updateNodes()
	if !s.loaded.Load() {
		return
	}
	s.logger.Info("node found", "found", node.Name, "nodes", count)
}

func (s *state) remove(entry directory.Entry) {
	now := time.Now()
	uncertainUntil := s.absenceUncertainUntil(now)
	if entry.ServerID != "" && s.fleet.Remove(entry.ServerID, uncertainUntil, now) {
		s.logger.Info("server gone", "list_settles", uncertainUntil.After(now), "server", entry.ServerID, "revision", entry.Revision)
		return
	}
	s.mutex.Lock()
	_, known := s.nodes[entry.Key]
	delete(s.nodes, entry.Key)
	count := len(s.nodes)
	s.mutex.Unlock()
	if known {
		s.updateNodes()
		s.logger.Info("node gone", "key", entry.Key, "nodes", count)
	}
}

// knownNodes returns the known nodes, in no particular order.
func (s *state) knownNodes() []directory.Node {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return slices.Collect(maps.Values(s.nodes))
}

// updateNodes passes the known nodes to everything that is shared among nodes: shards, tenant
// limits, gossip, warm-up bounds and the extra-load budget.
func (s *state) updateNodes() {
	s.mutex.Lock()
	callers := fleet.Callers{Total: len(s.nodes), ByZone: make(map[string]int)}
	for _, node := range s.nodes {
		callers.ByZone[node.Zone]++
		callers.Names = append(callers.Names, node.Name)
	}
	s.mutex.Unlock()
	if s.roster != nil {
		s.roster.SetNodes(s.knownNodes())
	}
	if s.limits != nil {
		s.limits.setNodes(s.knownNodes())
	}
	if s.gossiper != nil {
		s.gossiper.SetNodes(peerAddresses(s.knownNodes()))
	}
	s.fleet.SetCallers(callers)
	s.budgets.setNodes(callers.Total)
}

// maxLoggedKeys is the maximum number of keys in the log line about a restore.
const maxLoggedKeys = 10

// EraChanged implements directory.Listener.
func (s *state) EraChanged(change directory.EraChange) {
	s.metrics.restores.Inc()
	s.logger.Warn("store came back from an older copy", "era_before", change.From.Era, "revision_before", change.From.Revision,
		"era", change.To.Era, "revision", change.To.Revision, "keys_kept", len(change.Retained),
		"keys", change.Retained[:min(len(change.Retained), maxLoggedKeys)])
	s.nodeEntry.notifyEraChange()
}

// Dependency implements directory.Listener.
func (s *state) Dependency(name string, connected bool, cause error) {
	if connected {
		s.metrics.dependency.WithLabelValues(name).Set(1)
		s.logger.Info("dependency regained", "dependency", name)
		return
	}
	s.metrics.dependency.WithLabelValues(name).Set(0)
	s.logger.Warn("dependency lost", "dependency", name, "error", cause.Error())
}
