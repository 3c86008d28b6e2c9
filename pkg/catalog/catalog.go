package catalog

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/pkg/backend"
	"github.com/bramblemast/bramblemast/pkg/outcome"
	"github.com/bramblemast/bramblemast/pkg/target"
)

// Catalog implements Source. It is safe for concurrent use.
//
// View, ReportHints and ReportResult run for every sub-request. They take the mutex only when
// something changed.
type Catalog struct {
	options Options
	// records maps target.ServerID to *record. Writers hold mutex.
	records sync.Map
	// services is replaced as a whole by writers that hold mutex.
	services atomic.Pointer[map[target.Service]*serviceState]
	// membership counts the changes to the set of servers.
	membership atomic.Uint64

	// mutex guards the fields of the records, the fields below and the building of views.
	mutex sync.Mutex
	// listedCount is the length of the last complete machine list.
	listedCount int
	// pending counts the records of servers that the machine list has never named.
	pending int
	// watched holds the records that Refresh examines: those with recent results and those that are
	// missing from the machine list.
	watched map[*record]struct{}
	// probeRequests holds the records for which a single probe is requested.
	probeRequests map[*record]struct{}
	// bases maps VersionChange.Base to the record of the server.
	bases map[uint64]*record
	// unresolved holds version changes whose base is not known yet.
	unresolved unresolvedChanges
	// probeWakeup wakes the probe loop for probes that are requested immediately.
	probeWakeup chan struct{}
}

var _ Source = (*Catalog)(nil)

// maxPending bounds the number of records of servers that are known only from peers.
const maxPending = 4096

// ErrUnknownServer means that the catalog has no record of the server.
var ErrUnknownServer = errors.New("unknown server")

// New returns an empty catalog.
func New(options Options) *Catalog {
	created := &Catalog{
		options:       options.withDefaults(),
		watched:       make(map[*record]struct{}),
		probeRequests: make(map[*record]struct{}),
		bases:         make(map[uint64]*record),
		unresolved:    make(unresolvedChanges),
		probeWakeup:   make(chan struct{}, 1),
	}
	created.services.Store(&map[target.Service]*serviceState{})
	return created
}

// mutation is one change to the catalog. It runs with the catalog's mutex held and collects the
// updates to publish afterwards.
type mutation struct {
	now     time.Time
	updates []Update
}

// queueUpdate queues an update about a server for publication when the mutation completes.
func (c *Catalog) queueUpdate(m *mutation, r *record, kind UpdateKind, instance *instanceFacts) {
	update := Update{Server: r.server, Kind: kind, Observer: c.options.Node, Operator: r.facts.operator}
	if instance != nil {
		update.Instance = instance.instanceAt(m.now)
	}
	m.updates = append(m.updates, update)
}

// mutate runs a change with the mutex held and publishes the queued updates after releasing it.
func (c *Catalog) mutate(run func(m *mutation)) {
	m := &mutation{now: c.options.Now()}
	c.mutex.Lock()
	run(m)
	c.mutex.Unlock()
	for _, update := range m.updates {
		c.options.Logger.Debug("publishing server update", "server", update.Server, "kind", update.Kind.String(),
			"instance", update.Instance.ID, "generation", update.Instance.Generation)
		c.options.OnUpdate(update)
	}
}

// find returns the record of a server, or nil.
func (c *Catalog) find(server target.ServerID) *record {
	found, ok := c.records.Load(server)
	if !ok {
		return nil
	}
	return found.(*record)
}

// markDirty marks the view of the server's service for rebuilding.
func (c *Catalog) markDirty(r *record) {
	if state := (*c.services.Load())[r.listing.Service]; state != nil {
		state.dirty.Store(true)
	}
}

// ReportHints implements Source.
func (c *Catalog) ReportHints(server target.ServerID, hints backend.Hints) {
	r := c.find(server)
	if r == nil {
		return
	}
	if hints.Load >= 0 {
		r.results.setLoad(hints.Load)
	}
	if hints.Instance != "" {
		r.results.setNamesInstance()
	}
	if hints.Draining {
		c.noteServerDrain(r, hints.Instance)
	}
	if hints.NewestVersion > 0 && hints.NewestVersion > r.results.newestVersion() {
		c.requestVersionProbe(r, hints.NewestVersion)
	}
}

