package quota

import (
	"context"
	"time"

	"github.com/bramblemast/bramblemast/pkg/quota/quotapb"
)

// coordinatorInterval is how often coordinators check whether the others answer. A coordinator that
// is cut off must detect it even while no tenant is at its limit, since others stand in for it.
const coordinatorInterval = 500 * time.Millisecond

// contactInterval is the time without an answer of any coordinator after which a node calls one.
// What the node admits until it detects that it is cut off adds to its entitlement while isolated.
const contactInterval = 450 * time.Millisecond

// lateCallAge is the age at which a call counts as late: more than the round trip to a distant
// region.
const lateCallAge = 90 * time.Millisecond

// reportingSpan is how long a report of another node proves that this node stands in for a
// coordinator. Other coordinators call it several times in that span.
const reportingSpan = 1500 * time.Millisecond

// Backoff between probes of a silent coordinator.
const (
	firstProbeWait = 500 * time.Millisecond
	maxProbeWait   = 2 * time.Second
)

// link is the state of the connection to one coordinator.
type link struct {
	isLocal bool
	// answers is set if the last call was answered.
	answers bool
	// isCalling is set while a call is in progress.
	isCalling bool
	wait      time.Duration
	nextProbe time.Time
	// calledAt is when the last call started.
	calledAt time.Time
	// checkedAt is when the coordinator was last checked because another one stands in for it.
	checkedAt time.Time
	// isReportedLost is set between the CoordinatorLost and CoordinatorRegained events.
	isReportedLost bool
}

// markFailed records that the coordinator did not answer.
func (k *link) markFailed(now time.Time) {
	if k.isLocal {
		return
	}
	k.answers = false
	k.wait = min(max(2*k.wait, firstProbeWait), maxProbeWait)
	k.nextProbe = now.Add(k.wait)
}

// hasFailed reports whether the coordinator did not answer the last call.
func (k *link) hasFailed() bool { return k.wait > 0 }

// markAnswered records that the coordinator answered.
func (k *link) markAnswered() { k.answers, k.wait = true, 0 }

// openLinks keeps one link for each coordinator. The caller holds the mutex.
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

// mode returns the node's mode for a tenant with the given coordinators. The caller holds the
// mutex.
func (l *Limiter) mode(ranked []string) Mode {
	switch l.coordinator(ranked) {
	case "":
		return Isolated
	case ranked[0]:
		return WithFirst
	}
	return WithStandIn
}

// coordinator returns the best coordinator that answers; empty if none does. The caller holds the
// mutex.
func (l *Limiter) coordinator(ranked []string) string {
	for _, name := range ranked {
		// A node to which no other node reports is not a stand-in, but isolated; so is a first
		// coordinator that has had no contact with any other coordinator since its start.
		hasNoReporters := name == l.options.Local && !l.receivesReports && (name != ranked[0] || !l.hasHadContact && l.coordinators.Len() > 1)
		if peerLink := l.links[name]; peerLink != nil && peerLink.answers && !hasNoReporters {
			return name
		}
	}
	return ""
}

// updateReceivesReports updates whether other nodes report to this one. The caller holds the mutex.
func (l *Limiter) updateReceivesReports(now time.Time) {
	receivesReports := !l.lastReportAt.IsZero() && now.Sub(l.lastReportAt) <= reportingSpan
	if receivesReports != l.receivesReports {
		l.receivesReports = receivesReports
		l.updateModes(now)
	}
}

// updateModes sets the mode of all meters by which coordinators answer. The caller holds the mutex.
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

// checkInterval is how often a coordinator that seems to answer is called because another one
// stands in for it.
const checkInterval = time.Second

// checkCoordinator calls the coordinator that this node reports to because another one stands in
// for it at other nodes. A node with few requests would otherwise not detect the failure until its
// next request. The caller holds the mutex.
func (l *Limiter) checkCoordinator(ctx context.Context, name string, now time.Time) {
	peerLink := l.links[name]
	if peerLink == nil || peerLink.isLocal || peerLink.isCalling || now.Sub(peerLink.checkedAt) < checkInterval {
		return
	}
	peerLink.checkedAt = now
	l.call(ctx, name, &quotapb.Report{Start: l.options.Incarnation}, nil)
}

