package fleet_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/pkg/fleet"
)

// partial is a service whose servers refuse a share of their requests at any load, while
// their health is good.
type partial struct {
	fleet   *fleet.Fleet
	random  *rand.Rand
	refuses map[string]float64
	// first and refused count first tries and those that were refused, waited those that
	// found no server to ask.
	first, refused, waited int
}

func newPartial(refuses map[string]float64) *partial {
	return &partial{fleet: newFleet(time.Unix(0, 0)), random: rand.New(rand.NewPCG(3, 3)), refuses: refuses}
}

// offer sends requests at a rate of an owner's share of a busy shard.
func (p *partial) offer(began time.Time, span time.Duration) {
	const interval = 25 * time.Millisecond
	for now := began; now.Before(began.Add(span)); now = now.Add(interval) {
		lease, _ := p.fleet.Acquire(choice, now)
		if lease == nil {
			p.waited++
			continue
		}
		p.first++
		result := fleet.Answered
		if p.random.Float64() < p.refuses[lease.Server.ID] {
			result = fleet.Refused
			p.refused++
		}
		p.fleet.Finish(lease, result, 0, now.Add(10*time.Millisecond))
	}
}

// TestAShardWhoseServersAllRefuseAPartIsServed: where no server is better, one that
// answers some requests is asked instead of none: waiting for its penalty to end costs the
// requests that it would have answered.
func TestAShardWhoseServersAllRefuseAPartIsServed(t *testing.T) {
	g := NewWithT(t)
	tested := newPartial(map[string]float64{"near": 0.6, "far": 0.6, "farther": 0.6})
	tested.offer(time.Unix(10, 0), 9*time.Second)
	g.Expect(float64(tested.waited)).To(BeNumerically("<", 0.1*float64(tested.first+tested.waited)))
	g.Expect(float64(tested.refused) / float64(tested.first)).To(BeNumerically("~", 0.6, 0.1))
}

// TestAServerThatRefusesAPartIsLeftToOthers: with a sound server, also in another region,
// nearly all requests are served by their first try.
func TestAServerThatRefusesAPartIsLeftToOthers(t *testing.T) {
	g := NewWithT(t)
	tested := newPartial(map[string]float64{"near": 0.6, "farther": 0.6})
	tested.offer(time.Unix(10, 0), 9*time.Second)
	g.Expect(tested.waited).To(BeZero())
	g.Expect(float64(tested.refused) / float64(tested.first)).To(BeNumerically("<", 0.06))
}
