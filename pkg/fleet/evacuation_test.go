package fleet_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/pkg/fleet"
	"github.com/bramblemast/bramblemast/pkg/route"
)

const evacuateWithin = time.Second

// TestTheLoadLeavesAnEvacuatedZoneEvenly, and is gone when the time is over, also what
// has chosen a server before.
func TestTheLoadLeavesAnEvacuatedZoneEvenly(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	tested := newFleet(now)
	g.Expect(tested.Evacuate("near", evacuateWithin, now)).To(BeTrue())
	g.Expect(tested.Evacuate("near", evacuateWithin, now)).To(BeFalse(), "it is known")
	counts := make([]int, 5)
	for quarter := range counts {
		for range 100 {
			if ask(tested, &now, time.Millisecond) == "near" {
				counts[quarter]++
			}
			now = now.Add(1500 * time.Microsecond)
		}
	}
	g.Expect(counts[0]).To(BeNumerically(">", 75))
	g.Expect(counts[1]).To(BeNumerically("~", 62, 20))
	g.Expect(counts[2]).To(BeNumerically("~", 37, 20))
	g.Expect(counts[3]).To(BeNumerically("<", 25))
	g.Expect(counts[4]).To(BeZero())
	g.Expect(tested.ServingZones("s")).NotTo(ContainElement("near"))
}

func TestWhatWasQueuedForAnEvacuatedServerIsNotSent(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	tested := newFleet(now)
	lease, _ := tested.Acquire(choice, now)
	g.Expect(lease.Server.ID).To(Equal("near"))
	tested.Evacuate("near", evacuateWithin, now)
	g.Expect(tested.MaySend(lease, route.Regions{}, now)).To(BeTrue())
	g.Expect(tested.MaySend(lease, route.Regions{}, now.Add(evacuateWithin))).To(BeFalse())
}

// TestAServiceWhoseZonesAreAllEvacuatedIsNotServable: none of its servers is the last
// resort.
func TestAServiceWhoseZonesAreAllEvacuatedIsNotServable(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	tested := newFleet(now)
	for _, zone := range []string{"near", "far", "farther"} {
		tested.Evacuate(zone, evacuateWithin, now)
	}
	g.Expect(tested.CountServable([]string{"s"}, route.Regions{}, now.Add(evacuateWithin/2))).To(Equal(1))
	now = now.Add(evacuateWithin)
	g.Expect(tested.CountServable([]string{"s"}, route.Regions{}, now)).To(BeZero())
	_, availability := tested.Acquire(choice, now)
	g.Expect(availability).To(Equal(fleet.Absent))
}

// TestAZoneIsUsedWhileItIsEvacuatedIfTheOthersAreFull: until the time is over, a request
// that fits nowhere else is served there.
func TestAZoneIsUsedWhileItIsEvacuatedIfTheOthersAreFull(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	tested := newFleet(now)
	tested.SetConnections(map[string]int{"s": 1})
	tested.Evacuate("near", evacuateWithin, now)
	now = now.Add(evacuateWithin * 9 / 10)
	servers := map[string]bool{}
	for range 3 {
		lease, availability := tested.Acquire(choice, now)
		g.Expect(availability).To(Equal(fleet.Available))
		servers[lease.Server.ID] = true
	}
	g.Expect(servers).To(HaveLen(3))
}

// TestAZoneReturnsColdFromAnEvacuation, since its servers have served nothing meanwhile
// and what they tell of it may come later.
func TestAZoneReturnsColdFromAnEvacuation(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	tested := newFleet(now)
	tested.SetWarmUps(map[string]fleet.WarmUp{"s": {Span: 3 * time.Second, PerSecond: 4}})
	tested.SetWarmUpBounds(fleet.WarmUpBounds{Factor: 1})
	tested.SetCallers(fleet.Callers{Total: 1, ByZone: map[string]int{"near": 1}, Names: []string{""}})
	g.Expect(tested.EndEvacuation("near", now)).To(BeFalse())
	tested.Evacuate("near", evacuateWithin, now)
	now = now.Add(time.Minute)
	g.Expect(tested.EndEvacuation("near", now)).To(BeTrue())
	near := 0
	for range 100 {
		if ask(tested, &now, 9*time.Millisecond) == "near" {
			near++
		}
	}
	g.Expect(near).To(BeNumerically("<=", 4), "in nearly a second")
	now = now.Add(3 * time.Second)
	g.Expect(ask(tested, &now, time.Millisecond)).To(Equal("near"), "it is warm again")
}
