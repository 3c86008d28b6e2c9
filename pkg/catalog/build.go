package catalog

import (
	"cmp"
	"slices"
	"sync/atomic"
	"time"

	"github.com/bramblemast/bramblemast/pkg/backend"
	"github.com/bramblemast/bramblemast/pkg/target"
)

const (
	// buildCostFactor limits the share of time spent on building views: after a build that took t,
	// the next one waits for buildCostFactor times t.
	buildCostFactor = 20
	// warmUpSteps is the number of steps in which a weight grows during warm-up.
	warmUpSteps = 20
)

// serviceState is one service and its current view.
type serviceState struct {
	service target.Service
	// members and sorted are guarded by the catalog's mutex. sorted holds the members sorted by
	// server ID; it is nil when it has to be rebuilt.
	members map[target.ServerID]*record
	sorted  []*record
	// dirty is set when the view is out of date.
	dirty atomic.Bool
	built atomic.Pointer[builtView]
}

// builtView is a view and the times that decide when the next one is built.
type builtView struct {
	view *View
	// notBefore is the earliest time of the next build after a change. changesAt is the time at
	// which the view changes without an external event, such as the end of an ejection; zero for
	// never.
	notBefore time.Time
	changesAt time.Time
}

func (b *builtView) current(dirty bool, now time.Time) bool {
	if !b.changesAt.IsZero() && !now.Before(b.changesAt) {
		return false
	}
	return !dirty || now.Before(b.notBefore)
}

