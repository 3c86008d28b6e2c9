package explain_test

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/internal/explain"
)

// refusedLines are the log lines of a request over its tenant's limit, and of one at a node that
// reached no coordinator.
const refusedLines = `
{"@timestamp":"2026-03-13T13:02:10.0Z","@message":"tenant at its limit","node":"c","tenant":"acme","asked_per_s":80.2,"limit_per_s":10}
{"@timestamp":"2026-03-13T13:02:10.5Z","@message":"tenant at its limit","node":"c","tenant":"other","asked_per_s":70,"limit_per_s":9}
{"@timestamp":"2026-03-13T13:02:11.0Z","@message":"coordinator of limits lost","node":"b","coordinator":"c","error":"deadline"}
{"@timestamp":"2026-03-13T13:02:12.1Z","@message":"request","node":"a","request":"r","status":429,"reason":"over_limit","tenant":"acme","quota_share":0.125,"quota_share_age_ms":77,"quota_decided_by":"first c","retry_after_ms":240}
{"@timestamp":"2026-03-13T13:02:12.2Z","@message":"request","node":"b","request":"s","status":429,"reason":"over_limit","tenant":"acme","quota_share":1,"quota_share_age_ms":900,"quota_decided_by":"alone","retry_after_ms":800}
`

// TestARefusalOverALimitNamesItsShare checks that the story of a request over its tenant's limit
// names the admitted share and what the coordinator logged.
func TestARefusalOverALimitNamesItsShare(t *testing.T) {
	g := NewWithT(t)
	lines, _, err := explain.Read(strings.NewReader(refusedLines))
	g.Expect(err).NotTo(HaveOccurred())
	explained := func(id string) string {
		story, err := explain.Explain(lines, id)
		g.Expect(err).NotTo(HaveOccurred())
		var output strings.Builder
		story.Write(&output)
		return output.String()
	}
	g.Expect(explained("r")).To(SatisfyAll(
		ContainSubstring("tenant at its limit (acme at c: asked 80 a second, limit 10)"),
		ContainSubstring("tenant acme: 0.12 of its requests admitted, told 77 ms before; decided by first c"),
		ContainSubstring("cause: "+string(explain.CauseOverLimit)),
		Not(ContainSubstring("other")),
	))
	g.Expect(explained("s")).To(SatisfyAll(
		ContainSubstring("coordinator of limits lost (c) deadline"),
		ContainSubstring("cause: "+string(explain.CauseLimitIsolated)),
	))
}
