package fleet_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/pkg/fleet"
	"github.com/bramblemast/bramblemast/pkg/route"
)

const evacuationTime = time.Second

// TestTheLoadLeavesAnEvacuatedZoneEvenly: the load of a zone under evacuation decreases linearly,
// and is zero when the evacuation time is over.
func TestTheLoadLeavesAnEvacuatedZoneEvenly(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	tested := newFleet(now)
	g.Expect(tested.Evacuate("near", evacuationTime, now)).To(BeTrue())
	g.Expect(tested.Evacuate("near", evacuationTime, now)).To(BeFalse(), "the zone is already under evacuation")
	counts := make([]int, 5)
	for quarter := range counts {
		for range 100 {
			if sendRequest(tested, &now, time.Millisecond) == "near" {
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

// TestWhatWasQueuedForAnEvacuatedServerIsNotSent: a request that has a lease, but has not been sent
// yet, is not sent to a server whose zone has been evacuated in the meantime.
func TestWhatWasQueuedForAnEvacuatedServerIsNotSent(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	tested := newFleet(now)
	lease, _ := tested.Acquire(choice, now)
	g.Expect(lease.Server.ID).To(Equal("near"))
	tested.Evacuate("near", evacuationTime, now)
	g.Expect(tested.MaySend(lease, route.Regions{}, now)).To(BeTrue())
	g.Expect(tested.MaySend(lease, route.Regions{}, now.Add(evacuationTime))).To(BeFalse())
}

// TestAServiceWhoseZonesAreAllEvacuatedIsNotServable: a server in an evacuated zone is not used as
// the last resort either.
func TestAServiceWhoseZonesAreAllEvacuatedIsNotServable(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	tested := newFleet(now)
	for _, zone := range []string{"near", "far", "farther"} {
		tested.Evacuate(zone, evacuationTime, now)
	}
	g.Expect(tested.CountServable([]string{"s"}, route.Regions{}, now.Add(evacuationTime/2))).To(Equal(1))
	now = now.Add(evacuationTime)
	g.Expect(tested.CountServable([]string{"s"}, route.Regions{}, now)).To(BeZero())
	_, availability := tested.Acquire(choice, now)
	g.Expect(availability).To(Equal(fleet.Absent))
}

// TestAZoneIsUsedWhileItIsEvacuatedIfTheOthersAreFull: until the evacuation time is over, a request
// that no other zone has capacity for is served in the zone.
func TestAZoneIsUsedWhileItIsEvacuatedIfTheOthersAreFull(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	tested := newFleet(now)
	tested.SetConnections(map[string]int{"s": 1})
	tested.Evacuate("near", evacuationTime, now)
	now = now.Add(evacuationTime * 9 / 10)
	servers := map[string]bool{}
	for range 3 {
		lease, availability := tested.Acquire(choice, now)
		g.Expect(availability).To(Equal(fleet.Available))
		servers[lease.Server.ID] = true
	}
	g.Expect(servers).To(HaveLen(3))
}

// TestAZoneReturnsColdFromAnEvacuation: after an evacuation the servers of a zone count as cold,
// since they have served nothing in the meantime and their entries may say so only later.
func TestAZoneReturnsColdFromAnEvacuation(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	tested := newFleet(now)
	tested.SetWarmUps(map[string]fleet.WarmUp{"s": {Span: 3 * time.Second, PerSecond: 4}})
	tested.SetWarmUpBounds(fleet.WarmUpBounds{Factor: 1})
	tested.SetCallers(fleet.Callers{Total: 1, ByZone: map[string]int{"near": 1}, Names: []string{""}})
	g.Expect(tested.EndEvacuation("near", now)).To(BeFalse())
	tested.Evacuate("near", evacuationTime, now)
	now = now.Add(time.Minute)
	g.Expect(tested.EndEvacuation("near", now)).To(BeTrue())
	near := 0
	for range 100 {
		if sendRequest(tested, &now, 9*time.Millisecond) == "near" {
			near++
		}
	}
	g.Expect(near).To(BeNumerically("<=", 4), "while cold, in nearly a second")
	now = now.Add(3 * time.Second)
	g.Expect(sendRequest(tested, &now, time.Millisecond)).To(Equal("near"), "after the warm-up time")
}
