package ctl_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/api/limits"
	"github.com/bramblemast/bramblemast/internal/ctl"
	"github.com/bramblemast/bramblemast/internal/operator/operatortest"
)

// metricsOf serves what a node says of one tenant or of all, and returns its address.
func metricsOf(node limits.Node) string {
	return metricsBy(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		defer GinkgoRecover()
		said := node
		if wanted := request.URL.Query().Get(limits.ParameterTenant); wanted != "" {
			said.Served, said.Coordinated = nil, nil
			for _, one := range node.Served {
				if one.Tenant == wanted {
					said.Served = append(said.Served, one)
				}
			}
			for _, one := range node.Coordinated {
				if one.Tenant == wanted {
					said.Coordinated = append(said.Coordinated, one)
				}
			}
		}
		Expect(request.URL.Path).To(Equal(limits.Path))
		Expect(json.NewEncoder(writer).Encode(said)).To(Succeed())
	}))
}

// metricsBy serves a handler and returns its address.
func metricsBy(handler http.Handler) string {
	server := httptest.NewServer(handler)
	DeferCleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// named puts the addresses of metrics behind a command.
func named(addresses []string, arguments ...string) []string {
	for _, address := range addresses {
		arguments = append(arguments, "--metrics", address)
	}
	return arguments
}

// threeNodes are what the nodes of two zones say: one tenant is at its limit, one is not, and n-3 is
// cut off.
func threeNodes() []limits.Node {
	since := time.Date(2026, 5, 8, 1, 48, 40, 0, time.UTC)
	age, oldAge := int64(120), int64(5400)
	busy, calm := limits.Limit{PerSecond: 63, Burst: 63}, limits.Limit{PerSecond: 5, Burst: 5}
	return []limits.Node{
		{
			Node: "n-1", Zone: "west", At: since.Add(time.Hour), CountedSince: since, ConfigurationVersion: 12, Nodes: 3,
			Silent: []string{"n-3"}, SilentCount: 1,
			Coordinated: []limits.Coordinated{{
				Tenant: "busy", Limit: busy, First: true, AskedPerSecond: 504, Share: 0.1, Level: -3.5, KeptBackPerSecond: 21,
				Reporting: 2, Reporters: []string{"n-1", "n-2"}, AtLimitSince: &since,
			}},
			Served: []limits.Served{
				{
					Tenant: "busy", Limit: busy, DecidedBy: "first", Coordinator: "n-1", Share: 0.1, ShareAgeMS: &age,
					EntitledPerSecond: 21, AdmittedPerSecond: 20, Admitted: 100, Refused: map[string]uint64{"beyond_share": 900},
				},
				{Tenant: "calm", Limit: calm, Idle: true, Admitted: 7},
			},
		},
		{
			Node: "n-2", Zone: "west", At: since.Add(time.Hour), CountedSince: since, ConfigurationVersion: 12, Nodes: 3,
			Coordinated: []limits.Coordinated{},
			Served: []limits.Served{{
				Tenant: "busy", Limit: busy, DecidedBy: "first", Coordinator: "n-1", Share: 0.1, ShareAgeMS: &age,
				EntitledPerSecond: 20, AdmittedPerSecond: 22.5, Admitted: 120, Refused: map[string]uint64{"beyond_share": 800, "unacknowledged": 3},
			}},
		},
		{
			Node: "n-3", Zone: "east", At: since.Add(time.Hour), CountedSince: since, ConfigurationVersion: 12, Nodes: 3,
			Coordinated: []limits.Coordinated{},
			Served: []limits.Served{{
				Tenant: "busy", Limit: busy, DecidedBy: "alone", Share: 0.1, ShareAgeMS: &oldAge, ShareOld: true,
				EntitledPerSecond: 21, AdmittedPerSecond: 18, Admitted: 80, Refused: map[string]uint64{"alone": 50},
			}},
		},
	}
}

// serve serves nodes and returns their addresses.
func serve(nodes ...limits.Node) []string {
	var addresses []string
	for _, node := range nodes {
		addresses = append(addresses, metricsOf(node))
	}
	return addresses
}

var _ = Describe("Limits", func() {
	DescribeTable("are added up over all nodes that are named",
		func(golden string, arguments ...string) {
			got := run("", named(serve(threeNodes()...), arguments...)...)
			Expect(got.code).To(Equal(ctl.ExitOK), got.errors)
			expectGolden(golden, got.output, &operatortest.Cluster{})
		},
		Entry("as a list", "limit_list.txt", "limit", "list"),
		Entry("as a list for programs", "limit_list.json", "limit", "list", "-o", "json"),
		Entry("of one tenant", "limit_show.txt", "limit", "show", "busy"),
		Entry("of one tenant, for programs", "limit_show.json", "limit", "show", "busy", "-o", "json"),
		Entry("of one that nobody asks for", "limit_show_idle.txt", "limit", "show", "calm"),
	)

	It("come with the nodes that did not answer, and exit with 6", func() {
		nodes := threeNodes()
		gone := httptest.NewServer(http.NotFoundHandler())
		gone.Close()
		notThere := strings.TrimPrefix(gone.URL, "http://")
		notHeld := metricsBy(http.NotFoundHandler())
		broken := metricsBy(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
			_, err := writer.Write([]byte("{"))
			Expect(err).NotTo(HaveOccurred())
		}))
		silent := metricsBy(http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) { <-request.Context().Done() }))
		addresses := append(serve(nodes[0], nodes[1]), notThere, notHeld, broken, silent)
		for _, command := range [][]string{{"limit", "list"}, {"limit", "show", "busy"}} {
			// The others have so long for their answers, also on a busy machine.
			got := run("", named(addresses, append(command, "--timeout", "5s")...)...)
			Expect(got.code).To(Equal(ctl.ExitIncomplete))
			Expect(got.errors).To(ContainSubstring("a part of the whole"))
			Expect(got.output).To(ContainSubstring("2 of 3 nodes answered"))
			Expect(got.output).To(ContainSubstring("no answer: " + notThere))
			Expect(got.output).To(ContainSubstring("no answer: " + notHeld + ": the node holds no limits"))
			Expect(got.output).To(ContainSubstring("no answer: " + broken + ": decode limits"))
			Expect(got.output).To(MatchRegexp("no answer: " + silent + ".*deadline exceeded"))
		}
	})

	It("tell of nodes that were not named, and exit with 6", func() {
		nodes := threeNodes()
		got := run("", named(serve(nodes[0]), "limit", "show", "busy")...)
		Expect(got.code).To(Equal(ctl.ExitIncomplete))
		Expect(got.output).To(ContainSubstring("not asked: 2 further nodes"))
		Expect(got.output).To(ContainSubstring("reported to n-1, and are not among the nodes below: n-2"))
		withoutCoordinator := run("", named(serve(nodes[1]), "limit", "list")...)
		Expect(withoutCoordinator.code).To(Equal(ctl.ExitIncomplete))
		Expect(withoutCoordinator.output).To(MatchRegexp(`busy +63.0 +63.0 +- +22.5 +- +- +120 +803`), "what is asked is not known")
	})

	It("are asked for of a node once, whatever its addresses", func() {
		nodes := threeNodes()
		addresses := serve(nodes[0], nodes[0], nodes[1], nodes[2])
		got := run("", named(append(addresses, addresses[0]), "limit", "list")...)
		Expect(got.code).To(Equal(ctl.ExitOK), got.errors)
		expectGolden("limit_list.txt", got.output, &operatortest.Cluster{})
	})

	It("are marked where nodes know different ones, and those of the newest configuration told", func() {
		nodes := threeNodes()
		nodes[1].ConfigurationVersion = 13
		nodes[1].Served[0].Limit = limits.Limit{PerSecond: 40, Burst: 40}
		got := run("", named(serve(nodes...), "limit", "list")...)
		Expect(got.code).To(Equal(ctl.ExitOK), got.errors)
		Expect(got.output).To(ContainSubstring("configuration: versions 12, 13 are in force"))
		Expect(got.output).To(ContainSubstring("40.0 (differs)"))
	})

	It("are left out where a node's list does not reach so far", func() {
		nodes := threeNodes()
		for number := range 10 {
			small := limits.Limit{PerSecond: 4 - float64(number)/10, Burst: 1}
			nodes[1].Served = append(nodes[1].Served, limits.Served{Tenant: fmt.Sprint("small-", number), Limit: small})
		}
		nodes[1].ServedLeftOut = 2
		nodes[2].Served = append(nodes[2].Served, limits.Served{Tenant: "lowest", Limit: limits.Limit{PerSecond: 1}, Admitted: 1})
		got := run("", named(serve(nodes...), "limit", "list")...)
		Expect(got.code).To(Equal(ctl.ExitOK), got.errors)
		Expect(got.output).To(ContainSubstring("at least 2 tenants with smaller limits"))
		Expect(got.output).To(ContainSubstring("small-9"))
		Expect(got.output).NotTo(ContainSubstring("lowest"), "its sum would be a part")
	})

	It("exit with 5 for a tenant that no node knows, and with 6 if a node did not answer", func() {
		nodes := threeNodes()
		unknown := run("", named(serve(nodes...), "limit", "show", "nobody")...)
		Expect(unknown.code).To(Equal(ctl.ExitRefused))
		Expect(unknown.errors).To(ContainSubstring(`no node knows a tenant "nobody"`))
		Expect(run("", named(serve(nodes[0]), "limit", "show", "nobody")...).code).To(Equal(ctl.ExitIncomplete))
	})

	It("exit with 4 if no node can be reached, and with 1 on wrong use", func() {
		gone := httptest.NewServer(http.NotFoundHandler())
		gone.Close()
		got := run("", "limit", "list", "--metrics", strings.TrimPrefix(gone.URL, "http://"))
		Expect(got.code).To(Equal(ctl.ExitUnavailable))
		Expect(got.errors).To(ContainSubstring("get limits"))
		Expect(run("", "limit", "show").code).To(Equal(ctl.ExitUsage))
		Expect(run("", "limit", "show", "").code).To(Equal(ctl.ExitUsage))
		Expect(run("", "limit", "list", "busy").code).To(Equal(ctl.ExitUsage))
	})

	It("have a help with examples", func() {
		for _, verb := range []string{"list", "show"} {
			help := run("", "limit", verb, "--help")
			Expect(help.code).To(Equal(ctl.ExitOK))
			Expect(help.output).To(ContainSubstring("bramblemastctl limit " + verb))
		}
	})
})
