package owner

import (
	"time"

	"github.com/bramblemast/bramblemast/pkg/directory"
)

// Timing of probes and of the return of excluded owners.
const (
	// initialProbeDelay is the time from an owner's loss to its first probe: a few round trips, so
	// that an owner that lost a single message misses few requests. A probe is one small message.
	initialProbeDelay = 20 * time.Millisecond
	// maxProbeInterval bounds the time between two probes, and so how long an owner stays excluded
	// after it has begun to answer again.
	maxProbeInterval = time.Second
	// maxProbeDelay bounds the time from a loss to the first probe of an owner that repeatedly
	// answers probes in time but questions too late: after each of its returns, one request may
	// have to wait until the owner counts as silent.
	maxProbeDelay = 30 * time.Second
	// lossMemoryFactor times the last probe delay is the time after an owner's return at which its
	// losses are forgotten, if it was not lost again and has answered a question in time.
	lossMemoryFactor = 50
	// probationInterval is the minimum time between two questions to a repeatedly late owner on
	// probation, which ends when a question is answered in time. It is longer than any request
	// waits for an owner that does not report.
	probationInterval = 500 * time.Millisecond
)

// exclusion is the state of a node that is, or recently was, excluded from the owners.
type exclusion struct {
	node directory.Node
	// isExcluded is set while the node is excluded. since is when it was excluded or, after its
	// return, when it was readmitted.
	isExcluded bool
	since      time.Time
	// leeway is the time within which a probe must be answered for questions to be answered in
	// time; zero if the node was never late.
	leeway time.Duration
	// isRepeatedlyLate is set if the node was late again after a return. Then only a probe that is
	// answered in time readmits it. Otherwise any report or answered probe does, since the node may
	// only have seemed late because a message was lost.
	isRepeatedlyLate bool
	// probeDelay is the time from the loss to the first probe, probeInterval that from the last
	// probe to the next.
	probeDelay, probeInterval time.Duration
	// nextProbeAt is the time of the next probe; zero while a probe is in flight.
	nextProbeAt time.Time
	// isOnProbation is set until the node has answered a question in time after its return. If
	// isRepeatedlyLate is set too, requests before nextAdmissionAt go to the next node in rank.
	isOnProbation   bool
	nextAdmissionAt time.Time
}

// exclusions decides which nodes are excluded from the owners and when they return: with the first
// report or answered probe or, once they were late repeatedly, with a probe that is answered within
// their leeway. The probe delay doubles for a node that is lost soon after its return. The map is
// keyed by node name; its user has to guard it against concurrent use.
type exclusions map[string]*exclusion

// exclude records that a node was lost during a question asked at askedAt. It returns false if the
// node was excluded already. leeway is the time within which a probe must be answered; zero if the
// node was not late.
func (e exclusions) exclude(node directory.Node, leeway time.Duration, askedAt, now time.Time) bool {
	known := e[node.Name]
	if known != nil && known.isExcluded {
		known.leeway = minNonZero(known.leeway, leeway)
		return false
	}
	excluded := &exclusion{node: node, isExcluded: true, since: now, leeway: leeway, probeDelay: initialProbeDelay}
	if known != nil && known.node == node && !known.isExpired(now) {
		excluded.leeway, excluded.probeDelay, excluded.isRepeatedlyLate = minNonZero(known.leeway, leeway), known.probeDelay, known.isRepeatedlyLate
		// A question asked before the return was lost to the same cause as the earlier ones.
		if askedAt.After(known.since) {
			excluded.isRepeatedlyLate = excluded.leeway > 0
			excluded.probeDelay = min(2*known.probeDelay, excluded.maxDelay())
		}
	}
	excluded.probeInterval, excluded.nextProbeAt = excluded.probeDelay, now.Add(excluded.probeDelay)
	e[node.Name] = excluded
	return true
}

// maxDelay returns the bound of the probe delay: a node that was never late can be probed often.
func (e *exclusion) maxDelay() time.Duration {
	if e.leeway == 0 {
		return maxProbeInterval
	}
	return maxProbeDelay
}

