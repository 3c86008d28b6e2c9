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

// contextSpan is how long before a request what its node believed is looked at.
const contextSpan = 15 * time.Second

// maxContext bounds the lines about what the node believed.
const maxContext = 12

// Story is what the lines tell of one request.
type Story struct {
	ID string
	// Tries are the lines of the request, over all nodes, in order of time.
	Tries []Try
}

// Try is one line of a request with what led to it.
type Try struct {
	Line
	Cause Cause
	// Owned are the lines of the nodes that were asked for its shards as their owners.
	Owned []Line
	// Before are the lines by which the node changed what it believed about the
	// services that the request lacked, or about the store.
	Before []Line
	// Newer is the line by which another node had put a newer configuration into
	// force before this request was answered; nil if none had.
	Newer *Line
}

// ErrUnknownRequest means that no line names the request. Ordinary successes
// are sampled, so a request without a line was most likely served.
var ErrUnknownRequest = errors.New("no line names this request; ordinary successes are sampled")

// Explain finds the story of one request.
func Explain(lines []Line, id string) (Story, error) {
	story := Story{ID: id}
	owned := ownedBy(lines)[id]
	for _, line := range lines {
		if line.Message == messageRequest && line.Request == id {
			story.Tries = append(story.Tries, Try{
				Line: line, Cause: CauseOf(withOwned(line, owned)), Owned: owned, Before: before(lines, line), Newer: newer(lines, line),
			})
		}
	}
	if len(story.Tries) == 0 {
		return story, errors.Wrap(ErrUnknownRequest, id)
	}
	slices.SortStableFunc(story.Tries, func(a, b Try) int { return a.At.Compare(b.At) })
	return story, nil
}

// ownedBy returns the lines of owners by the id of the request.
func ownedBy(lines []Line) map[string][]Line {
	found := make(map[string][]Line)
	for _, line := range lines {
		if line.Message == messageOwned {
			found[line.Request] = append(found[line.Request], line)
		}
	}
	return found
}

// before returns what the node learned before a request and had to do with it, and what the
// coordinator of its tenant's limit saw.
func before(lines []Line, request Line) []Line {
	var found []Line
	for _, line := range lines {
		isElsewhere := line.Node != request.Node && line.Message != messageAtLimit && line.Message != messageBelowLimit
		if isElsewhere || line.At.After(request.At) || request.At.Sub(line.At) > contextSpan {
			continue
		}
		if concerns(line, request) {
			found = append(found, line)
		}
	}
	slices.SortStableFunc(found, func(a, b Line) int { return a.At.Compare(b.At) })
	return found[max(0, len(found)-maxContext):]
}

// newer returns the first line of a newer configuration at another node.
func newer(lines []Line, request Line) *Line {
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

// concerns reports whether what a line tells may have had to do with a request.
func concerns(line, request Line) bool {
	switch line.Message {
	case messageOverload, messageKeysLapsed, messageKeysConfirmed:
		return true
	case messageConfiguration, messageLost, messageRegained, messageStoreRestored, messageOwnerLost, messageOwnerRegained, messageStarted, messageStopping, messageConfigurationRefused:
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

// Write prints a story for a person.
func (s Story) Write(output io.Writer) {
	for _, try := range s.Tries {
		fmt.Fprintf(output, "%s  %s  request %s%s on route %q, configuration %d\n",
			clock(try.At), try.Node, s.ID, caller(try.Line), try.Route, try.Version)
		for _, line := range try.Before {
			fmt.Fprintf(output, "  %s  before: %s%s\n", clock(line.At), line.Message, subject(line))
		}
		for _, asked := range try.Owners {
			fmt.Fprintf(output, "  asked %s for %d shards: %s\n", asked.Owner, asked.Services, asked.Result)
		}
		writeAttempts(output, "", try.Attempts)
		for _, owned := range try.Owned {
			fmt.Fprintf(output, "  at their owner %s: %d of %d parts in %.0f ms\n", owned.Node, owned.Parts, owned.Total, owned.TookMillis)
			writeAttempts(output, "  ", owned.Attempts)
		}
		fmt.Fprintf(output, "  +%4.0f ms  answered %d, %s; %d of %d parts, %d wanted\n",
			try.TookMillis, try.Status, try.Reason, try.Parts, try.Total, try.Required)
		writeRoom(output, try.Line)
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

// caller returns who sent a request, as far as its node knew: the tenant, or the hash of a key that no
// tenant holds; empty without either.
func caller(line Line) string {
	switch {
	case line.Tenant != "":
		return fmt.Sprintf(" of tenant %q", line.Tenant)
	case line.KeyHash != "":
		return fmt.Sprintf(" with a key of hash %s", line.KeyHash)
	}
	return ""
}

// writeRoom prints which service was short of room for a request, and the share that it admitted.
func writeRoom(output io.Writer, line Line) {
	if line.ShortService == "" {
		return
	}
	fmt.Fprintf(output, "  short of room: %s let in %.1f in 100 requests of priority %d%s, known for %d ms\n",
		line.ShortService, 100*line.Share, line.Priority, caller(line), line.ShareAge)
}

// writeAttempts prints sub-requests; their times count from when their node got the
// request.
func writeAttempts(output io.Writer, indent string, attempts []fanout.AttemptRecord) {
	for _, attempt := range attempts {
		fmt.Fprintf(output, "%s  +%4d ms  asked %s of %s in %s: %s after %d ms\n",
			indent, attempt.SentMillis, attempt.Server, attempt.Service, attempt.Zone, attempt.Result, attempt.TookMillis)
	}
}

func subject(line Line) string {
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

func clock(at time.Time) string { return at.Format("15:04:05.000") }
