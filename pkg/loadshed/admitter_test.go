package loadshed_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/pkg/loadshed"
)

// services are the services that a gathered request needs in these tests.
var services = func() []string {
	var names []string
	for number := range 36 {
		names = append(names, fmt.Sprint("shard", number))
	}
	return names
}()

var urgent = loadshed.Class{Priority: 1}

func uniformShares(share float64) loadshed.Shares {
	return loadshed.Shares{Ranks: []loadshed.RankShare{{Priority: 1, Share: share}}}
}

// sampleAt returns the sampling value of a request that is admitted with shares of at least
// position.
func sampleAt(position float64) uint64 { return uint64((1 - position) * math.MaxUint64 * (1 - 1e-12)) }

// TestAllNodesAdmitTheSameRequests: two admitters with the same shares make the same decisions and
// admit the part of the requests that the shares state.
func TestAllNodesAdmitTheSameRequests(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(100, 0)
	one, other := loadshed.NewAdmitter(), loadshed.NewAdmitter()
	for _, admitter := range []*loadshed.Admitter{one, other} {
		admitter.Update(loadshed.Key{Service: "shard3"}, uniformShares(0.3), now)
		admitter.Update(loadshed.Key{Service: "shard4"}, uniformShares(0.2), now)
	}
	admitted := 0
	const count = 1000
	for number := range count {
		sample := sampleAt((float64(number) + 0.5) / count)
		first := one.Admit(services, "", 36, urgent, sample, now)
		second := other.Admit(services, "", 36, urgent, sample, now.Add(300*time.Millisecond))
		g.Expect(second.IsAdmitted).To(Equal(first.IsAdmitted))
		if first.IsAdmitted {
			admitted++
		} else {
			g.Expect(first.LimitingService).To(Equal("shard4"))
		}
	}
	g.Expect(admitted).To(BeNumerically("~", count/5, 2))
}

// TestOneShardShort: a request that needs 35 of 36 shards skips the limited one unless its sampling
// value is admitted there; a request that needs all of them is limited by it.
func TestOneShardShort(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(100, 0)
	admitter := loadshed.NewAdmitter()
	admitter.Update(loadshed.Key{Service: "shard7"}, uniformShares(0.1), now)
	served := admitter.Admit(services, "", 35, urgent, sampleAt(0.05), now)
	g.Expect(served.IsAdmitted).To(BeTrue())
	g.Expect(served.Skipped).To(BeEmpty())
	skipping := admitter.Admit(services, "", 35, urgent, sampleAt(0.6), now)
	g.Expect(skipping.IsAdmitted).To(BeTrue())
	g.Expect(skipping.Skipped).To(Equal([]int{7}))
	whole := admitter.Admit(services, "", 36, urgent, sampleAt(0.6), now)
	g.Expect(whole.IsAdmitted).To(BeFalse())
	g.Expect(whole.Shortfall).To(BeNumerically("~", 0.5/0.9, 1e-6))
}

// TestAThirdOfTheServersGone: many shards are limited. The sixth smallest share decides about a
// request that needs 31 of 36 shards, and the second smallest about one that needs 35.
func TestAThirdOfTheServersGone(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(100, 0)
	admitter := loadshed.NewAdmitter()
	for number := range 12 {
		admitter.Update(loadshed.Key{Service: services[number]}, uniformShares(float64(number+1)/20), now)
	}
	needs35 := admitter.Admit(services, "", 35, urgent, sampleAt(0.09), now)
	g.Expect(needs35.IsAdmitted).To(BeTrue())
	g.Expect(needs35.Share).To(BeNumerically("~", 2.0/20, 1e-9))
	needs31 := admitter.Admit(services, "", 31, urgent, sampleAt(0.29), now)
	g.Expect(needs31.IsAdmitted).To(BeTrue())
	g.Expect(needs31.Share).To(BeNumerically("~", 6.0/20, 1e-9))
	g.Expect(needs31.Skipped).To(ConsistOf(0, 1, 2, 3, 4))
	g.Expect(admitter.Admit(services, "", 31, urgent, sampleAt(0.31), now).IsAdmitted).To(BeFalse())
}

// TestSharesExpireWithoutReports: a node that is cut off, or whose owner is lost, receives no more
// shares. It has to admit all requests again and measure for itself.
func TestSharesExpireWithoutReports(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(100, 0)
	admitter := loadshed.NewAdmitter()
	admitter.Update(loadshed.Key{Service: "shard0"}, uniformShares(0.1), now)
	g.Expect(admitter.Admit(services, "", 36, urgent, sampleAt(0.5), now.Add(time.Second)).IsAdmitted).To(BeFalse())
	g.Expect(admitter.Admit(services, "", 36, urgent, sampleAt(0.5), now.Add(1600*time.Millisecond)).IsAdmitted).To(BeTrue())
	admitter.Sweep(now.Add(1600 * time.Millisecond))
	g.Expect(admitter.AdmitsAll()).To(BeTrue())
}

