package catalog

import (
	"time"

	"github.com/bramblemast/bramblemast/pkg/backend"
	"github.com/bramblemast/bramblemast/pkg/target"
)

// ReportProbe records the result of a probe that was sent at sentAt: a status, or the error if
// there is none.
func (c *Catalog) ReportProbe(server target.ServerID, sentAt time.Time, status *backend.Status, err error) {
	c.reportProbe(server, sentAt, status, err, true)
}

// reportProbe implements ReportProbe. Changed contents are announced to peers if announceContents
// is set; otherwise that is left to the server's regular probers.
func (c *Catalog) reportProbe(
	server target.ServerID, sentAt time.Time, status *backend.Status, err error, announceContents bool,
) {
	r := c.find(server)
	if r == nil {
		return
	}
	if err == nil {
		err = checkStatus(status)
	}
	c.mutate(func(m *mutation) {
		if err != nil {
			c.probeFailed(m, r, err)
		} else {
			c.probeAnswered(m, r, sentAt, status, announceContents)
		}
		r.staleProbeDone(sentAt)
	})
}

// probeFailed counts a failed probe. After Options.ProbeFailures consecutive failures this node
// suspects the server, and announces it as dead unless it still answers sub-requests or
// probeRecord.announceAfter has not been reached.
func (c *Catalog) probeFailed(m *mutation, r *record, cause error) {
	r.probe.failures++
	if r.probe.failures < c.options.ProbeFailures {
		return
	}
	if r.probe.failures == c.options.ProbeFailures {
		c.options.Logger.Info("back end does not answer probes", "server", r.server, "error", cause)
		c.markDirty(r)
	}
	current := r.facts.current()
	if current == nil || current.dead() || r.answeredRecently(m.now, &c.options) || m.now.Before(r.probe.announceAfter) {
		return
	}
	current.Liveness++
	c.markDirty(r)
	c.queueUpdate(m, r, KindDead, current.withoutContents())
}

// probeAnswered resets the failure count and merges the status. The status is ignored if the
// instance changed after the probe was sent.
func (c *Catalog) probeAnswered(m *mutation, r *record, sentAt time.Time, status *backend.Status, announceContents bool) {
	if r.probe.failures >= c.options.ProbeFailures {
		c.markDirty(r)
	}
	r.probe.failures = 0
	r.probe.refutations = 0
	r.probe.announceAfter = time.Time{}
	if sentAt.Before(r.instanceSince) {
		return
	}
	previous := r.facts.current()
	previousID, previousBase := "", uint64(0)
	if previous != nil {
		previousID, previousBase = previous.ID, previous.changeBase(r.server)
	}
	kind, changed := c.observe(m, r, status)
	r.probe.lastOK = m.now
	if r.listing.awaitsProbe && !status.Draining && !sentAt.Before(r.listing.retractedAt) {
		r.listing.awaitsProbe = false
		c.markDirty(r)
	}
	if !changed {
		return
	}
	c.factsChanged(m, r, previousID)
	if kind == KindContents && !announceContents {
		return
	}
	c.queueUpdate(m, r, kind, r.facts.current())
	if kind == KindContents {
		m.updates[len(m.updates)-1].setVersionChange(previousBase, r.facts.current().changeBase(r.server))
	}
}

// observe merges a status into the facts. It returns the kind of change and whether there was one.
func (c *Catalog) observe(m *mutation, r *record, status *backend.Status) (UpdateKind, bool) {
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
			instance.startedAt = c.startTimeOf(m, r, previous, status.Uptime)
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

// startTimeOf returns the start time of a process. A process that replaces another cannot have
// started before the last successful probe of that one, whatever uptime it reports.
func (c *Catalog) startTimeOf(m *mutation, r *record, previous *instanceFacts, uptime time.Duration) time.Time {
	started := m.now.Add(-uptime)
	if previous != nil && started.Before(r.probe.lastOK) {
		return r.probe.lastOK
	}
	return started
}

// probeScope returns the servers that the nodes of this zone probe: those of their own zone and
// region, and remote ones only for a group that has no server there.
func (c *Catalog) probeScope() []target.ServerID {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := c.options.Now()
	var scope []target.ServerID
	for _, state := range *c.services.Load() {
		nearest := c.nearestByGroup(state)
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

// nearestByGroup returns, for each group of a service, the minimum distance of its servers.
func (c *Catalog) nearestByGroup(state *serviceState) map[string]int {
	nearest := make(map[string]int)
	for _, r := range state.members {
		distance := r.listing.distance(c.options.Zone, c.options.Region)
		if known, ok := nearest[r.listing.Group]; !ok || distance < known {
			nearest[r.listing.Group] = distance
		}
	}
	return nearest
}

// requestedProbe is a single probe that is due now.
type requestedProbe struct {
	server target.ServerID
	// suspectedStale is set if the contents are suspected to be stale. The server is then probed
	// immediately even if this node is one of its regular probers.
	suspectedStale bool
}

// takeRequestedProbes removes and returns the requested probes that are due. Servers whose need has
// been met in the meantime are left out.
func (c *Catalog) takeRequestedProbes() []requestedProbe {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := c.options.Now()
	var due []requestedProbe
	for r := range c.probeRequests {
		if now.Before(r.probe.requestedAt) {
			continue
		}
		r.probe.requestedAt = time.Time{}
		delete(c.probeRequests, r)
		if r.staleness.suspected {
			r.staleProbeStarted(now)
		}
		if r.needsProbe() {
			due = append(due, requestedProbe{server: r.server, suspectedStale: r.staleness.suspected})
		}
	}
	return due
}

// requestProbeAgain repeats the request for a probe that could not be sent.
func (c *Catalog) requestProbeAgain(probe requestedProbe, at time.Time) {
	r := c.find(probe.server)
	if r == nil {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.requestProbeAt(r, at)
}

// needsProbe reports whether a probe would still provide information that is missing.
func (r *record) needsProbe() bool {
	current := r.facts.current()
	if current == nil || current.Contents == nil || r.listing.awaitsProbe || r.staleness.suspected {
		return true
	}
	return current.Contents.newestVersion() < r.results.newestVersion()
}
