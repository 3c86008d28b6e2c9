package node

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/pkg/backend"
	"github.com/bramblemast/bramblemast/pkg/backend/httpbackend"
	"github.com/bramblemast/bramblemast/pkg/catalog"
	"github.com/bramblemast/bramblemast/pkg/keyspace"
	"github.com/bramblemast/bramblemast/pkg/limit"
	"github.com/bramblemast/bramblemast/pkg/machinelist"
	"github.com/bramblemast/bramblemast/pkg/target"
)

const (
	testConnections = 75
	testSlots       = 5
)

// newTestReach returns the reach of one of several nodes over 16 servers of
// four parts.
func newTestReach(self target.NodeID, nodes []target.NodeID) *reach {
	known := catalog.New(catalog.Options{Node: self, Zone: "oslo"})
	var list machinelist.List
	parts := keyspace.Split(4)
	for number := range 16 {
		list = append(list, machinelist.Entry{Server: testServer(number), Service: "s", Group: fmt.Sprint(number % 4), Zone: "oslo", State: machinelist.Live})
	}
	known.ReplaceMachines(list)
	for number := range 16 {
		known.ReportProbe(testServer(number), time.Now(), &backend.Status{
			Service: "s", Instance: "i", Ready: true, Slots: testSlots, Connections: testConnections,
			Indexes: []backend.Index{{Version: 1, Shards: []backend.Shard{{Group: fmt.Sprint(number % 4), Range: parts[number%4]}}}},
		}, nil)
	}
	built := newReach(self, known, limit.NewServers(limit.Options{}), func() []target.NodeID { return nodes })
	built.client = httpbackend.New(httpbackend.Options{})
	built.update()
	return built
}

func testServer(number int) target.ServerID {
	return target.ServerID(fmt.Sprintf("127.0.0.1:%d", 9000+number))
}

var _ = Describe("reach", func() {
	DescribeTable("never gives out more connections to a server than it has, and reaches two replicas of each part",
		func(count int) {
			var nodes []target.NodeID
			for number := range count {
				nodes = append(nodes, target.NodeID(fmt.Sprintf("node-%02d", number)))
			}
			total := make(map[target.ServerID]int)
			for _, node := range nodes {
				one := newTestReach(node, nodes)
				perPart := make(map[string]int)
				for _, server := range one.View("s").Servers {
					total[server.ID] += one.connections(server.ID)
					perPart[server.Group]++
				}
				Expect(perPart).To(HaveLen(4))
				for _, replicas := range perPart {
					Expect(replicas).To(BeNumerically(">=", 2))
				}
			}
			for server, connections := range total {
				Expect(connections).To(BeNumerically("<=", testConnections), "server %s", server)
			}
		},
		Entry("one node", 1), Entry("three nodes", 3), Entry("twenty nodes", 20), Entry("seventy nodes", 70))

	It("keeps its view while nothing changes and follows a change of the nodes", func() {
		nodes := []target.NodeID{"a"}
		one := newTestReach("a", nodes)
		view := one.View("s")
		Expect(one.connections(testServer(0))).To(BeNumerically(">", testConnections/2))
		one.update()
		Expect(one.View("s")).To(BeIdenticalTo(view))
		one.nodes = func() []target.NodeID { return []target.NodeID{"a", "b", "c"} }
		one.update()
		Expect(one.connections(testServer(0))).To(BeNumerically("<=", testConnections/3))
	})

	It("takes the number of sharing nodes from the settings if they give one", func() {
		one := newTestReach("a", []target.NodeID{"a"})
		one.sharing = 15
		one.nodes = func() []target.NodeID { return []target.NodeID{"a", "b"} }
		one.update()
		Expect(one.connections(testServer(0))).To(BeNumerically("<=", testConnections/15))
	})

	It("knows no service that the catalogue does not have", func() {
		Expect(newTestReach("a", nil).View("other")).To(BeNil())
	})
})