// isExpired reports whether the node returned so long ago that its losses no longer count.
func (e *exclusion) isExpired(now time.Time) bool {
	return !e.isExcluded && !e.isOnProbation && now.Sub(e.since) >= lossMemoryFactor*e.probeDelay
}

// minNonZero returns the shorter of two durations, where zero means that there is none.
func minNonZero(first, second time.Duration) time.Duration {
	if first == 0 || second == 0 {
		return max(first, second)
	}
	return min(first, second)
}

// admit reports whether a request may ask a node. For a node on probation that was repeatedly late
// it admits one request per probationInterval.
func (e exclusions) admit(name string, now time.Time) bool {
	known := e[name]
	switch {
	case known == nil:
		return true
	case known.isExcluded:
		return false
	case !known.isOnProbation || !known.isRepeatedlyLate:
		return true
	case now.Before(known.nextAdmissionAt):
		return false
	}
	known.nextAdmissionAt = now.Add(probationInterval)
	return true
}

// probe is a node to probe. leeway is the time within which it must answer; zero if any answer
// will do.
type probe struct {
	node   directory.Node
	leeway time.Duration
}

// removeReplaced removes the nodes that are gone or have changed: a new process with the same name
// at another address starts without losses.
func (e exclusions) removeReplaced(known map[string]directory.Node) {
	for name, each := range e {
		if known[name] != each.node {
			delete(e, name)
		}
	}
}

// takeDue returns the probes to send now and the time of the next one, zero if there is none. It
// also removes exclusions that have expired and nodes that are gone or have changed.
func (e exclusions) takeDue(known map[string]directory.Node, now time.Time) ([]probe, time.Time) {
	var probes []probe
	var next time.Time
	e.removeReplaced(known)
	for name, each := range e {
		switch {
		case each.isExpired(now):
			delete(e, name)
		case !each.isExcluded || each.nextProbeAt.IsZero():
		case !now.Before(each.nextProbeAt):
			each.nextProbeAt = time.Time{}
			probes = append(probes, probe{node: each.node, leeway: each.probeLimit()})
		case next.IsZero() || each.nextProbeAt.Before(next):
			next = each.nextProbeAt
		}
	}
	return probes, next
}

// recordProbe records whether a node answered its probe, and how long that took. If this readmits
// the node, it returns for how long the node was excluded, and true.
func (e exclusions) recordProbe(node directory.Node, isAnswered bool, took time.Duration, now time.Time) (time.Duration, bool) {
	known := e[node.Name]
	if known == nil || !known.isExcluded || known.node != node {
		return 0, false
	}
	if leeway := known.probeLimit(); isAnswered && (leeway == 0 || took <= leeway) {
		return known.readmit(now), true
	}
	known.probeInterval = min(2*known.probeInterval, max(known.probeDelay, maxProbeInterval))
	known.nextProbeAt = now.Add(known.probeInterval)
	return 0, false
}

// probeLimit returns the time within which a probe must be answered; zero if any answer will do.
func (e *exclusion) probeLimit() time.Duration {
	if !e.isRepeatedlyLate {
		return 0
	}
	return e.leeway
}

// recordReport records that a node has sent a report, late or not, and returns the same as
// recordProbe. Only a probe readmits a repeatedly late node: its reports still answer questions
// that were asked before its loss.
func (e exclusions) recordReport(name string, isLate bool, now time.Time) (time.Duration, bool) {
	known := e[name]
	switch {
	case known == nil:
	case known.isExcluded && !known.isRepeatedlyLate:
		return known.readmit(now), true
	case !known.isExcluded && !isLate:
		known.isOnProbation = false
	}
	return 0, false
}

// readmit ends the exclusion and returns how long it lasted.
func (e *exclusion) readmit(now time.Time) time.Duration {
	excludedFor := now.Sub(e.since)
	e.isExcluded, e.since, e.isOnProbation = false, now, true
	return excludedFor
}
