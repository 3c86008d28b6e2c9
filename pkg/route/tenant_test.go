package route_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/pkg/route"
)

// withTenants is a configuration with two tenants, one of them with a rank and regions.
func withTenants() *route.Configuration {
	changed := configuration()
	changed.Tenants = []route.Tenant{
		{Name: "plain", Keys: []string{"key-1", "key-2"}},
		{Name: "ranked", Keys: []string{"key-3"}, Priority: 0, HasPriority: true, Regions: route.OnlyRegions([]string{"north", "east"})},
	}
	changed.Routes[0].Priority = 2
	return changed
}

func TestAKeyIsHeldByOneTenant(t *testing.T) {
	g := NewWithT(t)
	table := route.NewTable(withTenants())
	g.Expect(table.HasTenants()).To(BeTrue())
	g.Expect(table.TenantOf("key-2").Name).To(Equal("plain"))
	g.Expect(table.TenantOf("key-3").Name).To(Equal("ranked"))
	g.Expect(table.TenantOf("key-4")).To(BeNil())
	g.Expect(table.TenantOf("")).To(BeNil())
	g.Expect(table.Tenant("plain").Keys).To(HaveLen(2))
	g.Expect(route.NewTable(configuration()).HasTenants()).To(BeFalse())
}

func TestTheTenantsPriorityGoesBeforeTheRoutes(t *testing.T) {
	g := NewWithT(t)
	table := route.NewTable(withTenants())
	found := table.Match("a.example", "/")
	g.Expect(route.PriorityOf(found, nil)).To(Equal(2))
	g.Expect(route.PriorityOf(found, table.Tenant("plain"))).To(Equal(2))
	g.Expect(route.PriorityOf(found, table.Tenant("ranked"))).To(Equal(0))
}

func TestRegionsOfRouteAndTenantBothBind(t *testing.T) {
	g := NewWithT(t)
	changed := withTenants()
	changed.Routes[0].Regions = route.OnlyRegions([]string{"north", "south"})
	changed.Routes[1].Regions = route.OnlyRegions([]string{"west"})
	table := route.NewTable(changed)
	pinned := route.OnlyRegions([]string{"south"})
	g.Expect(table.RegionsOf("a.example", "/", "ranked", pinned).Names()).To(Equal([]string{"north"}))
	g.Expect(table.RegionsOf("a.example", "/", "plain", pinned).Names()).To(Equal([]string{"north", "south"}))
	g.Expect(table.RegionsOf("a.example", "/", "gone", pinned).Names()).To(Equal([]string{"south"}),
		"a tenant that is removed leaves its request bound as it began")
	none := table.RegionsOf("a.example", "/x/y/z", "ranked", pinned)
	g.Expect(none.IsBound()).To(BeTrue())
	g.Expect(none.Allow("north") || none.Allow("west")).To(BeFalse())
	g.Expect(none.Key()).NotTo(Equal(route.Regions{}.Key()), "no region in common is not the same as no bound")
}

// TestInvalidTenantsAreNamedWithoutTheirKeys: keys are secrets.
func TestInvalidTenantsAreNamedWithoutTheirKeys(t *testing.T) {
	g := NewWithT(t)
	g.Expect(route.Validate(withTenants())).To(Succeed())
	wrong := withTenants()
	wrong.Tenants = append(wrong.Tenants,
		route.Tenant{Name: "plain", Limit: route.RateLimit{PerSecond: -1}},
		route.Tenant{Name: "", Keys: []string{"", "key-1"}},
		route.Tenant{Name: "two\r\nlines", Keys: []string{"secret\x00"}},
		route.Tenant{Name: " blank", Keys: []string{" secret"}},
		route.Tenant{Name: "Kuching", Keys: []string{"fits"}},
	)
	err := route.Validate(wrong)
	for _, part := range []string{`"plain": named twice`, "limit is negative", "not a name", "a key is empty", `holds a key of tenant "plain"`} {
		g.Expect(err).To(MatchError(ContainSubstring(part)))
	}
	for _, name := range []string{"two\r\nlines", " blank"} {
		g.Expect(err).To(MatchError(ContainSubstring(fmt.Sprintf("tenant %q: not a name that fits a header", name))))
		g.Expect(err).To(MatchError(ContainSubstring(fmt.Sprintf("tenant %q: a key does not fit a header", name))))
	}
	for _, part := range []string{"key-1", "secret", "Kuching"} {
		g.Expect(err.Error()).NotTo(ContainSubstring(part))
	}
}

// BenchmarkLookUps compares finding a route with finding a tenant among 10,000 with five
// keys each: a key costs no more than a route.
func BenchmarkLookUps(b *testing.B) {
	built := configuration()
	for number := range 10_000 {
		tenant := route.Tenant{Name: fmt.Sprintf("tenant-%d", number)}
		for key := range 5 {
			tenant.Keys = append(tenant.Keys, fmt.Sprintf("%016x%04d", number*7919+key, key))
		}
		built.Tenants = append(built.Tenants, tenant)
	}
	table := route.NewTable(built)
	known := built.Tenants[7_000].Keys[3]
	b.Run("route", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			table.Match("a.example", "/x/y/z")
		}
	})
	b.Run("tenant", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			table.TenantOf(known)
		}
	})
}
