package loadshed_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// load is a load of the model: it sets the shards' capacity and gives the rate.
type load struct {
	name string
	rate float64
	// scarce are the shards that have only a part of their servers.
	scarce   int
	part     float64
	tenantOf func(*rand.Rand) string
	kinds    []kind
	// failed is the part of the requests that may fail at their deadline: of three times what
	// servers can do, those that came in the 300 ms until all nodes knew of the overload, and
	// those that wait behind work which costs seconds.
	failed float64
}

// log prints what a way got out of a load: work in time as a part of what could be done, and
// the parts of each kind that were answered in time.
func (l load) log(t *testing.T, name string, counts map[string]*tally) {
	t.Helper()
	all := counts["all"]
	line := fmt.Sprintf("%-10s useful %.2f, failed %.3f, refused %.3f", name, work(counts, l.kinds)/l.useful(),
		float64(all.failed)/float64(all.asked), float64(all.refused)/float64(all.asked))
	for _, each := range l.kinds {
		line += fmt.Sprintf(", %s %.2f", each.name, float64(counts[each.name].inTime)/float64(counts[each.name].asked))
	}
	t.Log(line)
}

// useful is the work that the scarcest shards that requests need can do, or are asked for.
func (l load) useful() float64 {
	asked := 0.0
	for _, each := range l.kinds {
		asked += l.rate * each.part * each.work.Seconds()
	}
	capacity := modelCapacity
	if l.scarce > 1 {
		capacity *= l.part
	}
	return modelSpan.Seconds() * min(asked, capacity)
}

// work is the work of the requests that were answered in time.
func work(counts map[string]*tally, kinds []kind) float64 {
	done := 0.0
	for _, each := range kinds {
		done += float64(counts[each.name].inTime) * each.work.Seconds()
	}
	return done
}

func noTenant(*rand.Rand) string { return "" }

// heavyBesideSmall draws one tenant for two thirds of the requests, and twenty for the rest.
func heavyBesideSmall(random *rand.Rand) string {
	if random.Float64() < 2.0/3 {
		return "heavy"
	}
	return fmt.Sprint("small", random.IntN(20))
}

var costly = []kind{modelKinds[0], {"costly", 2, 0.25, 11, 280 * time.Millisecond, 1500 * time.Millisecond, 4 * time.Second}}

var loads = []load{
	{"flash crowd", 3 * modelRate, 0, 1, noTenant, modelKinds, 0.04},
	{"one shard short", modelRate, 1, 0.1, noTenant, modelKinds, 0.04},
	{"a third of the servers gone", modelRate, 4, 1.0 / 3, noTenant, modelKinds, 0.04},
	{"a heavy tenant beside many small ones", 2.5 * modelRate, 0, 1, heavyBesideSmall, modelKinds, 0.04},
	{"a kind that costs ten times as much", modelRate, 0, 1, noTenant, costly, 0.07},
}

// play runs a load after a second of calm, and returns what became of the requests of modelSpan
// from its beginning.
func (l load) play(tested way) *model {
	model := newModel(tested)
	model.kinds = l.kinds
	model.run(modelRate/3, 2*time.Second, l.tenantOf)
	for shard := range l.scarce {
		model.capacity[shard] *= l.part
	}
	model.run(l.rate, modelSpan, l.tenantOf)
	return model
}

// TestWaysToLetRequestsIn prints what each way gets out of each load, and holds the one that
// is built to its promises.
func TestWaysToLetRequestsIn(t *testing.T) {
	for _, offered := range loads {
		t.Run(offered.name, func(t *testing.T) {
			g := NewWithT(t)
			for name, tested := range map[string]way{
				"everything": everything{}, "learned": newLearned(), "credits": &credits{}, "priced": &priced{},
			} {
				offered.log(t, name, offered.play(tested).counts)
			}
			counts := offered.play(newTold(time.Unix(100, 0))).counts
			offered.log(t, "told", counts)
			all := counts["all"]
			g.Expect(float64(all.failed)).To(BeNumerically("<=", offered.failed*float64(all.asked)), "failed at the deadline")
			g.Expect(work(counts, offered.kinds)).To(BeNumerically(">=", 0.8*offered.useful()), "work done in time")
		})
	}
}

// TestTheMoreUrgentKindIsNeverBehind while both want the same servers, and the less urgent one
// keeps a quarter of the common rate.
func TestTheMoreUrgentKindIsNeverBehind(t *testing.T) {
	for _, offered := range loads {
		if offered.scarce > 0 {
			// The kinds want different shards there.
			continue
		}
		t.Run(offered.name, func(t *testing.T) {
			g := NewWithT(t)
			counts := offered.play(newTold(time.Unix(100, 0))).counts
			rate := func(name string) float64 {
				each := counts[name]
				return float64(each.inTime+each.late) / float64(each.asked)
			}
			more, less := offered.kinds[0].name, offered.kinds[1].name
			t.Logf("%s %.2f, %s %.2f", more, rate(more), less, rate(less))
			g.Expect(rate(more)).To(BeNumerically(">=", rate(less)))
			g.Expect(rate(less)).To(BeNumerically(">=", 0.2*rate("all")))
		})
	}
}

// TestSmallTenantsAreServedBesideAHeavyOne as if it were not there, but for the urgency of
// their requests.
func TestSmallTenantsAreServedBesideAHeavyOne(t *testing.T) {
	g := NewWithT(t)
	counts := loads[3].play(newTold(time.Unix(100, 0))).counts
	var small tally
	for name, each := range counts {
		if name != "heavy" && name != "all" && name != "search" && name != "check" {
			small.asked += each.asked
			small.inTime += each.inTime
		}
	}
	heavy := counts["heavy"]
	smallRate, heavyRate := float64(small.inTime)/float64(small.asked), float64(heavy.inTime)/float64(heavy.asked)
	t.Logf("small %.2f, heavy %.2f", smallRate, heavyRate)
	g.Expect(smallRate).To(BeNumerically(">=", 1.5*heavyRate))
}

// TestServersOfAShardThatStandStillForAMomentRefuseNobody: pauses of some tenths of a second
// of the only server of a shard end before the requests' target.
func TestServersOfAShardThatStandStillForAMomentRefuseNobody(t *testing.T) {
	g := NewWithT(t)
	model := newModel(newTold(time.Unix(100, 0)))
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

// TestRoomThatCameBackLetsEverybodyIn after an overload of many shards, which are found to have
// room one after the other: within twelve judgements.
func TestRoomThatCameBackLetsEverybodyIn(t *testing.T) {
	g := NewWithT(t)
	model := newModel(newTold(time.Unix(100, 0)))
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
