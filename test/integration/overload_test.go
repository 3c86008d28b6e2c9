package integration

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/internal/lab/load"
	"github.com/bramblemast/bramblemast/internal/lab/standin/labapi"
	"github.com/bramblemast/bramblemast/internal/lab/topology"
	"github.com/bramblemast/bramblemast/pkg/outcome"
	"github.com/bramblemast/bramblemast/pkg/target"
)

// Back ends of the overload: each of the four groups of colour-lookup has 20
// slots, and a sub-request takes about 200 ms, so that the service can do about
// 100 queries over all groups a second.
const (
	colourLookup     target.Service = "colour-lookup"
	overloadSlowdown                = 100
	overloadCapacity                = 100.0
	// batchDeadline is the deadline of the template of the overload.
	batchDeadline = 2 * time.Second
)

var _ = Describe("an overload", Label("integration"), func() {
	It("is refused at once with when to retry, also while back ends reset connections", func() {
		i := newInstallation(GinkgoT().Context(), topology.PresetColourArchive)
		slow := labapi.Faults{SlowFactor: overloadSlowdown, ResetShare: 0.01}
		Expect(i.admin.SetFaults(i.ctx, labapi.Selector{Service: colourLookup}, slow)).To(Succeed())
		i.load(i.nodes, 3*overloadCapacity, 5*time.Second, batches)
		var served, refused []time.Duration
		for _, exchange := range i.exchanges.all() {
			switch {
			case exchange.Answer != nil:
				served = append(served, exchange.Finished.Sub(exchange.Sent))
			case exchange.Refused():
				Expect(exchange.Problem.RetryAfterMS).To(BeNumerically(">", 0), "%s: %s", exchange.RequestID, exchange.Problem.Detail)
				refused = append(refused, exchange.Finished.Sub(exchange.Sent))
			}
		}
		slices.Sort(served)
		slices.Sort(refused)
		AddReportEntry("outcomes under overload", i.exchanges.outcomes())
		AddReportEntry("latency under overload", fmt.Sprintf("served %s, refused %s", quantilesOf(served), quantilesOf(refused)))
		Expect(refused).NotTo(BeEmpty())
		Expect(served).NotTo(BeEmpty())
		Expect(refused[len(refused)/2]).To(BeNumerically("<", batchDeadline/4), "the median refusal is held back")
		Expect(refusedLate(i.exchanges.all())).To(BeEmpty())
		i.expectNoViolation()
	})
})

// quantilesOf names some of the sorted latencies.
func quantilesOf(latencies []time.Duration) string {
	if len(latencies) == 0 {
		return "none"
	}
	last := len(latencies) - 1
	return fmt.Sprintf("%d: p50 %s, p99 %s", len(latencies), latencies[last/2], latencies[last*99/100])
}

// refusedLate returns the refusals for lack of places that came only when the
// deadline was near.
func refusedLate(exchanges []*load.Exchange) []string {
	var late []string
	for _, exchange := range exchanges {
		overloaded := exchange.Reason() == outcome.ReasonOverloaded
		if overloaded && exchange.Finished.Sub(exchange.Sent) > batchDeadline*9/10 {
			late = append(late, fmt.Sprintf("%s after %s: %s", exchange.RequestID, exchange.Finished.Sub(exchange.Sent), exchange.Problem.Detail))
		}
	}
	return late
}
