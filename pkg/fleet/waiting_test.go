package fleet_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/pkg/fleet"
)

// newBusyFleet has one server that accepts one connection, which is in use.
func newBusyFleet(now time.Time) (*fleet.Fleet, *fleet.Lease) {
	tested := fleet.New(fleet.Settings{Random: rand.New(rand.NewPCG(1, 1))})
	tested.Apply(fleet.Server{ID: "only", Service: "s", Address: "only", Slots: 1}, now)
	tested.SetConnections(map[string]int{"s": 2})
	lease, _ := tested.Acquire(ranked(fleet.Rank{Needed: true}), now)
	return tested, lease
}

func ranked(rank fleet.Rank) fleet.Choice {
	asked := choice
	asked.Rank = rank
	return asked
}

// TestTheNextWaiterIsWhoEarnsMost: needed before other ones, in time before late
// ones, by lot among those in time, and the one that ends soonest among the late.
func TestTheNextWaiterIsWhoEarnsMost(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(100, 0)
	inTime, late := now.Add(time.Second), now.Add(-time.Second)
	tested, lease := newBusyFleet(now)
	var order []string
	for name, rank := range map[string]fleet.Rank{
		"3 late, ends soon":      {Needed: true, Target: late, Deadline: now.Add(time.Second), QueueOrder: 9},
		"4 late, ends later":     {Needed: true, Target: late, Deadline: now.Add(time.Minute), QueueOrder: 9},
		"1 in time, greater lot": {Needed: true, Target: inTime, QueueOrder: 7},
		"2 in time, smaller lot": {Needed: true, Target: inTime, QueueOrder: 3},
		"5 not needed":           {Target: inTime, QueueOrder: 8},
	} {
		tested.Await(&fleet.Waiter{Choice: ranked(rank), Wake: func() { order = append(order, name) }})
	}
	for range 5 {
		tested.Finish(lease, fleet.Answered, 0, now)
		lease, _ = tested.Acquire(ranked(fleet.Rank{Needed: true, Target: inTime, QueueOrder: 10}), now)
		g.Expect(lease).NotTo(BeNil())
	}
	g.Expect(order).To(Equal([]string{
		"1 in time, greater lot", "2 in time, smaller lot", "3 late, ends soon", "4 late, ends later", "5 not needed",
	}))
	g.Expect(tested.Waiting("s")).To(BeZero())
}

// TestANewcomerDoesNotOvertake a waiter that goes before it, while it goes before
// one that it outranks.
func TestANewcomerDoesNotOvertake(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(100, 0)
	tested := fleet.New(fleet.Settings{Random: rand.New(rand.NewPCG(1, 1))})
	tested.Await(&fleet.Waiter{Choice: ranked(fleet.Rank{Needed: true, QueueOrder: 5}), Wake: func() {}})
	tested.Apply(fleet.Server{ID: "new", Service: "s", Address: "new", Slots: 1}, now)
	lease, availability := tested.Acquire(ranked(fleet.Rank{Needed: true, QueueOrder: 4}), now)
	g.Expect(lease).To(BeNil())
	g.Expect(availability).To(Equal(fleet.Busy))
	lease, _ = tested.Acquire(ranked(fleet.Rank{QueueOrder: 9}), now)
	g.Expect(lease).To(BeNil(), "a hedge waits for what is needed")
	lease, _ = tested.Acquire(ranked(fleet.Rank{Needed: true, QueueOrder: 6}), now)
	g.Expect(lease).NotTo(BeNil())
}

// TestAWaiterThatLeftIsNotWoken.
func TestAWaiterThatLeftIsNotWoken(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(100, 0)
	tested, lease := newBusyFleet(now)
	left := &fleet.Waiter{Choice: choice, Wake: func() { t.Error("woken") }}
	woken := 0
	tested.Await(left)
	tested.Await(&fleet.Waiter{Choice: choice, Wake: func() { woken++ }})
	tested.Withdraw(left)
	tested.Withdraw(left)
	tested.Cancel(lease)
	g.Expect(woken).To(Equal(1))
}

// crowd runs as many requests at once as a server has room for, and returns how
// many that were.
func crowd(tested *fleet.Fleet, now *time.Time, took time.Duration) int {
	asked := choice
	asked.Target = 200 * time.Millisecond
	var running []*fleet.Lease
	for {
		lease, _ := tested.Acquire(asked, *now)
		if lease == nil {
			break
		}
		running = append(running, lease)
	}
	*now = now.Add(took)
	for _, each := range running {
		tested.Finish(each, fleet.Answered, 0, *now)
	}
	*now = now.Add(time.Millisecond)
	return len(running)
}

// TestTheRoomAtAServerFollowsItsAnswers: it falls while answers take more than
// half of the target, not below this node's share of the slots, and returns with
// quick ones.
func TestTheRoomAtAServerFollowsItsAnswers(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(100, 0)
	tested := fleet.New(fleet.Settings{Random: rand.New(rand.NewPCG(1, 1))})
	tested.Apply(fleet.Server{ID: "only", Service: "s", Address: "only", Slots: 6}, now)
	tested.SetConnections(map[string]int{"s": 40})
	tested.SetCallers(fleet.Callers{Total: 2})
	g.Expect(crowd(tested, &now, 150*time.Millisecond)).To(Equal(12))
	g.Expect(crowd(tested, &now, 150*time.Millisecond)).To(Equal(8), "once for all that were sent together")
	for range 6 {
		crowd(tested, &now, 150*time.Millisecond)
	}
	g.Expect(crowd(tested, &now, 20*time.Millisecond)).To(Equal(3), "half of the six slots")
	for range 30 {
		crowd(tested, &now, 20*time.Millisecond)
	}
	g.Expect(crowd(tested, &now, 20*time.Millisecond)).To(Equal(12))
}