// View implements Source. A view is built on demand if something changed since the last one.
// Building takes at most a twentieth of the time (see buildCostFactor), so under frequent changes a
// view can be out of date by twenty times its build time.
func (c *Catalog) View(service target.Service) *View {
	state := (*c.services.Load())[service]
	if state == nil {
		return nil
	}
	now := c.options.Now()
	if built := state.built.Load(); built != nil && built.current(state.dirty.Load(), now) {
		return built.view
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if built := state.built.Load(); built != nil && built.current(state.dirty.Load(), now) {
		return built.view
	}
	return c.build(state, now).view
}

// Services returns the names of the known services, sorted.
func (c *Catalog) Services() []target.Service {
	services := *c.services.Load()
	names := make([]target.Service, 0, len(services))
	for name := range services {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// build builds the view of a service. The caller holds the mutex.
func (c *Catalog) build(state *serviceState, now time.Time) *builtView {
	state.dirty.Store(false)
	members := state.sortedMembers()
	c.decideStates(members, now)
	view := &View{Service: state.service, Servers: make([]*Server, 0, len(members))}
	built := &builtView{view: view}
	for _, r := range members {
		if r.state == Gone {
			r.built = nil
			continue
		}
		view.Servers = append(view.Servers, c.buildServer(r, now))
		built.noteChangeAt(c.nextChange(r, now))
	}
	cost := c.options.Now().Sub(now)
	built.notBefore = now.Add(cost * buildCostFactor)
	state.built.Store(built)
	return built
}

// sortedMembers returns the records of a service, sorted by server ID.
func (s *serviceState) sortedMembers() []*record {
	if s.sorted != nil {
		return s.sorted
	}
	s.sorted = make([]*record, 0, len(s.members))
	for _, r := range s.members {
		s.sorted = append(s.sorted, r)
	}
	slices.SortFunc(s.sorted, func(a, b *record) int { return cmp.Compare(a.server, b.server) })
	return s.sorted
}

// noteChangeAt lowers changesAt to the time at which one server of the view changes without an
// external event. Zero is ignored.
func (b *builtView) noteChangeAt(at time.Time) {
	if at.IsZero() {
		return
	}
	if b.changesAt.IsZero() || at.Before(b.changesAt) {
		b.changesAt = at
	}
}

// nextChange returns when the state or weight of a server changes without an external event; zero
// for never.
func (c *Catalog) nextChange(r *record, now time.Time) time.Time {
	var next builtView
	if r.outlier.ejected(now) {
		next.noteChangeAt(r.outlier.until)
	}
	if r.weight(now, c.options.WarmUp) < 1 {
		next.noteChangeAt(now.Add(c.options.WarmUp / warmUpSteps))
	}
	if r.answeredRecently(now, &c.options) && c.suspected(r) {
		next.noteChangeAt(r.lastAnswer.Add(c.options.AnswerFreshness))
	}
	return next.changesAt
}

// suspected reports whether only recent answers protect the server from ejection.
func (c *Catalog) suspected(r *record) bool {
	return r.ejectionCause(r.lastAnswer.Add(c.options.AnswerFreshness), &c.options) != CauseNone
}

// buildServer returns the view's entry for a server. It reuses the entry of the last view if
// nothing changed.
func (c *Catalog) buildServer(r *record, now time.Time) *Server {
	r.builtLoad = r.results.getLoad()
	server := Server{
		ID:           r.server,
		Service:      r.listing.Service,
		Group:        r.listing.Group,
		Zone:         r.listing.Zone,
		ZoneDistance: r.listing.distance(c.options.Zone, c.options.Region),
		State:        r.state,
		Weight:       r.weight(now, c.options.WarmUp),
		ReportedLoad: r.builtLoad,
	}
	if current := r.facts.current(); current != nil && current.Contents != nil {
		server.Slots = current.Contents.Slots
		server.Connections = current.Contents.Connections
		server.Indexes = current.Contents.Indexes
	}
	if r.built == nil || !r.built.equal(&server) {
		changed := server
		r.built = &changed
	}
	return r.built
}

func (s *Server) equal(other *Server) bool {
	return s.ID == other.ID && s.Service == other.Service && s.Group == other.Group &&
		s.Zone == other.Zone && s.ZoneDistance == other.ZoneDistance && s.State == other.State &&
		s.Weight == other.Weight && s.Slots == other.Slots && s.Connections == other.Connections &&
		s.ReportedLoad == other.ReportedLoad && sameIndexes(s.Indexes, other.Indexes)
}

// sameIndexes reports whether both are the same slice. Contents are immutable, so a different slice
// means different contents.
func sameIndexes(a, b []backend.Index) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// decideStates sets the state of each server of a service.
func (c *Catalog) decideStates(members []*record, now time.Time) {
	var candidates []*record
	for _, r := range members {
		wasEjected := r.state == Ejected
		r.state, r.cause = c.baseState(r, now)
		if r.state != Active {
			continue
		}
		if cause := r.ejectionCause(now, &c.options); cause != CauseNone {
			r.cause = cause
			r.outlier.wasEjected = wasEjected
			candidates = append(candidates, r)
		}
	}
	if len(candidates) == 0 {
		return
	}
	floor := newEjectionFloor(candidates, members)
	slices.SortStableFunc(candidates, compareCandidates)
	for _, r := range candidates {
		if floor.eject(r) {
			r.state = Ejected
		}
	}
}

// baseState returns the state of a server before ejection is considered.
func (c *Catalog) baseState(r *record, now time.Time) (State, Cause) {
	if r.gone(now, &c.options) {
		return Gone, CauseUnlisted
	}
	if cause := r.leavingCause(); cause != CauseNone {
		return Leaving, cause
	}
	return Active, CauseNone
}

// compareCandidates orders the candidates for ejection: dead servers first, then servers that are
// already ejected, so that the choice does not flap.
func compareCandidates(a, b *record) int {
	rank := func(r *record) int {
		switch {
		case r.cause == CauseDead:
			return 0
		case r.outlier.wasEjected:
			return 1
		}
		return 2
	}
	return cmp.Compare(rank(a), rank(b))
}

// ejectionFloor counts the replicas of each part and how many of them are ejected. At most half of
// the replicas of a part are ejected, so the last one never is.
type ejectionFloor struct {
	parts map[backend.Shard]*partCount
}

type partCount struct {
	replicas int
	ejected  int
}

// newEjectionFloor counts the active replicas of the parts that the candidates hold.
func newEjectionFloor(candidates, members []*record) *ejectionFloor {
	floor := &ejectionFloor{parts: make(map[backend.Shard]*partCount)}
	for _, r := range candidates {
		for _, part := range r.parts() {
			floor.parts[part] = &partCount{}
		}
	}
	for _, r := range members {
		if r.state == Active {
			floor.count(r)
		}
	}
	return floor
}

func (f *ejectionFloor) count(r *record) {
	for _, part := range r.parts() {
		if count := f.parts[part]; count != nil {
			count.replicas++
		}
	}
}

// eject reports whether a server may be ejected without violating the floor, and if so counts it as
// ejected.
func (f *ejectionFloor) eject(r *record) bool {
	parts := r.parts()
	for _, part := range parts {
		count := f.parts[part]
		if 2*(count.ejected+1) > count.replicas {
			return false
		}
	}
	for _, part := range parts {
		f.parts[part].ejected++
	}
	return true
}

// parts returns the parts of the newest version that a server holds. If its contents are unknown,
// its whole group counts as one part.
func (r *record) parts() []backend.Shard {
	current := r.facts.current()
	if current != nil && current.Contents != nil {
		newest := current.Contents.newestVersion()
		for _, index := range current.Contents.Indexes {
			if index.Version == newest && len(index.Shards) > 0 {
				return index.Shards
			}
		}
	}
	return []backend.Shard{{Group: r.listing.Group}}
}
