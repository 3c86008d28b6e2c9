package catalog

import (
	"time"

	"github.com/bramblemast/bramblemast/pkg/outcome"
)

const (
	// staleProbeInterval is the least time between two probes of a server for
	// refusals that contradict what is known of its contents.
	staleProbeInterval = 200 * time.Millisecond
	// maxStaleProbeDoublings bounds how often the interval doubles while the probes
	// find that the contents are the same.
	maxStaleProbeDoublings = 2
	// staleAnnouncers is the number of nodes, the first by rank for a server, that
	// tell peers of new contents found for a doubt. Many nodes are refused at
	// the same time, and the regular probers tell in any case.
	staleAnnouncers = 4
)

// doubt is whether refusals contradict what is known of a server's contents.
// The catalog's mutex guards it.
type staleness struct {
	suspected bool
	// about are the contents that are doubted; nil if they are unknown. Other
	// contents end the doubt.
	contents *Contents
	since    time.Time
	// notBefore is the earliest time of the next probe.
	notBefore time.Time
	// unchangedProbes counts the probes in a row that found the same contents.
	unchangedProbes int
}

// contradictsContents reports whether a refusal shows that the server does not
// hold what this node believes.
func contradictsContents(reason outcome.Reason) bool {
	return reason == outcome.ReasonRangeNotHeld || reason == outcome.ReasonVersionGone
}

// suspectContents asks for a probe at once, unless one is asked for already or
// there was one just before.
func (c *Catalog) suspectContents(r *record) {
	if r.results.suspectedStale.Load() {
		return
	}
	c.mutate(func(m *mutation) {
		if r.staleness.suspected {
			return
		}
		r.staleness.suspected, r.staleness.since = true, m.now
		r.staleness.contents = r.currentContents()
		r.results.suspectedStale.Store(true)
		at := m.now
		if at.Before(r.staleness.notBefore) {
			at = r.staleness.notBefore
		}
		if r.probe.requestedAt.IsZero() || at.Before(r.probe.requestedAt) {
			c.requestProbeAt(r, at)
		}
		if !m.now.Before(at) {
			c.wakeProbeLoop()
		}
	})
}

// wakeProbeLoop has the probe loop look at once for servers that want a probe.
func (c *Catalog) wakeProbeLoop() {
	select {
	case c.probeWakeup <- struct{}{}:
	default:
	}
}

// currentContents returns the contents of the current instance, or nil.
func (r *record) currentContents() *Contents {
	if current := r.facts.current(); current != nil {
		return current.Contents
	}
	return nil
}

// clearIfContentsChanged ends the doubt if the contents are others by now.
func (r *record) clearIfContentsChanged() {
	if !r.staleness.suspected || r.currentContents() == r.staleness.contents {
		return
	}
	r.clearStaleness()
	r.staleness.unchangedProbes = 0
}

// staleProbeDone ends the doubt if a probe was sent since it arose, whatever its
// result: the next refusal brings it back.
func (r *record) staleProbeDone(sentAt time.Time) {
	if !r.staleness.suspected || sentAt.Before(r.staleness.since) {
		return
	}
	r.clearStaleness()
	r.staleness.unchangedProbes = min(r.staleness.unchangedProbes+1, maxStaleProbeDoublings)
}

func (r *record) clearStaleness() {
	r.staleness.suspected, r.staleness.contents = false, nil
	r.results.suspectedStale.Store(false)
}

// staleProbeStarted notes that a probe for a doubt is being sent.
func (r *record) staleProbeStarted(now time.Time) {
	r.staleness.notBefore = now.Add(staleProbeInterval << r.staleness.unchangedProbes)
}
