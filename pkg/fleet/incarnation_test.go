package fleet_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/pkg/fleet"
	"github.com/bramblemast/bramblemast/pkg/route"
)

// newRestarting has one server near and one far, which have told their starts.
func newRestarting(now time.Time) *fleet.Fleet {
	tested := fleet.New(fleet.Settings{
		Local: fleet.Place{Zone: "near", Region: "here"}, LeaveGrace: leaveWithin,
		Regions: map[string]string{"near": "here", "far": "there"}, Random: rand.New(rand.NewPCG(1, 1)),
	})
	tested.Apply(started("near", 1000), now)
	tested.Apply(started("far", 1000), now)
	return tested
}

// started is the entry of a server that tells its start.
func started(id string, start fleet.Start) fleet.Server {
	return fleet.Server{ID: id, Start: start, Service: "s", Address: id, Zone: id, Slots: 4}
}

// TestNothingOfAnEarlierStartHolds for the next one of the same server: neither what it failed,
// nor how slow it was, nor that it refused, drained, was silent or had another server's place.
func TestNothingOfAnEarlierStartHolds(t *testing.T) {
	now := time.Unix(0, 0)
	finish := func(result fleet.Result) func(*fleet.Fleet) {
		return func(tested *fleet.Fleet) {
			for lease, _ := tested.Acquire(choice, now); lease != nil && lease.Server.ID == "near"; lease, _ = tested.Acquire(choice, now) {
				tested.Finish(lease, result, 0, now)
			}
		}
	}
	for name, harm := range map[string]func(*fleet.Fleet){
		"failed": finish(fleet.Failed), "refused": finish(fleet.Refused), "turned away": finish(fleet.TurnedAway),
		"unreachable": finish(fleet.Unreachable), "wrong instance": finish(fleet.WrongInstance),
		"slow": func(tested *fleet.Fleet) {
			for round := range 4 {
				lease, _ := tested.Acquire(choice, now.Add(time.Duration(round)*time.Second))
				tested.Finish(lease, fleet.Answered, 0, now.Add(time.Duration(round+1)*time.Second))
			}
		},
		"draining": func(tested *fleet.Fleet) {
			draining := started("near", 1000)
			draining.Draining = true
			tested.Apply(draining, now)
		},
		"warming up": func(tested *fleet.Fleet) {
			cold := started("near", 1000)
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
			tested := newRestarting(now)
			harm(tested)
			later := now.Add(4 * time.Second)
			g.Expect(tested.Apply(started("near", 2000), later)).To(Equal(fleet.Change{
				Kind: fleet.Restarted, Replaced: fleet.Incarnation{ID: "near", Start: 1000},
			}))
			lease, _ := tested.Acquire(choice, later)
			g.Expect(lease.Server.Incarnation()).To(Equal(fleet.Incarnation{ID: "near", Start: 2000}))
		})
	}
}

// TestLateNewsOfAnEarlierStartChangesNothing: requests that were sent to it end as failures of a
// process that is gone, and those that wait to be sent are not sent.
func TestLateNewsOfAnEarlierStartChangesNothing(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	tested := newRestarting(now)
	var leases []*fleet.Lease
	for range 4 {
		lease, _ := tested.Acquire(choice, now)
		g.Expect(lease.Server.ID).To(Equal("near"))
		leases = append(leases, lease)
	}
	tested.Apply(started("near", 2000), now)
	g.Expect(tested.MaySend(leases[0], route.Regions{}, now)).To(BeFalse())
	later, _ := tested.Acquire(choice, now)
	g.Expect(later.Pool).NotTo(BeIdenticalTo(leases[0].Pool), "connections of the earlier process are not used")
	tested.Cancel(later)
	now = now.Add(time.Second)
	for index, result := range []fleet.Result{fleet.Failed, fleet.Refused, fleet.WrongInstance, fleet.Unreachable} {
		tested.Finish(leases[index], result, 0, now)
	}
	for range 5 {
		g.Expect(ask(tested, &now, 20*time.Millisecond)).To(Equal("near"))
	}
	tested.Sweep(now)
	g.Expect(ask(tested, &now, 20*time.Millisecond)).To(Equal("near"), "the earlier process is forgotten alone")
}

