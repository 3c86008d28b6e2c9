package front

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/pkg/route"
)

// TestWhatDoesNotFitAServiceIsNotMovedToAnother checks that requests beyond the capacity of a
// service are refused rather than sent to the route's other service. The route divides its requests
// 3 to 1; the first service gets four times its capacity, and the second gets no more than its
// fourth.
func TestWhatDoesNotFitAServiceIsNotMovedToAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		simulated := newSimulation()
		defer simulated.close()
		simulated.serve(route.Route{
			Name: "divided", Host: "h", Prefix: "/", Repeatable: true, Target: simTarget, MaxAttempts: 2,
			Backends: []route.Weighted{{Service: "shard-0", Weight: 3}, {Service: "shard-1", Weight: 1}},
		})
		const span = 4 * time.Second
		rate := 4 * simCapacity / 3 * 4
		answers := simulated.offer(rate, span)
		runsByService := make(map[string]int)
		for index, server := range simulated.servers[:2*simServers] {
			runsByService[[]string{"shard-0", "shard-1"}[index/simServers]] += server.runs()
		}
		served, refused := 0, 0
		for _, answer := range answers {
			switch answer.status {
			case http.StatusOK:
				served++
			case http.StatusServiceUnavailable:
				refused++
			}
		}
		g.Expect(runsByService["shard-1"]).To(BeNumerically("<=", len(answers)/4+1), "no more than the share of its weight")
		g.Expect(served + refused).To(BeNumerically(">=", len(answers)*95/100))
		g.Expect(refused).To(BeNumerically(">", len(answers)/3))
	})
}
