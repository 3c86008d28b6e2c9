package owner

import (
	"time"

	"github.com/bramblemast/bramblemast/pkg/directory"
)

// Times of the return of owners.
const (
	// firstRest is how long after its loss an owner is tried first: a few round trips, so that one
	// that lost a single message misses few requests. A trial is one small message.
	firstRest = 20 * time.Millisecond
	// greatestPause bounds the time between two trials, and so how long an owner that answers
	// again is still left out.
	greatestPause = time.Second
	// greatestRest bounds the time from a loss to the first trial of an owner that answers trials
	// in time and questions too late, again and again: each of its returns may cost one request
	// the wait until the owner counts as silent.
	greatestRest = 30 * time.Second
	// memoryFactor times its last rest is how long after its return an owner's losses are
	// forgotten, if it had none meanwhile and has answered a question in time.
	memoryFactor = 50
	// provingPause is how long the first question after a return goes alone, unless it is
	// answered earlier: longer than any owner is waited for without a report.
	provingPause = 500 * time.Millisecond
)

// absence is what is known of a node that was left out of the owners.
type absence struct {
	node directory.Node
	// isOut says that it is left out now; since is when it was, or when it returned.
	isOut bool
	since time.Time
	// leeway is in which time a trial must be answered so that questions would be in time; zero
	// if the node was never late.
	leeway time.Duration
	// isLateAgain says that it was late again after a return. Then only a trial in time lets it
	// return; else any sign of life does, since it may have been late for a lost message.
	isLateAgain bool
	// rest is the time from its loss to its first trial, and pause that from the last trial to
	// the next.
	rest, pause time.Duration
	// trialAt is when it is tried next; zero while a trial is under way.
	trialAt time.Time
	// isProving says that it has not yet answered a question in time since its return. If it was
	// late again, the other requests go to the next in rank until alone.
	isProving bool
	alone     time.Time
}

// absences decides which nodes are left out of the owners, and when they return: with the first
// sign of life, or, once they were late again, by a trial that is answered within the time that
// questions leave for it. One that is lost soon after its return rests twice as long as before. It
// is guarded by its user.
type absences map[string]*absence

// leave takes that a node is lost to a question that was asked then, and reports whether that is
// new. leeway is in which time a trial must be answered; zero if the node was not late.
func (a absences) leave(node directory.Node, leeway time.Duration, asked, now time.Time) bool {
	known := a[node.Name]
	if known != nil && known.isOut {
		known.leeway = shorter(known.leeway, leeway)
		return false
	}
	lost := &absence{node: node, isOut: true, since: now, leeway: leeway, rest: firstRest}
	if known != nil && known.node == node && !known.isForgotten(now) {
		lost.leeway, lost.rest, lost.isLateAgain = shorter(known.leeway, leeway), known.rest, known.isLateAgain
		// What was asked before the return was lost to the same cause.
		if asked.After(known.since) {
			lost.isLateAgain = lost.leeway > 0
			lost.rest = min(2*known.rest, lost.restBound())
		}
	}
	lost.pause, lost.trialAt = lost.rest, now.Add(lost.rest)
	a[node.Name] = lost
	return true
}

// restBound is how long the node rests at most: one that was never late can be tried often.
func (l *absence) restBound() time.Duration {
	if l.leeway == 0 {
		return greatestPause
	}
	return greatestRest
}

// isForgotten reports whether the node has returned so long ago that its losses do not count.
func (l *absence) isForgotten(now time.Time) bool {
	return !l.isOut && !l.isProving && now.Sub(l.since) >= memoryFactor*l.rest
}

// shorter returns the lesser of two times of which zero means none.
func shorter(one, other time.Duration) time.Duration {
	if one == 0 || other == 0 {
		return max(one, other)
	}
	return min(one, other)
}

// admit reports whether a request may ask a node. Of a node that is proving itself after it was
// late again, it admits one request in provingPause.
func (a absences) admit(name string, now time.Time) bool {
	known := a[name]
	switch {
	case known == nil:
		return true
	case known.isOut:
		return false
	case !known.isProving || !known.isLateAgain:
		return true
	case now.Before(known.alone):
		return false
	}
	known.alone = now.Add(provingPause)
	return true
}

// trial is a node to try, and the time in which it must answer; zero for any.
type trial struct {
	node   directory.Node
	leeway time.Duration
}

// forgetReplaced forgets the nodes that are not known as they were: another process under the same
// name, at another address, has lost nothing yet.
func (a absences) forgetReplaced(known map[string]directory.Node) {
	for name, each := range a {
		if known[name] != each.node {
			delete(a, name)
		}
	}
}

// due returns the nodes to try now, and when the next one is due; zero for none. It forgets what
// does not count any more, and the nodes that are not known as they were.
func (a absences) due(known map[string]directory.Node, now time.Time) ([]trial, time.Time) {
	var trials []trial
	var next time.Time
	a.forgetReplaced(known)
	for name, each := range a {
		switch {
		case each.isForgotten(now):
			delete(a, name)
		case !each.isOut || each.trialAt.IsZero():
		case !now.Before(each.trialAt):
			each.trialAt = time.Time{}
			trials = append(trials, trial{node: each.node, leeway: each.strictLeeway()})
		case next.IsZero() || each.trialAt.Before(next):
			next = each.trialAt
		}
	}
	return trials, next
}

// tried takes whether a node answered its trial, and after which time. It returns for how long it
// was left out; false if it was not, or still is.
func (a absences) tried(node directory.Node, isAnswered bool, took time.Duration, now time.Time) (time.Duration, bool) {
	known := a[node.Name]
	if known == nil || !known.isOut || known.node != node {
		return 0, false
	}
	if leeway := known.strictLeeway(); isAnswered && (leeway == 0 || took <= leeway) {
		return known.comeBack(now), true
	}
	known.pause = min(2*known.pause, max(known.rest, greatestPause))
	known.trialAt = now.Add(known.pause)
	return 0, false
}

// strictLeeway is in which time its trial must be answered; zero if any answer is enough.
func (l *absence) strictLeeway() time.Duration {
	if !l.isLateAgain {
		return 0
	}
	return l.leeway
}

// reported takes that a node has reported, late or not, and returns the same as tried. One that
// was late again returns by a trial alone: what else it still reports was asked before its loss.
func (a absences) reported(name string, isLate bool, now time.Time) (time.Duration, bool) {
	known := a[name]
	switch {
	case known == nil:
	case known.isOut && !known.isLateAgain:
		return known.comeBack(now), true
	case !known.isOut && !isLate:
		known.isProving = false
	}
	return 0, false
}

// comeBack lets the node be asked again, and returns for how long it was not.
func (l *absence) comeBack(now time.Time) time.Duration {
	lost := now.Sub(l.since)
	l.isOut, l.since, l.isProving = false, now, true
	return lost
}
