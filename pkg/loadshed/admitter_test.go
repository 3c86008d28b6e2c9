package loadshed_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/pkg/loadshed"
)

// The services of these tests, as a gathered request asks them.
var services = func() []string {
	var names []string
	for number := range 36 {
		names = append(names, fmt.Sprint("shard", number))
	}
	return names
}()

var urgent = loadshed.Class{Priority: 1}

func only(share float64) loadshed.Shares {
	return loadshed.Shares{Ranks: []loadshed.RankShare{{Priority: 1, Share: share}}}
}

// lotAt returns the lot of a request that is let in with shares from a position on.
func lotAt(position float64) uint64 { return uint64((1 - position) * math.MaxUint64 * (1 - 1e-12)) }

// TestAllNodesLetInTheSameRequests: two boards that were told the same decide alike, and let
// in the part that was told.
func TestAllNodesLetInTheSameRequests(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(100, 0)
	one, other := loadshed.NewAdmitter(), loadshed.NewAdmitter()
	for _, board := range []*loadshed.Admitter{one, other} {
		board.Update(loadshed.Key{Service: "shard3"}, only(0.3), now)
		board.Update(loadshed.Key{Service: "shard4"}, only(0.2), now)
	}
	admitted := 0
	const count = 1000
	for number := range count {
		lot := lotAt((float64(number) + 0.5) / count)
		first := one.Admit(services, "", 36, urgent, lot, now)
		second := other.Admit(services, "", 36, urgent, lot, now.Add(300*time.Millisecond))
		g.Expect(second.IsAdmitted).To(Equal(first.IsAdmitted))
		if first.IsAdmitted {
			admitted++
		} else {
			g.Expect(first.LimitingService).To(Equal("shard4"))
		}
	}
	g.Expect(admitted).To(BeNumerically("~", count/5, 2))
}

// TestOneShardShort: a request that needs 35 of 36 shards leaves the scarce one alone unless
// it is among those for which it has room; one that needs all is held to it.
func TestOneShardShort(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(100, 0)
	board := loadshed.NewAdmitter()
	board.Update(loadshed.Key{Service: "shard7"}, only(0.1), now)
	lucky := board.Admit(services, "", 35, urgent, lotAt(0.05), now)
	g.Expect(lucky.IsAdmitted).To(BeTrue())
	g.Expect(lucky.Skipped).To(BeEmpty())
	other := board.Admit(services, "", 35, urgent, lotAt(0.6), now)
	g.Expect(other.IsAdmitted).To(BeTrue())
	g.Expect(other.Skipped).To(Equal([]int{7}))
	whole := board.Admit(services, "", 36, urgent, lotAt(0.6), now)
	g.Expect(whole.IsAdmitted).To(BeFalse())
	g.Expect(whole.Shortfall).To(BeNumerically("~", 0.5/0.9, 1e-6))
}

// TestAThirdOfTheServersGone leaves many shards short: a request that needs 31 of 36 goes by
// the sixth scarcest, one that needs 35 by the second.
func TestAThirdOfTheServersGone(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(100, 0)
	board := loadshed.NewAdmitter()
	for number := range 12 {
		board.Update(loadshed.Key{Service: services[number]}, only(float64(number+1)/20), now)
	}
	most := board.Admit(services, "", 35, urgent, lotAt(0.09), now)
	g.Expect(most.IsAdmitted).To(BeTrue())
	g.Expect(most.Share).To(BeNumerically("~", 2.0/20, 1e-9))
	few := board.Admit(services, "", 31, urgent, lotAt(0.29), now)
	g.Expect(few.IsAdmitted).To(BeTrue())
	g.Expect(few.Share).To(BeNumerically("~", 6.0/20, 1e-9))
	g.Expect(few.Skipped).To(ConsistOf(0, 1, 2, 3, 4))
	g.Expect(board.Admit(services, "", 31, urgent, lotAt(0.31), now).IsAdmitted).To(BeFalse())
}

// TestReportsThatStopped are forgotten: a node that is cut off, or whose owner is lost, falls
// back to letting all in and sees for itself.
func TestReportsThatStopped(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(100, 0)
	board := loadshed.NewAdmitter()
	board.Update(loadshed.Key{Service: "shard0"}, only(0.1), now)
	g.Expect(board.Admit(services, "", 36, urgent, lotAt(0.5), now.Add(time.Second)).IsAdmitted).To(BeFalse())
	g.Expect(board.Admit(services, "", 36, urgent, lotAt(0.5), now.Add(1600*time.Millisecond)).IsAdmitted).To(BeTrue())
	board.Sweep(now.Add(1600 * time.Millisecond))
	g.Expect(board.AdmitsAll()).To(BeTrue())
}

