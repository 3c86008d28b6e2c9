package quota

import (
	"context"
	"time"

	"github.com/bramblemast/bramblemast/pkg/quota/quotapb"
)

// coordinatorInterval is how often coordinators ask each other whether they answer: one that is
// cut off must know of it also while no tenant is at its limit, since others stand in for it.
const coordinatorInterval = 500 * time.Millisecond

// contactInterval is after how long without an answer of any coordinator a node asks one. What the
// node admits until it knows that it is cut off comes beside the part of limits that it has alone.
const contactInterval = 450 * time.Millisecond

// lateCallAge is after how long a call is late: more than the way to a far region and back.
const lateCallAge = 90 * time.Millisecond

// reportingSpan is for how long a report of another node shows that this one stands in for a
// coordinator. Other coordinators ask it several times in it.
const reportingSpan = 1500 * time.Millisecond

// Waits between the questions whether a silent coordinator answers again.
const (
	firstProbeWait = 500 * time.Millisecond
	maxProbeWait   = 2 * time.Second
)

// link is what a node knows of a coordinator.
type link struct {
	isLocal bool
	// answers says that the last call was answered.
	answers bool
	// calling says that a call is under way.
	isCalling bool
	wait      time.Duration
	nextProbe time.Time
	// calledAt is when the last call began.
	calledAt time.Time
	// checkedAt is when it was last asked because another one stands in for it.
	checkedAt time.Time
	// lost says that Events was told of its loss and not yet of its return.
	isReportedLost bool
}

// lose notes that the coordinator did not answer.
func (k *link) markFailed(now time.Time) {
	if k.isLocal {
		return
	}
	k.answers = false
	k.wait = min(max(2*k.wait, firstProbeWait), maxProbeWait)
	k.nextProbe = now.Add(k.wait)
}

// hasFailed reports whether the coordinator did not answer when it was last called.
func (k *link) hasFailed() bool { return k.wait > 0 }

// regain notes that the coordinator answered.
func (k *link) markAnswered() { k.answers, k.wait = true, 0 }

// openLinks keeps a link to each coordinator. The caller holds the mutex.
func (l *Limiter) openLinks(now time.Time) {
	links := make(map[string]*link, l.coordinators.Len())
	names := append(l.coordinators.Top(coordinatorsKey, l.coordinators.Len()), l.zoneCoordinators.Top(coordinatorsKey, l.zoneCoordinators.Len())...)
	for _, name := range names {
		if links[name] != nil {
			continue
		}
		links[name] = l.links[name]
		if links[name] == nil {
			isLocal := name == l.options.Local
			links[name] = &link{isLocal: isLocal, answers: isLocal, nextProbe: now}
		}
	}
	l.links = links
}

// standing returns how the node stands to some coordinators. The caller holds the mutex.
func (l *Limiter) mode(ranked []string) Mode {
	switch l.coordinator(ranked) {
	case "":
		return Isolated
	case ranked[0]:
		return WithFirst
	}
	return WithStandIn
}

// coordinator returns the best coordinator that answers; empty if none does. The caller holds
// the mutex.
func (l *Limiter) coordinator(ranked []string) string {
	for _, name := range ranked {
		// A node to which no other turns is no stand-in, but alone; and so is a first coordinator that has
		// not been in touch with any other since its start.
		hasNoReporters := name == l.options.Local && !l.receivesReports && (name != ranked[0] || !l.hasHadContact && l.coordinators.Len() > 1)
		if found := l.links[name]; found != nil && found.answers && !hasNoReporters {
			return name
		}
	}
	return ""
}

// updateReceivesReports follows whether other nodes report to this one. The caller holds the mutex.
func (l *Limiter) updateReceivesReports(now time.Time) {
	receivesReports := !l.lastReportAt.IsZero() && now.Sub(l.lastReportAt) <= reportingSpan
	if receivesReports != l.receivesReports {
		l.receivesReports = receivesReports
		l.updateModes(now)
	}
}

// updateModes tells the meters which coordinators answer. The caller holds the mutex.
func (l *Limiter) updateModes(now time.Time) {
	for _, entry := range l.meters {
		mode := l.mode(entry.ranked)
		entry.meter.SetMode(mode, now)
		received := entry.standInVerdict
		if mode == WithStandIn && l.coordinator(entry.ranked) == received.from && now.Sub(received.at) < maxShareAge {
			entry.meter.ApplyVerdict(received.verdict, now)
		}
	}
}

// checkInterval is how often a coordinator that seems to answer is asked because another one
// stands in for it.
const checkInterval = time.Second

