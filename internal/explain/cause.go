package explain

import (
	"net/http"
	"slices"
	"strings"

	"github.com/bramblemast/bramblemast/pkg/fanout"
	"github.com/bramblemast/bramblemast/pkg/outcome"
	"github.com/bramblemast/bramblemast/pkg/quota"
)

// Cause is the reason why a request was not served completely and in time.
type Cause string

// Causes as shown to operators.
const (
	CauseServed          Cause = "none: it was served whole"
	CauseStarting        Cause = "the node knew no configuration yet"
	CauseOverloaded      Cause = "the node served as many requests as it may"
	CauseNotOffered      Cause = "overload: no server had room for it in time, so it was not run"
	CauseNoCapacity      Cause = "overload: servers had no room for it"
	CauseUnknownKey      Cause = "no tenant of the configuration in force holds the caller's key"
	CauseNoKey           Cause = "the caller sent no key, or several, on a route that wants one"
	CauseStaleKeys       Cause = "the node's news of the configuration was too old to confirm the caller's key"
	CauseOverLimit       Cause = "its tenant was beyond its limit over all nodes"
	CauseLimitIsolated   Cause = "the node reached no coordinator of limits, and its part of the tenant's limit was used up"
	CauseNoRoute         Cause = "no route of the configuration in force fits"
	CauseBadRequest      Cause = "the request itself: its body could not be taken"
	CauseClientLeft      Cause = "the client left before the answer"
	CauseNoServer        Cause = "a service had no server that could be asked"
	CauseBusy            Cause = "all servers of a service were busy with this node's requests"
	CauseRefused         Cause = "servers refused to run it"
	CauseUnreachable     Cause = "servers could not be reached"
	CauseQuarantined     Cause = "servers ended while they had it, so it was kept from others"
	CauseTimeout         Cause = "servers did not answer in time"
	CauseTimeoutNoBudget Cause = "servers did not answer in time, and the extra-load budget was used up"
	CauseServerFailed    Cause = "servers ran it and failed"
	CauseBroken          Cause = "connections broke after it was sent"
	CauseOwnerTimeout    Cause = "the owner of some shards did not answer, and their servers were asked too late instead"
	CausePartialTimeout  Cause = "answered without some shards, whose servers did not answer in time"
	CausePartialNoServer Cause = "answered without some shards, which had no server"
	CausePartialFailed   Cause = "answered without some shards, whose servers failed or could not be reached"
)

// withOwned adds to the line of a request its owners' attempts at the missing services, and the extra
// sub-requests that were denied to the owners.
func withOwned(request Line, owned []Line) Line {
	request.Attempts = slices.Clone(request.Attempts)
	for _, line := range owned {
		for _, attempt := range line.Attempts {
			if slices.Contains(request.Missing, attempt.Service) {
				request.Attempts = append(request.Attempts, attempt)
			}
		}
		request.Denied += line.Denied
	}
	return request
}

// CauseOf derives the cause from the line of a request. The line should include the attempts of the
// request's owners, which withOwned adds.
func CauseOf(line Line) Cause {
	switch {
	case line.Reason == "starting":
		return CauseStarting
	case line.Reason == "overloaded":
		return CauseOverloaded
	case line.Reason == string(fanout.StopQuarantined):
		return CauseQuarantined
	case line.Reason == string(outcome.ReasonUnauthenticated) && line.KeyHash == "":
		return CauseNoKey
	case line.Reason == string(outcome.ReasonUnauthenticated):
		return CauseUnknownKey
	case line.Reason == string(outcome.ReasonKeysUnconfirmed):
		return CauseStaleKeys
	case line.Reason == string(outcome.ReasonOverLimit) && line.QuotaDecidedBy == quota.Isolated.String():
		return CauseLimitIsolated
	case line.Reason == string(outcome.ReasonOverLimit):
		return CauseOverLimit
	case line.Reason == "cancelled":
		return CauseClientLeft
	case line.Reason == "invalid_request" && line.Status == http.StatusNotFound:
		return CauseNoRoute
	case line.Reason == "invalid_request":
		return CauseBadRequest
	case line.Status < http.StatusBadRequest && len(line.Missing) == 0:
		return CauseServed
	case line.Status < http.StatusBadRequest:
		return causeOfPartial(line)
	}
	return causeOfFailure(line)
}

func causeOfPartial(line Line) Cause {
	switch causeOfFailure(line) {
	case CauseNoServer, CauseBusy:
		return CausePartialNoServer
	case CauseTimeout, CauseTimeoutNoBudget:
		return CausePartialTimeout
	case CauseOwnerTimeout:
		return CauseOwnerTimeout
	}
	return CausePartialFailed
}

// causeOfFailure derives the cause from the last sub-requests for the missing services.
func causeOfFailure(line Line) Cause {
	counts := make(map[Cause]int)
	for _, attempt := range line.Attempts {
		counts[causeOfAttempt(attempt)]++
	}
	switch {
	case line.Reason == string(fanout.StopOverloaded) && line.Shed > 0:
		return CauseNotOffered
	case line.Shed > 0 && line.Parts < line.Required:
		return CauseNoCapacity
	case counts[CauseTimeout] > 0 && line.Denied > 0:
		return CauseTimeoutNoBudget
	case counts[CauseTimeout] > 0:
		return CauseTimeout
	case counts[CauseServerFailed] > 0:
		return CauseServerFailed
	case counts[CauseBroken] > 0:
		return CauseBroken
	case counts[CauseRefused] > 0:
		return CauseRefused
	case counts[CauseUnreachable] > 0:
		return CauseUnreachable
	case slices.ContainsFunc(line.Owners, isUnanswered):
		return CauseOwnerTimeout
	case strings.Contains(line.Error, "busy"):
		return CauseBusy
	}
	return CauseNoServer
}

// isUnanswered reports whether an owner failed to answer, as opposed to still working.
func isUnanswered(owner fanout.OwnerRecord) bool { return owner.Result != "pending" }

func causeOfAttempt(attempt fanout.AttemptRecord) Cause {
	switch {
	case attempt.Result == "answered":
		return CauseServed
	case attempt.Result == "pending" || strings.Contains(attempt.Result, "timeout"):
		return CauseTimeout
	case attempt.Result == "status 503" || attempt.Result == "status 421" || attempt.Result == "status 429":
		return CauseRefused
	case strings.HasPrefix(attempt.Result, "status "):
		return CauseServerFailed
	case strings.HasPrefix(attempt.Result, "connect"):
		return CauseUnreachable
	}
	return CauseBroken
}
