package explain_test

import (
	"bytes"
	"os"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/internal/explain"
)

// recorded returns log lines of a system in which servers crash and slow down, nodes are stopped and
// killed, and configurations change in quick succession.
func recorded(t *testing.T) []explain.Line { return linesOf(t, "testdata/recorded.log") }

func linesOf(t *testing.T, name string) []explain.Line {
	t.Helper()
	file, err := os.Open(name)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	lines, other, err := explain.Read(file)
	if err != nil || other != 0 {
		t.Fatalf("reading recorded log lines: error %v, %d other lines", err, other)
	}
	return lines
}

// TestCauseOfARequest checks the walkthroughs of docs/OPERATIONS.md.
func TestCauseOfARequest(t *testing.T) {
	lines := recorded(t)
	for _, test := range []struct {
		id       string
		cause    explain.Cause
		contains []string
	}{
		{"64b4f2f0ebcbdc59", explain.CauseBusy, []string{"answered 503", "0 of 15 parts", "before: dependency regained (store)"}},
		{"496cbb0faf4354e1", explain.CausePartialTimeout, []string{"answered 200, target; 9 of 10 parts", "pending after 108 ms"}},
		{"69c0f4757721e019", explain.CausePartialFailed, []string{"connection refused", "unexpected EOF", "14 of 15 parts"}},
		{"d1c4988924e9e51d", explain.CauseServerFailed, []string{"answered 504", "status 504 after 384 ms"}},
		{"0a9029d193cb7384", explain.CauseTimeout, []string{"answered 502", "pending after 57 ms"}},
		{"b885f4a24d3a4b60", explain.CauseNoRoute, []string{
			"an older configuration: edge-setubal-sala-a-1 had version 37 in force 59 ms before",
		}},
	} {
		t.Run(test.id, func(t *testing.T) {
			g := NewWithT(t)
			story, err := explain.Explain(lines, test.id)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(story.Tries[0].Cause).To(Equal(test.cause))
			var text bytes.Buffer
			story.Write(&text)
			for _, part := range append(test.contains, "cause: "+string(test.cause)) {
				g.Expect(text.String()).To(ContainSubstring(part))
			}
		})
	}
}

// TestCauseInTheLineOfAnOwner checks the fifth walkthrough: the servers that were queried
// for a shard are named only in the line of its owner.
func TestCauseInTheLineOfAnOwner(t *testing.T) {
	g := NewWithT(t)
	story, err := explain.Explain(linesOf(t, "testdata/owners.log"), "dd38e8a6bd64c044")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(story.Tries).To(HaveLen(1))
	g.Expect(story.Tries[0].Cause).To(Equal(explain.CausePartialTimeout))
	var text bytes.Buffer
	story.Write(&text)
	for _, part := range []string{
		"asked edge-oslo-hall-a-18 for 9 shards: pending", "at their owner edge-oslo-hall-a-18: 8 of 9 parts",
		"of lemi16i in oslo-hall-d: pending", "of lemi16i in trondheim-hall-c: pending",
	} {
		g.Expect(text.String()).To(ContainSubstring(part))
	}
}

// TestAnOwnerThatDidNotAnswerIsNamed checks that an owner without an answer is the cause if nothing
// else is known.
func TestAnOwnerThatDidNotAnswerIsNamed(t *testing.T) {
	g := NewWithT(t)
	lines, _, err := explain.Read(strings.NewReader(`{"@timestamp":"2026-03-13T13:02:12Z","@message":"owner lost","node":"a",` +
		`"owner":"b","error":"no report came in time"}
{"@timestamp":"2026-03-13T13:02:12.1Z","@message":"request","node":"a","request":"r","status":200,"reason":"target","missing":["s"],` +
		`"parts":8,"required":8,"total":9,"owners":[{"owner":"b","services":3,"result":"silent"}]}
`))
	g.Expect(err).NotTo(HaveOccurred())
	story, err := explain.Explain(lines, "r")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(story.Tries[0].Cause).To(Equal(explain.CauseOwnerTimeout))
	var text bytes.Buffer
	story.Write(&text)
	g.Expect(text.String()).To(ContainSubstring("before: owner lost (b) no report came in time"))
	g.Expect(text.String()).To(ContainSubstring("asked b for 3 shards: silent"))
}

// TestCauseOfARefusalForOverload checks the fourth walkthrough, on log lines of a burst.
func TestCauseOfARefusalForOverload(t *testing.T) {
	lines := linesOf(t, "testdata/overload.log")
	for id, expected := range map[string]struct {
		cause    explain.Cause
		contains []string
	}{
		"842d6d83a8d798bc": {explain.CauseNotOffered, []string{
			"before: overload (kade41a: 94 sub-requests wait for a free server)", "0 of 10 parts, 9 wanted", "retry after 120 ms",
		}},
		"0d5f99e88e38d915": {explain.CauseNoCapacity, []string{"answered 504, deadline", "2 of 10 parts, 9 wanted"}},
	} {
		t.Run(id, func(t *testing.T) {
			g := NewWithT(t)
			story, err := explain.Explain(lines, id)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(story.Tries[0].Cause).To(Equal(expected.cause))
			var text bytes.Buffer
			story.Write(&text)
			for _, part := range expected.contains {
				g.Expect(text.String()).To(ContainSubstring(part))
			}
		})
	}
}

