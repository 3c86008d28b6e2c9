package loadshed_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/bramblemast/bramblemast/pkg/loadshed"
)

func demand(priority int, tenant string, rate float64) loadshed.Demand {
	return loadshed.Demand{Class: loadshed.Class{Priority: priority, Tenant: tenant}, Rate: rate}
}

// TestEnoughCapacityRefusesNobody: a capacity equal to the demand admits everything.
func TestEnoughCapacityRefusesNobody(t *testing.T) {
	g := NewWithT(t)
	g.Expect(loadshed.Divide(10, []loadshed.Demand{demand(1, "", 6), demand(2, "", 4)}).IsFull()).To(BeTrue())
	g.Expect(loadshed.Divide(0, nil).IsFull()).To(BeTrue())
}

// TestAFlashCrowdOfTheLessUrgentLeavesRoomForTheMoreUrgent: the urgent kind gets its demand, except
// for a quarter of the common share that the less urgent kind keeps.
func TestAFlashCrowdOfTheLessUrgentLeavesRoomForTheMoreUrgent(t *testing.T) {
	g := NewWithT(t)
	shares := loadshed.Divide(10, []loadshed.Demand{demand(1, "", 5), demand(2, "", 35)})
	g.Expect(shares.Of(loadshed.Class{Priority: 1})).To(BeNumerically("~", 1, 1e-9))
	g.Expect(shares.Of(loadshed.Class{Priority: 2})).To(BeNumerically("~", 5.0/35, 1e-9))
	crowd := loadshed.Divide(10, []loadshed.Demand{demand(1, "", 35), demand(2, "", 5)})
	g.Expect(crowd.Of(loadshed.Class{Priority: 2})).To(BeNumerically("~", 0.25*10/40, 1e-9))
}

// TestAKindThatCostsTenTimesAsMuch: demand is measured in work, so that both kinds of requests of a
// priority get the same share.
func TestAKindThatCostsTenTimesAsMuch(t *testing.T) {
	g := NewWithT(t)
	shares := loadshed.Divide(11, []loadshed.Demand{demand(1, "", 2+20)})
	g.Expect(shares.Of(loadshed.Class{Priority: 1})).To(BeNumerically("~", 0.5, 1e-9))
}

// TestAHeavyTenantAmongManySmallOnes: the small tenants get their whole demand, and the heavy one
// the rest.
func TestAHeavyTenantAmongManySmallOnes(t *testing.T) {
	g := NewWithT(t)
	demands := []loadshed.Demand{demand(1, "heavy", 60)}
	for number := range 40 {
		demands = append(demands, demand(1, fmt.Sprint("small", number), 1))
	}
	shares := loadshed.Divide(60, demands)
	g.Expect(shares.Of(loadshed.Class{Priority: 1, Tenant: "small7"})).To(Equal(1.0))
	g.Expect(shares.Of(loadshed.Class{Priority: 1, Tenant: "heavy"})).To(BeNumerically("~", 20.0/60, 1e-6))
	g.Expect(shares.Tenants).To(HaveLen(1))
}

// TestSharesAreBoundedForManyTenants: the number of tenants with a share of their own is bounded,
// so that messages to other nodes do not grow with the number of tenants.
func TestSharesAreBoundedForManyTenants(t *testing.T) {
	g := NewWithT(t)
	var demands []loadshed.Demand
	for number := range 500 {
		demands = append(demands, demand(1, fmt.Sprint("tenant", number), 1+float64(number%3)))
	}
	g.Expect(len(loadshed.Divide(100, demands).Tenants)).To(BeNumerically("<=", 8))
}

// TestSharesStayWithinTheirBounds: for any demands, nobody gets less than a quarter of the common
// share, a less urgent priority never gets a greater share than a more urgent one, and all together
// get no more than the capacity.
func TestSharesStayWithinTheirBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 30).Draw(t, "count")
		var demands []loadshed.Demand
		total := 0.0
		for number := range count {
			rate := rapid.Float64Range(0.01, 50).Draw(t, "rate")
			priority := rapid.IntRange(0, 3).Draw(t, "priority")
			demands = append(demands, demand(priority, fmt.Sprint("tenant", number), rate))
			total += rate
		}
		capacity := total * rapid.Float64Range(0.01, 0.99).Draw(t, "part")
		shares := loadshed.Divide(capacity, demands)
		allocated := 0.0
		ranks := map[int][2]float64{}
		for _, each := range demands {
			share := shares.Of(each.Class)
			if share < 0.25*capacity/total-1e-9 || share > 1+1e-9 {
				t.Fatalf("%+v gets share %v, the common share is %v", each, share, capacity/total)
			}
			allocated += share * each.Rate
			rank := ranks[each.Priority]
			ranks[each.Priority] = [2]float64{rank[0] + share*each.Rate, rank[1] + each.Rate}
		}
		if allocated > capacity*1.001 {
			t.Fatalf("allocated %v of a capacity of %v", allocated, capacity)
		}
		last := 2.0
		for priority := range 4 {
			rank, isPresent := ranks[priority]
			if !isPresent {
				continue
			}
			if share := rank[0] / rank[1]; share > last+1e-6 {
				t.Fatalf("priority %d gets share %v, more than the share %v of a more urgent one", priority, share, last)
			} else {
				last = share
			}
		}
	})
}