// noteServerDrain records a server's own statement that it drains. A statement that names no
// instance is attributed to the current instance.
func (c *Catalog) noteServerDrain(r *record, instance string) {
	if r.results.isKnownDraining(instance) {
		return
	}
	c.mutate(func(m *mutation) {
		current := r.facts.current()
		switch {
		case instance == "" && current == nil:
			r.drainUnattributed = true
			c.markDirty(r)
			return
		case instance == "":
			instance = current.ID
		}
		known := r.facts.instance(instance)
		if known.Draining {
			return
		}
		known.Draining = true
		r.facts.prune()
		r.results.setDraining(instance)
		c.markDirty(r)
		c.queueUpdate(m, r, KindDraining, known.withoutContents())
	})
}

// requestVersionProbe requests a single probe of a server that reported a newer index version. The
// probe is delayed and is skipped if a peer's update brings that version first.
func (c *Catalog) requestVersionProbe(r *record, newest target.Version) {
	const delay = 1500 * time.Millisecond
	c.mutate(func(m *mutation) {
		current := r.facts.current()
		if current != nil && current.Contents.newestVersion() >= newest {
			return
		}
		r.results.setNewestVersion(newest)
		if r.probe.requestedAt.IsZero() {
			c.requestProbeAt(r, m.now.Add(delay))
		}
	})
}

func (c *Catalog) requestProbeAt(r *record, at time.Time) {
	r.probe.requestedAt = at
	c.probeRequests[r] = struct{}{}
}

// ReportResult implements Source.
//
// A refusal because of draining counts as a drain only for servers that do not name their instance
// in hints. For the others, ReportHints, which callers also call for refusals, identifies the
// draining instance; a refusal that is reported late could otherwise be attributed to the next
// instance.
//
// A refusal that contradicts the known contents of the server triggers a probe immediately.
func (c *Catalog) ReportResult(server target.ServerID, err error) {
	r := c.find(server)
	switch {
	case r == nil:
	case err == nil:
		r.results.success()
		c.watch(r)
	default:
		c.reportFailure(r, err)
	}
}

func (c *Catalog) reportFailure(r *record, err error) {
	reason := outcome.ReasonOf(err)
	switch {
	case reason == outcome.ReasonDraining:
		if !r.results.hasNamedInstance() {
			c.noteServerDrain(r, "")
		}
	case contradictsContents(reason):
		c.suspectContents(r)
	case countsAsFailure(err):
		c.recordFailure(r)
	}
}

