package fleet_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/pkg/fleet"
	"github.com/bramblemast/bramblemast/pkg/loadshed"
	"github.com/bramblemast/bramblemast/pkg/route"
)

// boundTo returns a choice for a request that may be served in the given regions only.
func boundTo(regions ...string) fleet.Choice {
	limited := choice
	limited.Regions = route.OnlyRegions(regions)
	return limited
}

// TestABoundRequestStaysInItsRegions: a request that is bound to regions is never served elsewhere,
// also when the only server there leaves or is full, or when there is none.
func TestABoundRequestStaysInItsRegions(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	tested := newFleet(now)
	tested.Apply(fleet.Server{ID: "lost", Service: "s", Address: "lost", Zone: "unmapped", Slots: 5}, now)
	for range 50 {
		lease, _ := tested.Acquire(boundTo("there"), now)
		g.Expect(lease.Server.ID).To(Equal("far"))
		now = now.Add(20 * time.Millisecond)
		tested.Finish(lease, fleet.Answered, 0, now)
	}
	g.Expect(tested.CountServable([]string{"s"}, route.OnlyRegions([]string{"there"}), now)).To(Equal(1))
	_, availability := tested.Acquire(boundTo("nowhere"), now)
	g.Expect(availability).To(Equal(fleet.Absent))
	_, availability = tested.Acquire(boundTo(""), now)
	g.Expect(availability).To(Equal(fleet.Absent), "a zone without a known region belongs to no region")
	g.Expect(tested.CountServable([]string{"s"}, route.OnlyRegions([]string{"nowhere"}), now)).To(BeZero())
	g.Expect(tested.CountServable([]string{"unknown"}, route.OnlyRegions([]string{"nowhere"}), now)).To(Equal(1), "its servers may start")
	tested.Remove("far", time.Time{}, now)
	now = now.Add(2 * leaveGrace)
	_, availability = tested.Acquire(boundTo("there"), now)
	g.Expect(availability).To(Equal(fleet.Absent))
	lease, _ := tested.Acquire(boundTo("there", "elsewhere"), now)
	g.Expect(lease.Server.ID).To(Equal("farther"))
}

// TestALeaseIsCheckedBeforeTheRequestIsSent: a lease may not be used any more if the allowed
// regions have changed or the server has ended since, as can happen while a connection is being
// opened.
func TestALeaseIsCheckedBeforeTheRequestIsSent(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	tested := newFleet(now)
	lease, _ := tested.Acquire(boundTo("there"), now)
	g.Expect(tested.MaySend(lease, route.OnlyRegions([]string{"there"}), now)).To(BeTrue())
	g.Expect(tested.MaySend(lease, route.OnlyRegions([]string{"here"}), now)).To(BeFalse())
	tested.Remove("far", time.Time{}, now)
	g.Expect(tested.MaySend(lease, route.Regions{}, now.Add(2*leaveGrace))).To(BeFalse())
}

// TestABoundRequestIsNotWokenByAServerElsewhere: a waiting request is not woken by a server that it
// may not use, and does not reserve that server against others.
func TestABoundRequestIsNotWokenByAServerElsewhere(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	tested := newFleet(now)
	tested.SetConnections(map[string]int{"s": 1})
	first, _ := tested.Acquire(choice, now)
	g.Expect(first.Server.ID).To(Equal("near"))
	woken := false
	waiting := boundTo("there")
	waiting.Rank = fleet.Rank{Needed: true, QueueOrder: 9}
	tested.Await(&fleet.Waiter{Choice: waiting, Wake: func() { woken = true }})
	tested.Finish(first, fleet.Answered, 0, now)
	g.Expect(woken).To(BeFalse())
	lease, _ := tested.Acquire(boundTo("here"), now)
	g.Expect(lease).NotTo(BeNil(), "the waiter cannot use this server")
}

// TestBoundRequestsHaveTheirOwnBacklog: the servers of one region may be overloaded while the
// others are not.
func TestBoundRequestsHaveTheirOwnBacklog(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	tested := newFleet(now)
	there := loadshed.Key{Service: "s", Regions: route.OnlyRegions([]string{"there"}).Key()}
	for range 20 {
		waiting := boundTo("there")
		waiting.Target, waiting.Rank = time.Second, fleet.Rank{Needed: true}
		tested.Await(&fleet.Waiter{Choice: waiting, Wake: func() {}})
	}
	g.Expect(tested.Backlog(there, now).Waiting).To(Equal(20))
	g.Expect(tested.Backlog(loadshed.Key{Service: "s"}, now).Waiting).To(BeZero())
}

// TestReachableServersAreCounted: servers that have ended, whose last connection attempt failed,
// that have left the list, or that are in another region do not count as reachable.
func TestReachableServersAreCounted(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	tested := newFleet(now)
	count := func(regions route.Regions, ended ...fleet.Incarnation) [2]int {
		reachable, all := tested.CountReachable("s", regions, ended, now)
		return [2]int{reachable, all}
	}
	_, all := tested.CountReachable("s", route.Regions{}, nil, now)
	g.Expect(count(route.Regions{})).To(Equal([2]int{all, all}))
	g.Expect(count(route.Regions{}, fleet.Incarnation{ID: "far"})).To(Equal([2]int{all - 1, all}))
	g.Expect(count(route.OnlyRegions([]string{"there"}))).To(Equal([2]int{1, 1}))
	lease, _ := tested.Acquire(boundTo("there"), now)
	tested.Finish(lease, fleet.Unreachable, 0, now)
	g.Expect(count(route.OnlyRegions([]string{"there"}))).To(Equal([2]int{0, 1}))
	tested.Remove("far", time.Time{}, now)
	now = now.Add(2 * leaveGrace)
	g.Expect(count(route.OnlyRegions([]string{"there"}))).To(Equal([2]int{0, 0}))
	g.Expect(count(route.Regions{})).To(Equal([2]int{all - 1, all - 1}))
}
