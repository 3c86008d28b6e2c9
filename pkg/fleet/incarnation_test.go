package fleet_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/pkg/fleet"
	"github.com/bramblemast/bramblemast/pkg/route"
)

// newFleetWithStarts returns a fleet with one near and one far server, both with a start.
func newFleetWithStarts(now time.Time) *fleet.Fleet {
	tested := fleet.New(fleet.Settings{
		Local: fleet.Place{Zone: "near", Region: "here"}, LeaveGrace: leaveGrace,
		Regions: map[string]string{"near": "here", "far": "there"}, Random: rand.New(rand.NewPCG(1, 1)),
	})
	tested.Apply(startedServer("near", 1000), now)
	tested.Apply(startedServer("far", 1000), now)
	return tested
}

// startedServer returns the entry of a server with the given start.
func startedServer(id string, start fleet.Start) fleet.Server {
	return fleet.Server{ID: id, Start: start, Service: "s", Address: id, Zone: id, Slots: 4}
}

// TestNothingOfAnEarlierStartHolds: when a server restarts, nothing of its earlier process applies
// to the new one: neither failures, refusals, slowness and silence, nor that it was draining or
// that its address belonged to another server.
func TestNothingOfAnEarlierStartHolds(t *testing.T) {
	now := time.Unix(0, 0)
	finish := func(result fleet.Result) func(*fleet.Fleet) {
		return func(tested *fleet.Fleet) {
			for lease, _ := tested.Acquire(choice, now); lease != nil && lease.Server.ID == "near"; lease, _ = tested.Acquire(choice, now) {
				tested.Finish(lease, result, 0, now)
			}
		}
	}
	for name, impair := range map[string]func(*fleet.Fleet){
		"failed": finish(fleet.Failed), "refused": finish(fleet.Refused), "turned away": finish(fleet.TurnedAway),
		"unreachable": finish(fleet.Unreachable), "wrong instance": finish(fleet.WrongInstance),
		"slow": func(tested *fleet.Fleet) {
			for round := range 4 {
				lease, _ := tested.Acquire(choice, now.Add(time.Duration(round)*time.Second))
				tested.Finish(lease, fleet.Answered, 0, now.Add(time.Duration(round+1)*time.Second))
			}
		},
		"draining": func(tested *fleet.Fleet) {
			draining := startedServer("near", 1000)
			draining.Draining = true
			tested.Apply(draining, now)
		},
		"warming up": func(tested *fleet.Fleet) {
			cold := startedServer("near", 1000)
			cold.WarmUp = time.Hour
			tested.Apply(cold, now)
		},
		"silent": func(tested *fleet.Fleet) {
			for range 4 {
				tested.Acquire(choice, now.Add(-time.Minute))
			}
		},
		"gone":   func(tested *fleet.Fleet) { tested.Remove("near", time.Time{}, now) },
		"refuse": func(tested *fleet.Fleet) { tested.RejectEntry("near", now) },
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			tested := newFleetWithStarts(now)
			impair(tested)
			later := now.Add(4 * time.Second)
			g.Expect(tested.Apply(startedServer("near", 2000), later)).To(Equal(fleet.Change{
				Kind: fleet.Restarted, Replaced: fleet.Incarnation{ID: "near", Start: 1000},
			}))
			lease, _ := tested.Acquire(choice, later)
			g.Expect(lease.Server.Incarnation()).To(Equal(fleet.Incarnation{ID: "near", Start: 2000}))
		})
	}
}

// TestLateNewsOfAnEarlierStartChangesNothing: results of requests to an earlier process do not
// affect the new one, and requests to the earlier process that have not been sent yet are not sent.
func TestLateNewsOfAnEarlierStartChangesNothing(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	tested := newFleetWithStarts(now)
	var leases []*fleet.Lease
	for range 4 {
		lease, _ := tested.Acquire(choice, now)
		g.Expect(lease.Server.ID).To(Equal("near"))
		leases = append(leases, lease)
	}
	tested.Apply(startedServer("near", 2000), now)
	g.Expect(tested.MaySend(leases[0], route.Regions{}, now)).To(BeFalse())
	later, _ := tested.Acquire(choice, now)
	g.Expect(later.Pool).NotTo(BeIdenticalTo(leases[0].Pool), "connections of the earlier process must not be used")
	tested.Cancel(later)
	now = now.Add(time.Second)
	for index, result := range []fleet.Result{fleet.Failed, fleet.Refused, fleet.WrongInstance, fleet.Unreachable} {
		tested.Finish(leases[index], result, 0, now)
	}
	for range 5 {
		g.Expect(sendRequest(tested, &now, 20*time.Millisecond)).To(Equal("near"))
	}
	tested.Sweep(now)
	g.Expect(sendRequest(tested, &now, 20*time.Millisecond)).To(Equal("near"), "only the earlier process is forgotten")
}

