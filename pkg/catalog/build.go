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
	// buildCostFactor bounds the share of time spent on building one view: after a
	// build that took t, the next one waits for buildCostFactor times t.
	buildCostFactor = 20
	// warmUpSteps is the number of steps in which a weight grows.
	warmUpSteps = 20
)

// serviceState is one service with its current view.
type serviceState struct {
	service target.Service
	// members and sorted are guarded by the catalog's mutex. sorted holds the
	// members by server; nil if it is to be made anew.
	members map[target.ServerID]*record
	sorted  []*record
	// dirty is set when the view is out of date.
	dirty atomic.Bool
	built atomic.Pointer[builtView]
}

// builtView is a view with when to build the next one.
type builtView struct {
	view *View
	// notBefore is the earliest time of the next build after a change, and
	// changesAt the time at which the view changes by itself; zero for never.
	notBefore time.Time
	changesAt time.Time
}

func (b *builtView) current(dirty bool, now time.Time) bool {
	if !b.changesAt.IsZero() && !now.Before(b.changesAt) {
		return false
	}
	return !dirty || now.Before(b.notBefore)
}

// View implements Source. A view is built when it is asked for and something
// changed since the last one. Building takes at most a twentieth of the time,
// so that under many changes a view may be older by twenty times what it takes
// to build it.
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

// build makes the view of a service, under the mutex.
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

// sortedMembers returns the records of a service by server.
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

// changes takes the time at which one server of the view changes by itself.
func (b *builtView) noteChangeAt(at time.Time) {
	if at.IsZero() {
		return
	}
	if b.changesAt.IsZero() || at.Before(b.changesAt) {
		b.changesAt = at
	}
}

// nextChange returns when the state or weight of a server changes by itself.
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

// suspected reports whether only recent answers keep a server from ejection.
func (c *Catalog) suspected(r *record) bool {
	return r.ejectionCause(r.lastAnswer.Add(c.options.AnswerFreshness), &c.options) != CauseNone
}

// buildServer returns the server's entry, the one of the last view if nothing
// changed.
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

// sameIndexes reports whether both are one and the same slice. Contents are
// immutable, so that another slice means other contents.
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

// baseState returns the state of a server without regard to ejection.
func (c *Catalog) baseState(r *record, now time.Time) (State, Cause) {
	if r.gone(now, &c.options) {
		return Gone, CauseUnlisted
	}
	if cause := r.leavingCause(); cause != CauseNone {
		return Leaving, cause
	}
	return Active, CauseNone
}

// compareCandidates orders the servers to eject: dead ones first, then those
// that are ejected already, so that the choice does not flap.
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

// ejectionFloor counts the replicas of each part and how many of them are
// ejected. At most half of them may be, and never the last one.
type ejectionFloor struct {
	parts map[backend.Shard]*partCount
}

type partCount struct {
	replicas int
	ejected  int
}

// newEjectionFloor counts the replicas, among the active members, of the parts
// that candidates hold.
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

// eject reports whether a server may be ejected, and counts it if so.
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

// parts returns the parts of the newest version that a server holds, or its
// group as a whole if its contents are unknown.
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
