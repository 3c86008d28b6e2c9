package route_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/pkg/route"
)

func TestRegionsBoundWhereARequestGoes(t *testing.T) {
	g := NewWithT(t)
	g.Expect(route.Regions{}.Allow("anywhere")).To(BeTrue())
	g.Expect(route.Regions{}.Allow("")).To(BeTrue())
	g.Expect(route.OnlyRegions(nil).IsBound()).To(BeFalse())
	bound := route.OnlyRegions([]string{"south", "north", "south"})
	g.Expect(bound.IsBound()).To(BeTrue())
	g.Expect(bound.Names()).To(Equal([]string{"north", "south"}))
	g.Expect(bound.Allow("north")).To(BeTrue())
	g.Expect(bound.Allow("east")).To(BeFalse())
	g.Expect(bound.Allow("")).To(BeFalse(), "a place without a known region is in none")
	g.Expect(route.OnlyRegions([]string{""}).Allow("")).To(BeFalse())
	g.Expect(bound.Key()).To(Equal(route.OnlyRegions([]string{"north", "south"}).Key()))
	g.Expect(bound.Key()).NotTo(Equal(route.Regions{}.Key()))
}

func TestTheNewestVersionSaysWhereARequestIsServed(t *testing.T) {
	g := NewWithT(t)
	changed := configuration()
	changed.Routes[1].Regions = route.OnlyRegions([]string{"north"})
	table := route.NewTable(changed)
	pinned := route.OnlyRegions([]string{"south"})
	g.Expect(table.RegionsOf("a.example", "/x/y/z?q=/", "", pinned).Names()).To(Equal([]string{"north"}))
	g.Expect(table.RegionsOf("a.example", "/x/", "", pinned).IsBound()).To(BeFalse())
	g.Expect(table.RegionsOf("gone.example", "/", "", pinned)).To(Equal(pinned), "no route is left")
}
