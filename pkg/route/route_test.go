package route_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/pkg/route"
)

func configuration() *route.Configuration {
	one := []route.Weighted{{Service: "s", Weight: 1}}
	return &route.Configuration{Version: 7, Routes: []route.Route{
		{Name: "root", Host: "A.example", Prefix: "/", Backends: one},
		{Name: "deep", Host: "a.example", Prefix: "/x/y/", Backends: one},
		{Name: "shallow", Host: "a.example", Prefix: "/x/", Backends: one},
		{Name: "other", Host: "b.example", Prefix: "/x/", Repeatable: true, Shards: []string{"s", "t"}, MinimumCoverage: 0.89},
	}, Services: []route.Service{{Name: "s", MaxConnections: 3}, {Name: "t"}}}
}

func TestTheLongestPrefixOfTheHostIsChosen(t *testing.T) {
	g := NewWithT(t)
	table := route.NewTable(configuration())
	for request, want := range map[[2]string]string{
		{"a.example", "/x/y/z"}: "deep", {"a.example", "/x/z"}: "shallow", {"a.example:8080", "/x"}: "root",
		{"A.EXAMPLE", "/q"}: "root", {"b.example", "/x/"}: "other",
	} {
		found := table.Match(request[0], request[1])
		g.Expect(found).NotTo(BeNil(), "%v", request)
		g.Expect(found.Name).To(Equal(want), "%v", request)
	}
	g.Expect(table.Match("b.example", "/y/")).To(BeNil())
	g.Expect(table.Match("c.example", "/")).To(BeNil())
	g.Expect(table.Service("s").MaxConnections).To(Equal(3))
	g.Expect(table.Service("u")).To(BeNil())
}

func TestRequiredShards(t *testing.T) {
	g := NewWithT(t)
	for _, example := range []struct {
		shards, want int
		coverage     float64
	}{{10, 9, 0.89}, {15, 14, 0.89}, {10, 8, 0.75}, {15, 12, 0.75}, {10, 9, 0.9}, {10, 10, 1}, {4, 1, 0}} {
		tested := route.Route{Shards: make([]string, example.shards), MinimumCoverage: example.coverage}
		g.Expect(tested.RequiredShards()).To(Equal(example.want), "%v", example)
	}
}

// TestAnInvalidConfigurationNamesEveryField: all faults stand in one error.
func TestAnInvalidConfigurationNamesEveryField(t *testing.T) {
	g := NewWithT(t)
	g.Expect(route.Validate(configuration())).To(Succeed())
	wrong := configuration()
	wrong.Routes[0].Prefix = "x"
	wrong.Routes[1].Backends = []route.Weighted{{Service: "s", Weight: -1}}
	wrong.Routes[2].Shards = []string{"s"}
	wrong.Routes[3].Repeatable = false
	wrong.Routes[3].MinimumCoverage = 1.5
	wrong.Routes[3].Timeout = -time.Second
	wrong.Services[0].MaxConnections = -1
	wrong.Services[1].Name = ""
	err := route.Validate(wrong)
	for _, part := range []string{
		"version 7", `"root": prefix "x"`, `"deep": weight of "s" is negative`, "weights add up to zero",
		`"shallow": wants either`, `"other": a gathered route must be repeatable`, "minimum coverage 1.5",
		`"other": a number is negative`, `"s": connections`, "no name",
	} {
		g.Expect(err).To(MatchError(ContainSubstring(part)))
	}
}
