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
// View, ReportHints and ReportResult are on the path of every sub-request and
// take no lock unless something changed.
type Catalog struct {
	options Options
	// records maps target.ServerID to *record. It is written under mutex.
	records sync.Map
	// services is replaced as a whole, under mutex.
	services atomic.Pointer[map[target.Service]*serviceState]
	// membership counts the changes of the set of servers.
	membership atomic.Uint64

	// mutex guards the records' fields, the fields below and the building of
	// views.
	mutex sync.Mutex
	// listed is the length of the last whole machine list.
	listedCount int
	// pending counts the records of servers that the machine list never named.
	pending int
	// watched are the records that Refresh looks at: those with recent results
	// and those that are missing from the machine list.
	watched map[*record]struct{}
	// wanted are the records with a wish for one probe.
	probeRequests map[*record]struct{}
	// bases maps VersionChange.Base to the record of the server.
	bases map[uint64]*record
	// unresolved are the changes of versions whose base is not known yet.
	unresolved unresolvedChanges
	// probeWakeup wakes the probe loop for probes that are wanted at once.
	probeWakeup chan struct{}
}

var _ Source = (*Catalog)(nil)

// maxPending bounds the records of servers that only peers have told of.
const maxPending = 4096

// ErrUnknownServer means that the catalog has no such server.
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

// mutation is one change of the catalog, under its mutex.
type mutation struct {
	now     time.Time
	updates []Update
}

// tell adds news about a server to what is sent when the change is done.
func (c *Catalog) queueUpdate(m *mutation, r *record, kind UpdateKind, instance *instanceFacts) {
	update := Update{Server: r.server, Kind: kind, Observer: c.options.Node, Operator: r.facts.operator}
	if instance != nil {
		update.Instance = instance.instanceAt(m.now)
	}
	m.updates = append(m.updates, update)
}

// change runs a change under the mutex and sends its news afterwards.
func (c *Catalog) mutate(run func(m *mutation)) {
	m := &mutation{now: c.options.Now()}
	c.mutex.Lock()
	run(m)
	c.mutex.Unlock()
	for _, update := range m.updates {
		c.options.Logger.Debug("news of back end", "server", update.Server, "kind", update.Kind.String(),
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

// touched marks the view of a server's service for rebuilding.
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

// noteServerDrain takes a server's own word that it is leaving. Without an
// instance it is taken for the word of the current one.
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

// requestVersionProbe asks for one probe of a server that said that it has a newer index
// version, unless news of it comes first.
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

// ReportResult implements Source. A refusal for draining counts as a drain only
// for servers that do not name their instance in hints: otherwise ReportHints,
// which is to be called for refusals too, says which instance drains, while a
// refusal that is reported late could be taken for one of the next instance. A
// refusal that contradicts what is known of the server's contents has it probed
// at once.
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

// watch has Refresh look at a server.
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

// failed counts a failed sub-request and ejects the server if it is one too
// many.
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

// Drain sets or takes back the operators' wish that a server gets no new work.
// It stands until it is taken back, also over restarts of the server.
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

// Apply takes news from a peer. It returns those that taught something, for
// the relay to pass on; news that is known already must not be passed on.
func (c *Catalog) Apply(batch ...Update) []Update {
	var learnt []Update
	c.mutate(func(m *mutation) {
		for index := range batch {
			if c.apply(m, &batch[index]) {
				learnt = append(learnt, batch[index])
			}
		}
	})
	return learnt
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
		c.refuted(m, r)
	}
	return true
}

// refuted delays this node's next announcement that a server is dead, since
// another node reaches it.
func (c *Catalog) refuted(m *mutation, r *record) {
	if r.probe.failures < c.options.ProbeFailures {
		return
	}
	const maxDoublings = 6
	r.probe.refutations = min(r.probe.refutations+1, maxDoublings)
	r.probe.announceAfter = m.now.Add(c.options.DeadAnnouncementBackoff << r.probe.refutations)
}

// settle brings a record in line after its facts changed.
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
	r.clearIfContentsChanged()
	c.markDirty(r)
	c.updateBases(m, r)
}

// addPending makes the record of a server that the machine list has not named
// yet, or returns nil if there are too many of them.
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

// Snapshot returns everything that is known of the servers that the machine
// list names, for a peer that starts or was cut off.
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

// recordUpdates returns the news that make another catalog know what this one
// knows of a server.
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

// sortedRecords returns all records by server.
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
