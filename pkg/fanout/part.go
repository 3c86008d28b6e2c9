package fanout

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/bramblemast/bramblemast/pkg/exchange"
	"github.com/bramblemast/bramblemast/pkg/fleet"
	"github.com/bramblemast/bramblemast/pkg/outcome"
	"github.com/bramblemast/bramblemast/pkg/quarantine"
)

// part is the state of the request at one service.
type part struct {
	service string
	answer  *exchange.Response
	refusal *exchange.Response
	failure error
	// tried are the servers that the part was sent to, and inFlight the attempts in progress.
	tried    []triedServer
	inFlight []*attempt
	// attempts are all attempts, for the log records.
	attempts []*attempt
	// arrivals counts sub-requests that may have reached a server, executions those that may have
	// been executed, and refusals those that a server refused since the part last waited for
	// capacity.
	arrivals   int
	executions int
	refusals   int
	// shed says that a server refused the part for lack of capacity, or that none was free.
	shed bool
	// hasRun says that a server is known to have executed the part.
	hasRun bool
	// hedgeAt is when a further server is queried or the part is retried; zero for never.
	hedgeAt time.Time
	// idleSince is the time since which no server has been queried while one is wanted; zero if one
	// is being queried.
	idleSince time.Time
	// waiter waits for a free server; nil if the part does not wait for one.
	waiter *fleet.Waiter
	// absent says that the service has no server, so that the part can only wait for one to be
	// listed.
	absent bool
	// needsRetry says that a retry is due at hedgeAt, as the budget, the servers' capacity or the
	// quarantine prevented an earlier one.
	needsRetry bool
	// closed says that no further server is queried.
	closed bool
	// question is the question to an owner that the part waits for; nil if this node queries the
	// servers itself.
	question *question
	// owned says that this node owns the service: it queries its servers for other nodes too.
	owned bool
	// skipped says that the service is limited and the request can be answered without it: the part
	// gets a server only where no request waits that needs it.
	skipped bool
	// brokenAttempts are the attempts whose server closed the connection. served says that a server
	// of the service has answered; attempts read it from their goroutines.
	brokenAttempts []*attempt
	served         atomic.Bool
	// withheld says that the request is withheld from the service's servers. trial is the permit to
	// send it to one of them, isClaiming says that a permit was requested, and isTrialRefused that
	// it was refused.
	withheld       bool
	trial          *quarantine.Trial
	isClaiming     bool
	isTrialRefused bool
	// isLoadRecorded says that the part was counted in the load of its service.
	isLoadRecorded bool
	// grantCount counts the further servers that were granted in a run for another node, and wanted
	// says that a grant was requested.
	grantCount int
	wanted     bool
}

// triedServer is a server that a part was sent to.
type triedServer struct {
	lease *fleet.Lease
	// notRun says that the server has not executed the part and never will.
	notRun bool
}

// mayHaveRun reports whether a server has executed the part, or may have.
func (p *part) mayHaveRun() bool { return p.hasRun || p.executions > 0 }

// outcome returns what is known of the execution of a part without an answer.
func (p *part) outcome() outcome.Outcome {
	switch {
	case p.hasRun:
		return outcome.Completed
	case p.mayHaveRun():
		return outcome.Unknown
	}
	return outcome.NotRun
}

// markNotRun records that a server has not executed the part.
func (p *part) markNotRun(lease *fleet.Lease) {
	for index := range p.tried {
		if p.tried[index].lease == lease {
			p.tried[index].notRun = true
		}
	}
}

// forgetNotRun allows the servers that have not executed the part to be queried again.
func (p *part) forgetNotRun() {
	p.tried = slices.DeleteFunc(p.tried, func(each triedServer) bool { return each.notRun })
}