// watch adds a server to those that Refresh examines.
func (c *Catalog) watch(r *record) {
	if r.results.watched.Load() {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.watchLocked(r)
}

func (c *Catalog) watchLocked(r *record) {
	r.results.watched.Store(true)
	c.watched[r] = struct{}{}
}

// recordFailure counts a failed sub-request and ejects the server when the number of consecutive
// failures reaches Options.ConsecutiveFailures.
func (c *Catalog) recordFailure(r *record) {
	c.watch(r)
	if r.results.failure() < c.options.ConsecutiveFailures {
		return
	}
	c.mutate(func(m *mutation) { c.eject(m, r) })
}

func (c *Catalog) eject(m *mutation, r *record) {
	if r.outlier.ejected(m.now) {
		return
	}
	r.outlier.eject(m.now, &c.options)
	r.results.resetConsecutive()
	c.markDirty(r)
	c.options.Logger.Info("back end ejected", "server", r.server, "until", r.outlier.until)
}

// Drain sets or clears the operators' drain mark of a server; a drained server gets no new work.
// The mark persists until it is cleared, also across restarts of the server. The error is
// ErrUnknownServer if the catalog has no such server.
func (c *Catalog) Drain(server target.ServerID, drained bool, author string) error {
	r := c.find(server)
	if r == nil {
		return errors.Wrap(ErrUnknownServer, string(server))
	}
	c.mutate(func(m *mutation) {
		r.facts.operator = OperatorMark{
			Sequence: r.facts.operator.Sequence + 1,
			Drained:  drained,
			Author:   author,
		}
		c.markDirty(r)
		c.queueUpdate(m, r, KindOperator, nil)
	})
	return nil
}

// Apply merges updates from a peer. It returns those that changed the catalog, for the relay to
// forward; updates that change nothing must not be forwarded.
func (c *Catalog) Apply(batch ...Update) []Update {
	var applied []Update
	c.mutate(func(m *mutation) {
		for index := range batch {
			if c.apply(m, &batch[index]) {
				applied = append(applied, batch[index])
			}
		}
	})
	return applied
}

func (c *Catalog) apply(m *mutation, update *Update) bool {
	if update.Server == "" {
		return c.applyChange(m, update)
	}
	r := c.find(update.Server)
	if r == nil {
		if r = c.addPending(m, update.Server); r == nil {
			return false
		}
	}
	previous := r.facts.current()
	previousID, wasDead := "", false
	if previous != nil {
		previousID, wasDead = previous.ID, previous.dead()
	}
	if !r.facts.merge(update, m.now) {
		return false
	}
	c.factsChanged(m, r, previousID)
	if current := r.facts.current(); wasDead && current.ID == previousID && !current.dead() {
		c.noteRefutation(m, r)
	}
	return true
}

// noteRefutation extends the wait before this node announces a server as dead again, because
// another node can reach the server.
func (c *Catalog) noteRefutation(m *mutation, r *record) {
	if r.probe.failures < c.options.ProbeFailures {
		return
	}
	const maxDoublings = 6
	r.probe.refutations = min(r.probe.refutations+1, maxDoublings)
	r.probe.announceAfter = m.now.Add(c.options.DeadAnnouncementBackoff << r.probe.refutations)
}

// factsChanged updates the derived state of a record after its facts changed.
func (c *Catalog) factsChanged(m *mutation, r *record, previousID string) {
	current := r.facts.current()
	if current != nil && current.ID != previousID {
		unattributed := r.drainUnattributed
		r.instanceChanged(previousID, m.now)
		if unattributed && previousID == "" {
			c.queueUpdate(m, r, KindDraining, current)
		}
	}
	r.results.updateFrom(current)
	r.clearStalenessIfContentsChanged()
	c.markDirty(r)
	c.updateBases(m, r)
}

// addPending creates the record of a server that the machine list has not named yet. It returns nil
// if there are maxPending of them already.
func (c *Catalog) addPending(m *mutation, server target.ServerID) *record {
	if c.pending >= maxPending {
		return nil
	}
	c.pending++
	r := newRecord(server)
	r.listing.unlistedSince = m.now
	c.records.Store(server, r)
	c.watchLocked(r)
	return r
}

// Snapshot returns all facts about the servers of the machine list, for a peer that starts or was
// disconnected.
func (c *Catalog) Snapshot() []Update {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := c.options.Now()
	var all []Update
	for _, r := range c.sortedRecords() {
		if r.listing.listed {
			all = append(all, c.recordUpdates(r, now)...)
		}
	}
	return all
}

// recordUpdates returns the updates that bring another catalog to the same facts about a server.
func (c *Catalog) recordUpdates(r *record, now time.Time) []Update {
	base := Update{Server: r.server, Observer: c.options.Node, Operator: r.facts.operator}
	if len(r.facts.instances) == 0 && base.Operator.Sequence > 0 {
		return []Update{base}
	}
	updates := make([]Update, 0, len(r.facts.instances))
	for _, instance := range r.facts.instances {
		update := base
		update.Instance = instance.instanceAt(now)
		updates = append(updates, update)
	}
	return updates
}

// sortedRecords returns all records, sorted by server ID.
func (c *Catalog) sortedRecords() []*record {
	var sorted []*record
	c.records.Range(func(_, value any) bool {
		sorted = append(sorted, value.(*record))
		return true
	})
	slices.SortFunc(sorted, func(a, b *record) int {
		if a.server < b.server {
			return -1
		}
		return 1
	})
	return sorted
}