// TestAStartMayLieBeforeTheLast: a clock that was set back does not hide a server. The order of
// the list tells which start is in force.
func TestAStartMayLieBeforeTheLast(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	tested := newRestarting(now)
	g.Expect(tested.Apply(started("near", 400), now).Kind).To(Equal(fleet.Restarted))
	lease, _ := tested.Acquire(choice, now)
	g.Expect(lease.Server.Start).To(Equal(fleet.Start(400)))
	g.Expect(tested.Apply(started("near", 400), now)).To(Equal(fleet.Change{}))
}

// TestAKeyThatIsWrittenAgain is the same server if the start is the same, and another process if
// not; both also while requests of before are under way.
func TestAKeyThatIsWrittenAgain(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	tested := newRestarting(now)
	lease, _ := tested.Acquire(choice, now)
	tested.Remove("near", time.Time{}, now)
	g.Expect(tested.Apply(started("near", 1000), now).Kind).To(Equal(fleet.Returned))
	g.Expect(tested.MaySend(lease, route.Regions{}, now)).To(BeTrue())
	tested.Remove("near", time.Time{}, now)
	g.Expect(tested.Apply(started("near", 3000), now).Kind).To(Equal(fleet.Restarted))
	g.Expect(tested.MaySend(lease, route.Regions{}, now)).To(BeFalse())
	g.Expect(tested.Len()).To(Equal(2))
}

// TestServersThatTellNoStart are the same process for as long as they are listed.
func TestServersThatTellNoStart(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	tested := newFleet(now)
	entry := fleet.Server{ID: "near", Service: "s", Address: "near", Zone: "near", Slots: 5}
	g.Expect(tested.Apply(entry, now)).To(Equal(fleet.Change{}))
	tested.Remove("near", time.Time{}, now)
	g.Expect(tested.Apply(entry, now).Kind).To(Equal(fleet.Returned))
}

// TestAnEntryThatNamesNoServer takes the one that was known under its key away within the bound,
// until a sound one comes. An entry without the start that the server has told is none of its own,
// also when the server itself has long been forgotten.
func TestAnEntryThatNamesNoServer(t *testing.T) {
	mistaken := started("near", 0)
	for name, refuse := range map[string]func(*fleet.Fleet, time.Time) bool{
		"unreadable":    func(f *fleet.Fleet, now time.Time) bool { return f.RejectEntry("near", now) },
		"without start": func(f *fleet.Fleet, now time.Time) bool { return f.Apply(mistaken, now).Kind == fleet.Invalid },
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			now := time.Unix(0, 0)
			tested := newRestarting(now)
			g.Expect(refuse(tested, now)).To(BeTrue())
			g.Expect(refuse(tested, now)).To(BeFalse(), "once for each change")
			g.Expect(ask(tested, &now, 20*time.Millisecond)).To(Equal("far"))
			g.Expect(tested.HasServersFor([]string{"s"})).To(BeTrue(), "the others hold")
			g.Expect(tested.Apply(started("near", 1000), now).Kind).To(Equal(fleet.Returned))
			g.Expect(ask(tested, &now, 20*time.Millisecond)).To(Equal("near"))

			refuse(tested, now)
			now = now.Add(leaveWithin + time.Second)
			tested.Sweep(now)
			g.Expect(tested.Apply(mistaken, now)).To(Equal(fleet.Change{Kind: fleet.StillInvalid}))
			g.Expect(tested.Len()).To(Equal(1))
			g.Expect(tested.Apply(started("near", 1000), now).Kind).To(Equal(fleet.Added))
			tested.Remove("near", time.Time{}, now)
			tested.Sweep(now.Add(leaveWithin + time.Second))
			g.Expect(tested.Apply(mistaken, now.Add(time.Minute)).Kind).To(Equal(fleet.Added), "the key was gone meanwhile")
		})
	}
}

// TestEachEntryWithoutAStartIsTold, as a mistake, for as long as its server's own is missing.
func TestEachEntryWithoutAStartIsTold(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	tested := newRestarting(now)
	g.Expect(tested.Apply(started("near", 0), now).Kind).To(Equal(fleet.Invalid))
	g.Expect(tested.Apply(started("near", 0), now).Kind).To(Equal(fleet.StillInvalid), "its server is left already")
	now = now.Add(leaveWithin + time.Second)
	tested.Sweep(now)
	g.Expect(tested.Apply(started("near", 0), now).Kind).To(Equal(fleet.StillInvalid), "its server is forgotten")
	g.Expect(tested.Apply(started("near", 1000), now).Kind).To(Equal(fleet.Added))
	g.Expect(tested.Apply(started("near", 0), now).Kind).To(Equal(fleet.Invalid))
}
