package loadshed_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// scenario is an overload of the model: the rate of the requests and the capacity of the shards.
type scenario struct {
	name string
	rate float64
	// limitedShards is the number of shards that have only remainingPart of their servers.
	limitedShards int
	remainingPart float64
	tenantOf      func(*rand.Rand) string
	kinds         []kind
	// maxFailedPart is the part of the requests that may fail at their deadline: at three times the
	// capacity, those that arrive in the 300 ms until all nodes know of the overload, and those
	// that wait behind work which takes seconds.
	maxFailedPart float64
}

// log prints the result of a scheme: the work that was done in time as a part of the achievable
// work, and the part of each kind of requests that was answered in time.
func (s scenario) log(t *testing.T, name string, counts map[string]*tally) {
	t.Helper()
	all := counts["all"]
	line := fmt.Sprintf("%-10s work in time %.2f, failed %.3f, refused %.3f", name, workInTime(counts, s.kinds)/s.achievableWork(),
		float64(all.failed)/float64(all.offered), float64(all.refused)/float64(all.offered))
	for _, each := range s.kinds {
		line += fmt.Sprintf(", %s %.2f", each.name, float64(counts[each.name].inTime)/float64(counts[each.name].offered))
	}
	t.Log(line)
}

// achievableWork returns the work that the scarcest shards which requests need can do, or the
// demand if that is less.
func (s scenario) achievableWork() float64 {
	demand := 0.0
	for _, each := range s.kinds {
		demand += s.rate * each.part * each.work.Seconds()
	}
	capacity := modelCapacity
	if s.limitedShards > 1 {
		capacity *= s.remainingPart
	}
	return modelSpan.Seconds() * min(demand, capacity)
}

// workInTime returns the work of the requests that were answered in time.
func workInTime(counts map[string]*tally, kinds []kind) float64 {
	done := 0.0
	for _, each := range kinds {
		done += float64(counts[each.name].inTime) * each.work.Seconds()
	}
	return done
}

func noTenant(*rand.Rand) string { return "" }

// heavyAndSmallTenants draws one heavy tenant for two thirds of the requests, and one of twenty
// small tenants for the rest.
func heavyAndSmallTenants(random *rand.Rand) string {
	if random.Float64() < 2.0/3 {
		return "heavy"
	}
	return fmt.Sprint("small", random.IntN(20))
}

var kindsWithCostlyOne = []kind{modelKinds[0], {"costly", 2, 0.25, 11, 280 * time.Millisecond, 1500 * time.Millisecond, 4 * time.Second}}

var scenarios = []scenario{
	{"flash crowd", 3 * modelRate, 0, 1, noTenant, modelKinds, 0.04},
	{"one shard short", modelRate, 1, 0.1, noTenant, modelKinds, 0.04},
	{"a third of the servers gone", modelRate, 4, 1.0 / 3, noTenant, modelKinds, 0.04},
	{"a heavy tenant among many small ones", 2.5 * modelRate, 0, 1, heavyAndSmallTenants, modelKinds, 0.04},
	{"a kind that costs ten times as much", modelRate, 0, 1, noTenant, kindsWithCostlyOne, 0.07},
}

// simulate runs the scenario after two seconds at a low rate, and returns the model with the counts
// of the requests of modelSpan from the beginning of the overload.
func (s scenario) simulate(tested scheme) *model {
	model := newModel(tested)
	model.kinds = s.kinds
	model.run(modelRate/3, 2*time.Second, s.tenantOf)
	for shard := range s.limitedShards {
		model.capacity[shard] *= s.remainingPart
	}
	model.run(s.rate, modelSpan, s.tenantOf)
	return model
}

