package catalog

import (
	"time"

	"github.com/bramblemast/bramblemast/pkg/backend"
	"github.com/bramblemast/bramblemast/pkg/target"
)

// ReportProbe takes the result of a probe that was sent at sentAt: a status, or
// the error why there is none.
func (c *Catalog) ReportProbe(server target.ServerID, sentAt time.Time, status *backend.Status, err error) {
	c.reportProbe(server, sentAt, status, err, true)
}

// reportProbe is ReportProbe. Other contents are told to peers if tellContents
// is set, and else left to the server's regular probers.
func (c *Catalog) reportProbe(
	server target.ServerID, sentAt time.Time, status *backend.Status, err error, tellContents bool,
) {
	r := c.find(server)
	if r == nil {
		return
	}
	if err == nil {
		err = checkStatus(status)
	}
	c.change(func(u *mutation) {
		if err != nil {
			c.probeFailed(u, r, err)
		} else {
			c.probeAnswered(u, r, sentAt, status, tellContents)
		}
		r.doubtProbed(sentAt)
	})
}

// probeFailed counts a failed probe. After some in a row the server is
// suspected here, and announced as dead unless it answers sub-requests.
func (c *Catalog) probeFailed(u *mutation, r *record, cause error) {
	r.probe.failures++
	if r.probe.failures < c.options.ProbeFailures {
		return
	}
	if r.probe.failures == c.options.ProbeFailures {
		c.options.Logger.Info("back end does not answer probes", "server", r.server, "error", cause)
		c.touched(r)
	}
	current := r.facts.current()
	if current == nil || current.dead() || r.answeredRecently(u.now, &c.options) || u.now.Before(r.probe.announceAfter) {
		return
	}
	current.Liveness++
	c.touched(r)
	c.tell(u, r, KindDead, current.withoutContents())
}

// probeAnswered takes a status. It is fresh evidence, unless the server was
// replaced while the probe was on its way.
func (c *Catalog) probeAnswered(u *mutation, r *record, sentAt time.Time, status *backend.Status, tellContents bool) {
	if r.probe.failures >= c.options.ProbeFailures {
		c.touched(r)
	}
	r.probe.failures = 0
	r.probe.announced = 0
	r.probe.announceAfter = time.Time{}
	if sentAt.Before(r.instanceSince) {
		return
	}
	previous := r.facts.current()
	previousID, previousBase := "", uint64(0)
	if previous != nil {
		previousID, previousBase = previous.ID, previous.changeBase(r.server)
	}
	kind, changed := c.observe(u, r, status)
	r.probe.lastOK = u.now
	if r.listing.awaitsProbe && !status.Draining && !sentAt.Before(r.listing.retractedAt) {
		r.listing.awaitsProbe = false
		c.touched(r)
	}
	if !changed {
		return
	}
	c.settle(u, r, previousID)
	if kind == KindContents && !tellContents {
		return
	}
	c.tell(u, r, kind, r.facts.current())
	if kind == KindContents {
		u.updates[len(u.updates)-1].noteChange(previousBase, r.facts.current().changeBase(r.server))
	}
}

// observe joins a status with the facts. It returns what changed.
func (c *Catalog) observe(u *mutation, r *record, status *backend.Status) (UpdateKind, bool) {
	previous := r.facts.current()
	kind, changed := KindOther, false
	instance := r.facts.instance(status.Instance)
	if instance != previous {
		instance.Generation = r.facts.nextGeneration()
		kind, changed = KindReturned, true
		if previous == nil {
			kind = KindDiscovered
		}
	}
	if instance.dead() {
		instance.Liveness++
		kind, changed = KindReturned, true
	}
	if contents := newContents(status); !instance.Contents.equal(contents) {
		instance.Revision++
		instance.Contents = contents
		if instance.startedAt.IsZero() {
			instance.startedAt = c.startOf(u, r, previous, status.Uptime)
		}
		if !changed {
			kind = KindContents
		}
		changed = true
	}
	if status.Draining && !instance.Draining {
		instance.Draining = true
		kind, changed = KindDraining, true
	}
	r.facts.prune()
	return kind, changed
}

// startOf returns when a process started. One that takes the place of another
// started after that was last seen, whatever uptime it claims.
func (c *Catalog) startOf(u *mutation, r *record, previous *instanceFacts, uptime time.Duration) time.Time {
	started := u.now.Add(-uptime)
	if previous != nil && started.Before(r.probe.lastOK) {
		return r.probe.lastOK
	}
	return started
}

// probeScope returns the servers that the nodes of this zone probe: those of
// the own zone and region, and farther ones only of a group that has none
// there.
func (c *Catalog) probeScope() []target.ServerID {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := c.options.Now()
	var scope []target.ServerID
	for _, state := range *c.services.Load() {
		nearest := c.nearestOfGroups(state)
		for server, r := range state.members {
			limit := max(nearest[r.listing.Group], distanceRegion)
			near := r.listing.distance(c.options.Zone, c.options.Region) <= limit
			if near && !r.gone(now, &c.options) {
				scope = append(scope, server)
			}
		}
	}
	return scope
}

// nearestOfGroups returns, for each group of a service, the least distance of
// its servers.
func (c *Catalog) nearestOfGroups(state *serviceState) map[string]int {
	nearest := make(map[string]int)
	for _, r := range state.members {
		distance := r.listing.distance(c.options.Zone, c.options.Region)
		if known, ok := nearest[r.listing.Group]; !ok || distance < known {
			nearest[r.listing.Group] = distance
		}
	}
	return nearest
}

// wantedProbe is a server that wants one probe now.
type wantedProbe struct {
	server target.ServerID
	// doubted is set if its contents are doubted, so that its regular probers
	// must not wait for their next probe either.
	doubted bool
}

// takeWanted returns the servers that want one probe by now, and forgets that
// they do. A server whose need was met meanwhile is left out.
func (c *Catalog) takeWanted() []wantedProbe {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := c.options.Now()
	var due []wantedProbe
	for r := range c.wanted {
		if now.Before(r.probe.wantedAt) {
			continue
		}
		r.probe.wantedAt = time.Time{}
		delete(c.wanted, r)
		if r.doubt.active {
			r.doubtProbeStarts(now)
		}
		if r.needsProbe() {
			due = append(due, wantedProbe{server: r.server, doubted: r.doubt.active})
		}
	}
	return due
}

// wantAgain asks once more for a probe that could not be sent.
func (c *Catalog) wantAgain(probe wantedProbe, at time.Time) {
	r := c.find(probe.server)
	if r == nil {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.wantProbeAt(r, at)
}

// needsProbe reports whether a probe would tell something that is asked for.
func (r *record) needsProbe() bool {
	current := r.facts.current()
	if current == nil || current.Contents == nil || r.listing.awaitsProbe || r.doubt.active {
		return true
	}
	return current.Contents.newestVersion() < r.results.newestVersion()
}
