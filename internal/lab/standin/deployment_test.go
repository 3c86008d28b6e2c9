package standin_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/internal/lab/standin"
	"github.com/bramblemast/bramblemast/internal/lab/standin/labapi"
	"github.com/bramblemast/bramblemast/internal/lab/topology"
	"github.com/bramblemast/bramblemast/pkg/keyspace"
	"github.com/bramblemast/bramblemast/pkg/target"
)

// listEntry is one entry of the published machine list.
type listEntry struct {
	Targets []string          `json:"targets"`
	Labels  map[string]string `json:"labels"`
}

var _ = Describe("Deployment", func() {
	var (
		ctx        = context.Background()
		deployment *standin.Deployment
		admin      *labapi.Client
		plain      *http.Client
	)

	BeforeEach(func() {
		var err error
		deployment, err = standin.Start(standin.Options{Topology: topology.Preset(topology.PresetColourArchive)})
		Expect(err).NotTo(HaveOccurred())
		admin = labapi.NewClient(deployment.Addresses().Admin)
		plain = &http.Client{Transport: &http.Transport{}}
		DeferCleanup(func() {
			admin.Close()
			plain.CloseIdleConnections()
			deployment.Stop()
		})
	})
	states := func() map[string]string {
		GinkgoHelper()
		response, err := plain.Get(deployment.Addresses().MachineList)
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		if response.StatusCode != http.StatusOK {
			return nil
		}
		var entries []listEntry
		Expect(json.NewDecoder(response.Body).Decode(&entries)).To(Succeed())
		found := make(map[string]string)
		for _, entry := range entries {
			found[entry.Targets[0]] = entry.Labels["state"]
		}
		return found
	}

	It("lists every server, follows drains with the lag, and can be away", func() {
		server := deployment.Addresses().Servers[0].Address
		Expect(states()).To(HaveLen(40 + 20 + 10))
		Expect(admin.SetMachineListFaults(ctx, labapi.MachineListFaults{LagMS: time.Hour.Milliseconds()})).To(Succeed())
		Expect(admin.Drain(ctx, server, labapi.DrainRequest{})).To(Succeed())
		Expect(states()).To(HaveKeyWithValue(string(server), "live"))
		Expect(admin.SetMachineListFaults(ctx, labapi.MachineListFaults{})).To(Succeed())
		Expect(states()).To(HaveKeyWithValue(string(server), "leaving"))
		missing := labapi.Machine{Address: string(server), State: labapi.MachineMissing}
		Expect(admin.SetMachine(ctx, missing)).To(Succeed())
		Expect(states()).NotTo(HaveKey(string(server)))
		Expect(admin.SetMachineListFaults(ctx, labapi.MachineListFaults{Outage: true})).To(Succeed())
		Expect(states()).To(BeNil())
	})

	It("is driven by the admin client", func() {
		servers, err := admin.Servers(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(servers).To(HaveLen(70))
		chosen := servers[0].Address
		selector := labapi.Selector{Service: "colour-lookup", Group: "group0"}
		Expect(admin.SetFaults(ctx, selector, labapi.Faults{Hang: true})).To(Succeed())
		Expect(admin.SetFaults(ctx, labapi.Selector{Service: "none"}, labapi.Faults{})).NotTo(Succeed())
		Expect(admin.Publish(ctx, "colour-lookup", labapi.PublishRequest{StaggerMS: 1})).To(BeEquivalentTo(2))
		layout, err := admin.Split(ctx, "colour-lookup", labapi.SplitRequest{Group: "group0", At: 100})
		Expect(err).NotTo(HaveOccurred())
		Expect(layout.Shards).To(HaveLen(5))
		Expect(admin.Stop(ctx, chosen)).To(Succeed())
		servers, err = admin.Servers(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(servers[0].Running).To(BeFalse())
		Expect(servers[3].Faults.Hang).To(BeTrue())
		Expect(servers[4].Faults.Hang).To(BeFalse())
		Expect(admin.Start(ctx, chosen)).To(Succeed())
		Expect(admin.Undrain(ctx, "127.0.0.1:1")).NotTo(Succeed())
		Expect(admin.Executions(ctx, labapi.ExecutionsQuery{Since: time.Now()})).To(BeEmpty())
		Expect(admin.SetStoreFaults(ctx, labapi.StoreFaults{LoseReplies: 1})).To(Succeed())
		Expect(admin.Rollback(ctx, 1)).To(Succeed())
		Expect(admin.StoreStats(ctx)).To(HaveField("Index", BeEquivalentTo(1)))
	})
})

var _ = DescribeTable("a preset",
	func(name string, sizes map[target.Service]int) {
		deployment := topology.Preset(name)
		Expect(deployment.Check()).To(Succeed())
		for service, size := range sizes {
			plans := deployment.PlanService(deployment.Service(service))
			Expect(plans).To(HaveLen(size), string(service))
			replicas := make(map[keyspace.Range]int)
			zones := make(map[target.Zone]int)
			for _, plan := range plans {
				zones[plan.Zone]++
				for _, shard := range plan.Shards {
					replicas[shard.Range]++
				}
			}
			Expect(zones).To(HaveLen(3))
			var covered keyspace.Set
			for part, count := range replicas {
				Expect(covered.Add(part)).To(BeTrue())
				Expect(count).To(BeNumerically(">=", 2))
			}
			Expect(covered.Full()).To(BeTrue())
		}
		from := netip.MustParseAddr("127.0.11.7")
		Expect(deployment.OneWayFrom(from, deployment.Zones()[0])).To(Equal(time.Millisecond))
		Expect(deployment.OneWayFrom(from, deployment.Zones()[1])).To(BeZero())
		Expect(deployment.OneWayFrom(netip.MustParseAddr("127.0.0.1"), deployment.Zones()[0])).To(BeZero())
	},
	Entry("valgsok", topology.PresetValgsok, map[target.Service]int{
		"resultatside": 16, "kandidatprofil": 24, "valgarkiv": 25, "redaksjonsfeed": 13,
	}),
	Entry("colour archive", topology.PresetColourArchive, map[target.Service]int{
		"colour-lookup": 16, "pigment-stock": 24, "audit-ledger": 20, "tint-orders": 10,
	}),
)
