package catalog

import (
	"maps"
	"math"
	"time"

	"github.com/bramblemast/bramblemast/pkg/machinelist"
	"github.com/bramblemast/bramblemast/pkg/rendezvous"
	"github.com/bramblemast/bramblemast/pkg/target"
)

// discoverySpread is the time, for each server of the machine list, over which
// first probes are spread; at most maxDiscoverySpread.
const (
	discoverySpread    = time.Millisecond
	maxDiscoverySpread = 2 * time.Second
)

// ReplaceMachines takes a new reading of the machine list. A server that is
// missing from it is kept for a while; see Options.UnlistedSilentTimeout.
func (c *Catalog) ReplaceMachines(list machinelist.List) {
	c.change(func(u *mutation) {
		c.listed = len(list)
		spread := c.discoverySpread()
		present := make(map[target.ServerID]struct{}, len(list))
		for _, entry := range list {
			present[entry.Server] = struct{}{}
			c.list(u, entry, spread)
		}
		c.records.Range(func(_, value any) bool {
			r := value.(*record)
			if _, listed := present[r.server]; !listed && r.listing.listed {
				c.unlist(u, r)
			}
			return true
		})
	})
}

// ApplyMachines takes what changed since the last reading of the machine list:
// entries that are new or differ, and servers that are missing from it now.
func (c *Catalog) ApplyMachines(changed machinelist.List, removed []target.ServerID) {
	c.change(func(u *mutation) {
		spread := c.discoverySpread()
		for _, entry := range changed {
			c.list(u, entry, spread)
		}
		for _, server := range removed {
			if r := c.find(server); r != nil && r.listing.listed {
				c.unlist(u, r)
			}
		}
	})
}

// discoverySpread returns the time over which first probes are spread.
func (c *Catalog) discoverySpread() time.Duration {
	return min(time.Duration(c.listed)*discoverySpread, maxDiscoverySpread)
}

// list takes one entry of the machine list.
func (c *Catalog) list(u *mutation, entry machinelist.Entry, spread time.Duration) {
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
	c.join(r, entry.Service)
	r.listing.takeState(entry.State, u.now)
	r.listing.Entry = entry
	r.listing.everListed = true
	r.listing.listed = true
	if r.listing.awaitsProbe || r.facts.current() == nil {
		c.wantFirstProbe(u, r, spread)
	}
	c.touched(r)
	c.membership.Add(1)
}

// wantFirstProbe asks for a probe by this node itself, since news may never
// come. The time depends on node and server, so that the nodes of a zone do not
// all probe a new server at once and news can come first. Servers of other
// regions are left to the nodes that are to probe them.
func (c *Catalog) wantFirstProbe(u *mutation, r *record, spread time.Duration) {
	if r.listing.distance(c.options.Zone, c.options.Region) > distanceRegion {
		return
	}
	share := rendezvous.Score(string(c.options.Node), string(r.server))
	delay := time.Duration(float64(spread) * (float64(share) / math.MaxUint64))
	c.wantProbeAt(r, u.now.Add(delay))
}

// takeState looks for a change of what the list says; the same statement again
// says nothing new, since the list lags.
func (l *listing) takeState(state machinelist.State, now time.Time) {
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

func (c *Catalog) unlist(u *mutation, r *record) {
	r.listing.listed = false
	r.listing.unlistedSince = u.now
	c.watchLocked(r)
	c.touched(r)
}

// join puts a server into the view of its service.
func (c *Catalog) join(r *record, service target.Service) {
	if r.listing.everListed && r.listing.Service == service {
		return
	}
	c.leave(r)
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

// leave takes a server out of the view of its service.
func (c *Catalog) leave(r *record) {
	state := (*c.services.Load())[r.listing.Service]
	if state == nil {
		return
	}
	delete(state.members, r.server)
	state.sorted = nil
	state.dirty.Store(true)
}

// Refresh does what depends on time alone: it looks at recent results, and
// forgets servers that are gone. ProbeLoop calls it; it is meant to be called
// about twice a second. It looks only at servers with recent results and at
// those that are missing from the machine list.
func (c *Catalog) Refresh() {
	c.change(func(u *mutation) {
		for r := range c.watched {
			c.refreshResults(u, r)
			c.refreshListing(u, r)
			if r.listing.listed && r.outlier.idle() {
				delete(c.watched, r)
				r.results.watched.Store(false)
			}
		}
	})
}

func (c *Catalog) refreshResults(u *mutation, r *record) {
	if r.outlier.roll(&r.results) > 0 {
		if !r.answeredRecently(u.now, &c.options) {
			c.touched(r)
		}
		r.lastAnswer = u.now
	}
	if r.outlier.failsTooOften(&c.options) {
		c.eject(u, r)
	}
	r.outlier.calm(u.now, &c.options)
	const notableLoad = 0.1
	if load := r.results.getLoad(); load > r.builtLoad+notableLoad || load < r.builtLoad-notableLoad {
		c.touched(r)
	}
}

func (c *Catalog) refreshListing(u *mutation, r *record) {
	if r.listing.listed {
		return
	}
	if r.state != Gone && r.gone(u.now, &c.options) {
		c.touched(r)
		c.membership.Add(1)
	}
	if u.now.Sub(r.listing.unlistedSince) >= c.options.UnlistedTimeout+c.options.Retention {
		c.forget(r)
	}
}

// forget drops the record of a server that is gone.
func (c *Catalog) forget(r *record) {
	c.leave(r)
	c.records.Delete(r.server)
	delete(c.watched, r)
	delete(c.wanted, r)
	c.forgetBases(r)
	if !r.listing.everListed {
		c.pending--
	}
	c.membership.Add(1)
}