// TestAStartMayLieBeforeTheLast: a server whose clock was set back is not ignored. The order of the
// list, not the time, tells which start is in force.
func TestAStartMayLieBeforeTheLast(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	tested := newFleetWithStarts(now)
	g.Expect(tested.Apply(startedServer("near", 400), now).Kind).To(Equal(fleet.Restarted))
	lease, _ := tested.Acquire(choice, now)
	g.Expect(lease.Server.Start).To(Equal(fleet.Start(400)))
	g.Expect(tested.Apply(startedServer("near", 400), now)).To(Equal(fleet.Change{}))
}

// TestAServerThatIsListedAgain: a server that is listed again is the same process if the start is
// the same and another one if not, also while earlier requests are in flight.
func TestAServerThatIsListedAgain(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	tested := newFleetWithStarts(now)
	lease, _ := tested.Acquire(choice, now)
	tested.Remove("near", time.Time{}, now)
	g.Expect(tested.Apply(startedServer("near", 1000), now).Kind).To(Equal(fleet.Returned))
	g.Expect(tested.MaySend(lease, route.Regions{}, now)).To(BeTrue())
	tested.Remove("near", time.Time{}, now)
	g.Expect(tested.Apply(startedServer("near", 3000), now).Kind).To(Equal(fleet.Restarted))
	g.Expect(tested.MaySend(lease, route.Regions{}, now)).To(BeFalse())
	g.Expect(tested.Len()).To(Equal(2))
}

// TestServersWithoutAStart: a server that gives no start is the same process when it is listed
// again.
func TestServersWithoutAStart(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	tested := newFleet(now)
	entry := fleet.Server{ID: "near", Service: "s", Address: "near", Zone: "near", Slots: 5}
	g.Expect(tested.Apply(entry, now)).To(Equal(fleet.Change{}))
	tested.Remove("near", time.Time{}, now)
	g.Expect(tested.Apply(entry, now).Kind).To(Equal(fleet.Returned))
}

// TestAnEntryThatNamesNoServer: an invalid entry removes the server that was known under its key,
// within the grace time and until a valid entry follows. An entry without the start that the server
// has given is not the server's own, even after the server has been forgotten.
func TestAnEntryThatNamesNoServer(t *testing.T) {
	withoutStart := startedServer("near", 0)
	for name, reject := range map[string]func(*fleet.Fleet, time.Time) bool{
		"unreadable":    func(f *fleet.Fleet, now time.Time) bool { return f.RejectEntry("near", now) },
		"without start": func(f *fleet.Fleet, now time.Time) bool { return f.Apply(withoutStart, now).Kind == fleet.Invalid },
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			now := time.Unix(0, 0)
			tested := newFleetWithStarts(now)
			g.Expect(reject(tested, now)).To(BeTrue())
			g.Expect(reject(tested, now)).To(BeFalse(), "only the first rejection is a change")
			g.Expect(sendRequest(tested, &now, 20*time.Millisecond)).To(Equal("far"))
			g.Expect(tested.HasServersFor([]string{"s"})).To(BeTrue(), "the other server remains")
			g.Expect(tested.Apply(startedServer("near", 1000), now).Kind).To(Equal(fleet.Returned))
			g.Expect(sendRequest(tested, &now, 20*time.Millisecond)).To(Equal("near"))

			reject(tested, now)
			now = now.Add(leaveGrace + time.Second)
			tested.Sweep(now)
			g.Expect(tested.Apply(withoutStart, now)).To(Equal(fleet.Change{Kind: fleet.StillInvalid}))
			g.Expect(tested.Len()).To(Equal(1))
			g.Expect(tested.Apply(startedServer("near", 1000), now).Kind).To(Equal(fleet.Added))
			tested.Remove("near", time.Time{}, now)
			tested.Sweep(now.Add(leaveGrace + time.Second))
			g.Expect(tested.Apply(withoutStart, now.Add(time.Minute)).Kind).To(Equal(fleet.Added), "the key was removed in the meantime")
		})
	}
}

// TestEachEntryWithoutAStartIsTold: each entry without a start is reported as invalid for as long
// as the server's own entry is missing.
func TestEachEntryWithoutAStartIsTold(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	tested := newFleetWithStarts(now)
	g.Expect(tested.Apply(startedServer("near", 0), now).Kind).To(Equal(fleet.Invalid))
	g.Expect(tested.Apply(startedServer("near", 0), now).Kind).To(Equal(fleet.StillInvalid), "the server is already unlisted")
	now = now.Add(leaveGrace + time.Second)
	tested.Sweep(now)
	g.Expect(tested.Apply(startedServer("near", 0), now).Kind).To(Equal(fleet.StillInvalid), "the server is already forgotten")
	g.Expect(tested.Apply(startedServer("near", 1000), now).Kind).To(Equal(fleet.Added))
	g.Expect(tested.Apply(startedServer("near", 0), now).Kind).To(Equal(fleet.Invalid))
}
