package explain

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/pkg/fanout"
	"github.com/bramblemast/bramblemast/pkg/outcome"
)

// contextSpan is how long before a request the lines about its node's state are evaluated.
const contextSpan = 15 * time.Second

// maxContextLines bounds the number of lines in Try.Before.
const maxContextLines = 12

// Story is everything that the log lines contain about one request.
type Story struct {
	ID string
	// Tries are the attempts of the client, over all nodes, in order of time.
	Tries []Try
}

// Try is one attempt of the client: the line of the request and the lines that explain it.
type Try struct {
	Line
	Cause Cause
	// Owned are the lines of the owners that were queried for its shards.
	Owned []Line
	// Before are earlier lines that may explain the result: changes in the node's knowledge of the
	// missing services, the store, the owners and the coordinators, among others.
	Before []Line
	// Newer is the line of another node that had a newer configuration in force before this request
	// was answered; nil if there was none.
	Newer *Line
}

// ErrUnknownRequest means that no line names the request. Ordinary successes are sampled, so a
// request without a line was most likely served.
var ErrUnknownRequest = errors.New("no line names this request; ordinary successes are sampled")

// Explain returns the story of the request with the given id. It returns ErrUnknownRequest, wrapped,
// if no line names the request.
func Explain(lines []Line, id string) (Story, error) {
	story := Story{ID: id}
	owned := ownerLines(lines)[id]
	for _, line := range lines {
		if line.Message == messageRequest && line.Request == id {
			story.Tries = append(story.Tries, Try{
				Line: line, Cause: CauseOf(withOwned(line, owned)), Owned: owned, Before: precedingLines(lines, line), Newer: newerConfiguration(lines, line),
			})
		}
	}
	if len(story.Tries) == 0 {
		return story, errors.Wrap(ErrUnknownRequest, id)
	}
	slices.SortStableFunc(story.Tries, func(a, b Try) int { return a.At.Compare(b.At) })
	return story, nil
}

// ownerLines returns the lines of owners by request id.
func ownerLines(lines []Line) map[string][]Line {
	byRequest := make(map[string][]Line)
	for _, line := range lines {
		if line.Message == messageOwnedParts {
			byRequest[line.Request] = append(byRequest[line.Request], line)
		}
	}
	return byRequest
}

// precedingLines returns the last maxContextLines lines before a request that may concern it: lines
// of its node, and lines of any coordinator about the limit of its tenant.
func precedingLines(lines []Line, request Line) []Line {
	var preceding []Line
	for _, line := range lines {
		isOtherNode := line.Node != request.Node && line.Message != messageAtLimit && line.Message != messageBelowLimit
		if isOtherNode || line.At.After(request.At) || request.At.Sub(line.At) > contextSpan {
			continue
		}
		if mayConcern(line, request) {
			preceding = append(preceding, line)
		}
	}
	slices.SortStableFunc(preceding, func(a, b Line) int { return a.At.Compare(b.At) })
	return preceding[max(0, len(preceding)-maxContextLines):]
}

// newerConfiguration returns the first line of a newer configuration at another node before the
// request; nil if there is none.
func newerConfiguration(lines []Line, request Line) *Line {
	var first *Line
	for index := range lines {
		line := &lines[index]
		if line.Message != messageConfiguration || line.Version <= request.Version || line.At.After(request.At) {
			continue
		}
		if line.Node != request.Node && (first == nil || line.At.Before(first.At)) {
			first = line
		}
	}
	return first
}

// mayConcern reports whether the event of a line may have affected a request.
func mayConcern(line, request Line) bool {
	switch line.Message {
	case messageOverload, messageKeysLapsed, messageKeysConfirmed:
		return true
	case messageConfiguration, messageDependencyLost, messageDependencyRegained, messageStoreRestored, messageOwnerLost, messageOwnerRegained, messageStarted, messageStopping, messageConfigurationRefused:
		return true
	case messageAtLimit, messageBelowLimit:
		return line.Tenant == request.Tenant && request.Reason == string(outcome.ReasonOverLimit)
	case messageCoordinatorLost:
		return request.Reason == string(outcome.ReasonOverLimit)
	}
	if len(line.ServersEnded) > 0 {
		return line.Fingerprint == request.Fingerprint
	}
	return strings.HasPrefix(line.Message, "server ") && slices.Contains(request.Missing, line.Service)
}