// checkCoordinator asks the coordinator to which this node turns whether it answers, since
// another one stands in for it at other nodes: a node with few requests would not notice until
// its next.
// The caller holds the mutex.
func (l *Limiter) checkCoordinator(ctx context.Context, name string, now time.Time) {
	found := l.links[name]
	if found == nil || found.isLocal || found.isCalling || now.Sub(found.checkedAt) < checkInterval {
		return
	}
	found.checkedAt = now
	l.call(ctx, name, &quotapb.Report{Start: l.options.Incarnation}, nil)
}

// probeLinks asks coordinators that did not answer whether they do.
func (l *Limiter) probeLinks(ctx context.Context, now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.keepInTouch(ctx, now)
	for name, found := range l.links {
		isDue := !found.answers && !now.Before(found.nextProbe)
		if !isDue && found.answers && !found.isLocal && l.coordinates(l.options.Local) && l.coordinates(name) {
			isDue = now.Sub(found.calledAt) >= coordinatorInterval
		}
		if isDue && !found.isCalling {
			l.call(ctx, name, &quotapb.Report{Start: l.options.Incarnation}, nil)
		}
	}
}

// seekFirstContact asks the coordinators at once, not with the next tick, if none has answered since the start: until
// then the node admits next to nothing.
func (l *Limiter) seekFirstContact(ctx context.Context, now time.Time) {
	l.mutex.Lock()
	hasHadContact := l.hasHadContact
	l.mutex.Unlock()
	if !hasHadContact && l.options.KnowsTenants() {
		l.probeLinks(ctx, now)
	}
}

// keepInTouch asks a coordinator whether it answers if none has lately, so that a node that is cut
// off knows of it before its next request; and another one while a call is late, so that one
// silent coordinator leaves no doubt. In doubt it asks those of its zone too. The caller holds
// the mutex.
func (l *Limiter) keepInTouch(ctx context.Context, now time.Time) {
	if !l.isInDoubt && !l.waitsForAnswer(now) && now.Sub(l.answeredAt) < contactInterval {
		return
	}
	contacted := make([]string, 0, 1+zoneCoordinatorCount)
	if names := l.coordinators.Top(coordinatorsKey, l.coordinators.Len()); len(names) > 0 {
		// Nodes begin with different ones, so that no coordinator is asked by all at once.
		l.contactAttempts++
		contacted = append(contacted, names[(l.rank+l.contactAttempts)%len(names)])
	}
	if l.isInDoubt {
		contacted = append(contacted, l.zoneCoordinators.Top(coordinatorsKey, l.zoneCoordinators.Len())...)
	}
	for _, name := range contacted {
		found := l.links[name]
		if !found.isLocal && found.answers && !found.isCalling {
			l.call(ctx, name, &quotapb.Report{Start: l.options.Incarnation}, nil)
		}
	}
}

// waitsForAnswer reports whether a coordinator lets this node wait for longer than others take,
// and none has answered since. The caller holds the mutex.
func (l *Limiter) waitsForAnswer(now time.Time) bool {
	for _, found := range l.links {
		if found.isCalling && now.Sub(found.calledAt) >= lateCallAge && l.answeredAt.Before(found.calledAt) {
			return true
		}
	}
	return false
}

// coordinates reports whether a node coordinates limits for the whole deployment. The caller holds
// the mutex.
func (l *Limiter) coordinates(name string) bool {
	return l.isCoordinator[name]
}

// missesCoordinator reports whether this node coordinates limits and another coordinator does not
// answer, so that nodes may be out of touch. The caller holds the mutex.
func (l *Limiter) missesCoordinator() bool {
	if !l.coordinates(l.options.Local) {
		return false
	}
	for name, found := range l.links {
		if !found.answers && l.coordinates(name) {
			return true
		}
	}
	return false
}

// noteAnswer notes whether a coordinator answered a call. The caller holds the mutex.
func (l *Limiter) noteAnswer(name string, err error, now time.Time) {
	found := l.links[name]
	if found == nil {
		return
	}
	found.isCalling = false
	wasAnswering := found.answers
	if err != nil {
		found.markFailed(now)
		l.isInDoubt = l.isInDoubt || !l.answeredAt.After(found.calledAt)
	} else {
		found.markAnswered()
		l.hasHadContact, l.answeredAt, l.isInDoubt = true, now, false
	}
	if wasAnswering != found.answers {
		l.updateModes(now)
		l.requestReport()
	}
	if wasAnswering && err != nil {
		found.isReportedLost = true
		l.options.Events.CoordinatorLost(name, err)
	}
	if found.isReportedLost && err == nil {
		found.isReportedLost = false
		l.options.Events.CoordinatorRegained(name)
	}
}
