package demo

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/bramblemast/bramblemast/api"
	"github.com/bramblemast/bramblemast/internal/lab/load"
)

const rowFormat = "   %-28s %-8s %8s %9s %7s %8s %6s  %s"

func (s *stage) printHeader() {
	s.print(rowFormat, "template", "node", "snapshot", "coverage", "matches", "records", "extra", "took, stopped by")
}

// printExchange prints an answer or the problem in its place.
func (s *stage) printExchange(exchange *load.Exchange) {
	name := exchange.Request.Load.Name()
	answer := exchange.Answer
	if answer == nil {
		s.print("   %-28s %s", name, describe(exchange))
		return
	}
	s.print(rowFormat, name, shortNode(answer.Node), fmt.Sprint(answer.Snapshot), coverageText(answer.Coverage),
		fmt.Sprint(answer.Matches), fmt.Sprint(len(answer.Records)),
		fmt.Sprintf("%.0f%%", 100*answer.ExtraLoad.Ratio),
		fmt.Sprintf("%.1f ms, %s", answer.ElapsedMS, answer.StopReason))
}

// printEvent prints an early state of a stream.
func (s *stage) printEvent(event api.Event) {
	if event.Partial == nil {
		s.print("   %s", event.Type)
		return
	}
	leaders := make([]string, 0, len(event.Partial.Records))
	for _, record := range event.Partial.Records[:min(3, len(event.Partial.Records))] {
		leaders = append(leaders, fmt.Sprintf("%s=%d", record.Key, record.Score))
	}
	s.print("   early, %s of snapshot %d: %s", coverageText(event.Partial.Coverage), event.Partial.Snapshot, strings.Join(leaders, " "))
}

// coverageText writes the share, and marks what is not complete.
func coverageText(coverage api.Coverage) string {
	if coverage.Complete {
		return "complete"
	}
	return fmt.Sprintf("%.1f%%", 100*coverage.Share)
}

// shortNode leaves out the part of a node's id that changes with each start.
func shortNode(id string) string {
	if cut := strings.LastIndex(id, "-"); cut > 0 {
		return id[:cut]
	}
	return id
}

// describe says how an exchange without an answer ended.
func describe(exchange *load.Exchange) string {
	problem := exchange.Problem
	if problem == nil {
		return fmt.Sprintf("failed: %v", exchange.Err)
	}
	text := fmt.Sprintf("%s, outcome %s", problem.Reason, problem.Outcome)
	if problem.Coverage != nil {
		text += ", coverage " + coverageText(*problem.Coverage)
	}
	if problem.RetryAfterMS > 0 {
		text += fmt.Sprintf(", retry after %d ms", problem.RetryAfterMS)
	}
	if problem.Step != "" {
		text += ", at " + problem.Step
	}
	return text
}

// printSummary prints what many exchanges had in common.
func (s *stage) printSummary(label string, seen []*load.Exchange) {
	var complete, primary, extra int
	var took []time.Duration
	for _, exchange := range seen {
		took = append(took, exchange.Finished.Sub(exchange.Sent))
		if exchange.Answer == nil {
			continue
		}
		primary += exchange.Answer.ExtraLoad.Primary
		extra += exchange.Answer.ExtraLoad.Hedges + exchange.Answer.ExtraLoad.Retries
		if exchange.Answer.Coverage.Complete {
			complete++
		}
	}
	s.print("   %-20s %3d requests, %3d complete, snapshots %v, median %s, slowest %s, extra load %.1f%%",
		label, len(seen), complete, snapshotsOf(seen), median(took), slowest(took), percent(extra, primary))
}

// snapshotsOf lists the versions that answers were drawn from.
func snapshotsOf(seen []*load.Exchange) []uint64 {
	known := make(map[uint64]bool)
	var snapshots []uint64
	for _, exchange := range seen {
		if exchange.Answer != nil && !known[exchange.Answer.Snapshot] {
			known[exchange.Answer.Snapshot] = true
			snapshots = append(snapshots, exchange.Answer.Snapshot)
		}
	}
	sort.Slice(snapshots, func(i, j int) bool { return snapshots[i] < snapshots[j] })
	return snapshots
}

// expectAllAnswered notes a fault for a request without an answer.
func (s *stage) expectAllAnswered(scene string, seen []*load.Exchange) {
	for _, exchange := range seen {
		s.expect(exchange.Answer != nil, "%s: request %s got no answer: %s", scene, exchange.RequestID, describe(exchange))
	}
}

func median(took []time.Duration) time.Duration {
	if len(took) == 0 {
		return 0
	}
	sort.Slice(took, func(i, j int) bool { return took[i] < took[j] })
	return took[len(took)/2].Round(10 * time.Microsecond)
}

func slowest(took []time.Duration) time.Duration {
	var greatest time.Duration
	for _, one := range took {
		greatest = max(greatest, one)
	}
	return greatest.Round(10 * time.Microsecond)
}

func percent(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return 100 * float64(part) / float64(whole)
}
