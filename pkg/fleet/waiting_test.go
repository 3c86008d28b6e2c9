package fleet_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/pkg/fleet"
)

// newBusyFleet returns a fleet with one server that accepts one request of this node, and the lease
// of that request.
func newBusyFleet(now time.Time) (*fleet.Fleet, *fleet.Lease) {
	tested := fleet.New(fleet.Settings{Random: rand.New(rand.NewPCG(1, 1))})
	tested.Apply(fleet.Server{ID: "only", Service: "s", Address: "only", Slots: 1}, now)
	tested.SetConnections(map[string]int{"s": 2})
	lease, _ := tested.Acquire(withRank(fleet.Rank{Needed: true}), now)
	return tested, lease
}

// withRank returns a choice with the given rank.
func withRank(rank fleet.Rank) fleet.Choice {
	request := choice
	request.Rank = rank
	return request
}

// TestWaitersAreWokenByRank: needed sub-requests are woken before others, those in time before late
// ones, those in time by QueueOrder and late ones by their deadline.
func TestWaitersAreWokenByRank(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(100, 0)
	inTime, late := now.Add(time.Second), now.Add(-time.Second)
	tested, lease := newBusyFleet(now)
	var order []string
	for name, rank := range map[string]fleet.Rank{
		"3 late, ends soon":        {Needed: true, Target: late, Deadline: now.Add(time.Second), QueueOrder: 9},
		"4 late, ends later":       {Needed: true, Target: late, Deadline: now.Add(time.Minute), QueueOrder: 9},
		"1 in time, greater order": {Needed: true, Target: inTime, QueueOrder: 7},
		"2 in time, smaller order": {Needed: true, Target: inTime, QueueOrder: 3},
		"5 not needed":             {Target: inTime, QueueOrder: 8},
	} {
		tested.Await(&fleet.Waiter{Choice: withRank(rank), Wake: func() { order = append(order, name) }})
	}
	for range 5 {
		tested.Finish(lease, fleet.Answered, 0, now)
		lease, _ = tested.Acquire(withRank(fleet.Rank{Needed: true, Target: inTime, QueueOrder: 10}), now)
		g.Expect(lease).NotTo(BeNil())
	}
	g.Expect(order).To(Equal([]string{
		"1 in time, greater order", "2 in time, smaller order", "3 late, ends soon", "4 late, ends later", "5 not needed",
	}))
	g.Expect(tested.Waiting("s")).To(BeZero())
}

// TestANewRequestDoesNotOvertakeAWaiterOfHigherRank: a new request gets no server while a waiter
// precedes it, but does get one ahead of waiters that it precedes.
func TestANewRequestDoesNotOvertakeAWaiterOfHigherRank(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(100, 0)
	tested := fleet.New(fleet.Settings{Random: rand.New(rand.NewPCG(1, 1))})
	tested.Await(&fleet.Waiter{Choice: withRank(fleet.Rank{Needed: true, QueueOrder: 5}), Wake: func() {}})
	tested.Apply(fleet.Server{ID: "new", Service: "s", Address: "new", Slots: 1}, now)
	lease, availability := tested.Acquire(withRank(fleet.Rank{Needed: true, QueueOrder: 4}), now)
	g.Expect(lease).To(BeNil())
	g.Expect(availability).To(Equal(fleet.Busy))
	lease, _ = tested.Acquire(withRank(fleet.Rank{QueueOrder: 9}), now)
	g.Expect(lease).To(BeNil(), "a sub-request that is not needed waits behind a needed one")
	lease, _ = tested.Acquire(withRank(fleet.Rank{Needed: true, QueueOrder: 6}), now)
	g.Expect(lease).NotTo(BeNil())
}

func TestAWithdrawnWaiterIsNotWoken(t *testing.T) {
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

// saturate runs as many concurrent requests as the limit at a server allows, and returns how many
// there were.
func saturate(tested *fleet.Fleet, now *time.Time, took time.Duration) int {
	request := choice
	request.Target = 200 * time.Millisecond
	var running []*fleet.Lease
	for {
		lease, _ := tested.Acquire(request, *now)
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

// TestTheRoomAtAServerFollowsItsAnswers: the limit falls while answers take more than half of the
// target, but not below this node's share of the slots, and grows back with fast answers.
func TestTheRoomAtAServerFollowsItsAnswers(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(100, 0)
	tested := fleet.New(fleet.Settings{Random: rand.New(rand.NewPCG(1, 1))})
	tested.Apply(fleet.Server{ID: "only", Service: "s", Address: "only", Slots: 6}, now)
	tested.SetConnections(map[string]int{"s": 40})
	tested.SetCallers(fleet.Callers{Total: 2})
	g.Expect(saturate(tested, &now, 150*time.Millisecond)).To(Equal(12))
	g.Expect(saturate(tested, &now, 150*time.Millisecond)).To(Equal(8), "one decrease for all requests that were sent together")
	for range 6 {
		saturate(tested, &now, 150*time.Millisecond)
	}
	g.Expect(saturate(tested, &now, 20*time.Millisecond)).To(Equal(3), "this node's half of the six slots")
	for range 30 {
		saturate(tested, &now, 20*time.Millisecond)
	}
	g.Expect(saturate(tested, &now, 20*time.Millisecond)).To(Equal(12))
}
