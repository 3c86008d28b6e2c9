package front

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/pkg/route"
)

// TestWhatDoesNotFitAServiceIsNotMovedToAnother: a route divides its requests 3 to 1 among
// two services. Four times as many come as the first can serve, and the second has room for
// all of its own; what the first has no room for is refused, and the second gets its fourth.
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
		asked := make(map[string]int)
		for index, server := range simulated.servers[:2*simServers] {
			asked[[]string{"shard-0", "shard-1"}[index/simServers]] += server.runs()
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
		g.Expect(asked["shard-1"]).To(BeNumerically("<=", len(answers)/4+1), "no more than its weight")
		g.Expect(served + refused).To(BeNumerically(">=", len(answers)*95/100))
		g.Expect(refused).To(BeNumerically(">", len(answers)/3))
	})
}
