package edge

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/pkg/directory"
	"github.com/bramblemast/bramblemast/pkg/exchange"
	"github.com/bramblemast/bramblemast/pkg/exchange/exchangetest"
	"github.com/bramblemast/bramblemast/pkg/fleet"
	"github.com/bramblemast/bramblemast/pkg/quarantine"
)

// TestEntriesThatNameNoServerAreToldInBoundedLines: each refused entry is counted, but the rate of
// log lines about them is limited.
func TestEntriesThatNameNoServerAreToldInBoundedLines(t *testing.T) {
	g := NewWithT(t)
	var lines bytes.Buffer
	logger := hclog.New(&hclog.LoggerOptions{Output: &lines, JSONFormat: true})
	servers, recorded := fleet.New(fleet.Settings{Random: newRandom()}), newMetricSet()
	tested := &state{fleet: servers, metrics: recorded, logger: logger, refusals: newRequestRecorder(logger, recorded, nil)}
	tested.Changed(directory.Entry{Key: "servers/i", Server: &fleet.Server{ID: "i", Start: 1, Service: "s", Address: "a"}})
	tested.Changed(directory.Entry{Key: "servers/i", Revision: 2, ServerID: "i", Server: &fleet.Server{ID: "i", Service: "s", Address: "a"}})
	g.Expect(lines.String()).To(And(ContainSubstring("lacks the start"), ContainSubstring(`"server_left_out":true`)))
	lines.Reset()
	tested.Changed(directory.Entry{Key: "servers/i", Revision: 3, ServerID: "i", Server: &fleet.Server{ID: "i", Service: "s", Address: "a"}})
	g.Expect(lines.String()).To(And(ContainSubstring("lacks the start"), ContainSubstring(`"server_left_out":false`)), "the second refusal must be logged too")
	for number := range 1000 {
		tested.Changed(directory.Entry{Key: "servers/i", Revision: uint64(number), ServerID: "i", Problem: io.ErrUnexpectedEOF})
	}
	g.Expect(strings.Count(lines.String(), "entry refused")).To(BeNumerically("<=", 2*linesPerSecond))
	families, err := recorded.registry.Gather()
	g.Expect(err).NotTo(HaveOccurred())
	for _, family := range families {
		if family.GetName() == namespace+"_state_refused_total" {
			g.Expect(family.GetMetric()[0].GetCounter().GetValue()).To(Equal(1002.0))
			return
		}
	}
	t.Fatal("the metric state_refused_total is missing")
}

// TestReplacedProcessIsReportedToQuarantine: the quarantine must learn from the store that a process
// was replaced. A connection to its address would not show that it has ended, because the new
// process accepts it.
func TestReplacedProcessIsReportedToQuarantine(t *testing.T) {
	g := NewWithT(t)
	network := exchangetest.NewNetwork()
	network.Add("a", func(exchangetest.Request) exchangetest.Answer { return exchangetest.Whole("") })
	silent, metrics := hclog.NewNullLogger(), newMetricSet()
	guard := quarantine.New(quarantine.Options{Dialer: network, Events: suspectEvents{
		node: &Node{metrics: metrics, logger: silent}, recorder: newRequestRecorder(silent, metrics, nil),
	}})
	tested := &state{fleet: fleet.New(fleet.Settings{Random: newRandom()}), quarantine: guard, logger: silent}
	fingerprint := exchange.Fingerprint{1}
	for start := fleet.Start(1); start <= 3; start++ {
		process := fleet.Server{ID: "i", Start: start, Service: "s", Address: "a"}
		tested.Changed(directory.Entry{Key: "servers/i", Server: &process})
		guard.RecordBrokenConnection(fingerprint, process.Incarnation(), process.Address, time.Now())
	}
	tested.Changed(directory.Entry{Key: "servers/i", Server: &fleet.Server{ID: "i", Start: 4, Service: "s", Address: "a"}})
	g.Expect(guard.State(fingerprint)).To(Equal(quarantine.Suspect))
}