// TestAdmissionSchemes prints the result of each scheme in each scenario. It checks that the
// implemented one does most of the achievable work in time and that few requests fail at their
// deadline.
func TestAdmissionSchemes(t *testing.T) {
	for _, tested := range scenarios {
		t.Run(tested.name, func(t *testing.T) {
			g := NewWithT(t)
			for name, candidate := range map[string]scheme{
				"everything": admitAll{}, "learned": newLearned(), "credits": &credits{}, "priced": &priced{},
			} {
				tested.log(t, name, tested.simulate(candidate).counts)
			}
			counts := tested.simulate(newMeasuredShares(time.Unix(100, 0))).counts
			tested.log(t, "measured", counts)
			all := counts["all"]
			g.Expect(float64(all.failed)).To(BeNumerically("<=", tested.maxFailedPart*float64(all.offered)), "too many requests failed at the deadline")
			g.Expect(workInTime(counts, tested.kinds)).To(BeNumerically(">=", 0.8*tested.achievableWork()), "too little work was done in time")
		})
	}
}

// TestTheMoreUrgentKindIsServedMoreOften: while both kinds of requests need the same servers, the
// more urgent one is served at least as often, and the less urgent one keeps a quarter of the
// common rate.
func TestTheMoreUrgentKindIsServedMoreOften(t *testing.T) {
	for _, tested := range scenarios {
		if tested.limitedShards > 0 {
			// In these scenarios the kinds need different shards.
			continue
		}
		t.Run(tested.name, func(t *testing.T) {
			g := NewWithT(t)
			counts := tested.simulate(newMeasuredShares(time.Unix(100, 0))).counts
			rate := func(name string) float64 {
				each := counts[name]
				return float64(each.inTime+each.late) / float64(each.offered)
			}
			more, less := tested.kinds[0].name, tested.kinds[1].name
			t.Logf("%s %.2f, %s %.2f", more, rate(more), less, rate(less))
			g.Expect(rate(more)).To(BeNumerically(">=", rate(less)))
			g.Expect(rate(less)).To(BeNumerically(">=", 0.2*rate("all")))
		})
	}
}

// TestSmallTenantsAreServedDespiteAHeavyOne: within a priority, small tenants are served as if the
// heavy one were not there.
func TestSmallTenantsAreServedDespiteAHeavyOne(t *testing.T) {
	g := NewWithT(t)
	counts := scenarios[3].simulate(newMeasuredShares(time.Unix(100, 0))).counts
	var small tally
	for name, each := range counts {
		if name != "heavy" && name != "all" && name != "search" && name != "check" {
			small.offered += each.offered
			small.inTime += each.inTime
		}
	}
	heavy := counts["heavy"]
	smallRate, heavyRate := float64(small.inTime)/float64(small.offered), float64(heavy.inTime)/float64(heavy.offered)
	t.Logf("small %.2f, heavy %.2f", smallRate, heavyRate)
	g.Expect(smallRate).To(BeNumerically(">=", 1.5*heavyRate))
}

// TestShortPausesOfAServerRefuseNobody: pauses of some tenths of a second of the only server of a
// shard end within the target time of the requests, and must not be taken for an overload.
func TestShortPausesOfAServerRefuseNobody(t *testing.T) {
	g := NewWithT(t)
	model := newModel(newMeasuredShares(time.Unix(100, 0)))
	model.capacity[0] = 2
	for range 10 {
		model.run(modelRate/3, 1700*time.Millisecond, noTenant)
		g.Expect(model.counts["all"].refused).To(BeZero())
		model.capacity[0] = 0
		model.run(modelRate/3, 300*time.Millisecond, noTenant)
		g.Expect(model.counts["all"].refused).To(BeZero())
		model.capacity[0] = 2
	}
}

// TestRestoredCapacityAdmitsAllRequests: after an overload of several shards, whose returned
// capacity is found one after the other, everything is admitted again within twelve evaluations.
func TestRestoredCapacityAdmitsAllRequests(t *testing.T) {
	g := NewWithT(t)
	model := newModel(newMeasuredShares(time.Unix(100, 0)))
	for shard := range 4 {
		model.capacity[shard] = 0.5
	}
	model.run(modelRate, 4*time.Second, noTenant)
	g.Expect(model.counts["all"].refused).To(BeNumerically(">", 100))
	for shard := range 4 {
		model.capacity[shard] = modelCapacity
	}
	model.run(modelRate/2, 1200*time.Millisecond, noTenant)
	model.run(modelRate/2, 4*time.Second, noTenant)
	g.Expect(model.counts["all"].refused).To(BeZero())
}
