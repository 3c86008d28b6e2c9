package integration

import (
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/internal/lab/load"
	"github.com/bramblemast/bramblemast/internal/lab/standin/labapi"
	"github.com/bramblemast/bramblemast/internal/lab/topology"
	"github.com/bramblemast/bramblemast/pkg/outcome"
)

// Loads of the colour archive; the first one streams.
var (
	formulas = load.TemplateLoad{Tenant: "colour-archive", Template: "colour-lookup", Limit: 5, Stream: true}
	batches  = load.TemplateLoad{Tenant: "colour-archive", Template: "batch-history", Limit: 50}
)

// plannedStops is the number of planned stops of one spec.
const plannedStops = 6

var _ = Describe("the end of a node", Label("integration"), func() {
	var i *installation

	BeforeEach(func(ctx SpecContext) { i = newInstallation(GinkgoT().Context(), topology.PresetColourArchive) })

	It("cuts off no request when it is planned: streams, whole answers and orders, with slow back ends", func() {
		slow := labapi.Faults{StragglerShare: 0.05, StragglerFactor: 100}
		Expect(i.admin.SetFaults(i.ctx, labapi.Selector{}, slow)).To(Succeed())
		var took []string
		i.during(func() {
			for round := range plannedStops {
				stopping := i.nodes[round%len(i.nodes)]
				time.Sleep(200 * time.Millisecond)
				begun := time.Now()
				stopping.stop()
				took = append(took, time.Since(begun).Round(time.Millisecond).String())
				stopping.run()
				stopping.waitReady()
			}
		}, i.nodes, 120, 10*time.Second, formulas, batches, orders)
		AddReportEntry("planned stops took", strings.Join(took, ", "))
		AddReportEntry("outcomes over planned stops", i.exchanges.outcomes())
		Expect(describe(i.exchanges.cutOff())).To(BeEmpty())
		i.expectNoViolation()
	})

	It("loses only the requests at that node when it is killed, and their callers can tell", func() {
		slow := labapi.Faults{StragglerShare: 0.3, StragglerFactor: 100}
		Expect(i.admin.SetFaults(i.ctx, labapi.Selector{}, slow)).To(Succeed())
		killed := i.nodes[1]
		i.during(func() {
			time.Sleep(500 * time.Millisecond)
			killed.kill()
			time.Sleep(500 * time.Millisecond)
			killed.run()
			killed.waitReady()
		}, i.nodes, 150, 4*time.Second, formulas, batches, orders)
		cut := i.exchanges.cutOff()
		AddReportEntry("cut off by a kill", fmt.Sprintf("%d of %d exchanges", len(cut), len(i.exchanges.all())))
		for _, exchange := range cut {
			Expect(exchange.Target).To(Equal("http://"+killed.callers), exchange.RequestID)
			Expect(exchange.Outcome()).To(Equal(outcome.Unknown))
		}
		i.expectNoViolation()
	})
})

// describe tells of exchanges that ended without an answer or a problem.
func describe(exchanges []*load.Exchange) []string {
	texts := make([]string, 0, len(exchanges))
	for _, exchange := range exchanges {
		texts = append(texts, fmt.Sprintf("%s %s at %s, sent %s, ended %s: %v", exchange.RequestID, exchange.Request.Load.Template,
			exchange.Target, exchange.Sent.UTC().Format(time.RFC3339Nano), exchange.Finished.UTC().Format(time.RFC3339Nano), exchange.Err))
	}
	return texts
}
