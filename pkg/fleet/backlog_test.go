package fleet_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/pkg/fleet"
	"github.com/bramblemast/bramblemast/pkg/loadshed"
)

// TestTheBacklogOfRequestsWithoutATarget: while all servers are busy, requests wait that have no
// target and may be answered until their deadline. They count in the backlog on their own and
// together with requests that have a target.
func TestTheBacklogOfRequestsWithoutATarget(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(100, 0)
	tested, _ := newBusyFleet(now)
	needed := fleet.Rank{Needed: true, Deadline: now.Add(4 * time.Second)}
	await := func(request fleet.Choice) {
		tested.Await(&fleet.Waiter{Choice: request, Wake: func() {}})
	}
	untargeted := withRank(needed)
	untargeted.Target, untargeted.Span = 0, 4*time.Second
	for range 3 {
		await(untargeted)
	}
	g.Expect(tested.Backlog(loadshed.Key{Service: "s"}, now)).To(Equal(loadshed.Backlog{Waiting: 3, Target: 4 * time.Second}))

	targeted := withRank(needed)
	targeted.Rank.Target = now.Add(200 * time.Millisecond)
	targeted.Target, targeted.Span = 200*time.Millisecond, time.Second
	await(targeted)
	g.Expect(tested.Backlog(loadshed.Key{Service: "s"}, now)).To(Equal(loadshed.Backlog{Waiting: 4, Target: 200 * time.Millisecond}),
		"requests with a target must not wait too long behind the others")
	late := now.Add(time.Second)
	g.Expect(tested.Backlog(loadshed.Key{Service: "s"}, late)).To(Equal(loadshed.Backlog{Waiting: 3, Target: 4 * time.Second}))
}
