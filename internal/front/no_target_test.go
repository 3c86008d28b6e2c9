package front

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/pkg/route"
)

func withoutTarget(served *route.Route) { served.Target = 0 }

// TestOverloadOfARouteWithoutATarget checks that at twice the capacity of the shards, requests of a
// route without a target are refused immediately, as on other routes, rather than failing at their
// deadline one after the other.
func TestOverloadOfARouteWithoutATarget(t *testing.T) {
	const span = 6 * time.Second
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		simulated := newSimulationOf(withoutTarget)
		answers := simulated.offer(2*simCapacity, span)
		simulated.close()
		served, failed, refused, atOnce := 0, 0, 0, 0
		for _, answer := range answers {
			switch answer.status {
			case http.StatusOK:
				served++
			case http.StatusServiceUnavailable:
				refused++
				simulated.expectTrueRefusal(g, answer)
				if answer.took == 0 {
					atOnce++
				}
			default:
				failed++
			}
		}
		t.Logf("%d served, %d failed, %d refused, %d of them immediately", served, failed, refused, atOnce)
		g.Expect(atOnce).To(BeNumerically(">", len(answers)/4))
		g.Expect(failed).To(BeNumerically("<", len(answers)/10))
		g.Expect(float64(served)).To(BeNumerically(">=", 0.9*simCapacity*span.Seconds()))
	})
}

// TestABurstThatFitsTheDeadlineIsServed checks that a route without a target serves a short burst:
// 1.5 times the capacity for half a second queues for at most an eighth of the deadline.
func TestABurstThatFitsTheDeadlineIsServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		simulated := newSimulationOf(withoutTarget)
		for _, answer := range simulated.offer(1.5*simCapacity, 500*time.Millisecond) {
			g.Expect(answer.status).To(Equal(http.StatusOK))
		}
		for _, answer := range simulated.offer(simCapacity/2, 2*time.Second) {
			g.Expect(answer.status).To(Equal(http.StatusOK))
		}
		simulated.close()
	})
}
