package catalog

import (
	"time"

	"github.com/bramblemast/bramblemast/pkg/outcome"
)

const (
	// staleProbeInterval is the minimum time between two probes of a server that are caused by
	// refusals that contradict its known contents.
	staleProbeInterval = 200 * time.Millisecond
	// maxStaleProbeDoublings is the number of times that the interval doubles while probes find
	// unchanged contents.
	maxStaleProbeDoublings = 2
	// staleAnnouncers is the number of nodes, the highest in rendezvous rank for a server, that
	// announce new contents found by such a probe. Many nodes are refused at the same time, and the
	// regular probers announce the change in any case.
	staleAnnouncers = 4
)

// staleness tracks whether refusals contradict the known contents of a server. The catalog's mutex
// guards it.
type staleness struct {
	suspected bool
	// contents are the contents under suspicion; nil if they are unknown. Different contents end
	// the suspicion.
	contents *Contents
	since    time.Time
	// notBefore is the earliest time of the next probe.
	notBefore time.Time
	// unchangedProbes counts the consecutive probes that found the same contents.
	unchangedProbes int
}

// contradictsContents reports whether a refusal shows that the server does not hold what this node
// has on record.
func contradictsContents(reason outcome.Reason) bool {
	return reason == outcome.ReasonRangeNotHeld || reason == outcome.ReasonVersionGone
}

// suspectContents requests a probe immediately, unless one is requested already. After a recent
// probe caused by such a suspicion, the new one waits until staleness.notBefore.
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

// wakeProbeLoop makes the probe loop process requested probes immediately.
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

// clearStalenessIfContentsChanged ends the suspicion if the contents have changed since it arose.
func (r *record) clearStalenessIfContentsChanged() {
	if !r.staleness.suspected || r.currentContents() == r.staleness.contents {
		return
	}
	r.endSuspicion()
	r.staleness.unchangedProbes = 0
}

// staleProbeDone ends the suspicion if a probe was sent after it arose, whatever its result. The
// next contradicting refusal starts it again.
func (r *record) staleProbeDone(sentAt time.Time) {
	if !r.staleness.suspected || sentAt.Before(r.staleness.since) {
		return
	}
	r.endSuspicion()
	r.staleness.unchangedProbes = min(r.staleness.unchangedProbes+1, maxStaleProbeDoublings)
}

func (r *record) endSuspicion() {
	r.staleness.suspected, r.staleness.contents = false, nil
	r.results.suspectedStale.Store(false)
}

// staleProbeStarted is called when a probe for suspected contents is due. It sets the earliest time
// of the next one.
func (r *record) staleProbeStarted(now time.Time) {
	r.staleness.notBefore = now.Add(staleProbeInterval << r.staleness.unchangedProbes)
}