// probeLinks calls coordinators that did not answer.
func (l *Limiter) probeLinks(ctx context.Context, now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.keepContact(ctx, now)
	for name, peerLink := range l.links {
		isDue := !peerLink.answers && !now.Before(peerLink.nextProbe)
		if !isDue && peerLink.answers && !peerLink.isLocal && l.coordinates(l.options.Local) && l.coordinates(name) {
			isDue = now.Sub(peerLink.calledAt) >= coordinatorInterval
		}
		if isDue && !peerLink.isCalling {
			l.call(ctx, name, &quotapb.Report{Start: l.options.Incarnation}, nil)
		}
	}
}

// seekFirstContact calls the coordinators at once, without waiting for the next tick, if none has
// answered since the start: until then the node admits next to nothing.
func (l *Limiter) seekFirstContact(ctx context.Context, now time.Time) {
	l.mutex.Lock()
	hasHadContact := l.hasHadContact
	l.mutex.Unlock()
	if !hasHadContact && l.options.KnowsTenants() {
		l.probeLinks(ctx, now)
	}
}

// keepContact calls a coordinator if none has answered recently, so that a node that is cut off
// detects it before its next request. While a call is late it calls another one, so that a single
// silent coordinator leaves no doubt. In doubt it also calls the coordinators of its zone. The
// caller holds the mutex.
func (l *Limiter) keepContact(ctx context.Context, now time.Time) {
	if !l.isInDoubt && !l.hasLateCall(now) && now.Sub(l.answeredAt) < contactInterval {
		return
	}
	contacted := make([]string, 0, 1+zoneCoordinatorCount)
	if names := l.coordinators.Top(coordinatorsKey, l.coordinators.Len()); len(names) > 0 {
		// Nodes start with different coordinators, so that none is called by all nodes at once.
		l.contactAttempts++
		contacted = append(contacted, names[(l.rank+l.contactAttempts)%len(names)])
	}
	if l.isInDoubt {
		contacted = append(contacted, l.zoneCoordinators.Top(coordinatorsKey, l.zoneCoordinators.Len())...)
	}
	for _, name := range contacted {
		peerLink := l.links[name]
		if !peerLink.isLocal && peerLink.answers && !peerLink.isCalling {
			l.call(ctx, name, &quotapb.Report{Start: l.options.Incarnation}, nil)
		}
	}
}

// hasLateCall reports whether a call to a coordinator is late and none has answered since it
// started. The caller holds the mutex.
func (l *Limiter) hasLateCall(now time.Time) bool {
	for _, peerLink := range l.links {
		if peerLink.isCalling && now.Sub(peerLink.calledAt) >= lateCallAge && l.answeredAt.Before(peerLink.calledAt) {
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
// answer, so that nodes may be isolated. The caller holds the mutex.
func (l *Limiter) missesCoordinator() bool {
	if !l.coordinates(l.options.Local) {
		return false
	}
	for name, peerLink := range l.links {
		if !peerLink.answers && l.coordinates(name) {
			return true
		}
	}
	return false
}

// recordAnswer records whether a coordinator answered a call. The caller holds the mutex.
func (l *Limiter) recordAnswer(name string, err error, now time.Time) {
	peerLink := l.links[name]
	if peerLink == nil {
		return
	}
	peerLink.isCalling = false
	wasAnswering := peerLink.answers
	if err != nil {
		peerLink.markFailed(now)
		l.isInDoubt = l.isInDoubt || !l.answeredAt.After(peerLink.calledAt)
	} else {
		peerLink.markAnswered()
		l.hasHadContact, l.answeredAt, l.isInDoubt = true, now, false
	}
	if wasAnswering != peerLink.answers {
		l.updateModes(now)
		l.requestReport()
	}
	if wasAnswering && err != nil {
		peerLink.isReportedLost = true
		l.options.Events.CoordinatorLost(name, err)
	}
	if peerLink.isReportedLost && err == nil {
		peerLink.isReportedLost = false
		l.options.Events.CoordinatorRegained(name)
	}
}