// Write prints the story as text for operators. Write errors are ignored.
func (s Story) Write(output io.Writer) {
	for _, try := range s.Tries {
		fmt.Fprintf(output, "%s  %s  request %s%s on route %q, configuration %d\n",
			formatTime(try.At), try.Node, s.ID, caller(try.Line), try.Route, try.Version)
		for _, line := range try.Before {
			fmt.Fprintf(output, "  %s  before: %s%s\n", formatTime(line.At), line.Message, details(line))
		}
		for _, owner := range try.Owners {
			fmt.Fprintf(output, "  asked %s for %d shards: %s\n", owner.Owner, owner.Services, owner.Result)
		}
		writeAttempts(output, "", try.Attempts)
		for _, owned := range try.Owned {
			fmt.Fprintf(output, "  at their owner %s: %d of %d parts in %.0f ms\n", owned.Node, owned.Parts, owned.Total, owned.TookMillis)
			writeAttempts(output, "  ", owned.Attempts)
		}
		fmt.Fprintf(output, "  +%4.0f ms  answered %d, %s; %d of %d parts, %d wanted\n",
			try.TookMillis, try.Status, try.Reason, try.Parts, try.Total, try.Required)
		writeShortService(output, try.Line)
		if try.QuotaDecidedBy != "" {
			fmt.Fprintf(output, "  tenant %s: %.2f of its requests admitted, told %d ms before; decided by %s\n",
				try.Tenant, try.QuotaShare, try.QuotaShareAge, try.QuotaDecidedBy)
		}
		if try.RetryAfter > 0 {
			fmt.Fprintf(output, "  the client was told to retry after %d ms\n", try.RetryAfter)
		}
		if try.Newer != nil {
			fmt.Fprintf(output, "  an older configuration: %s had version %d in force %d ms before this answer; "+
				"this node last heard the store %d ms before\n",
				try.Newer.Node, try.Newer.Version, try.At.Sub(try.Newer.At).Milliseconds(), try.StoreAge)
		}
		fmt.Fprintf(output, "  cause: %s\n", try.Cause)
	}
}

// caller describes who sent a request: the tenant, or the hash of a key that no tenant holds; empty
// if neither is known.
func caller(line Line) string {
	switch {
	case line.Tenant != "":
		return fmt.Sprintf(" of tenant %q", line.Tenant)
	case line.KeyHash != "":
		return fmt.Sprintf(" with a key of hash %s", line.KeyHash)
	}
	return ""
}

// writeShortService prints which service had too little capacity for a request, and the share that it
// admitted.
func writeShortService(output io.Writer, line Line) {
	if line.ShortService == "" {
		return
	}
	fmt.Fprintf(output, "  short of room: %s let in %.1f in 100 requests of priority %d%s, known for %d ms\n",
		line.ShortService, 100*line.Share, line.Priority, caller(line), line.ShareAge)
}

// writeAttempts prints sub-requests; their times are relative to when their node received the
// request.
func writeAttempts(output io.Writer, indent string, attempts []fanout.AttemptRecord) {
	for _, attempt := range attempts {
		fmt.Fprintf(output, "%s  +%4d ms  asked %s of %s in %s: %s after %d ms\n",
			indent, attempt.SentMillis, attempt.Server, attempt.Service, attempt.Zone, attempt.Result, attempt.TookMillis)
	}
}

func details(line Line) string {
	switch {
	case line.Owner != "":
		return fmt.Sprintf(" (%s) %s", line.Owner, line.Error)
	case line.Message == messageOverload:
		return fmt.Sprintf(" (%s: %d sub-requests wait for a free server)", line.Service, line.Waiting)
	case len(line.ServersEnded) > 0:
		return fmt.Sprintf(" (servers ended: %s)", strings.Join(line.ServersEnded, ", "))
	case line.Server != "":
		return fmt.Sprintf(" (%s of %s)", line.Server, line.Service)
	case line.Dependency != "":
		return fmt.Sprintf(" (%s) %s", line.Dependency, line.Error)
	case line.Message == messageAtLimit:
		return fmt.Sprintf(" (%s at %s: asked %.0f a second, limit %.0f)", line.Tenant, line.Node, line.RequestedPerSecond, line.LimitPerSecond)
	case line.Message == messageCoordinatorLost:
		return fmt.Sprintf(" (%s) %s", line.Coordinator, line.Error)
	case line.Version != 0:
		return fmt.Sprintf(" (version %d)", line.Version)
	}
	return ""
}

func formatTime(at time.Time) string { return at.Format("15:04:05.000") }
