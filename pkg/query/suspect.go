package query

import (
	"time"

	"github.com/bramblemast/bramblemast/pkg/outcome"
	"github.com/bramblemast/bramblemast/pkg/quarantine"
)

// Bounds for suspect requests: those that may crash the servers that run them.
const (
	// suspectAfter is how many sub-requests must lose their connections, with none answered, before
	// the request is suspect.
	suspectAfter = quarantine.SuspectAfter
	// maxTrials is how many further sub-requests a suspect request may send, one after the other.
	// An answer to one of them clears it of suspicion.
	maxTrials = quarantine.ImmediateTrials
	// holdBackRecheck is the delay after which a held-back retry is checked again.
	holdBackRecheck = 10 * time.Millisecond
)

// countLostConnection counts the sub-request if it failed because its connection was lost.
func (p *pass) countLostConnection(failure error) {
	if outcome.ReasonOf(failure) == outcome.ReasonConnectionLost {
		p.lostConnections++
	}
}

// isSuspect reports whether the request may be what crashes servers: at least suspectAfter of its
// sub-requests lost their connections, and no server has answered it.
func (p *pass) isSuspect() bool { return p.lostConnections >= suspectAfter && p.covered.Width() == 0 }

// holdBack reports whether a further sub-request of a part is held back because the request is
// suspect. The sub-request waits while others are outstanding, is then sent as a trial, and the part
// is given up once all trials are used. Without this, a request with 220 parts, each retried once,
// could crash 220 more servers.
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
