package catalog

import (
	"maps"
	"math"
	"time"

	"github.com/bramblemast/bramblemast/pkg/machinelist"
	"github.com/bramblemast/bramblemast/pkg/rendezvous"
	"github.com/bramblemast/bramblemast/pkg/target"
)

// First probes of new servers are spread over discoverySpread for each server of the machine list,
// at most over maxDiscoverySpread.
const (
	discoverySpread    = time.Millisecond
	maxDiscoverySpread = 2 * time.Second
)

// ReplaceMachines applies a complete machine list. A server that is missing from it is kept for a
// while; see Options.UnlistedSilentTimeout.
func (c *Catalog) ReplaceMachines(list machinelist.List) {
	c.mutate(func(m *mutation) {
		c.listedCount = len(list)
		spread := c.discoverySpread()
		present := make(map[target.ServerID]struct{}, len(list))
		for _, entry := range list {
			present[entry.Server] = struct{}{}
			c.applyEntry(m, entry, spread)
		}
		c.records.Range(func(_, value any) bool {
			r := value.(*record)
			if _, listed := present[r.server]; !listed && r.listing.listed {
				c.markUnlisted(m, r)
			}
			return true
		})
	})
}

// ApplyMachines applies the difference from the last machine list: entries that are new or changed,
// and servers that were removed.
func (c *Catalog) ApplyMachines(changed machinelist.List, removed []target.ServerID) {
	c.mutate(func(m *mutation) {
		spread := c.discoverySpread()
		for _, entry := range changed {
			c.applyEntry(m, entry, spread)
		}
		for _, server := range removed {
			if r := c.find(server); r != nil && r.listing.listed {
				c.markUnlisted(m, r)
			}
		}
	})
}

// discoverySpread returns the time over which first probes are spread.
func (c *Catalog) discoverySpread() time.Duration {
	return min(time.Duration(c.listedCount)*discoverySpread, maxDiscoverySpread)
}

// applyEntry applies one entry of the machine list.
func (c *Catalog) applyEntry(m *mutation, entry machinelist.Entry, spread time.Duration) {
	r := c.find(entry.Server)
	if r == nil {
		r = newRecord(entry.Server)
		c.records.Store(entry.Server, r)
	} else if !r.listing.everListed {
		c.pending--
	}
	if r.listing.listed && r.listing.Entry == entry {
		return
	}
	c.joinService(r, entry.Service)
	r.listing.applyState(entry.State, m.now)
	r.listing.Entry = entry
	r.listing.everListed = true
	r.listing.listed = true
	if r.listing.awaitsProbe || r.facts.current() == nil {
		c.requestFirstProbe(m, r, spread)
	}
	c.markDirty(r)
	c.membership.Add(1)
}

// requestFirstProbe requests a probe by this node, because an update from a peer may never arrive.
// The delay depends on node and server, so that the nodes of a zone do not all probe a new server
// at the same time and an update can arrive first. Servers of other regions are left to their
// assigned probers.
func (c *Catalog) requestFirstProbe(m *mutation, r *record, spread time.Duration) {
	if r.listing.distance(c.options.Zone, c.options.Region) > distanceRegion {
		return
	}
	share := rendezvous.Score(string(c.options.Node), string(r.server))
	delay := time.Duration(float64(spread) * (float64(share) / math.MaxUint64))
	c.requestProbeAt(r, m.now.Add(delay))
}

// applyState reacts to a change of the listed state. A repeated state is no new information,
// because the list lags.
func (l *listing) applyState(state machinelist.State, now time.Time) {
	if state == l.State {
		return
	}
	switch {
	case state == machinelist.Leaving:
		l.leaving = true
		l.awaitsProbe = false
	case l.leaving:
		l.leaving = false
		l.awaitsProbe = true
		l.retractedAt = now
	}
}

func (c *Catalog) markUnlisted(m *mutation, r *record) {
	r.listing.listed = false
	r.listing.unlistedSince = m.now
	c.watchLocked(r)
	c.markDirty(r)
}

// joinService adds a server to the view of its service.
func (c *Catalog) joinService(r *record, service target.Service) {
	if r.listing.everListed && r.listing.Service == service {
		return
	}
	c.leaveService(r)
	services := *c.services.Load()
	state := services[service]
	if state == nil {
		state = &serviceState{service: service, members: make(map[target.ServerID]*record)}
		services = maps.Clone(services)
		services[service] = state
		c.services.Store(&services)
	}
	state.members[r.server] = r
	state.sorted = nil
	state.dirty.Store(true)
}

// leaveService removes a server from the view of its service.
func (c *Catalog) leaveService(r *record) {
	state := (*c.services.Load())[r.listing.Service]
	if state == nil {
		return
	}
	delete(state.members, r.server)
	state.sorted = nil
	state.dirty.Store(true)
}

// Refresh applies changes that depend only on time: it evaluates recent results and forgets servers
// that are gone. It examines only servers with recent results and those that are missing from the
// machine list. ProbeLoop calls it about twice a second.
func (c *Catalog) Refresh() {
	c.mutate(func(m *mutation) {
		for r := range c.watched {
			c.refreshResults(m, r)
			c.refreshListing(m, r)
			if r.listing.listed && r.outlier.idle() {
				delete(c.watched, r)
				r.results.watched.Store(false)
			}
		}
	})
}

func (c *Catalog) refreshResults(m *mutation, r *record) {
	if r.outlier.roll(&r.results) > 0 {
		if !r.answeredRecently(m.now, &c.options) {
			c.markDirty(r)
		}
		r.lastAnswer = m.now
	}
	if r.outlier.exceedsFailureShare(&c.options) {
		c.eject(m, r)
	}
	r.outlier.expireEjections(m.now, &c.options)
	const notableLoad = 0.1
	if load := r.results.getLoad(); load > r.builtLoad+notableLoad || load < r.builtLoad-notableLoad {
		c.markDirty(r)
	}
}

func (c *Catalog) refreshListing(m *mutation, r *record) {
	if r.listing.listed {
		return
	}
	if r.state != Gone && r.gone(m.now, &c.options) {
		c.markDirty(r)
		c.membership.Add(1)
	}
	if m.now.Sub(r.listing.unlistedSince) >= c.options.UnlistedTimeout+c.options.Retention {
		c.forget(r)
	}
}

// forget deletes the record of a server that is gone.
func (c *Catalog) forget(r *record) {
	c.leaveService(r)
	c.records.Delete(r.server)
	delete(c.watched, r)
	delete(c.probeRequests, r)
	c.removeBases(r)
	if !r.listing.everListed {
		c.pending--
	}
	c.membership.Add(1)
}