// TestTwoOwnersAtOnce: the later measurement counts, whichever message comes last.
func TestTwoOwnersAtOnce(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(100, 0)
	board := loadshed.NewAdmitter()
	board.Update(loadshed.Key{Service: "shard0"}, only(0.4), now)
	board.Update(loadshed.Key{Service: "shard0"}, only(0.1), now.Add(-50*time.Millisecond))
	g.Expect(board.ShareOf(loadshed.Key{Service: "shard0"}, urgent, now)).To(Equal(0.4))
	board.Update(loadshed.Key{Service: "shard0"}, loadshed.Shares{}, now.Add(-50*time.Millisecond))
	g.Expect(board.ShareOf(loadshed.Key{Service: "shard0"}, urgent, now)).To(Equal(0.4))
	board.Update(loadshed.Key{Service: "shard0"}, loadshed.Shares{}, now.Add(50*time.Millisecond))
	g.Expect(board.ShareOf(loadshed.Key{Service: "shard0"}, urgent, now)).To(Equal(1.0))
}

// TestWhatANodeSeesAloneYieldsToTheOwner, as long as the owner tells something.
func TestWhatANodeSeesAloneYieldsToTheOwner(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(100, 0)
	board, key := loadshed.NewAdmitter(), loadshed.Key{Service: "shard0"}
	board.Update(key, only(0.4), now)
	board.UpdateLocal(key, loadshed.Shares{}, now.Add(time.Second))
	g.Expect(board.ShareOf(key, urgent, now.Add(time.Second))).To(Equal(0.4))
	board.UpdateLocal(key, only(0.7), now.Add(2*time.Second))
	g.Expect(board.ShareOf(key, urgent, now.Add(2*time.Second))).To(Equal(0.7))
	board.Update(key, only(0.5), now.Add(3*time.Second))
	g.Expect(board.ShareOf(key, urgent, now.Add(3*time.Second))).To(Equal(0.5))
}

// TestRepeatingAtOnceGainsNothing: tries of a client draw the same lot at all nodes, while the
// many that ask the same in a flash crowd draw each for itself.
func TestRepeatingAtOnceGainsNothing(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(100, 0)
	var here, there loadshed.Sampler
	first := here.Sample(42, 1, now)
	g.Expect(there.Sample(42, 2, now.Add(time.Second))).To(Equal(first))
	g.Expect(here.Sample(42, 3, now.Add(time.Second))).To(Equal(first))
	g.Expect(here.Sample(42, 4, now.Add(time.Second))).To(Equal(uint64(4)))
	g.Expect(here.Sample(42, 5, now.Add(10*time.Second))).NotTo(Equal(first), "nobody stays unlucky")
}

func BenchmarkAdmitWithoutOverload(b *testing.B) { benchmarkAdmit(b, 0) }
func BenchmarkAdmitTwelveShort(b *testing.B)     { benchmarkAdmit(b, 12) }

func benchmarkAdmit(b *testing.B, short int) {
	now := time.Unix(100, 0)
	board := loadshed.NewAdmitter()
	for number := range short {
		board.Update(loadshed.Key{Service: services[number]}, only(float64(number+1)/20), now)
	}
	b.ReportAllocs()
	for b.Loop() {
		board.Admit(services, "", 35, urgent, lotAt(0.5), now)
	}
}

// TestTheLoadOfBoundRequestsIsTheirOwn: the servers of one region may have too much to do
// while the others have not.
func TestTheLoadOfBoundRequestsIsTheirOwn(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(100, 0)
	board := loadshed.NewAdmitter()
	board.Update(loadshed.Key{Service: "shard0", Regions: "there"}, only(0.1), now)
	g.Expect(board.Admit(services, "there", 36, urgent, lotAt(0.5), now).IsAdmitted).To(BeFalse())
	g.Expect(board.Admit(services, "", 36, urgent, lotAt(0.5), now).IsAdmitted).To(BeTrue())
}

// TestOlderSharesThatComeLaterArePassedOver also after a service has room for all again.
func TestOlderSharesThatComeLaterArePassedOver(t *testing.T) {
	g := NewWithT(t)
	board, now, key := loadshed.NewAdmitter(), time.Unix(100, 0), loadshed.Key{Service: "a"}
	short := loadshed.Shares{Ranks: []loadshed.RankShare{{Share: 0.5}}}
	board.Update(key, short, now)
	board.Update(key, loadshed.Shares{}, now.Add(200*time.Millisecond))
	g.Expect(board.AdmitsAll()).To(BeTrue())
	board.Update(key, short, now.Add(100*time.Millisecond))
	g.Expect(board.ShareOf(key, loadshed.Class{}, now.Add(300*time.Millisecond))).To(Equal(1.0))
	g.Expect(board.AdmitsAll()).To(BeTrue())
	board.Update(key, short, now.Add(300*time.Millisecond))
	g.Expect(board.ShareOf(key, loadshed.Class{}, now.Add(300*time.Millisecond))).To(Equal(0.5))
	g.Expect(board.LimitedServices()).To(Equal(1))
}
