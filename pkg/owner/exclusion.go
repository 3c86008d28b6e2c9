package owner

import (
	"time"

	"github.com/bramblemast/bramblemast/pkg/directory"
)

// Times of the return of owners.
const (
	// initialProbeDelay is how long after its loss an owner is tried first: a few round trips, so that one
	// that lost a single message misses few requests. A trial is one small message.
	initialProbeDelay = 20 * time.Millisecond
	// maxProbeInterval bounds the time between two trials, and so how long an owner that answers
	// again is still left out.
	maxProbeInterval = time.Second
	// maxProbeDelay bounds the time from a loss to the first trial of an owner that answers trials
	// in time and questions too late, again and again: each of its returns may cost one request
	// the wait until the owner counts as silent.
	maxProbeDelay = 30 * time.Second
	// lossMemoryFactor times its last rest is how long after its return an owner's losses are
	// forgotten, if it had none meanwhile and has answered a question in time.
	lossMemoryFactor = 50
	// probationInterval is how long the first question after a return goes alone, unless it is
	// answered earlier: longer than any owner is waited for without a report.
	probationInterval = 500 * time.Millisecond
)

// absence is what is known of a node that was left out of the owners.
type exclusion struct {
	node directory.Node
	// isExcluded says that it is left out now; since is when it was, or when it returned.
	isExcluded bool
	since      time.Time
	// leeway is in which time a trial must be answered so that questions would be in time; zero
	// if the node was never late.
	leeway time.Duration
	// isRepeatedlyLate says that it was late again after a return. Then only a trial in time lets it
	// return; else any sign of life does, since it may have been late for a lost message.
	isRepeatedlyLate bool
	// rest is the time from its loss to its first trial, and pause that from the last trial to
	// the next.
	probeDelay, probeInterval time.Duration
	// nextProbeAt is when it is tried next; zero while a trial is under way.
	nextProbeAt time.Time
	// isOnProbation says that it has not yet answered a question in time since its return. If it was
	// late again, the other requests go to the next in rank until alone.
	isOnProbation   bool
	nextAdmissionAt time.Time
}

// absences decides which nodes are left out of the owners, and when they return: with the first
// sign of life, or, once they were late again, by a trial that is answered within the time that
// questions leave for it. One that is lost soon after its return rests twice as long as before. It
// is guarded by its user.
type exclusions map[string]*exclusion

// leave takes that a node is lost to a question that was asked then, and reports whether that is
// new. leeway is in which time a trial must be answered; zero if the node was not late.
func (a exclusions) exclude(node directory.Node, leeway time.Duration, askedAt, now time.Time) bool {
	known := a[node.Name]
	if known != nil && known.isExcluded {
		known.leeway = minNonZero(known.leeway, leeway)
		return false
	}
	excluded := &exclusion{node: node, isExcluded: true, since: now, leeway: leeway, probeDelay: initialProbeDelay}
	if known != nil && known.node == node && !known.isExpired(now) {
		excluded.leeway, excluded.probeDelay, excluded.isRepeatedlyLate = minNonZero(known.leeway, leeway), known.probeDelay, known.isRepeatedlyLate
		// What was asked before the return was lost to the same cause.
		if askedAt.After(known.since) {
			excluded.isRepeatedlyLate = excluded.leeway > 0
			excluded.probeDelay = min(2*known.probeDelay, excluded.maxDelay())
		}
	}
	excluded.probeInterval, excluded.nextProbeAt = excluded.probeDelay, now.Add(excluded.probeDelay)
	a[node.Name] = excluded
	return true
}

// maxDelay is how long the node rests at most: one that was never late can be tried often.
func (l *exclusion) maxDelay() time.Duration {
	if l.leeway == 0 {
		return maxProbeInterval
	}
	return maxProbeDelay
}

// isExpired reports whether the node has returned so long ago that its losses do not count.
func (l *exclusion) isExpired(now time.Time) bool {
	return !l.isExcluded && !l.isOnProbation && now.Sub(l.since) >= lossMemoryFactor*l.probeDelay
}

// shorter returns the lesser of two times of which zero means none.
func minNonZero(first, second time.Duration) time.Duration {
	if first == 0 || second == 0 {
		return max(first, second)
	}
	return min(first, second)
}

// admit reports whether a request may ask a node. Of a node that is proving itself after it was
// late again, it admits one request in probationInterval.
func (a exclusions) admit(name string, now time.Time) bool {
	known := a[name]
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

// trial is a node to try, and the time in which it must answer; zero for any.
type probe struct {
	node   directory.Node
	leeway time.Duration
}

// removeReplaced forgets the nodes that are not known as they were: another process under the same
// name, at another address, has lost nothing yet.
func (a exclusions) removeReplaced(known map[string]directory.Node) {
	for name, each := range a {
		if known[name] != each.node {
			delete(a, name)
		}
	}
}

// due returns the nodes to try now, and when the next one is due; zero for none. It forgets what
// does not count any more, and the nodes that are not known as they were.
func (a exclusions) dueProbes(known map[string]directory.Node, now time.Time) ([]probe, time.Time) {
	var probes []probe
	var next time.Time
	a.removeReplaced(known)
	for name, each := range a {
		switch {
		case each.isExpired(now):
			delete(a, name)
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

// tried takes whether a node answered its trial, and after which time. It returns for how long it
// was left out; false if it was not, or still is.
func (a exclusions) recordProbe(node directory.Node, isAnswered bool, took time.Duration, now time.Time) (time.Duration, bool) {
	known := a[node.Name]
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

// probeLimit is in which time its trial must be answered; zero if any answer is enough.
func (l *exclusion) probeLimit() time.Duration {
	if !l.isRepeatedlyLate {
		return 0
	}
	return l.leeway
}

// reported takes that a node has reported, late or not, and returns the same as tried. One that
// was late again returns by a trial alone: what else it still reports was asked before its loss.
func (a exclusions) recordReport(name string, isLate bool, now time.Time) (time.Duration, bool) {
	known := a[name]
	switch {
	case known == nil:
	case known.isExcluded && !known.isRepeatedlyLate:
		return known.readmit(now), true
	case !known.isExcluded && !isLate:
		known.isOnProbation = false
	}
	return 0, false
}

// readmit lets the node be asked again, and returns for how long it was not.
func (l *exclusion) readmit(now time.Time) time.Duration {
	excludedFor := now.Sub(l.since)
	l.isExcluded, l.since, l.isOnProbation = false, now, true
	return excludedFor
}
