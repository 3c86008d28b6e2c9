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
	listed int
	// pending counts the records of servers that the machine list never named.
	pending int
	// watched are the records that Refresh looks at: those with recent results
	// and those that are missing from the machine list.
	watched map[*record]struct{}
	// wanted are the records with a wish for one probe.
	wanted map[*record]struct{}
	// bases maps VersionChange.Base to the record of the server.
	bases map[uint64]*record
	// unresolved are the changes of versions whose base is not known yet.
	unresolved unresolvedChanges
	// probesWanted wakes the probe loop for probes that are wanted at once.
	probesWanted chan struct{}
}

var _ Source = (*Catalog)(nil)

// maxPending bounds the records of servers that only peers have told of.
const maxPending = 4096

// ErrUnknownServer means that the catalog has no such server.
var ErrUnknownServer = errors.New("unknown server")

// New returns an empty catalog.
func New(options Options) *Catalog {
	created := &Catalog{
		options:      options.withDefaults(),
		watched:      make(map[*record]struct{}),
		wanted:       make(map[*record]struct{}),
		bases:        make(map[uint64]*record),
		unresolved:   make(unresolvedChanges),
		probesWanted: make(chan struct{}, 1),
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
func (c *Catalog) tell(u *mutation, r *record, kind UpdateKind, instance *instanceFacts) {
	news := Update{Server: r.server, Kind: kind, Observer: c.options.Node, Operator: r.facts.operator}
	if instance != nil {
		news.Instance = instance.instanceAt(u.now)
	}
	u.updates = append(u.updates, news)
}

// change runs a change under the mutex and sends its news afterwards.
func (c *Catalog) change(run func(u *mutation)) {
	u := &mutation{now: c.options.Now()}
	c.mutex.Lock()
	run(u)
	c.mutex.Unlock()
	for _, news := range u.updates {
		c.options.Logger.Debug("news of back end", "server", news.Server, "kind", news.Kind.String(),
			"instance", news.Instance.ID, "generation", news.Instance.Generation)
		c.options.OnUpdate(news)
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
func (c *Catalog) touched(r *record) {
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
		r.results.noteNamed()
	}
	if hints.Draining {
		c.serverDrains(r, hints.Instance)
	}
	if hints.NewestVersion > 0 && hints.NewestVersion > r.results.newestVersion() {
		c.wantProbe(r, hints.NewestVersion)
	}
}

// serverDrains takes a server's own word that it is leaving. Without an
// instance it is taken for the word of the current one.
func (c *Catalog) serverDrains(r *record, instance string) {
	if r.results.knownDraining(instance) {
		return
	}
	c.change(func(u *mutation) {
		current := r.facts.current()
		switch {
		case instance == "" && current == nil:
			r.drainUnattributed = true
			c.touched(r)
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
		r.results.noteDraining(instance)
		c.touched(r)
		c.tell(u, r, KindDraining, known.withoutContents())
	})
}

// wantProbe asks for one probe of a server that said that it has a newer index
// version, unless news of it comes first.
func (c *Catalog) wantProbe(r *record, newest target.Version) {
	const wait = 1500 * time.Millisecond
	c.change(func(u *mutation) {
		current := r.facts.current()
		if current != nil && current.Contents.newestVersion() >= newest {
			return
		}
		r.results.noteVersion(newest)
		if r.probe.wantedAt.IsZero() {
			c.wantProbeAt(r, u.now.Add(wait))
		}
	})
}

func (c *Catalog) wantProbeAt(r *record, at time.Time) {
	r.probe.wantedAt = at
	c.wanted[r] = struct{}{}
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
		if !r.results.named() {
			c.serverDrains(r, "")
		}
	case contradictsContents(reason):
		c.doubtContents(r)
	case countsAsFailure(err):
		c.failed(r)
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
func (c *Catalog) failed(r *record) {
	c.watch(r)
	if r.results.failure() < c.options.ConsecutiveFailures {
		return
	}
	c.change(func(u *mutation) { c.eject(u, r) })
}

func (c *Catalog) eject(u *mutation, r *record) {
	if r.outlier.ejected(u.now) {
		return
	}
	r.outlier.eject(u.now, &c.options)
	r.results.resetConsecutive()
	c.touched(r)
	c.options.Logger.Info("back end ejected", "server", r.server, "until", r.outlier.until)
}

// Drain sets or takes back the operators' wish that a server gets no new work.
// It stands until it is taken back, also over restarts of the server.
func (c *Catalog) Drain(server target.ServerID, drained bool, author string) error {
	r := c.find(server)
	if r == nil {
		return errors.Wrap(ErrUnknownServer, string(server))
	}
	c.change(func(u *mutation) {
		r.facts.operator = OperatorMark{
			Sequence: r.facts.operator.Sequence + 1,
			Drained:  drained,
			Author:   author,
		}
		c.touched(r)
		c.tell(u, r, KindOperator, nil)
	})
	return nil
}

// Apply takes news from a peer. It returns those that taught something, for
// the relay to pass on; news that is known already must not be passed on.
func (c *Catalog) Apply(batch ...Update) []Update {
	var learnt []Update
	c.change(func(u *mutation) {
		for index := range batch {
			if c.apply(u, &batch[index]) {
				learnt = append(learnt, batch[index])
			}
		}
	})
	return learnt
}

func (c *Catalog) apply(u *mutation, news *Update) bool {
	if news.Server == "" {
		return c.applyChange(u, news)
	}
	r := c.find(news.Server)
	if r == nil {
		if r = c.addPending(u, news.Server); r == nil {
			return false
		}
	}
	previous := r.facts.current()
	previousID, wasDead := "", false
	if previous != nil {
		previousID, wasDead = previous.ID, previous.dead()
	}
	if !r.facts.merge(news, u.now) {
		return false
	}
	c.settle(u, r, previousID)
	if current := r.facts.current(); wasDead && current.ID == previousID && !current.dead() {
		c.refuted(u, r)
	}
	return true
}

// refuted delays this node's next announcement that a server is dead, since
// another node reaches it.
func (c *Catalog) refuted(u *mutation, r *record) {
	if r.probe.failures < c.options.ProbeFailures {
		return
	}
	const maxDoublings = 6
	r.probe.announced = min(r.probe.announced+1, maxDoublings)
	r.probe.announceAfter = u.now.Add(c.options.DeadAnnouncementBackoff << r.probe.announced)
}

// settle brings a record in line after its facts changed.
func (c *Catalog) settle(u *mutation, r *record, previousID string) {
	current := r.facts.current()
	if current != nil && current.ID != previousID {
		unattributed := r.drainUnattributed
		r.instanceChanged(previousID, u.now)
		if unattributed && previousID == "" {
			c.tell(u, r, KindDraining, current)
		}
	}
	r.results.noteFacts(current)
	r.doubtResolved()
	c.touched(r)
	c.noteBases(u, r)
}

// addPending makes the record of a server that the machine list has not named
// yet, or returns nil if there are too many of them.
func (c *Catalog) addPending(u *mutation, server target.ServerID) *record {
	if c.pending >= maxPending {
		return nil
	}
	c.pending++
	r := newRecord(server)
	r.listing.unlistedSince = u.now
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
			all = append(all, c.recordNews(r, now)...)
		}
	}
	return all
}

// recordNews returns the news that make another catalog know what this one
// knows of a server.
func (c *Catalog) recordNews(r *record, now time.Time) []Update {
	base := Update{Server: r.server, Observer: c.options.Node, Operator: r.facts.operator}
	if len(r.facts.instances) == 0 && base.Operator.Sequence > 0 {
		return []Update{base}
	}
	told := make([]Update, 0, len(r.facts.instances))
	for _, instance := range r.facts.instances {
		news := base
		news.Instance = instance.instanceAt(now)
		told = append(told, news)
	}
	return told
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
