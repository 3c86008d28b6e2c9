package fleet_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/pkg/fleet"
	"github.com/bramblemast/bramblemast/pkg/loadshed"
)

// TestTheBacklogOfRequestsWithoutATarget: all servers are busy, and requests wait that may be
// answered until their deadline, alone and beside those with a target.
func TestTheBacklogOfRequestsWithoutATarget(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(100, 0)
	tested, _ := newBusyFleet(now)
	needed := fleet.Rank{Needed: true, Deadline: now.Add(4 * time.Second)}
	await := func(asked fleet.Choice) {
		tested.Await(&fleet.Waiter{Choice: asked, Wake: func() {}})
	}
	untargeted := ranked(needed)
	untargeted.Target, untargeted.Span = 0, 4*time.Second
	for range 3 {
		await(untargeted)
	}
	g.Expect(tested.Backlog(loadshed.Key{Service: "s"}, now)).To(Equal(loadshed.Backlog{Waiting: 3, Target: 4 * time.Second}))

	targeted := ranked(needed)
	targeted.Rank.Target = now.Add(200 * time.Millisecond)
	targeted.Target, targeted.Span = 200*time.Millisecond, time.Second
	await(targeted)
	g.Expect(tested.Backlog(loadshed.Key{Service: "s"}, now)).To(Equal(loadshed.Backlog{Waiting: 4, Target: 200 * time.Millisecond}),
		"those with a target would wait for too long behind the others")
	late := now.Add(time.Second)
	g.Expect(tested.Backlog(loadshed.Key{Service: "s"}, late)).To(Equal(loadshed.Backlog{Waiting: 3, Target: 4 * time.Second}))
}