func TestAnUnknownRequest(t *testing.T) {
	_, err := explain.Explain(recorded(t), "none")
	NewWithT(t).Expect(err).To(MatchError(explain.ErrUnknownRequest))
}

// TestASummaryCountsEachRequestOnce checks the counts, and that the time range is applied.
func TestASummaryCountsEachRequestOnce(t *testing.T) {
	g := NewWithT(t)
	lines := recorded(t)
	total := 0
	for _, group := range explain.Summary(lines, time.Time{}, time.Time{}) {
		total += group.Count
		g.Expect(group.Example).NotTo(BeEmpty())
	}
	g.Expect(total).To(Equal(6))
	to := time.Date(2026, 5, 8, 1, 48, 40, 0, time.UTC)
	early := explain.Summary(lines, time.Time{}, to)
	g.Expect(early).To(HaveLen(2))
	g.Expect(early[0].Last.Before(to)).To(BeTrue())
}

// TestLinesOfOtherProgramsAreIgnored checks that lines that are not a node's are counted and ignored.
func TestLinesOfOtherProgramsAreIgnored(t *testing.T) {
	g := NewWithT(t)
	lines, other, err := explain.Read(strings.NewReader("panic: x\n\n{\"a\":1}\n{broken\n" +
		`  3.5 node-1 {"@timestamp":"2026-05-08T01:48:40Z","@message":"started","node":"node-1"}` + "\n"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(other).To(Equal(4))
	g.Expect(lines).To(HaveLen(1))
	g.Expect(lines[0].Node).To(Equal("node-1"))
}

// TestARequestThatEndedItsServersIsNamed checks that the story of a quarantined request names the
// servers that ended while they had it, and no others.
func TestARequestThatEndedItsServersIsNamed(t *testing.T) {
	g := NewWithT(t)
	lines, _, err := explain.Read(strings.NewReader(`{"@timestamp":"2026-03-13T13:02:12Z","@message":"request suspect","node":"a",` +
		`"fingerprint":"f1","servers_ended":["s1","s2","s3"]}
{"@timestamp":"2026-03-13T13:02:12.02Z","@message":"request suspect","node":"a","fingerprint":"f2","servers_ended":["s9"]}
{"@timestamp":"2026-03-13T13:02:12.1Z","@message":"request","node":"a","request":"r","status":502,"reason":"quarantined",` +
		`"fingerprint":"f1","parts":0,"required":8,"total":9}
`))
	g.Expect(err).NotTo(HaveOccurred())
	story, err := explain.Explain(lines, "r")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(story.Tries[0].Cause).To(Equal(explain.CauseQuarantined))
	var text bytes.Buffer
	story.Write(&text)
	g.Expect(text.String()).To(ContainSubstring("before: request suspect (servers ended: s1, s2, s3)"))
	g.Expect(text.String()).NotTo(ContainSubstring("s9"))
}

// TestCauseOfARefusedKey checks walkthrough 7: whether a key was sent, whose it is, and
// which configuration lacked it.
func TestCauseOfARefusedKey(t *testing.T) {
	g := NewWithT(t)
	lines := linesOf(t, "testdata/keys.log")
	for id, expected := range map[string]struct {
		cause    explain.Cause
		contains []string
	}{
		"unknown": {explain.CauseUnknownKey, []string{
			"request unknown with a key of hash 5e884898 on route \"r\", configuration 4", "before: configuration in force (version 4)",
			"an older configuration: b had version 5 in force 700 ms before",
		}},
		"none": {explain.CauseNoKey, []string{"answered 401, unauthenticated"}},
		"old": {explain.CauseStaleKeys, []string{
			"before: keys lapsed", "of hash 5e884898", "the client was told to retry after 200 ms",
		}},
		"limit": {explain.CauseOverLimit, []string{"request limit of tenant \"desk\" on route", "answered 429, over_limit"}},
	} {
		story, err := explain.Explain(lines, id)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(story.Tries[0].Cause).To(Equal(expected.cause))
		var text bytes.Buffer
		story.Write(&text)
		for _, part := range expected.contains {
			g.Expect(text.String()).To(ContainSubstring(part))
		}
	}
}

// TestARefusedRequestNamesTheServiceWithoutCapacity checks that the story names the service with too
// little capacity, the share that it admitted, and the priority and tenant of that share.
func TestARefusedRequestNamesTheServiceWithoutCapacity(t *testing.T) {
	g := NewWithT(t)
	lines, _, err := explain.Read(strings.NewReader(`{"@timestamp":"2026-03-13T13:02:12.1Z","@message":"request","node":"a",` +
		`"request":"r","status":503,"reason":"not_offered","parts":0,"required":35,"total":36,"shed":36,"tenant":"acme",` +
		`"short_service":"shard7","share":0.125,"share_age_ms":88,"priority":2,"retry_after_ms":640}
`))
	g.Expect(err).NotTo(HaveOccurred())
	story, err := explain.Explain(lines, "r")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(story.Tries[0].Cause).To(Equal(explain.CauseNotOffered))
	var text bytes.Buffer
	story.Write(&text)
	g.Expect(text.String()).To(ContainSubstring("short of room: shard7 let in 12.5 in 100 requests of priority 2 of tenant \"acme\", known for 88 ms"))
}
