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

// TestOverloadOfARouteWithoutATarget: with twice the load that the shards can bear, requests that
// may be answered at any time before their deadline are refused at once as others are, rather than
// fail there one after the other.
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
		t.Logf("%d served, %d failed, %d refused, %d of them at once", served, failed, refused, atOnce)
		g.Expect(atOnce).To(BeNumerically(">", len(answers)/4))
		g.Expect(failed).To(BeNumerically("<", len(answers)/10))
		g.Expect(float64(served)).To(BeNumerically(">=", 0.9*simCapacity*span.Seconds()))
	})
}

// TestABurstThatFitsTheDeadlineIsServed on such a route: 1.5 times the capacity for half a second
// waits for an eighth of the deadline at most.
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
