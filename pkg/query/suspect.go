package query

import (
	"time"

	"github.com/bramblemast/bramblemast/pkg/outcome"
	"github.com/bramblemast/bramblemast/pkg/quarantine"
)

// Bounds of requests that may end the servers that run them.
const (
	// suspectAfter is how many sub-requests lose their connections, with no answer to any,
	// until the request is suspect.
	suspectAfter = quarantine.SuspectAfter
	// maxTrials is how many further sub-requests a suspect request gets, one after the
	// other, to show that it is not what ends servers.
	maxTrials = quarantine.ImmediateTrials
	// holdBackRecheck is when a retry that was kept back is looked at again.
	holdBackRecheck = 10 * time.Millisecond
)

// countLostConnection counts a sub-request whose server broke the connection.
func (p *pass) countLostConnection(failure error) {
	if outcome.ReasonOf(failure) == outcome.ReasonConnectionLost {
		p.lostConnections++
	}
}

// isSuspect reports whether the request may be what ends servers: several broke their
// connections while they had it, and none has answered it.
func (p *pass) isSuspect() bool { return p.lostConnections >= suspectAfter && p.covered.Width() == 0 }

// holdBack reports whether a further sub-request of a part is kept back, since the request is
// suspect: it waits for what is under way, then for a trial, and is given up when those are
// used up. With 220 parts, each retried once, such a request would end 220 servers more.
func (p *pass) holdBack(index int) bool {
	switch {
	case !p.isSuspect():
		return false
	case p.outstanding > 0:
		p.scheduleRetry(index, holdBackRecheck)
		return true
	case p.trials < maxTrials:
		p.trials++
		return false
	}
	p.parts[index].status = partGivenUp
	return true
}
