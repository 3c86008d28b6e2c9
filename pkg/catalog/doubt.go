package catalog

import (
	"time"

	"github.com/bramblemast/bramblemast/pkg/outcome"
)

const (
	// doubtInterval is the least time between two probes of a server for
	// refusals that contradict what is known of its contents.
	doubtInterval = 200 * time.Millisecond
	// maxDoubtDoublings bounds how often the interval doubles while the probes
	// find that the contents are the same.
	maxDoubtDoublings = 2
	// doubtTellers is the number of nodes, the first by rank for a server, that
	// tell peers of new contents found for a doubt. Many nodes are refused at
	// the same time, and the regular probers tell in any case.
	doubtTellers = 4
)

// doubt is whether refusals contradict what is known of a server's contents.
// The catalog's mutex guards it.
type doubt struct {
	active bool
	// about are the contents that are doubted; nil if they are unknown. Other
	// contents end the doubt.
	about *Contents
	since time.Time
	// notBefore is the earliest time of the next probe.
	notBefore time.Time
	// inVain counts the probes in a row that found the same contents.
	inVain int
}

// contradictsContents reports whether a refusal shows that the server does not
// hold what this node believes.
func contradictsContents(reason outcome.Reason) bool {
	return reason == outcome.ReasonRangeNotHeld || reason == outcome.ReasonVersionGone
}

// doubtContents asks for a probe at once, unless one is asked for already or
// there was one just before.
func (c *Catalog) doubtContents(r *record) {
	if r.results.doubted.Load() {
		return
	}
	c.change(func(u *mutation) {
		if r.doubt.active {
			return
		}
		r.doubt.active, r.doubt.since = true, u.now
		r.doubt.about = r.currentContents()
		r.results.doubted.Store(true)
		at := u.now
		if at.Before(r.doubt.notBefore) {
			at = r.doubt.notBefore
		}
		if r.probe.wantedAt.IsZero() || at.Before(r.probe.wantedAt) {
			c.wantProbeAt(r, at)
		}
		if !u.now.Before(at) {
			c.wakeProbes()
		}
	})
}

// wakeProbes has the probe loop look at once for servers that want a probe.
func (c *Catalog) wakeProbes() {
	select {
	case c.probesWanted <- struct{}{}:
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

// doubtResolved ends the doubt if the contents are others by now.
func (r *record) doubtResolved() {
	if !r.doubt.active || r.currentContents() == r.doubt.about {
		return
	}
	r.endDoubt()
	r.doubt.inVain = 0
}

// doubtProbed ends the doubt if a probe was sent since it arose, whatever its
// result: the next refusal brings it back.
func (r *record) doubtProbed(sentAt time.Time) {
	if !r.doubt.active || sentAt.Before(r.doubt.since) {
		return
	}
	r.endDoubt()
	r.doubt.inVain = min(r.doubt.inVain+1, maxDoubtDoublings)
}

func (r *record) endDoubt() {
	r.doubt.active, r.doubt.about = false, nil
	r.results.doubted.Store(false)
}

// doubtProbeStarts notes that a probe for a doubt is being sent.
func (r *record) doubtProbeStarts(now time.Time) {
	r.doubt.notBefore = now.Add(doubtInterval << r.doubt.inVain)
}