// TestTheLatestMeasurementWins: while two owners report, the later measurement counts, whichever
// message arrives last.
func TestTheLatestMeasurementWins(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(100, 0)
	admitter := loadshed.NewAdmitter()
	admitter.Update(loadshed.Key{Service: "shard0"}, uniformShares(0.4), now)
	admitter.Update(loadshed.Key{Service: "shard0"}, uniformShares(0.1), now.Add(-50*time.Millisecond))
	g.Expect(admitter.ShareOf(loadshed.Key{Service: "shard0"}, urgent, now)).To(Equal(0.4))
	admitter.Update(loadshed.Key{Service: "shard0"}, loadshed.Shares{}, now.Add(-50*time.Millisecond))
	g.Expect(admitter.ShareOf(loadshed.Key{Service: "shard0"}, urgent, now)).To(Equal(0.4))
	admitter.Update(loadshed.Key{Service: "shard0"}, loadshed.Shares{}, now.Add(50*time.Millisecond))
	g.Expect(admitter.ShareOf(loadshed.Key{Service: "shard0"}, urgent, now)).To(Equal(1.0))
}

// TestLocalSharesYieldToTheOwner: what a node measures from its own requests alone does not replace
// recent shares of the owner, but does once those have expired.
func TestLocalSharesYieldToTheOwner(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(100, 0)
	admitter, key := loadshed.NewAdmitter(), loadshed.Key{Service: "shard0"}
	admitter.Update(key, uniformShares(0.4), now)
	admitter.UpdateLocal(key, loadshed.Shares{}, now.Add(time.Second))
	g.Expect(admitter.ShareOf(key, urgent, now.Add(time.Second))).To(Equal(0.4))
	admitter.UpdateLocal(key, uniformShares(0.7), now.Add(2*time.Second))
	g.Expect(admitter.ShareOf(key, urgent, now.Add(2*time.Second))).To(Equal(0.7))
	admitter.Update(key, uniformShares(0.5), now.Add(3*time.Second))
	g.Expect(admitter.ShareOf(key, urgent, now.Add(3*time.Second))).To(Equal(0.5))
}

// TestImmediateRetriesGetTheSameSample: the tries of a client get the same sampling value at all
// nodes, while each of the many requests with the same content in a flash crowd gets a value of its
// own.
func TestImmediateRetriesGetTheSameSample(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(100, 0)
	var here, there loadshed.Sampler
	first := here.Sample(42, 1, now)
	g.Expect(there.Sample(42, 2, now.Add(time.Second))).To(Equal(first))
	g.Expect(here.Sample(42, 3, now.Add(time.Second))).To(Equal(first))
	g.Expect(here.Sample(42, 4, now.Add(time.Second))).To(Equal(uint64(4)))
	g.Expect(here.Sample(42, 5, now.Add(10*time.Second))).NotTo(Equal(first), "the value changes with each span, so that no client is refused for long")
}

func BenchmarkAdmitWithoutOverload(b *testing.B) { benchmarkAdmit(b, 0) }
func BenchmarkAdmitTwelveShort(b *testing.B)     { benchmarkAdmit(b, 12) }

func benchmarkAdmit(b *testing.B, short int) {
	now := time.Unix(100, 0)
	admitter := loadshed.NewAdmitter()
	for number := range short {
		admitter.Update(loadshed.Key{Service: services[number]}, uniformShares(float64(number+1)/20), now)
	}
	b.ReportAllocs()
	for b.Loop() {
		admitter.Admit(services, "", 35, urgent, sampleAt(0.5), now)
	}
}

// TestRequestsBoundToRegionsHaveTheirOwnShares: the servers of one region may be overloaded while
// the others are not.
func TestRequestsBoundToRegionsHaveTheirOwnShares(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(100, 0)
	admitter := loadshed.NewAdmitter()
	admitter.Update(loadshed.Key{Service: "shard0", Regions: "there"}, uniformShares(0.1), now)
	g.Expect(admitter.Admit(services, "there", 36, urgent, sampleAt(0.5), now).IsAdmitted).To(BeFalse())
	g.Expect(admitter.Admit(services, "", 36, urgent, sampleAt(0.5), now).IsAdmitted).To(BeTrue())
}

// TestOlderSharesThatComeLaterArePassedOver: older shares that arrive late are ignored, also after
// the overload has ended.
func TestOlderSharesThatComeLaterArePassedOver(t *testing.T) {
	g := NewWithT(t)
	admitter, now, key := loadshed.NewAdmitter(), time.Unix(100, 0), loadshed.Key{Service: "a"}
	limited := loadshed.Shares{Ranks: []loadshed.RankShare{{Share: 0.5}}}
	admitter.Update(key, limited, now)
	admitter.Update(key, loadshed.Shares{}, now.Add(200*time.Millisecond))
	g.Expect(admitter.AdmitsAll()).To(BeTrue())
	admitter.Update(key, limited, now.Add(100*time.Millisecond))
	g.Expect(admitter.ShareOf(key, loadshed.Class{}, now.Add(300*time.Millisecond))).To(Equal(1.0))
	g.Expect(admitter.AdmitsAll()).To(BeTrue())
	admitter.Update(key, limited, now.Add(300*time.Millisecond))
	g.Expect(admitter.ShareOf(key, loadshed.Class{}, now.Add(300*time.Millisecond))).To(Equal(0.5))
	g.Expect(admitter.LimitedServices()).To(Equal(1))
}
