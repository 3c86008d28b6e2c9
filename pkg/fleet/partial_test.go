package fleet_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/pkg/fleet"
)

// partialRefusals is a service whose servers refuse a share of their requests at any load, while
// their health checks succeed.
type partialRefusals struct {
	fleet         *fleet.Fleet
	random        *rand.Rand
	refusedShares map[string]float64
	// sent counts the requests that were sent, refused those of them that were refused, and
	// unserved the requests that found no server.
	sent, refused, unserved int
}

func newPartialRefusals(refusedShares map[string]float64) *partialRefusals {
	return &partialRefusals{fleet: newFleet(time.Unix(0, 0)), random: rand.New(rand.NewPCG(3, 3)), refusedShares: refusedShares}
}

// sendLoad sends requests at the rate of an owner's share of a busy shard.
func (p *partialRefusals) sendLoad(began time.Time, span time.Duration) {
	const interval = 25 * time.Millisecond
	for now := began; now.Before(began.Add(span)); now = now.Add(interval) {
		lease, _ := p.fleet.Acquire(choice, now)
		if lease == nil {
			p.unserved++
			continue
		}
		p.sent++
		result := fleet.Answered
		if p.random.Float64() < p.refusedShares[lease.Server.ID] {
			result = fleet.Refused
			p.refused++
		}
		p.fleet.Finish(lease, result, 0, now.Add(10*time.Millisecond))
	}
}

// TestAShardIsServedWhenAllItsServersRefuseSomeRequests: where no server is better, one that
// answers some requests is used. Waiting for the end of its penalty would lose the requests that it
// would have answered.
func TestAShardIsServedWhenAllItsServersRefuseSomeRequests(t *testing.T) {
	g := NewWithT(t)
	tested := newPartialRefusals(map[string]float64{"near": 0.6, "far": 0.6, "farther": 0.6})
	tested.sendLoad(time.Unix(10, 0), 9*time.Second)
	g.Expect(float64(tested.unserved)).To(BeNumerically("<", 0.1*float64(tested.sent+tested.unserved)))
	g.Expect(float64(tested.refused) / float64(tested.sent)).To(BeNumerically("~", 0.6, 0.1))
}

// TestAServerThatRefusesSomeRequestsIsAvoided: if there is a healthy server, even in another
// region, nearly all requests are served at the first attempt.
func TestAServerThatRefusesSomeRequestsIsAvoided(t *testing.T) {
	g := NewWithT(t)
	tested := newPartialRefusals(map[string]float64{"near": 0.6, "farther": 0.6})
	tested.sendLoad(time.Unix(10, 0), 9*time.Second)
	g.Expect(tested.unserved).To(BeZero())
	g.Expect(float64(tested.refused) / float64(tested.sent)).To(BeNumerically("<", 0.06))
}
