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

// part is the state of one service in a run.
type part struct {
	service string
	answer  *exchange.Response
	refusal *exchange.Response
	failure error
	// asked are the servers asked so far, live the attempts under way.
	tried    []triedServer
	inFlight []*attempt
	// sent are all attempts, for the record.
	attempts []*attempt
	// arrivals counts requests that may have reached a server, executions
	// those that may have run.
	arrivals   int
	executions int
	refusals   int
	// shed says that a server refused the request for want of room, or that
	// none was free.
	shed bool
	// ran says that a server is known to have run the request.
	hasRun bool
	// hedgeAt is when a further server is to be asked; zero if never.
	hedgeAt time.Time
	// idleSince is since when no server is being asked and one is to be found;
	// zero if one is being asked.
	idleSince time.Time
	// waiter waits for a free server; nil if the part waits for none.
	waiter *fleet.Waiter
	// absent says that the service has no server, so that nothing is waited for
	// but news of one.
	absent bool
	// unpaid says that a further server is to be asked once the budget pays for
	// it.
	needsRetry bool
	// closed says that no further server is asked.
	closed bool
	// question is the question to an owner that this part waits for; nil if this
	// node asks servers itself.
	question *question
	// owned says that this node asks the service's servers for others too.
	owned bool
	// spared says that the service is left to those that need it, since it is short of room and
	// the request can be answered without it: it is asked where nobody else waits.
	skipped bool
	// broken are the attempts whose server ended the connection, and served says that a server of
	// the service has answered; attempts read it too.
	brokenAttempts []*attempt
	served         atomic.Bool
	// kept says that the request is kept from the service's servers. trial is leave for one of
	// them, isClaiming says that it was asked for, and isTrialRefused that there was none.
	withheld       bool
	trial          *quarantine.Trial
	isClaiming     bool
	isTrialRefused bool
	// isLoadRecorded says that the part counts among the load of its service.
	isLoadRecorded bool
	// granted counts the further servers that may be asked in a run for another
	// node; wanted says that one was asked for.
	grantCount int
	wanted     bool
}

// triedServer is a server that a part was sent to.
type triedServer struct {
	lease *fleet.Lease
	// notRun says that it has not run the request and never will.
	notRun bool
}

// mayHaveRun reports whether a server has run the part, or may have.
func (p *part) mayHaveRun() bool { return p.hasRun || p.executions > 0 }

// outcome is what is known of a part without an answer.
func (p *part) outcome() outcome.Outcome {
	switch {
	case p.hasRun:
		return outcome.Completed
	case p.mayHaveRun():
		return outcome.Unknown
	}
	return outcome.NotRun
}

// markNotRun notes that a server has not run the request.
func (p *part) markNotRun(lease *fleet.Lease) {
	for index := range p.tried {
		if p.tried[index].lease == lease {
			p.tried[index].notRun = true
		}
	}
}

// forgetNotRun lets the servers be asked again that have not run the request.
func (p *part) forgetNotRun() {
	p.tried = slices.DeleteFunc(p.tried, func(each triedServer) bool { return each.notRun })
}
